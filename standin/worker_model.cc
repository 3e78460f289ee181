#include "standin/worker_model.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <utility>

#include "hickoryquay/model/json.h"

namespace hickoryquay::standin {

namespace json = boost::json;

namespace {

std::int64_t NumberOr(const json::object& object, const char* key, std::int64_t fallback) {
  const json::value* value = object.if_contains(key);
  if (value == nullptr || !value->is_number()) return fallback;
  boost::system::error_code error;
  const auto number = value->to_number<std::int64_t>(error);
  return error ? fallback : number;
}

std::string TextOr(const json::object& object, const char* key, const std::string& fallback) {
  const json::value* value = object.if_contains(key);
  return value != nullptr && value->is_string() ? std::string(value->get_string()) : fallback;
}

Resources ResourcesOf(const json::object& command) {
  Resources resources;
  const json::value* task = command.if_contains("task");
  if (task == nullptr || !task->is_object()) return resources;
  resources.m_accelerators = static_cast<std::int32_t>(NumberOr(task->get_object(), "accelerators", 0));
  resources.m_millicores = NumberOr(task->get_object(), "millicores", 0);
  resources.m_memory_mb = NumberOr(task->get_object(), "memory_mb", 0);
  return resources;
}

}  // namespace

TaskPlan ParseTaskPlan(const std::string& payload) {
  TaskPlan plan;
  boost::system::error_code error;
  const json::value value = json::parse(payload, error);
  if (error || !value.is_object()) return plan;
  const json::object& object = value.get_object();
  plan.m_run = Millis{NumberOr(object, "run_ms", plan.m_run.count())};
  plan.m_accelerators_used = static_cast<std::int32_t>(NumberOr(object, "accelerators_used", -1));
  const json::value* fail = object.if_contains("fail");
  plan.m_fail = fail != nullptr && fail->is_bool() && fail->get_bool();
  return plan;
}

const std::map<std::string, WorkerModel::Operation>& WorkerModel::Operations() {
  static const std::map<std::string, Operation> operations = {
      {"reserve", &WorkerModel::Reserve},   {"commit", &WorkerModel::StartCommitted},
      {"renew", &WorkerModel::Renew},       {"checkpoint", &WorkerModel::Checkpoint},
      {"throttle", &WorkerModel::Throttle}, {"stop", &WorkerModel::Stop},
      {"forget", &WorkerModel::Forget}};
  return operations;
}

SyncAnswer WorkerModel::Sync(const json::object& request, Instant now) {
  Tick(now);
  const auto epoch = static_cast<std::uint64_t>(NumberOr(request, "epoch", 0));
  if (epoch < m_epoch) return SyncAnswer{409, {{"epoch", m_epoch}}};
  m_epoch = epoch;

  const Millis lease{NumberOr(request, "lease_ms", 0)};
  json::array results;
  const json::value* commands = request.if_contains("commands");
  if (commands != nullptr && commands->is_array()) {
    for (const json::value& element : commands->get_array()) {
      if (!element.is_object()) continue;
      const json::object& object = element.get_object();
      const Command command{TextOr(object, "job", ""), static_cast<std::uint64_t>(NumberOr(object, "attempt", 0)),
                            lease, &object};
      const std::string op = TextOr(object, "op", "");
      const auto operation = Operations().find(op);
      const Outcome outcome =
          operation == Operations().end() ? Outcome{false, "unknown op"} : (this->*operation->second)(command, now);
      results.push_back(json::object{{"job", command.m_job},
                                     {"attempt", command.m_attempt},
                                     {"op", op},
                                     {"ok", outcome.m_ok},
                                     {"why", outcome.m_why}});
    }
  }
  json::array tasks;
  for (const auto& [job, task] : m_tasks) tasks.push_back(Report(job, task, now));
  return SyncAnswer{200,
                    {{"epoch", m_epoch},
                     {"worker", m_worker.m_id.m_value},
                     {"results", std::move(results)},
                     {"tasks", std::move(tasks)}}};
}

void WorkerModel::Tick(Instant now) {
  for (auto& [job, task] : m_tasks) {
    if (!Live(task)) continue;
    const bool due = task.m_state == State::kRunning && now - task.m_started >= task.m_plan.m_run;
    if (task.m_lease_until <= now) {
      if (task.m_state == State::kRunning) Log(job, task, "lapse", "lease", now);
      task.m_state = State::kStopped;
      task.m_why = "lease lapsed";
    } else if (due) {
      const bool fails = task.m_plan.m_fail;
      task.m_state = fails ? State::kFailed : State::kFinished;
      task.m_why = fails ? "the task failed" : "";
      Log(job, task, fails ? "fail" : "finish", "", now);
    }
  }
}

void WorkerModel::Restart(Instant now) {
  for (const auto& [job, task] : m_tasks) {
    if (task.m_state == State::kRunning) Log(job, task, "lapse", "worker restarted", now);
  }
  m_tasks.clear();
}

WorkerModel::Task* WorkerModel::Find(const Command& command) {
  const auto found = m_tasks.find(command.m_job);
  if (found == m_tasks.end() || found->second.m_attempt != command.m_attempt) return nullptr;
  return &found->second;
}

bool WorkerModel::Live(const Task& task) {
  return task.m_state == State::kReserved || task.m_state == State::kRunning;
}

WorkerModel::Outcome WorkerModel::Reserve(const Command& command, Instant now) {
  if (Task* task = Find(command)) return Live(*task) ? Outcome{} : Outcome{false, "the attempt has ended"};
  std::uint64_t& highest = m_highest_attempt[command.m_job];
  if (command.m_attempt <= highest) return {false, "an old attempt"};
  const auto previous = m_tasks.find(command.m_job);
  if (previous != m_tasks.end() && Live(previous->second)) return {false, "an earlier attempt still runs"};

  Task task;
  task.m_attempt = command.m_attempt;
  task.m_count = static_cast<int>(NumberOr(*command.m_json, "tasks", 1));
  task.m_declared = ResourcesOf(*command.m_json);
  const json::value* run = command.m_json->if_contains("run");
  if (run != nullptr && run->is_object()) {
    task.m_plan = ParseTaskPlan(TextOr(run->get_object(), "payload", "{}"));
    task.m_plan.m_run -= Millis{NumberOr(run->get_object(), "attained_ms", 0)};  // Goes on behind its checkpoint.
  }
  task.m_lease_until = now + command.m_lease;
  Resources taken = task.m_declared * task.m_count;
  for (const auto& [job, other] : m_tasks) {
    if (Live(other)) taken += other.m_declared * other.m_count;
  }
  if (taken.m_accelerators > m_worker.m_capacity.m_accelerators) return {false, "no room"};
  highest = command.m_attempt;
  m_tasks[command.m_job] = task;
  return {};
}

WorkerModel::Outcome WorkerModel::StartCommitted(const Command& command, Instant now) {
  Task* task = Find(command);
  if (task == nullptr) return {false, "no reservation"};
  if (task->m_state == State::kReserved) {
    task->m_state = State::kRunning;
    task->m_started = now;
    Log(command.m_job, *task, "start", "epoch " + std::to_string(m_epoch), now);
    if (m_fails_everything) {
      task->m_state = State::kFailed;
      task->m_why = "the worker fails every task";
      Log(command.m_job, *task, "fail", task->m_why, now);
    }
    task->m_lease_until = now + command.m_lease;
    return {};
  }
  if (task->m_state == State::kStopped || task->m_state == State::kCheckpointed) return {false, task->m_why};
  return {};
}

WorkerModel::Outcome WorkerModel::Renew(const Command& command, Instant now) {
  Task* task = Find(command);
  if (task == nullptr) return {false, "unknown attempt"};
  if (Live(*task)) task->m_lease_until = now + command.m_lease;
  return {};
}

WorkerModel::Outcome WorkerModel::EndTask(const Command& command, State state, const char* what, Instant now) {
  Task* task = Find(command);
  if (task == nullptr) {
    std::uint64_t& highest = m_highest_attempt[command.m_job];
    if (highest < command.m_attempt)
      highest = command.m_attempt;  // A reserve that is still on its way must not start it.
    return {};
  }
  if (!Live(*task)) return {};
  if (task->m_state == State::kRunning) Log(command.m_job, *task, what, "", now);
  task->m_state = state;
  task->m_why = what;
  return {};
}

WorkerModel::Outcome WorkerModel::Checkpoint(const Command& command, Instant now) {
  return EndTask(command, State::kCheckpointed, "checkpoint", now);
}

WorkerModel::Outcome WorkerModel::Stop(const Command& command, Instant now) {
  return EndTask(command, State::kStopped, "stop", now);
}

WorkerModel::Outcome WorkerModel::Throttle(const Command& command, Instant /*now*/) {
  Task* task = Find(command);
  if (task == nullptr) return {false, "unknown attempt"};
  task->m_plan.m_accelerators_used = -1;  // Back to what it declared.
  return {};
}

WorkerModel::Outcome WorkerModel::Forget(const Command& command, Instant /*now*/) {
  const Task* task = Find(command);
  if (task != nullptr && !Live(*task)) m_tasks.erase(command.m_job);
  return {};
}

void WorkerModel::Log(const std::string& job, const Task& task, const char* what, const std::string& detail,
                      Instant now) {
  m_log->Add(RunRecord{now, what, m_worker.m_id.m_value, job, task.m_attempt, task.m_count, detail});
}

json::object WorkerModel::Report(const std::string& job, const Task& task, Instant now) const {
  Resources used = task.m_declared * task.m_count;
  const bool seen = task.m_state == State::kRunning && now - task.m_started >= kUsageLag;
  if (seen && task.m_plan.m_accelerators_used >= 0)
    used.m_accelerators = task.m_plan.m_accelerators_used * task.m_count;
  return {{"job", job},        {"attempt", task.m_attempt}, {"state", ToString(task.m_state)}, {"tasks", task.m_count},
          {"why", task.m_why}, {"used", ToJson(used)}};
}

const char* WorkerModel::ToString(State state) {
  switch (state) {
    case State::kReserved:
      return "reserved";
    case State::kRunning:
      return "running";
    case State::kFinished:
      return "finished";
    case State::kFailed:
      return "failed";
    case State::kStopped:
      return "stopped";
    case State::kCheckpointed:
      return "checkpointed";
  }
  return "?";
}

}  // namespace hickoryquay::standin
