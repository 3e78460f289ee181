// Gang: one attempt of one job on its workers, as a state machine without I/O.
//
//   reserving -> recording -> committing -> running -> ended       recording: only jobs that run at most once
//        \            \            \           \-> stopping -> ended
//
// All parts are reserved before any is committed, and the start of a job that runs at most once is recorded between the
// two: a crash before the record leaves a job that provably never ran, a crash after it leaves reservations or running
// parts that the workers report. Any failure stops every part; the gang ends when each is known to be gone.
#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "hickoryquay/model/model.h"
#include "hickoryquay/workers/sync.h"

namespace hickoryquay::placer {

struct SendCommand {
  WorkerId m_worker;
  workers::Op m_op = workers::Op::kReserve;
};
struct RecordStart {};       // Answered by OnRecorded or OnNotRecorded.
struct Started {};           // Every part runs or has finished.
struct StartFailed {         // No part runs.
  WorkerId m_failed_worker;  // Empty: no worker's fault.
  bool m_may_have_run = false;
  std::string m_why;
};
struct PartFailed {  // No part runs.
  WorkerId m_worker;
  std::string m_why;
};
struct Finished {};  // Every part finished.
struct Stopped {     // No part runs.
  bool m_checkpointed = false;
};

using GangOutput = std::variant<SendCommand, RecordStart, Started, StartFailed, PartFailed, Finished, Stopped>;
using GangOutputs = std::vector<GangOutput>;

// Not thread-safe. Inputs that do not fit the phase are late or repeated ones and change nothing.
class Gang {
 public:
  enum class Phase { kRestoring, kReserving, kRecording, kCommitting, kRunning, kStopping, kEnded };

  // `record_first`: the job runs at most once.
  Gang(std::vector<Placement> placements, bool record_first);

  GangOutputs Begin();

  // Takes up an attempt of an earlier placer: waits until every part is reported or lost, then adopts the attempt where
  // it runs whole, else stops it. `was_running`: its row says that it ran.
  GangOutputs Restore(bool was_running);

  GangOutputs OnResult(const WorkerId& worker, workers::Op op, bool ok, const std::string& why);

  // What the worker reports of this attempt; empty: nothing. Feed results of the same answer first.
  GangOutputs OnReport(const WorkerId& worker, const std::optional<workers::TaskReport>& report);

  GangOutputs OnRecorded();
  GangOutputs OnNotRecorded(const std::string& why);
  GangOutputs OnWorkerLost(const WorkerId& worker);

  // The start took too long: given up, with a part that is still missing as the culprit.
  GangOutputs OnStartTimeout();

  GangOutputs OnStop(bool checkpoint);

  Phase CurrentPhase() const { return m_phase; }
  const char* PhaseName() const;
  bool Ended() const { return m_phase == Phase::kEnded; }
  bool Starting() const { return m_phase >= Phase::kReserving && m_phase <= Phase::kCommitting; }
  bool HasLostPart() const;
  std::vector<WorkerId> WorkerIds() const;
  std::vector<WorkerId> RunningWorkers() const;

 private:
  enum class State { kUnknown, kReserving, kReserved, kCommitting, kRunning, kFinished, kCheckpointed, kGone };

  struct Part {
    WorkerId m_worker;
    State m_state = State::kReserving;
    bool m_never_ran = true;  // Provably.
    bool m_stop_answered = false;
    bool m_lost = false;
    std::string m_why;  // Why it is gone, where the worker says.
    bool m_failed = false;
  };

  using ReportRule = GangOutputs (Gang::*)(Part*, const std::optional<workers::TaskReport>&);

  Part* Find(const WorkerId& worker);
  bool AllParts(bool (*predicate)(const Part&)) const;

  GangOutputs ReportIgnored(Part* part, const std::optional<workers::TaskReport>& report);
  GangOutputs ReportRestoring(Part* part, const std::optional<workers::TaskReport>& report);
  GangOutputs ReportReserved(Part* part, const std::optional<workers::TaskReport>& report);
  GangOutputs ReportCommitting(Part* part, const std::optional<workers::TaskReport>& report);
  GangOutputs ReportRunning(Part* part, const std::optional<workers::TaskReport>& report);
  GangOutputs ReportStopping(Part* part, const std::optional<workers::TaskReport>& report);

  GangOutputs OnReserved(Part* part, bool ok, const std::string& why);
  GangOutputs OnCommitted(Part* part, bool ok, const std::string& why);
  GangOutputs Commit();
  GangOutputs CheckCommitted();
  GangOutputs CheckFinished();
  GangOutputs CheckRestored();
  GangOutputs CheckStopped();
  GangOutputs AbandonStart(const WorkerId& culprit, const std::string& why);
  GangOutputs StopParts(GangOutput end, bool checkpoint);
  void ApplyTerminalReport(Part* part, const workers::TaskReport& report);

  std::vector<Part> m_parts;
  bool m_record_first = false;
  bool m_was_running = false;
  Phase m_phase = Phase::kReserving;
  GangOutput m_end_output = Stopped{};  // What the end is told as, unless every part finished.
  bool m_stop_requested = false;        // Told as Stopped besides.
};

}  // namespace hickoryquay::placer
