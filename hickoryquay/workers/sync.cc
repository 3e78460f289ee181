#include "hickoryquay/workers/sync.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <limits>
#include <map>
#include <utility>

#include "hickoryquay/model/field_reader.h"
#include "hickoryquay/model/json.h"

namespace hickoryquay::workers {

namespace {

namespace json = boost::json;
using Need = FieldReader::Need;

constexpr int kHttpOk = 200;
constexpr int kHttpConflict = 409;

// Indexed by Op and by TaskState.
constexpr const char* kOps[] = {"reserve", "commit", "renew", "checkpoint", "throttle", "stop", "forget"};
constexpr const char* kStates[] = {"reserved", "running", "finished", "failed", "stopped", "checkpointed"};

// An attempt takes the state with the lowest number among those of its tasks. Indexed by TaskState.
constexpr int kMergePriority[] = {2, 1, 5, 0, 3, 4};

template <typename Enum, std::size_t Count>
void ReadEnum(FieldReader* reader, std::string_view key, const char* const (&names)[Count], Enum* value) {
  std::string text;
  reader->Read(key, &text);
  for (std::size_t i = 0; i < Count; ++i) {
    if (text != names[i]) continue;
    *value = static_cast<Enum>(i);
    return;
  }
  reader->Fail(key, "not known");
}

void ReadJobAttempt(FieldReader* reader, JobId* job, Attempt* attempt) {
  std::string id;
  reader->Read("job", &id);
  if (!reader->Failed() && !ParseJobId(id, job)) reader->Fail("job", "expected the id of a job");
  reader->ReadInteger("attempt", attempt, 0, std::numeric_limits<std::uint32_t>::max());
}

void ReadUsed(FieldReader* reader, Resources* used) {
  const json::value* found = reader->Find("used", Need::kOptional);
  if (found == nullptr) return;
  FieldReader nested(*found, "used");
  constexpr std::int64_t kMax = std::numeric_limits<std::int32_t>::max();
  nested.ReadInteger("accelerators", &used->m_accelerators, 0, kMax, Need::kOptional);
  nested.ReadInteger("millicores", &used->m_millicores, 0, kMax, Need::kOptional);
  nested.ReadInteger("memory_mb", &used->m_memory_mb, 0, kMax, Need::kOptional);
  if (nested.Failed()) reader->Take(nested.Error());
}

bool ReadResult(const json::value& value, CommandResult* result) {
  FieldReader reader(value);
  ReadJobAttempt(&reader, &result->m_job, &result->m_attempt);
  ReadEnum(&reader, "op", kOps, &result->m_op);
  reader.Read("ok", &result->m_ok);
  reader.Read("why", &result->m_why, Need::kOptional);
  return !reader.Failed();
}

bool ReadTask(const json::value& value, TaskReport* task) {
  FieldReader reader(value);
  ReadJobAttempt(&reader, &task->m_job, &task->m_attempt);
  ReadEnum(&reader, "state", kStates, &task->m_state);
  reader.Read("why", &task->m_why, Need::kOptional);
  ReadUsed(&reader, &task->m_used);
  return !reader.Failed();
}

template <typename T>
bool ReadAll(const json::array& array, bool (*read)(const json::value&, T*), std::vector<T>* list) {
  for (const json::value& element : array) {
    if (!read(element, &list->emplace_back())) return false;
  }
  return true;
}

std::vector<TaskReport> MergeByAttempt(std::vector<TaskReport> tasks) {
  std::map<std::pair<JobId, Attempt>, TaskReport> merged;
  for (TaskReport& task : tasks) {
    const auto [entry, inserted] = merged.emplace(std::pair{task.m_job, task.m_attempt}, task);
    if (inserted) continue;
    entry->second.m_used += task.m_used;
    if (kMergePriority[static_cast<int>(task.m_state)] >= kMergePriority[static_cast<int>(entry->second.m_state)])
      continue;
    entry->second.m_state = task.m_state;
    entry->second.m_why = std::move(task.m_why);
  }
  std::vector<TaskReport> list;
  for (auto& [key, task] : merged) list.push_back(std::move(task));
  return list;
}

json::object CommandJson(const Command& command) {
  json::object object{
      {"op", ToString(command.m_op)}, {"job", ToString(command.m_job)}, {"attempt", Raw(command.m_attempt)}};
  if (command.m_op != Op::kReserve) return object;
  object["tasks"] = command.m_tasks;
  object["task"] = ToJson(command.m_task);
  const auto run = ParseJson(command.m_run);
  object["run"] = Ok(run) ? ValueOf(run) : json::value(json::object{});
  return object;
}

}  // namespace

const char* ToString(Op op) {
  return kOps[static_cast<int>(op)];
}

const char* ToString(TaskState state) {
  return kStates[static_cast<int>(state)];
}

bool IsTerminal(TaskState state) {
  return state != TaskState::kReserved && state != TaskState::kRunning;
}

std::optional<TaskReport> FindReport(const SyncAnswer& answer, JobId job, Attempt attempt) {
  for (const TaskReport& task : answer.m_tasks) {
    if (task.m_job == job && task.m_attempt == attempt) return task;
  }
  return std::nullopt;
}

std::string EncodeSync(const SyncRequest& request) {
  json::array commands;
  for (const Command& command : request.m_commands) commands.push_back(CommandJson(command));
  return json::serialize(json::object{{"epoch", Raw(request.m_epoch)},
                                      {"placer", request.m_placer.m_value},
                                      {"lease_ms", request.m_lease.count()},
                                      {"commands", std::move(commands)}});
}

Result<SyncAnswer, SyncError> DecodeAnswer(int status, std::string_view body) {
  if (status != kHttpOk && status != kHttpConflict) return SyncError{NoAnswer{"status " + std::to_string(status)}};
  const auto parsed = ParseJson(body);
  if (!Ok(parsed)) return SyncError{NoAnswer{ErrorOf(parsed).m_message}};
  SyncAnswer answer;
  FieldReader reader(ValueOf(parsed));
  reader.ReadInteger("epoch", &answer.m_epoch, 0, std::numeric_limits<std::int64_t>::max());
  if (reader.Failed()) return SyncError{NoAnswer{reader.Error().m_field + ": " + reader.Error().m_message}};
  if (status == kHttpConflict) return SyncError{Fenced{answer.m_epoch}};
  reader.Read("worker", &answer.m_worker, Need::kOptional);
  const bool read = ReadAll(reader.Array("results", Need::kOptional), &ReadResult, &answer.m_results) &&
                    ReadAll(reader.Array("tasks", Need::kOptional), &ReadTask, &answer.m_tasks);
  if (!read || reader.Failed()) return SyncError{NoAnswer{"the report can't be read"}};
  answer.m_tasks = MergeByAttempt(std::move(answer.m_tasks));
  return answer;
}

}  // namespace hickoryquay::workers
