#include "hickoryquay/placer/gang.h"

#include <algorithm>
#include <utility>

namespace hickoryquay::placer {

namespace {

using workers::Op;
using workers::TaskReport;
using workers::TaskState;

constexpr const char* kPhaseNames[] = {"restoring", "reserving", "recording", "committing",
                                       "running",   "stopping",  "ended"};

void AppendOutputs(GangOutputs* outputs, GangOutputs more) {
  outputs->insert(outputs->end(), std::make_move_iterator(more.begin()), std::make_move_iterator(more.end()));
}

}  // namespace

Gang::Gang(std::vector<Placement> placements, bool record_first) : m_record_first(record_first) {
  for (Placement& placement : placements) m_parts.emplace_back().m_worker = std::move(placement.m_worker);
}

const char* Gang::PhaseName() const {
  return kPhaseNames[static_cast<int>(m_phase)];
}

Gang::Part* Gang::Find(const WorkerId& worker) {
  const auto found =
      std::find_if(m_parts.begin(), m_parts.end(), [&](const Part& part) { return part.m_worker == worker; });
  return found == m_parts.end() ? nullptr : &*found;
}

bool Gang::AllParts(bool (*predicate)(const Part&)) const {
  return std::all_of(m_parts.begin(), m_parts.end(), predicate);
}

bool Gang::HasLostPart() const {
  return std::any_of(m_parts.begin(), m_parts.end(), [](const Part& part) { return part.m_lost; });
}

std::vector<WorkerId> Gang::WorkerIds() const {
  std::vector<WorkerId> workers;
  for (const Part& part : m_parts) workers.push_back(part.m_worker);
  return workers;
}

std::vector<WorkerId> Gang::RunningWorkers() const {
  std::vector<WorkerId> workers;
  for (const Part& part : m_parts) {
    if (part.m_state == State::kRunning) workers.push_back(part.m_worker);
  }
  return workers;
}

//-------------------------------------------------------------------------------------------------
// [SECTION] Start
//-------------------------------------------------------------------------------------------------

GangOutputs Gang::Begin() {
  GangOutputs outputs;
  for (const Part& part : m_parts) outputs.emplace_back(SendCommand{part.m_worker, Op::kReserve});
  return outputs;
}

GangOutputs Gang::Restore(bool was_running) {
  m_phase = Phase::kRestoring;
  m_was_running = was_running;
  for (Part& part : m_parts) {
    part.m_state = State::kUnknown;
    part.m_never_ran = false;
  }
  return {};
}

GangOutputs Gang::OnResult(const WorkerId& worker, Op op, bool ok, const std::string& why) {
  Part* part = Find(worker);
  if (part == nullptr) return {};
  if (op == Op::kReserve) return OnReserved(part, ok, why);
  if (op == Op::kCommit) return OnCommitted(part, ok, why);
  if (op == Op::kStop) part->m_stop_answered = true;
  if (op == Op::kCheckpoint && !ok && m_phase == Phase::kStopping && part->m_state == State::kRunning) {
    return {SendCommand{worker, Op::kStop}};
  }
  return {};
}

GangOutputs Gang::OnReserved(Part* part, bool ok, const std::string& why) {
  if (m_phase != Phase::kReserving || part->m_state != State::kReserving) return {};
  if (!ok) return AbandonStart(part->m_worker, why);
  part->m_state = State::kReserved;
  if (!AllParts([](const Part& p) { return p.m_state == State::kReserved; })) return {};
  if (!m_record_first) return Commit();
  m_phase = Phase::kRecording;
  return {RecordStart{}};
}

GangOutputs Gang::OnRecorded() {
  return m_phase == Phase::kRecording ? Commit() : GangOutputs{};
}

GangOutputs Gang::OnNotRecorded(const std::string& why) {
  return m_phase == Phase::kRecording ? AbandonStart(WorkerId(), why) : GangOutputs{};
}

GangOutputs Gang::Commit() {
  m_phase = Phase::kCommitting;
  GangOutputs outputs;
  for (Part& part : m_parts) {
    part.m_state = State::kCommitting;
    part.m_never_ran = false;
    outputs.emplace_back(SendCommand{part.m_worker, Op::kCommit});
  }
  return outputs;
}

GangOutputs Gang::OnCommitted(Part* part, bool ok, const std::string& why) {
  if (part->m_state != State::kCommitting) return {};
  if (ok) {
    part->m_state = State::kRunning;
    return m_phase == Phase::kCommitting ? CheckCommitted() : GangOutputs{};
  }
  part->m_commit_refused = true;
  part->m_why = why;
  return {};
}

// A repeated commit is refused too where the part ran and ended since the first, whose answer was lost. Its report
// shows that run.
bool Gang::NeverBegan(const Part& part, const std::optional<TaskReport>& report) {
  return part.m_state == State::kCommitting && part.m_commit_refused &&
         (!report || report->m_state == TaskState::kReserved);
}

GangOutputs Gang::CheckCommitted() {
  if (!AllParts([](const Part& p) { return p.m_state == State::kRunning || p.m_state == State::kFinished; })) return {};
  m_phase = Phase::kRunning;
  GangOutputs outputs{Started{}};
  AppendOutputs(&outputs, CheckFinished());
  return outputs;
}

GangOutputs Gang::AbandonStart(const WorkerId& culprit, const std::string& why) {
  return StopParts(StartFailed{culprit, false, why}, false);
}

GangOutputs Gang::OnStartTimeout() {
  if (!Starting()) return {};
  if (m_phase == Phase::kRecording) return AbandonStart(WorkerId(), "the start could not be recorded");
  const auto missing = std::find_if(m_parts.begin(), m_parts.end(), [](const Part& part) {
    return part.m_state == State::kReserving || part.m_state == State::kCommitting;
  });
  return AbandonStart(missing == m_parts.end() ? WorkerId() : missing->m_worker, "the worker did not answer in time");
}

//-------------------------------------------------------------------------------------------------
// [SECTION] Reports
//-------------------------------------------------------------------------------------------------

GangOutputs Gang::OnReport(const WorkerId& worker, const std::optional<TaskReport>& report) {
  // Indexed by Phase.
  static constexpr ReportRule kRules[] = {&Gang::ReportRestoring,  &Gang::ReportReserved, &Gang::ReportReserved,
                                          &Gang::ReportCommitting, &Gang::ReportRunning,  &Gang::ReportStopping,
                                          &Gang::ReportIgnored};
  Part* part = Find(worker);
  if (part == nullptr || part->m_lost) return {};
  // Called through an element, another rule runs: GCC 12 on arm64 loses the index under -fsanitize=bounds.
  const ReportRule rule = kRules[static_cast<int>(m_phase)];
  return (this->*rule)(part, report);
}

GangOutputs Gang::ReportIgnored(Part*, const std::optional<TaskReport>&) {
  return {};
}

// Before the commit, the worker must still hold every reservation that it has acknowledged.
GangOutputs Gang::ReportReserved(Part* part, const std::optional<TaskReport>& report) {
  if (part->m_state != State::kReserved) return {};
  if (report && report->m_state == TaskState::kReserved) return {};
  return AbandonStart(part->m_worker, "the reservation lapsed");
}

// The report may have been made before the commit command arrived. So while the command is unanswered, a part that is
// missing or still reserved in the report means nothing: the result of the command decides.
GangOutputs Gang::ReportCommitting(Part* part, const std::optional<TaskReport>& report) {
  if (NeverBegan(*part, report)) {
    part->m_state = State::kGone;
    part->m_never_ran = true;
    return AbandonStart(part->m_worker, part->m_why);
  }
  if (!report) {
    if (part->m_state != State::kRunning) return {};
    part->m_state = State::kGone;
    return AbandonStart(part->m_worker, "the worker no longer runs it");
  }
  if (report->m_state == TaskState::kReserved) return {};
  if (report->m_state == TaskState::kRunning) {
    part->m_state = State::kRunning;
    return CheckCommitted();
  }
  ApplyTerminalReport(part, *report);
  if (part->m_state == State::kFinished) return CheckCommitted();
  return AbandonStart(part->m_worker, report->m_why.empty() ? "ended while the gang started" : report->m_why);
}

GangOutputs Gang::ReportRunning(Part* part, const std::optional<TaskReport>& report) {
  if (part->m_state != State::kRunning) return {};
  if (report && !workers::IsTerminal(report->m_state)) return {};
  if (report) {
    ApplyTerminalReport(part, *report);
    if (part->m_state == State::kFinished) return CheckFinished();
  } else {
    part->m_state = State::kGone;
  }
  const std::string why = report && !report->m_why.empty() ? report->m_why : "the worker no longer runs it";
  return StopParts(PartFailed{part->m_worker, why}, false);
}

GangOutputs Gang::ReportStopping(Part* part, const std::optional<TaskReport>& report) {
  const bool may_run =
      part->m_state == State::kRunning || part->m_state == State::kCommitting || part->m_state == State::kUnknown;
  if (!may_run) return {};
  if (NeverBegan(*part, report)) {
    part->m_state = State::kGone;
    part->m_never_ran = true;
  }
  if (report && workers::IsTerminal(report->m_state)) ApplyTerminalReport(part, *report);
  if (!report && part->m_stop_answered) part->m_state = State::kGone;
  return CheckStopped();
}

void Gang::ApplyTerminalReport(Part* part, const TaskReport& report) {
  part->m_why = report.m_why;
  part->m_failed = report.m_state == TaskState::kFailed;
  part->m_state = State::kGone;
  if (report.m_state == TaskState::kFinished) part->m_state = State::kFinished;
  if (report.m_state == TaskState::kCheckpointed) part->m_state = State::kCheckpointed;
}

GangOutputs Gang::CheckFinished() {
  if (!AllParts([](const Part& p) { return p.m_state == State::kFinished; })) return {};
  m_phase = Phase::kEnded;
  return {Finished{}};
}

//-------------------------------------------------------------------------------------------------
// [SECTION] Restoring
//-------------------------------------------------------------------------------------------------

GangOutputs Gang::ReportRestoring(Part* part, const std::optional<TaskReport>& report) {
  if (!report) {
    part->m_state = State::kGone;
  } else if (report->m_state == TaskState::kReserved) {
    part->m_state = State::kReserved;
    part->m_never_ran = true;  // Workers reject commands that an earlier placer may still send.
  } else if (report->m_state == TaskState::kRunning) {
    part->m_state = State::kRunning;
    part->m_never_ran = false;
  } else {
    part->m_never_ran = false;
    ApplyTerminalReport(part, *report);
  }
  return CheckRestored();
}

GangOutputs Gang::CheckRestored() {
  if (!AllParts([](const Part& p) { return p.m_state != State::kUnknown; })) return {};
  if (AllParts([](const Part& p) { return p.m_state == State::kRunning || p.m_state == State::kFinished; })) {
    return CheckCommitted();
  }
  const auto failed = std::find_if(m_parts.begin(), m_parts.end(), [](const Part& part) { return part.m_failed; });
  if (failed != m_parts.end()) return StopParts(PartFailed{failed->m_worker, failed->m_why}, false);
  if (m_was_running) return StopParts(Stopped{}, false);
  return StopParts(StartFailed{WorkerId(), false, "its start was cut off"}, false);
}

//-------------------------------------------------------------------------------------------------
// [SECTION] Stop
//-------------------------------------------------------------------------------------------------

GangOutputs Gang::OnStop(bool checkpoint) {
  if (m_phase == Phase::kEnded) return {};
  m_stop_requested = true;
  if (m_phase != Phase::kStopping) return StopParts(Stopped{}, checkpoint && m_phase == Phase::kRunning);
  if (checkpoint) return {};
  GangOutputs outputs;
  for (const Part& part : m_parts) {
    if (part.m_state == State::kRunning) outputs.emplace_back(SendCommand{part.m_worker, Op::kStop});
  }
  return outputs;
}

GangOutputs Gang::OnWorkerLost(const WorkerId& worker) {
  Part* part = Find(worker);
  if (part == nullptr || m_phase == Phase::kEnded || part->m_lost) return {};
  const bool ended = part->m_state == State::kFinished || part->m_state == State::kCheckpointed;
  part->m_lost = true;
  if (!ended) part->m_state = State::kGone;
  if (m_phase == Phase::kRestoring) return CheckRestored();
  if (m_phase == Phase::kStopping) return CheckStopped();
  if (Starting()) return AbandonStart(worker, "the worker is silent");
  return {};
}

// Also releases reservations of parts that were never committed, but does not wait for these: they can't be running.
GangOutputs Gang::StopParts(GangOutput end, bool checkpoint) {
  m_end_output = std::move(end);
  m_phase = Phase::kStopping;
  GangOutputs outputs;
  for (Part& part : m_parts) {
    const bool ended = part.m_state == State::kFinished || part.m_state == State::kCheckpointed;
    if (ended || part.m_lost) continue;
    outputs.emplace_back(SendCommand{part.m_worker, checkpoint ? Op::kCheckpoint : Op::kStop});
    const bool may_run =
        part.m_state == State::kCommitting || part.m_state == State::kRunning || part.m_state == State::kUnknown;
    if (!may_run) part.m_state = State::kGone;
  }
  AppendOutputs(&outputs, CheckStopped());
  return outputs;
}

GangOutputs Gang::CheckStopped() {
  if (m_phase != Phase::kStopping) return {};
  const bool ended = AllParts([](const Part& p) {
    return p.m_state == State::kFinished || p.m_state == State::kCheckpointed || p.m_state == State::kGone;
  });
  if (!ended) return {};
  m_phase = Phase::kEnded;
  if (AllParts([](const Part& p) { return p.m_state == State::kFinished; })) return {Finished{}};
  const bool checkpointed =
      AllParts([](const Part& p) { return p.m_state == State::kFinished || p.m_state == State::kCheckpointed; });
  if (auto* failed = std::get_if<StartFailed>(&m_end_output)) {
    failed->m_may_have_run = !AllParts([](const Part& p) { return p.m_never_ran; });
  }
  if (std::holds_alternative<Stopped>(m_end_output)) return {Stopped{checkpointed}};
  GangOutputs outputs{m_end_output};
  if (m_stop_requested) outputs.emplace_back(Stopped{checkpointed});
  return outputs;
}

}  // namespace hickoryquay::placer
