// Incarnations of a worker that may restart under its id. Pure: no I/O, no clock.
//
// The wall time at which a worker started (WorkerEntry::m_born) tells its incarnations apart. Only what a worker itself
// reports counts as its incarnation: its row may lag behind, and other writers may write rows. A restarted worker
// holds nothing of before, but executes starts that were on their way to its earlier incarnation.
//
// Workers that never report a start time have one incarnation for each id.
#pragma once

#include <algorithm>
#include <optional>

#include "hickoryquay/base/clock.h"
#include "hickoryquay/jobs/worker_api.h"

namespace hickoryquay::jobs {

// What a worker reported of itself.
struct KnownIncarnation {
  Instant m_born;   // Wall time; 0: never reported.
  Instant m_heard;  // Steady time at which the first reply of this incarnation arrived.
};

enum class ReportedIncarnation {
  kSame,          // Also if none was ever reported.
  kFirst,         // None was reported before; what is known of the worker is attributed to this one.
  kNewer,         // The worker has restarted.
  kStale,         // Of an incarnation before the known one: to be ignored.
  kUnidentified,  // Names none, although the worker named one before: proves nothing about the worker.
};

// Compares what is known with what the reply to a call sent at `sent` reports. A start time that goes back is of a
// later incarnation if the call was sent after the known one had answered; the machine's wall clock was then set back.
inline ReportedIncarnation Compare(const KnownIncarnation& known, std::optional<Instant> born, Instant sent) {
  const bool named_before = known.m_born.m_ms != 0;
  if (!born) return named_before ? ReportedIncarnation::kUnidentified : ReportedIncarnation::kSame;
  if (!named_before) return ReportedIncarnation::kFirst;
  if (*born == known.m_born) return ReportedIncarnation::kSame;
  return *born > known.m_born || sent > known.m_heard ? ReportedIncarnation::kNewer : ReportedIncarnation::kStale;
}

// When a reply was given, at the earliest. It may have waited on its way, or in this process.
struct ReplyGiven {
  Instant m_at;          // Steady time here.
  Instant m_clock_zero;  // When the worker's clock showed zero, at the earliest: for later replies of the incarnation.
};

// Of the reply to a call sent at `sent` that is handled at `now`. `clock_zero` is of earlier replies. A worker's clock
// may be slow and is never fast, so the time by which it has advanced since an earlier reply has passed here too.
inline ReplyGiven WhenGiven(std::optional<Instant> clock_zero, WorkerTime clock, Instant sent, Instant now) {
  const Instant by_call = sent - Millis{clock.m_ms};
  const Instant zero = clock_zero ? std::max(*clock_zero, by_call) : by_call;
  return {std::min(zero + Millis{clock.m_ms}, now), zero};
}

// Whether a worker may be told up to which number its ends are recorded, so that it forgets them. Numbers are those of
// one incarnation: told to a later one, they make it forget ends that nobody has read. A worker is not back within
// `restart` of a reply that it gave, and a crash makes calls fail. One that never reported a start time has one
// incarnation.
inline bool MayTellRecordedEnds(const KnownIncarnation& known, Millis since_last_reply, bool failed_since,
                                Millis restart) {
  if (known.m_born.m_ms == 0) return true;
  return !failed_since && since_last_reply <= restart;
}

enum class RowIncarnation {
  kCurrent,  // The row describes the incarnation that answers, as far as is known.
  kNewer,    // The worker has probably restarted: to be polled at once, and not to be used before.
  kLagging,  // Capacity, labels and pool are those of an earlier incarnation: not to be used until the row is current.
};

inline RowIncarnation CompareRow(Instant reported, std::optional<Instant> row_born) {
  if (!row_born || reported.m_ms == 0 || *row_born == reported) return RowIncarnation::kCurrent;
  return *row_born > reported ? RowIncarnation::kNewer : RowIncarnation::kLagging;
}

// A call that got no answer may still be executed this long after it was sent. Longer than a connection is kept without
// an answer. A start is refused then, since its lease is over, unless the worker has restarted under its id: the lease
// is in the clock of the earlier incarnation.
constexpr Millis kMaxCallDelay{20'000};

// What shows that an incarnation of a worker runs nothing any more.
enum class WorkerLoss {
  kLeaseOver,  // Its last lease has ended and it does not answer. It may be cut off and alive.
  kUnlisted,   // The platform no longer lists its id.
  kReplaced,   // Another id answers at its address.
  kRestarted,  // It answers under its id with a later start.
};
inline const char* ToString(WorkerLoss loss) {
  switch (loss) {
    case WorkerLoss::kLeaseOver:
      return "lease is over";
    case WorkerLoss::kUnlisted:
      return "the platform no longer knows it";
    case WorkerLoss::kReplaced:
      return "another life answers";
    case WorkerLoss::kRestarted:
      return "it has restarted";
  }
  return "";
}

// A worker whose runs are lost.
struct LostWorker {
  WorkerLoss m_why = WorkerLoss::kLeaseOver;
  int m_units = 0;             // That had runs there.
  Instant m_silent_since;      // Steady time of the first sign of the loss.
  bool m_with_domain = false;  // It fell silent together with its failure domain.
};

// A run that was placed on an earlier incarnation, when a reply of a later one arrives for the first time.
struct RunBeforeRestart {
  bool m_sent = true;            // Its start was sent.
  bool m_confirmed = false;      // The start was accepted, or a reply listed the run as running.
  Instant m_confirmed_at;        // Steady time.
  bool m_sent_again = false;     // A copy of the start may be under way even though the run is confirmed.
  bool m_earlier_epoch = false;  // Its start is refused by the worker, which has seen a higher epoch in this poll.
  bool m_listed = false;         // The reply lists it as running: a copy of the start arrived after the restart.
};

enum class AfterRestart {
  kWithdraw,  // Nothing was sent: the start is dropped.
  kClear,     // It does not run and can't start any more.
  kStop,      // It runs or may start later: clear after a stop that the new incarnation acknowledges.
};

// `sent` is the steady time at which the poll was sent that the new incarnation answered.
inline AfterRestart Resolve(const RunBeforeRestart& run, Instant sent) {
  if (!run.m_sent) return AfterRestart::kWithdraw;
  if (run.m_listed) return AfterRestart::kStop;
  if (run.m_earlier_epoch) return AfterRestart::kClear;
  // A run that was confirmed after the poll was sent may run on the new incarnation, which answered before.
  const bool gone = run.m_confirmed && run.m_confirmed_at < sent && !run.m_sent_again;
  return gone ? AfterRestart::kClear : AfterRestart::kStop;
}

}  // namespace hickoryquay::jobs
