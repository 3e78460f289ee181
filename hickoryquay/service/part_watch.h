// PartWatch: which parts of the store answer.
//
// A store may be away in part: some parts are silent while others serve. So a call without an answer tells something
// about its own part only, and an answer of one part does not show that another is back. If no part has answered since
// the last one became silent, all count as silent. Silent parts are probed by reads until they answer. Probes overlap,
// so one that was lost does not delay the next. A call that ended long after its time limit shows that this process was
// late: its answer may be unread, so a probe is sent and decides.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "hickoryquay/base/clock.h"
#include "hickoryquay/base/timer_service.h"
#include "hickoryquay/store/row_store.h"

namespace hickoryquay::service {

// Rows of a table that the store keeps and serves together.
struct StorePart {
  std::string m_table;
  std::string m_part;

  auto operator<=>(const StorePart&) const = default;
};

struct PartWatchSettings {
  // A part that is not known to be silent counts as answering if the store answered any call within m_recent, or within
  // m_recent_calls times what its last answer took, at most m_longest_recent: a probe of a slow store takes long.
  Millis m_recent{250};
  int m_recent_calls = 4;
  Millis m_longest_recent{1'000};
  Millis m_probe_timeout{1'000};
  Millis m_longest_late{300};  // Between the time limit of a call and its end.
  // Between probes of silent parts: a share of the time for which parts have been silent, within these limits. Many
  // instances probe at the same time, and a store that comes back must not be overwhelmed by them.
  Millis m_probe_interval{120};
  Millis m_longest_probe_interval{1'000};
  double m_probe_share = 0.05;
  std::size_t m_probes_at_once = 2;  // Of the silent parts in turn.
};

// Not thread-safe; all calls and callbacks run on one thread.
class PartWatch : public std::enable_shared_from_this<PartWatch> {
 public:
  PartWatch(store::RowStore* store, TimerService* timers, const Clock* clock, const PartWatchSettings& settings);

  // `on_back` is called each time parts answer again.
  void SetOnBack(std::function<void()> on_back) { m_on_back = std::move(on_back); }

  // `contact` returns when other parts of this instance last had an answer of the store.
  void SetContact(std::function<Instant()> contact) { m_contact = std::move(contact); }

  // Calls `then` at once if the part is known to be silent or the store answered recently, otherwise after a probe. A
  // probe without an answer after `longest` counts as silence to this caller.
  void Check(const StorePart& part, Millis longest, std::function<void(bool answers)> then);

  // A call to the part, sent then, was answered, or got no answer though it was given `limit`. The latter is ignored if
  // the part answered after that.
  void NoteAnswer(const StorePart& part, Instant sent);
  void NoteSilence(const StorePart& part, Instant sent, Millis limit);

  bool IsSilent(const StorePart& part) const { return m_silent.contains(part) || AllSilent(); }
  Millis SilentFor(const StorePart& part) const;  // 0 if it answers.
  Instant LastAnswer() const;                     // Of any part; 0: never.

 private:
  bool AllSilent() const { return !m_silent.empty() && LastAnswer() <= m_last_silence; }
  void Add(const StorePart& part, Instant since);
  void Probe(const StorePart& part, std::function<void(bool answers)> then);
  void ProbeSilentParts(std::size_t most);
  void ScheduleProbes();

  store::RowStore* m_store;
  TimerService* m_timers;
  const Clock* m_clock;
  PartWatchSettings m_settings;
  std::map<StorePart, Instant> m_silent;  // When the first call without an answer was sent.
  Instant m_first_silence;                // The earliest of these.
  Instant m_last_silence;                 // The latest of these.
  bool m_reported_away = false;           // The log says that the whole store is away.
  StorePart m_last_probed;
  int m_probes_pending = 0;
  Subscription m_probes;                    // While parts are silent.
  std::map<StorePart, Instant> m_answered;  // When each part last answered; as many entries as the store has parts.
  Instant m_last_answer;                    // Of any part.
  Millis m_call_time{0};                    // What that answer took.
  std::function<Instant()> m_contact = [] { return Instant{}; };
  std::function<void()> m_on_back;
};

}  // namespace hickoryquay::service
