#include "hickoryquay/service/command_queue.h"

#include <algorithm>
#include <utility>

namespace hickoryquay::service {

std::optional<CommandQueue::Command> CommandQueue::Next() {
  if (m_in_flight >= Window()) return std::nullopt;
  if (!m_stops.empty()) {
    Command next = std::move(m_stops.front());
    m_stops.pop_front();
    return next;
  }
  if (m_starts.empty()) return std::nullopt;
  auto& first = m_starts.begin()->second;
  Command next = std::move(first.front());
  first.pop_front();
  if (first.empty()) m_starts.erase(m_starts.begin());
  return next;
}

void CommandQueue::OnAnswer(Millis took, Instant now) {
  const bool full = m_in_flight >= Window();
  --m_in_flight;
  if (took <= m_settings.m_slow) {
    if (full) m_window = std::min(m_settings.m_most, m_window + 1.0);
    return;
  }
  if (now - m_last_cut < m_settings.m_cut_every) return;
  m_last_cut = now;
  m_window = std::max(m_settings.m_least, m_window * m_settings.m_cut);
}

}  // namespace hickoryquay::service
