// Gang: one attempt to run a job on its workers, as a state machine without I/O.
//
//   reserving -> recording -> committing -> running -> ended       recording: only for jobs that run at most once
//        \            \            \           \-> stopping -> ended
//
// A part is the set of the gang's tasks on one worker. All parts are reserved before any part is committed. The start
// of a job that runs at most once is written to its row between the two steps: after a crash before that write the job
// provably never ran; after a later crash the workers report the parts that are reserved or running. Any failure stops
// every part, and the gang ends once no part can be running any more.
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
struct RecordStart {};       // Requests the write of the job's row; answered by OnRecorded or OnNotRecorded.
struct Started {};           // Every part is running or has finished.
struct StartFailed {         // No part is running.
  WorkerId m_failed_worker;  // Empty: no worker caused the failure.
  bool m_may_have_run = false;
  std::string m_why;
};
struct PartFailed {  // No part is running any more.
  WorkerId m_worker;
  std::string m_why;
};
struct Finished {};  // Every part has finished.
struct Stopped {     // No part is running any more.
  bool m_checkpointed = false;
};

using GangOutput = std::variant<SendCommand, RecordStart, Started, StartFailed, PartFailed, Finished, Stopped>;
using GangOutputs = std::vector<GangOutput>;

// Not thread-safe. Inputs that do not fit the current phase are late or duplicate, and are ignored.
class Gang {
 public:
  enum class Phase { kRestoring, kReserving, kRecording, kCommitting, kRunning, kStopping, kEnded };

  // `record_first`: the job runs at most once, so its start is recorded before any part is committed.
  Gang(std::vector<Placement> placements, bool record_first);

  GangOutputs Begin();

  // Restores an attempt of an earlier placer: waits until each part is reported or its worker is lost, then adopts the
  // attempt if all its parts are running or finished, else stops it. `was_running`: the job's row says that it ran.
  GangOutputs Restore(bool was_running);

  GangOutputs OnResult(const WorkerId& worker, workers::Op op, bool ok, const std::string& why);

  // The worker's report on this attempt; empty: the worker does not have it. Pass the command results of the same
  // answer to OnResult first.
  GangOutputs OnReport(const WorkerId& worker, const std::optional<workers::TaskReport>& report);

  GangOutputs OnRecorded();
  GangOutputs OnNotRecorded(const std::string& why);
  GangOutputs OnWorkerLost(const WorkerId& worker);

  // The start took too long: abandons it and names the worker of a part that has not answered as the failed one.
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
    bool m_never_ran = true;        // The part provably never ran.
    bool m_commit_refused = false;  // What its report says then tells whether it ran.
    bool m_stop_answered = false;
    bool m_lost = false;
    std::string m_why;  // Why the part ended, if the worker gives a reason.
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
  static bool NeverBegan(const Part& part, const std::optional<workers::TaskReport>& report);
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
  GangOutput m_end_output = Stopped{};  // Output at the end, unless every part finished.
  bool m_stop_requested = false;        // Stopped is output at the end as well.
};

}  // namespace hickoryquay::placer
