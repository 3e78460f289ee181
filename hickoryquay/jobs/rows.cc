#include "hickoryquay/jobs/rows.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>
#include <limits>

#include "hickoryquay/model/field_reader.h"

namespace hickoryquay::jobs {

namespace {

namespace json = boost::json;
using Need = FieldReader::Need;

constexpr std::int64_t kMaxInt = std::numeric_limits<std::int32_t>::max();  // Of settings of the job's queue.
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
  json::array crashes;
  for (const CrashedRun& crash : unit.m_crashes)
    crashes.push_back(json::array{Raw(crash.m_run), crash.m_member, crash.m_evident});
  if (!crashes.empty()) object["crashes"] = std::move(crashes);
  json::array crashed_after;  // A field of its own, so that earlier versions read the others.
  for (const CrashedRun& crash : unit.m_crashes) crashed_after.push_back(crash.m_ran.count());
  const bool known = std::any_of(unit.m_crashes.begin(), unit.m_crashes.end(),
                                 [](const CrashedRun& crash) { return crash.m_ran > Millis{0}; });
  if (known) object["crashed_after"] = std::move(crashed_after);
  PutUnlessDefault(&object, "checkpoint", unit.m_checkpoint);
  json::array members;
  for (const PlacedMember& member : unit.m_members) {
    // A settled member keeps its element, since the position gives the index of its task.
    members.push_back(member.m_settled ? json::array{} : json::array{member.m_worker.m_value, member.m_address});
  }
  if (!members.empty()) object["on"] = std::move(members);
  return object;
}

// A number from 0 to `most`; fails the reader and returns 0 for anything else.
std::int64_t NumberIn(FieldReader* reader, const char* key, const json::value& value, std::int64_t most) {
  const auto* number = value.if_int64();
  if (number != nullptr && *number >= 0 && *number <= most) return *number;
  reader->Fail(key, "expected numbers of tasks and runs");
  return 0;
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
  for (const json::value& element : reader->Array("crashes", Need::kOptional)) {
    const json::array* list = element.if_array();
    if (list == nullptr || list->size() != 3 || !(*list)[2].is_bool()) {
      reader->Fail("crashes", "expected lists of run, member and whether it is evident");
      break;
    }
    CrashedRun& crash = unit.m_crashes.emplace_back();
    crash.m_run = RunNumber{
        static_cast<std::uint32_t>(NumberIn(reader, "crashes", (*list)[0], std::numeric_limits<std::uint32_t>::max()))};
    crash.m_member = static_cast<int>(NumberIn(reader, "crashes", (*list)[1], kMaxCount));
    crash.m_evident = (*list)[2].as_bool();
  }
  std::size_t crash = 0;
  for (const json::value& element : reader->Array("crashed_after", Need::kOptional)) {
    if (crash == unit.m_crashes.size()) {
      reader->Fail("crashed_after", "expected one for each crash");
      break;
    }
    unit.m_crashes[crash++].m_ran = Millis{NumberIn(reader, "crashed_after", element, kMaxInt)};
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

// A unit of one task that is done and of which nothing is left.
bool IsPlainDone(const UnitRow& unit) {
  return unit.m_done && unit.m_failed_runs.empty() && unit.m_members.empty();
}

// A unit of one task that may run on a worker, without a history.
bool IsPlainPlaced(const UnitRow& unit) {
  return !unit.m_done && unit.m_failed_runs.empty() && unit.m_crashes.empty() && unit.m_checkpoint.empty() &&
         unit.m_members.size() == 1 && !unit.m_members.front().m_settled;
}

void ReadDone(FieldReader* reader, std::vector<UnitRow>* units) {
  const json::array& done = reader->Array("done", Need::kOptional);
  if (done.size() % 3 != 0) return reader->Fail("done", "expected a first task, a last task and a run each");
  for (std::size_t i = 0; i < done.size() && !reader->Failed(); i += 3) {
    const auto first = NumberIn(reader, "done", done[i], kMaxCount);
    const auto last = NumberIn(reader, "done", done[i + 1], kMaxCount);
    const auto run = NumberIn(reader, "done", done[i + 2], std::numeric_limits<std::uint32_t>::max());
    for (std::int64_t task = first; task <= last && !reader->Failed(); ++task) {
      UnitRow& unit = units->emplace_back();
      unit.m_first = static_cast<int>(task);
      unit.m_run = RunNumber{static_cast<std::uint32_t>(run)};
      unit.m_done = true;
    }
  }
}

void ReadPlaced(FieldReader* reader, const json::value& element, std::vector<UnitRow>* units) {
  const json::array* list = element.if_array();
  if (list == nullptr || list->size() < 2 || list->size() % 2 != 0 || !(*list)[0].is_string() ||
      !(*list)[1].is_string()) {
    return reader->Fail("placed", "expected a worker, its address, then tasks with their runs");
  }
  for (std::size_t i = 2; i < list->size() && !reader->Failed(); i += 2) {
    UnitRow& unit = units->emplace_back();
    unit.m_first = static_cast<int>(NumberIn(reader, "placed", (*list)[i], kMaxCount));
    unit.m_run = RunNumber{static_cast<std::uint32_t>(
        NumberIn(reader, "placed", (*list)[i + 1], std::numeric_limits<std::uint32_t>::max()))};
    PlacedMember& member = unit.m_members.emplace_back();
    member.m_worker = WorkerId{std::string((*list)[0].as_string())};
    member.m_address = std::string((*list)[1].as_string());
  }
}

// The latest known start of each worker that a unit of the row is placed on. A field of its own, so that readers that
// don't know it still read the row.
json::object WorkerStarts(const std::vector<UnitRow>& units) {
  json::object starts;
  for (const UnitRow& unit : units) {
    for (const PlacedMember& member : unit.m_members) {
      if (member.m_settled || member.m_born.m_ms == 0) continue;
      json::value& start = starts[member.m_worker.m_value];
      if (!start.is_int64() || start.as_int64() < member.m_born.m_ms) start = member.m_born.m_ms;
    }
  }
  return starts;
}

void ReadWorkerStarts(FieldReader* reader, std::vector<UnitRow>* units) {
  const json::value* value = reader->Find("started", Need::kOptional);
  if (value == nullptr) return;
  if (!value->is_object()) return reader->Fail("started", "expected the start times of workers");
  FieldReader starts(*value, "started");
  for (UnitRow& unit : *units) {
    for (PlacedMember& member : unit.m_members) {
      if (!member.m_settled) starts.ReadInstant(member.m_worker.m_value, &member.m_born, Need::kOptional);
    }
  }
  if (starts.Failed()) reader->Take(starts.Error());
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
    reader->ReadInteger("priority", &job->m_priority, 0, kMaxInt);
    reader->ReadInteger("max_attempts", &job->m_max_attempts, 0, kMaxInt);
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

std::string ToText(const StepRowKey& key) {
  return key.m_index == 0 ? ToText(key.m_step) : ToText(key.m_step) + '/' + std::to_string(key.m_index);
}

std::optional<StepRowKey> ParseStepRowKey(std::string_view text) {
  const std::size_t slash = text.find('/');
  const auto step = ParseStepKey(text.substr(0, slash));
  if (!step) return std::nullopt;
  StepRowKey key{*step, 0};
  if (slash == std::string_view::npos) return key;
  const std::string_view number = text.substr(slash + 1);
  const auto [stop, error] = std::from_chars(number.data(), number.data() + number.size(), key.m_index);
  const bool whole = error == std::errc{} && stop == number.data() + number.size();
  return whole && key.m_index > 0 ? std::optional(key) : std::nullopt;
}

// Three lists: "done" has ranges of units that are done, "placed" has workers with the units that run on them, and
// "units" has all that don't fit these short forms.
std::string Write(const StepRow& row) {
  json::array units;
  json::array done;                           // First unit, last unit and run, one after another.
  std::map<WorkerId, json::array> by_worker;  // Id, address, then first task and run, one after another.
  int last_done = 0;
  for (const UnitRow& unit : row.m_units) {
    if (IsPlainDone(unit)) {
      const bool follows = !done.empty() && unit.m_first == last_done + 1 && done.back() == Raw(unit.m_run);
      last_done = unit.m_first;
      if (follows) {
        done[done.size() - 2] = last_done;
      } else {
        done.insert(done.end(), {unit.m_first, unit.m_first, Raw(unit.m_run)});
      }
    } else if (IsPlainPlaced(unit)) {
      const PlacedMember& member = unit.m_members.front();
      json::array& placed = by_worker[member.m_worker];
      if (placed.empty()) placed = {member.m_worker.m_value, member.m_address};
      placed.push_back(unit.m_first);
      placed.push_back(Raw(unit.m_run));
    } else {
      units.push_back(UnitJson(unit));
    }
  }
  json::object object{{"units", std::move(units)}};
  if (!done.empty()) object["done"] = std::move(done);
  json::array placed;
  for (auto& [worker, list] : by_worker) placed.push_back(std::move(list));
  if (!placed.empty()) object["placed"] = std::move(placed);
  json::object starts = WorkerStarts(row.m_units);
  if (!starts.empty()) object["started"] = std::move(starts);
  return json::serialize(object);
}

Parsed<StepRow> ReadStepRow(const StepRowKey& key, std::string_view text) {
  return ReadRow<StepRow>(text, [&key](FieldReader* reader, StepRow* row) {
    row->m_key = key.m_step;
    row->m_index = key.m_index;
    row->m_units = ReadObjects(reader, "units", Need::kRequired, ReadUnit);
    ReadDone(reader, &row->m_units);
    for (const json::value& element : reader->Array("placed", Need::kOptional)) {
      ReadPlaced(reader, element, &row->m_units);
    }
    ReadWorkerStarts(reader, &row->m_units);
  });
}

std::string Write(const PhaseRow& row) {
  json::object object{{"phase", ToString(row.m_phase)}, {"since_ms", row.m_since.m_ms}};
  if (row.m_tombstone) object["tombstone"] = true;
  return json::serialize(object);
}

Parsed<PhaseRow> ReadPhaseRow(std::string_view text) {
  return ReadRow<PhaseRow>(text, [](FieldReader* reader, PhaseRow* row) {
    std::string phase;
    reader->Read("phase", &phase);
    reader->ReadInstant("since_ms", &row->m_since);
    reader->Read("tombstone", &row->m_tombstone, Need::kOptional);
    if (reader->Failed()) return;
    const auto parsed = ParseJobPhase(phase);
    parsed ? void(row->m_phase = *parsed) : reader->Fail("phase", "expected a phase of a job");
  });
}

}  // namespace hickoryquay::jobs
