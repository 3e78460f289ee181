#include "hickoryquay/service/command_queue.h"

#include <algorithm>
#include <utility>

namespace hickoryquay::service {

std::optional<CommandQueue::Command> CommandQueue::Next(bool starts) {
  if (m_in_flight >= Window()) return std::nullopt;
  const bool starts_wait = starts && !m_starts.empty();
  if (!m_stops.empty() && (!starts_wait || 2 * m_stops_in_flight < Window())) {
    Command next = std::move(m_stops.front());
    m_stops.pop_front();
    return next;
  }
  if (!starts_wait) return std::nullopt;
  auto& first = m_starts.begin()->second;
  Command next = std::move(first.front().m_start);
  first.pop_front();
  if (first.empty()) m_starts.erase(m_starts.begin());
  return next;
}

std::vector<jobs::StartCommand> CommandQueue::TakeStarts() {
  std::vector<jobs::StartCommand> taken;
  for (auto& [priority, starts] : std::exchange(m_starts, {})) {
    for (QueuedStart& start : starts) taken.push_back(std::move(start.m_start));
  }
  return taken;
}

std::vector<jobs::StartCommand> CommandQueue::TakeExpired(Instant now) {
  std::vector<jobs::StartCommand> expired;
  if (m_settings.m_longest_queued.count() == 0) return expired;
  for (auto& [priority, starts] : m_starts) {
    while (!starts.empty() && now - starts.front().m_added > m_settings.m_longest_queued) {
      expired.push_back(std::move(starts.front().m_start));
      starts.pop_front();
    }
  }
  std::erase_if(m_starts, [](const auto& entry) { return entry.second.empty(); });
  return expired;
}

std::size_t CommandQueue::Queued() const {
  std::size_t queued = m_stops.size();
  for (const auto& [priority, starts] : m_starts) queued += starts.size();
  return queued;
}

void CommandQueue::OnStopSent() {
  ++m_stops_in_flight;
  OnSent();
}

void CommandQueue::OnStopAnswer(Millis took, Instant now) {
  --m_stops_in_flight;
  OnAnswer(took, now);
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
