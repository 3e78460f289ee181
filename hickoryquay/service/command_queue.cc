#include "hickoryquay/service/command_queue.h"

#include <algorithm>
#include <utility>

namespace hickoryquay::service {

namespace {

bool IsTaken(const jobs::StartCommand& start, const jobs::JobFilter& filter) {
  return !filter || filter(start.m_task.m_step.m_job);
}

}  // namespace

std::optional<CommandQueue::Command> CommandQueue::Next(const jobs::JobFilter& may_start) {
  if (m_in_flight >= Window()) return std::nullopt;
  auto starts = m_starts.begin();
  std::deque<QueuedStart>::iterator start;
  for (; starts != m_starts.end(); ++starts) {
    start = std::find_if(starts->second.begin(), starts->second.end(),
                         [&may_start](const QueuedStart& queued) { return IsTaken(queued.m_start, may_start); });
    if (start != starts->second.end()) break;
  }
  const bool starts_wait = starts != m_starts.end();
  if (!m_stops.empty() && (!starts_wait || 2 * m_stops_in_flight < Window())) {
    Command next = std::move(m_stops.front());
    m_stops.pop_front();
    return next;
  }
  if (!starts_wait) return std::nullopt;
  Command next = std::move(start->m_start);
  starts->second.erase(start);
  if (starts->second.empty()) m_starts.erase(starts);
  return next;
}

bool CommandQueue::HasHeld(const jobs::JobFilter& may_start) const {
  return std::any_of(m_starts.begin(), m_starts.end(), [&may_start](const auto& entry) {
    return std::any_of(entry.second.begin(), entry.second.end(),
                       [&may_start](const QueuedStart& queued) { return !IsTaken(queued.m_start, may_start); });
  });
}

std::vector<jobs::StartCommand> CommandQueue::TakeHeld(const jobs::JobFilter& may_start) {
  std::vector<jobs::StartCommand> held;
  for (auto& [priority, starts] : m_starts) {
    const auto first = std::stable_partition(starts.begin(), starts.end(), [&may_start](const QueuedStart& queued) {
      return IsTaken(queued.m_start, may_start);
    });
    for (auto start = first; start != starts.end(); ++start) held.push_back(std::move(start->m_start));
    starts.erase(first, starts.end());
  }
  std::erase_if(m_starts, [](const auto& entry) { return entry.second.empty(); });
  return held;
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
