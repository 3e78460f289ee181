// CommandQueue: the order in which the leader's commands go to workers, and how many of them at a time.
//
// A start carries the payload of its job. On a slow link many starts at once hold each other up until none of them is
// answered in time, all are sent again, and the polls that extend leases wait behind them. So only a window of commands
// is in flight. It shrinks while answers are slow or missing and grows while they are quick. Stops go before starts,
// and starts in the order of their priorities. Pure: no I/O, no clock.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "hickoryquay/jobs/scheduler.h"

namespace hickoryquay::service {

struct CommandWindow {
  double m_first = 16.0;       // Commands in flight at first.
  double m_least = 8.0;        // Lower limit.
  double m_most = 512.0;       // Upper limit.
  Millis m_slow{120};          // Answers that take longer mean that the link is full: a round trip takes a few ms.
  double m_cut = 0.7;          // Factor by which a slow answer shrinks the window.
  Millis m_cut_every{100};     // Least time between two cuts.
  Millis m_longest_queued{0};  // Starts that wait longer are not sent any more; 0: no limit.
};

// Not thread-safe.
class CommandQueue {
 public:
  using Command = std::variant<jobs::StopCommand, jobs::StartCommand>;

  explicit CommandQueue(const CommandWindow& window) : m_settings(window), m_window(window.m_first) {}

  void Add(const jobs::StopCommand& stop) { m_stops.push_back(stop); }
  void Add(const jobs::StartCommand& start, Instant now) { m_starts[start.m_priority].push_back({start, now}); }

  // Removes and returns the starts that have waited longer than m_longest_queued.
  std::vector<jobs::StartCommand> TakeExpired(Instant now);

  // Removes and returns the starts of jobs that are not in `may_start`.
  std::vector<jobs::StartCommand> TakeHeld(const jobs::JobFilter& may_start);
  bool HasHeld(const jobs::JobFilter& may_start) const;

  // Removes and returns the next command; empty if there is none or the window is full. Stops go first, and leave half
  // of the window to starts that wait: those to workers that don't answer hold their place until they time out. Starts
  // of jobs that are not in `may_start` are passed over.
  std::optional<Command> Next(const jobs::JobFilter& may_start = {});
  void OnSent() { ++m_in_flight; }
  void OnStopSent();
  void OnAnswer(Millis took, Instant now);  // Also when a start gets no answer.
  void OnStopAnswer(Millis took, Instant now);

  int Window() const { return static_cast<int>(m_window); }
  int InFlight() const { return m_in_flight; }
  std::size_t Queued() const;

 private:
  struct QueuedStart {
    jobs::StartCommand m_start;
    Instant m_added;
  };

  CommandWindow m_settings;
  double m_window;
  int m_in_flight = 0;
  int m_stops_in_flight = 0;  // Of these.
  Instant m_last_cut;
  std::deque<jobs::StopCommand> m_stops;
  std::map<int, std::deque<QueuedStart>> m_starts;  // By priority.
};

}  // namespace hickoryquay::service
