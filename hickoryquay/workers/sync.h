// Sync: request and response of POST /sync, the only call that workers serve. See docs/platform.md.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "hickoryquay/base/result.h"
#include "hickoryquay/model/model.h"

namespace hickoryquay::workers {

enum class Op { kReserve, kCommit, kRenew, kCheckpoint, kThrottle, kStop, kForget };
const char* ToString(Op op);

struct Command {
  Op m_op = Op::kRenew;
  JobId m_job{};
  Attempt m_attempt{};
  int m_tasks = 0;    // This and the fields below: kReserve only.
  Resources m_task;   // Declared resources of one task.
  std::string m_run;  // JSON object passed to the tasks; empty: none.
};

struct SyncRequest {
  Epoch m_epoch{};
  InstanceId m_placer;
  Millis m_lease{0};  // Term of each lease that this request reserves, commits or renews.
  std::vector<Command> m_commands;
};

struct CommandResult {
  Op m_op = Op::kRenew;
  JobId m_job{};
  Attempt m_attempt{};
  bool m_ok = false;
  std::string m_why;
};

enum class TaskState { kReserved, kRunning, kFinished, kFailed, kStopped, kCheckpointed };
const char* ToString(TaskState state);
bool IsTerminal(TaskState state);

// State of all tasks of one attempt on one worker.
struct TaskReport {
  JobId m_job{};
  Attempt m_attempt{};
  TaskState m_state = TaskState::kReserved;
  std::string m_why;
  Resources m_used;  // Sum over the tasks; lags behind actual use.
};

struct SyncAnswer {
  Epoch m_epoch{};
  WorkerId m_worker;
  std::vector<CommandResult> m_results;
  std::vector<TaskReport> m_tasks;  // One entry per attempt.
};

// Returns the report on an attempt, or nullopt if the answer has none.
std::optional<TaskReport> FindReport(const SyncAnswer& answer, JobId job, Attempt attempt);

// The worker has seen a higher epoch and has carried out none of the commands.
struct Fenced {
  Epoch m_epoch{};
};

// The response has an unexpected status or can't be parsed. The commands may have been carried out.
struct NoAnswer {
  std::string m_why;
};

using SyncError = std::variant<Fenced, NoAnswer>;

std::string EncodeSync(const SyncRequest& request);

// Merges the reports of one attempt's tasks into one: kFailed if any task failed, else kRunning if any is running.
Result<SyncAnswer, SyncError> DecodeAnswer(int status, std::string_view body);

}  // namespace hickoryquay::workers
