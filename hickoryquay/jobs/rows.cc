#include "hickoryquay/jobs/rows.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "hickoryquay/model/field_reader.h"

namespace hickoryquay::jobs {

namespace {

namespace json = boost::json;
using Need = FieldReader::Need;

constexpr std::int64_t kMaxCount = 1'000'000;
constexpr std::int64_t kMaxMillicores = 100'000'000;
constexpr std::int64_t kMaxMemoryMb = 1'000'000'000;
constexpr double kMaxStretch = 1'000.0;

// Omits fields with their default value, to keep rows small: most steps set few of them.
template <typename T>
void PutUnlessDefault(json::object* object, const char* key, const T& value, const T& usual = T{}) {
  if (value != usual) (*object)[key] = value;
}

json::object StepJson(const StepSpec& step) {
  json::object object;
  PutUnlessDefault(&object, "tasks", step.m_tasks, 1);
  PutUnlessDefault(&object, "accelerators", step.m_task.m_accelerators);
  PutUnlessDefault(&object, "millicores", step.m_task.m_millicores);
  PutUnlessDefault(&object, "memory_mb", step.m_task.m_memory_mb);
  PutUnlessDefault(&object, "estimate_ms", step.m_estimate.count());
  if (!step.m_after.empty()) object["after"] = json::array(step.m_after.begin(), step.m_after.end());
  PutUnlessDefault(&object, "checkpoints", step.m_checkpoints);
  PutUnlessDefault(&object, "gang", step.m_gang);
  PutUnlessDefault(&object, "rack_local", step.m_rack_local);
  PutUnlessDefault(&object, "speculative", step.m_speculative);
  PutUnlessDefault(&object, "lasts", step.m_long_running);
  PutUnlessDefault(&object, "fills", step.m_uses_idle_cores);
  PutUnlessDefault(&object, "label", step.m_required_label);
  PutUnlessDefault(&object, "data_rack", step.m_data_rack);
  PutUnlessDefault(&object, "max_per_worker", step.m_max_per_worker);
  PutUnlessDefault(&object, "image", step.m_image);
  PutUnlessDefault(&object, "latency_target_ms", step.m_latency_target.count());
  PutUnlessDefault(&object, "max_unavailable", step.m_max_unavailable);
  return object;
}

StepSpec ReadStep(FieldReader* reader, std::size_t index) {
  StepSpec step;
  reader->ReadInteger("tasks", &step.m_tasks, 1, kMaxCount, Need::kOptional);
  reader->ReadInteger("accelerators", &step.m_task.m_accelerators, 0, kMaxCount, Need::kOptional);
  reader->ReadInteger("millicores", &step.m_task.m_millicores, 0, kMaxMillicores, Need::kOptional);
  reader->ReadInteger("memory_mb", &step.m_task.m_memory_mb, 0, kMaxMemoryMb, Need::kOptional);
  reader->ReadMillis("estimate_ms", &step.m_estimate, Need::kOptional);
  for (const json::value& earlier : reader->Array("after", Need::kOptional)) {
    const auto* number = earlier.if_int64();
    if (number == nullptr || *number < 0 || *number >= static_cast<std::int64_t>(index)) {
      reader->Fail("after", "expected numbers of earlier steps");
      break;
    }
    step.m_after.push_back(static_cast<int>(*number));
  }
  reader->Read("checkpoints", &step.m_checkpoints, Need::kOptional);
  reader->Read("gang", &step.m_gang, Need::kOptional);
  reader->Read("rack_local", &step.m_rack_local, Need::kOptional);
  reader->Read("speculative", &step.m_speculative, Need::kOptional);
  reader->Read("lasts", &step.m_long_running, Need::kOptional);
  reader->Read("fills", &step.m_uses_idle_cores, Need::kOptional);
  reader->Read("label", &step.m_required_label, Need::kOptional);
  reader->Read("data_rack", &step.m_data_rack, Need::kOptional);
  reader->ReadInteger("max_per_worker", &step.m_max_per_worker, 0, kMaxCount, Need::kOptional);
  reader->Read("image", &step.m_image, Need::kOptional);
  reader->ReadMillis("latency_target_ms", &step.m_latency_target, Need::kOptional);
  reader->ReadInteger("max_unavailable", &step.m_max_unavailable, 0, kMaxCount, Need::kOptional);
  return step;
}

json::array RunNumbers(const std::vector<RunNumber>& runs) {
  json::array array;
  for (const RunNumber run : runs) array.push_back(Raw(run));
  return array;
}

json::object UnitJson(const UnitRow& unit) {
  json::object object;
  PutUnlessDefault(&object, "first", unit.m_first);
  object["run"] = Raw(unit.m_run);
  PutUnlessDefault(&object, "done", unit.m_done);
  if (!unit.m_failed_runs.empty()) object["failed"] = RunNumbers(unit.m_failed_runs);
  PutUnlessDefault(&object, "checkpoint", unit.m_checkpoint);
  json::array members;
  for (const PlacedMember& member : unit.m_members) {
    // A settled member keeps its element, since the position gives the index of its task.
    members.push_back(member.m_settled ? json::array{} : json::array{member.m_worker.m_value, member.m_address});
  }
  if (!members.empty()) object["on"] = std::move(members);
  return object;
}

UnitRow ReadUnit(FieldReader* reader, std::size_t) {
  UnitRow unit;
  reader->ReadInteger("first", &unit.m_first, 0, kMaxCount, Need::kOptional);
  reader->ReadInteger("run", &unit.m_run, 0, std::numeric_limits<std::uint32_t>::max());
  reader->Read("done", &unit.m_done, Need::kOptional);
  for (const json::value& run : reader->Array("failed", Need::kOptional)) {
    const auto* number = run.if_int64();
    if (number == nullptr || *number < 0 || *number > std::numeric_limits<std::uint32_t>::max()) {
      reader->Fail("failed", "expected numbers of runs");
      break;
    }
    unit.m_failed_runs.push_back(RunNumber{static_cast<std::uint32_t>(*number)});
  }
  reader->Read("checkpoint", &unit.m_checkpoint, Need::kOptional);
  for (const json::value& element : reader->Array("on", Need::kOptional)) {
    const json::array* pair = element.if_array();
    if (pair == nullptr || (pair->size() != 0 && pair->size() != 2)) {
      reader->Fail("on", "expected lists of worker and address");
      break;
    }
    PlacedMember& member = unit.m_members.emplace_back();
    member.m_settled = pair->empty();
    if (member.m_settled) continue;
    if (!(*pair)[0].is_string() || !(*pair)[1].is_string()) {
      reader->Fail("on", "expected texts");
      break;
    }
    member.m_worker = WorkerId{std::string((*pair)[0].as_string())};
    member.m_address = std::string((*pair)[1].as_string());
  }
  return unit;
}

template <typename T, typename Fill>
Parsed<T> ReadRow(std::string_view text, Fill fill) {
  const auto value = ParseJson(text);
  if (!Ok(value)) return ErrorOf(value);
  FieldReader reader(ValueOf(value));
  T result;
  if (!reader.Failed()) fill(&reader, &result);
  if (reader.Failed()) return reader.Error();
  return result;
}

}  // namespace

std::string Write(const AcceptedJob& job) {
  const JobRequest& request = job.m_request;
  json::array steps;
  for (const StepSpec& step : request.m_steps) steps.push_back(StepJson(step));
  json::object object{{"queue", job.m_queue.m_value},       {"account", job.m_account.m_value},
                      {"accepted_ms", job.m_accepted.m_ms}, {"pool", job.m_pool.m_value},
                      {"priority", job.m_priority},         {"max_attempts", job.m_max_attempts},
                      {"stretch", job.m_stretch},           {"objective_ms", job.m_objective.count()},
                      {"payload", request.m_payload},       {"steps", std::move(steps)}};
  PutUnlessDefault(&object, "repeats", request.m_repeats);
  PutUnlessDefault(&object, "first_due_ms", request.m_first_due.m_ms);
  PutUnlessDefault(&object, "interval_ms", request.m_interval.count());
  return json::serialize(object);
}

Parsed<AcceptedJob> ReadAcceptedJob(JobId id, std::string_view text) {
  return ReadRow<AcceptedJob>(text, [id](FieldReader* reader, AcceptedJob* job) {
    job->m_id = id;
    reader->Read("queue", &job->m_queue.m_value);
    reader->Read("account", &job->m_account.m_value);
    reader->ReadInstant("accepted_ms", &job->m_accepted);
    reader->Read("pool", &job->m_pool.m_value);
    reader->ReadInteger("priority", &job->m_priority, 0, kMaxCount);
    reader->ReadInteger("max_attempts", &job->m_max_attempts, 0, kMaxCount);
    reader->Read("stretch", &job->m_stretch, 0.0, kMaxStretch);
    reader->ReadMillis("objective_ms", &job->m_objective);
    JobRequest& request = job->m_request;
    reader->Read("payload", &request.m_payload);
    request.m_steps = ReadObjects(reader, "steps", Need::kRequired, ReadStep);
    reader->ReadInteger("repeats", &request.m_repeats, 0, kMaxCount, Need::kOptional);
    reader->ReadInstant("first_due_ms", &request.m_first_due, Need::kOptional);
    reader->ReadMillis("interval_ms", &request.m_interval, Need::kOptional);
  });
}

std::string Write(const StepRow& row) {
  json::array units;
  for (const UnitRow& unit : row.m_units) units.push_back(UnitJson(unit));
  return json::serialize(json::object{{"units", std::move(units)}});
}

Parsed<StepRow> ReadStepRow(const StepKey& key, std::string_view text) {
  return ReadRow<StepRow>(text, [&key](FieldReader* reader, StepRow* row) {
    row->m_key = key;
    row->m_units = ReadObjects(reader, "units", Need::kRequired, ReadUnit);
  });
}

std::string Write(const PhaseRow& row) {
  return json::serialize(json::object{{"phase", ToString(row.m_phase)}, {"since_ms", row.m_since.m_ms}});
}

Parsed<PhaseRow> ReadPhaseRow(std::string_view text) {
  return ReadRow<PhaseRow>(text, [](FieldReader* reader, PhaseRow* row) {
    std::string phase;
    reader->Read("phase", &phase);
    reader->ReadInstant("since_ms", &row->m_since);
    if (reader->Failed()) return;
    const auto parsed = ParseJobPhase(phase);
    parsed ? void(row->m_phase = *parsed) : reader->Fail("phase", "expected a phase of a job");
  });
}

}  // namespace hickoryquay::jobs
