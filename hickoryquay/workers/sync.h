// Sync: the messages of a worker's one call, see docs/platform.md.
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
  int m_tasks = 0;    // Reserve only, as all below.
  Resources m_task;   // What one task declares to take.
  std::string m_run;  // JSON object: what the tasks need to know; empty: nothing.
};

struct SyncRequest {
  Epoch m_epoch{};
  InstanceId m_placer;
  Millis m_lease{0};  // Of everything that this message reserves, commits or renews.
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

// All tasks of one attempt on the worker.
struct TaskReport {
  JobId m_job{};
  Attempt m_attempt{};
  TaskState m_state = TaskState::kReserved;
  std::string m_why;
  Resources m_used;  // Lags.
};

struct SyncAnswer {
  Epoch m_epoch{};
  WorkerId m_worker;
  std::vector<CommandResult> m_results;
  std::vector<TaskReport> m_tasks;  // One entry an attempt.
};

// What the answer reports of an attempt; empty: nothing.
std::optional<TaskReport> FindReport(const SyncAnswer& answer, JobId job, Attempt attempt);

// The worker has seen a higher epoch; nothing was done.
struct Fenced {
  Epoch m_epoch{};
};

// No such answer, or one that can't be read. The commands may have been carried out.
struct NoAnswer {
  std::string m_why;
};

using SyncError = std::variant<Fenced, NoAnswer>;

std::string EncodeSync(const SyncRequest& request);

// Reports of several tasks of one attempt are merged: any that failed or runs speaks for all.
Result<SyncAnswer, SyncError> DecodeAnswer(int status, std::string_view body);

}  // namespace hickoryquay::workers
