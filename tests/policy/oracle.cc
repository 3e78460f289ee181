#include "tests/policy/oracle.h"

#include <algorithm>
#include <functional>
#include <sstream>

namespace hickoryquay::test {

using namespace policy;  // NOLINT(google-build-using-namespace): most types here are from it.

namespace {

template <typename T>
std::string Text(const T& value) {
  if constexpr (std::is_same_v<T, JobId>) {
    return ToString(value);
  } else {
    return value.m_value;
  }
}

}  // namespace

void Oracle::ReportViolation(const std::string& rule, const std::string& seen) {
  if (m_violation.empty()) m_violation = rule + ": " + seen;
}

std::string Oracle::Observe(const Event& event, const Decisions& decisions) {
  // These two events don't change the state, so without decisions the last result still holds.
  const bool changes_state = !std::holds_alternative<UsageReported>(event) && !std::holds_alternative<Tick>(event);
  if (m_checked && !changes_state && decisions.empty()) return m_violation;
  m_checked = true;
  m_must_end.clear();
  m_just_cancelled.clear();
  std::visit([this](const auto& what) { Apply(what); }, event);
  for (const Decision& decision : decisions) {
    std::visit([this](const auto& what) { Check(what); }, decision);
  }
  for (const JobId id : m_must_end) {
    const JobRecord& job = m_jobs.at(id);
    if (job.m_phase != Phase::kEnded) ReportViolation("once", Text(id) + " may have run, and waits to run again");
  }
  CheckGangsWhole();
  if (m_guarantees) CheckGuarantees();
  return m_violation;
}

void Oracle::OnTakeover() {
  m_checked = false;
  m_broken_guarantees.clear();
  for (auto& [id, worker] : m_workers) {
    worker.m_quarantined = false;
    worker.m_known = worker.m_up;
  }
  for (auto& [id, job] : m_jobs) {
    if (job.m_phase == Phase::kStopping) job.m_phase = job.m_started ? Phase::kRunning : Phase::kStarting;
  }
}

std::vector<JobId> Oracle::JobsIn(Phase phase) const {
  std::vector<JobId> ids;
  for (const auto& [id, job] : m_jobs) {
    if (job.m_phase == phase) ids.push_back(id);
  }
  return ids;
}

//-------------------------------------------------------------------------------------------------
// Events
//-------------------------------------------------------------------------------------------------

void Oracle::Apply(const MarketChanged& event) {
  m_markets[event.m_market->m_id] = event.m_market;
  std::erase_if(m_broken_guarantees, [&](const GuaranteeKey& key) {  // Guarantees that were removed.
    if (key.m_market != event.m_market->m_id) return false;
    const ClientAccount* account = event.m_market->FindAccount(key.m_account);
    return account == nullptr || std::none_of(account->m_guarantees.begin(), account->m_guarantees.end(),
                                              [&](const auto& shape) { return shape.m_name == key.m_shape; });
  });
}

void Oracle::Apply(const MarketDropped& event) {
  m_markets.erase(event.m_market);
  std::erase_if(m_broken_guarantees, [&](const GuaranteeKey& key) { return key.m_market == event.m_market; });
}

void Oracle::Apply(const WorkerJoined& event) {
  WorkerRecord& record = m_workers[event.m_worker.m_id];
  const bool was_up = record.m_up && !record.m_worker.m_id.Empty();
  record.m_worker = event.m_worker;
  record.m_up = true;
  record.m_known = true;
  if (!was_up) record.m_leaving = false;
}

void Oracle::Apply(const WorkerLost& event) {
  const auto found = m_workers.find(event.m_worker);
  if (found == m_workers.end()) return;
  found->second.m_up = false;
  found->second.m_leaving = false;
  for (auto& [id, job] : m_jobs) {
    auto& placements = job.m_job.m_placements;
    const auto lost = std::erase_if(placements, [&](const Placement& at) { return at.m_worker == event.m_worker; });
    if (lost == 0) continue;
    job.m_part_lost = true;
    job.m_start_in_doubt = true;
    if (placements.empty()) EndAttempt(&job);
  }
}

void Oracle::Apply(const WorkerLeaving& event) {
  const auto found = m_workers.find(event.m_worker);
  if (found != m_workers.end() && found->second.m_up) found->second.m_leaving = true;
}

void Oracle::Apply(const JobSubmitted& event) {
  if (m_jobs.contains(event.m_job.m_id)) return;
  JobRecord& job = m_jobs[event.m_job.m_id];
  job.m_job = event.m_job;
  const ClassOfWork* work = ClassOf(job);
  job.m_once = work != nullptr && RunsOnce(event.m_job.m_spec, *work);
}

void Oracle::Apply(const JobCancelled& event) {
  const auto found = m_jobs.find(event.m_job);
  if (found == m_jobs.end() || found->second.m_phase == Phase::kEnded) return;
  found->second.m_cancelled = true;
  if (found->second.m_phase != Phase::kWaiting) return;
  found->second.m_phase = Phase::kEnded;
  found->second.m_end = "cancelled";
}

void Oracle::Apply(const GangStarted& event) {
  JobRecord* job = FindAttempt(event.m_job, event.m_attempt);
  if (job == nullptr) return;
  job->m_may_have_run = true;
  job->m_started = true;
  if (job->m_phase == Phase::kStarting) job->m_phase = Phase::kRunning;
}

void Oracle::Apply(const GangStartFailed& event) {
  JobRecord* job = FindAttempt(event.m_job, event.m_attempt);
  if (job == nullptr || job->m_started) return;
  job->m_may_have_run = job->m_may_have_run || event.m_may_have_run;
  job->m_start_in_doubt = false;
  EndAttempt(job);
}

void Oracle::Apply(const TaskFailed& event) {
  JobRecord* job = FindAttempt(event.m_job, event.m_attempt);
  if (job == nullptr) return;
  job->m_may_have_run = true;
  job->m_part_lost = true;
}

void Oracle::Apply(const GangFinished& event) {
  JobRecord* job = FindAttempt(event.m_job, event.m_attempt);
  if (job == nullptr) return;
  job->m_job.m_placements.clear();
  job->m_phase = Phase::kEnded;
  job->m_end = "finished";
}

void Oracle::Apply(const GangStopped& event) {
  JobRecord* job = FindAttempt(event.m_job, event.m_attempt);
  if (job == nullptr) return;
  job->m_may_have_run = job->m_may_have_run || job->m_started;
  EndAttempt(job);
}

// Call when no part of the attempt runs any more.
void Oracle::EndAttempt(JobRecord* job) {
  job->m_may_have_run = job->m_may_have_run || job->m_start_in_doubt;
  job->m_start_in_doubt = false;
  job->m_job.m_placements.clear();
  job->m_started = false;
  job->m_part_lost = false;
  job->m_phase = job->m_cancelled ? Phase::kEnded : Phase::kWaiting;
  if (job->m_cancelled) {
    job->m_end = "cancelled";
    m_just_cancelled.insert(job->m_job.m_id);
  }
  if (job->m_once && job->m_may_have_run && !job->m_cancelled) m_must_end.insert(job->m_job.m_id);
}

JobRecord* Oracle::FindAttempt(JobId id, Attempt attempt) {
  const auto found = m_jobs.find(id);
  if (found == m_jobs.end() || found->second.m_job.m_attempt != attempt) return nullptr;
  const Phase phase = found->second.m_phase;
  return phase == Phase::kWaiting || phase == Phase::kEnded ? nullptr : &found->second;
}

//-------------------------------------------------------------------------------------------------
// Decisions
//-------------------------------------------------------------------------------------------------

void Oracle::Check(const StartGang& start) {
  const std::string name = Text(start.m_job);
  const auto found = m_jobs.find(start.m_job);
  if (found == m_jobs.end()) return ReportViolation("start", name + " is unknown");
  JobRecord& job = found->second;
  if (job.m_phase != Phase::kWaiting) return ReportViolation("start", name + " does not wait");
  if (job.m_once && job.m_may_have_run) return ReportViolation("once", name + " may have run and is started again");
  if (start.m_attempt <= job.m_job.m_attempt) return ReportViolation("start", name + ": the attempt does not rise");
  const GangShape& shape = job.m_job.m_spec.m_shape;
  int tasks = 0;
  std::set<WorkerId> distinct;
  for (const Placement& at : start.m_placements) {
    tasks += at.m_tasks;
    const auto worker = m_workers.find(at.m_worker);
    if (worker == m_workers.end() || !worker->second.Usable()) {
      return ReportViolation("worker", name + " starts on " + Text(at.m_worker) + ", which may take nothing new");
    }
    if (at.m_tasks <= 0 || !distinct.insert(at.m_worker).second)
      return ReportViolation("gang", name + ": a part is void");
    if (!(HeldOn(at.m_worker) + shape.m_task * at.m_tasks).FitsIn(worker->second.m_worker.m_capacity)) {
      return ReportViolation("capacity", name + " does not fit on " + Text(at.m_worker));
    }
  }
  if (tasks != shape.m_tasks) return ReportViolation("gang", name + " starts in part");
  if (!IsAdjacent(shape, start.m_placements)) return ReportViolation("adjacency", name);
  job.m_phase = Phase::kStarting;
  job.m_job.m_attempt = start.m_attempt;
  job.m_job.m_placements = start.m_placements;
  job.m_last_placements = start.m_placements;
  const auto market = m_markets.find(job.m_job.m_spec.m_market);
  const ClientAccount* account =
      market == m_markets.end() ? nullptr : market->second->FindAccount(job.m_job.m_spec.m_account);
  if (account == nullptr) return ReportViolation("start", name + ": its client account is closed");
  int held = 0;
  for (const auto& [id, other] : m_jobs) {
    const JobSpec& spec = other.m_job.m_spec;
    if (spec.m_market != job.m_job.m_spec.m_market || spec.m_account != account->m_id) continue;
    for (const Placement& at : other.m_job.m_placements) held += at.m_tasks * spec.m_shape.m_task.m_accelerators;
  }
  if (account->m_max_accelerators > 0 && held > account->m_max_accelerators) ReportViolation("limit", name);
}

void Oracle::Check(const StopGang& stop) {
  const std::string name = Text(stop.m_job);
  JobRecord* job = FindAttempt(stop.m_job, stop.m_attempt);
  if (job == nullptr) return ReportViolation("stop", name + " holds nothing in that attempt");
  const ClassOfWork* work = ClassOf(*job);
  const bool for_good = stop.m_reason == StopReason::kCancelled || stop.m_reason == StopReason::kMarketDropped;
  const bool forced = for_good || stop.m_reason == StopReason::kPartLost;
  if (stop.m_reason == StopReason::kCancelled && !job->m_cancelled)
    ReportViolation("stop", name + " was not cancelled");
  if (stop.m_reason == StopReason::kPartLost && !job->m_part_lost) ReportViolation("stop", name + " has lost no part");
  if (!forced && job->m_once) ReportViolation("stop-once", name + " must not be repeated and is stopped");
  if (!forced && work != nullptr) {
    if (!work->m_preemptible && !work->m_checkpointable) ReportViolation("stop", name + " can't be stopped");
    if (!work->m_preemptible && !stop.m_checkpoint && job->m_started) ReportViolation("stop", name + " loses its work");
  }
  if (stop.m_reason == StopReason::kRepack && !stop.m_checkpoint && job->m_started) {
    ReportViolation("stop", name + " loses its work to repacking");
  }
  if (stop.m_checkpoint && (work == nullptr || !work->m_checkpointable)) {
    ReportViolation("stop", name + " can't be checkpointed");
  }
  job->m_checkpoint = stop.m_checkpoint;
  job->m_phase = Phase::kStopping;
}

void Oracle::Check(const ThrottleTask& throttle) {
  const JobRecord* job = FindAttempt(throttle.m_job, throttle.m_attempt);
  const auto here = [&](const Placement& at) { return at.m_worker == throttle.m_worker; };
  if (job == nullptr || std::none_of(job->m_job.m_placements.begin(), job->m_job.m_placements.end(), here)) {
    ReportViolation("throttle", Text(throttle.m_job) + " has no task on " + Text(throttle.m_worker));
  }
}

void Oracle::Check(const RefuseJob& refuse) {
  const auto found = m_jobs.find(refuse.m_job);
  const std::string name = Text(refuse.m_job);
  if (found == m_jobs.end() || EndIsFinal(found->second)) return ReportViolation("refusal", name + " has ended");
  JobRecord& job = found->second;
  if (!job.m_job.m_placements.empty()) ReportViolation("refusal", name + " still holds accelerators");
  if (!refuse.m_ran && job.m_may_have_run)
    ReportViolation("refusal", name + " is refused as never run, but may have run");
  if (refuse.m_why.empty()) ReportViolation("refusal", name + " is refused without a reason");
  job.m_phase = Phase::kEnded;
  job.m_end = "refused: " + refuse.m_why;
}

void Oracle::Check(const MarkUncertain& uncertain) {
  const auto found = m_jobs.find(uncertain.m_job);
  const std::string name = Text(uncertain.m_job);
  if (found == m_jobs.end() || EndIsFinal(found->second)) return ReportViolation("uncertain", name + " has ended");
  JobRecord& job = found->second;
  if (!job.m_once) ReportViolation("uncertain", name + " may be repeated");
  if (!job.m_job.m_placements.empty()) ReportViolation("uncertain", name + " still holds accelerators");
  job.m_phase = Phase::kEnded;
  job.m_end = "uncertain: " + uncertain.m_why;
}

void Oracle::Check(const QuarantineWorker& quarantine) {
  const auto found = m_workers.find(quarantine.m_worker);
  if (found == m_workers.end()) return ReportViolation("quarantine", Text(quarantine.m_worker) + " is unknown");
  found->second.m_quarantined = true;
}

void Oracle::Check(const ReleaseWorker& release) {
  const auto found = m_workers.find(release.m_worker);
  if (found == m_workers.end() || !found->second.m_quarantined) {
    return ReportViolation("quarantine", Text(release.m_worker) + " was in none");
  }
  found->second.m_quarantined = false;
}

void Oracle::Check(const GuaranteeBroken& broken) {
  const auto market = m_markets.find(broken.m_market);
  const ClientAccount* account = market == m_markets.end() ? nullptr : market->second->FindAccount(broken.m_account);
  const auto named = [&](const GuaranteedShape& shape) { return shape.m_name == broken.m_shape; };
  if (account == nullptr || std::none_of(account->m_guarantees.begin(), account->m_guarantees.end(), named)) {
    return ReportViolation("guarantee-report", Text(broken.m_account) + "/" + broken.m_shape + " is unknown");
  }
  if (broken.m_remedy.empty()) ReportViolation("guarantee-report", "nothing is said on what would mend it");
  m_broken_guarantees.insert({broken.m_market, broken.m_account, broken.m_shape});
}

void Oracle::Check(const GuaranteeRestored& restored) {
  m_broken_guarantees.erase({restored.m_market, restored.m_account, restored.m_shape});
}

//-------------------------------------------------------------------------------------------------
// Rules that must hold after each event
//-------------------------------------------------------------------------------------------------

// A gang that has lost a part must have been told to stop.
void Oracle::CheckGangsWhole() {
  for (const auto& [id, job] : m_jobs) {
    const bool holds = job.m_phase == Phase::kStarting || job.m_phase == Phase::kRunning;
    if (holds && job.m_part_lost) ReportViolation("gang", Text(id) + " goes on without a part");
  }
}

bool Oracle::IsStoppable(const JobRecord& job) const {
  if (job.m_phase == Phase::kStopping) return true;  // It is being stopped already.
  const ClassOfWork* work = ClassOf(job);
  if (job.m_once) return false;
  return work == nullptr || work->m_preemptible || work->m_checkpointable;
}

std::vector<PackBlock> Oracle::GuaranteedBlocks(AccountIndices* accounts, bool with_broken) const {
  std::vector<PackBlock> blocks;
  for (const auto& [market_id, market] : m_markets) {
    for (const auto& [account_id, account] : market->m_accounts) {
      const int index = static_cast<int>(accounts->size());
      (*accounts)[{market_id, account_id}] = index;
      for (const GuaranteedShape& shape : account.m_guarantees) {
        if (!with_broken && m_broken_guarantees.contains({market_id, account_id, shape.m_name})) continue;
        const auto here = shape.m_blocks_by_domain.find(m_domain);
        const int count = here == shape.m_blocks_by_domain.end() ? 0 : here->second;
        blocks.insert(blocks.end(), count, PackBlock{index, shape.m_accelerators_per_block, shape.m_adjacency});
      }
    }
  }
  return blocks;
}

// Pinned accelerators are 0; the last entry of m_pinned is for accounts that are no longer configured.
PackWorker Oracle::WithoutPins(const WorkerRecord& record, const AccountIndices& accounts) const {
  return PackWorker{record.m_worker.m_rack.m_value, record.m_worker.m_rack_position,
                    record.m_worker.m_capacity.m_accelerators, std::vector<int>(accounts.size() + 1)};
}

void Oracle::CheckGuarantees() {
  AccountIndices accounts;
  const std::vector<PackBlock> blocks = GuaranteedBlocks(&accounts, false);
  std::vector<PackWorker> workers;
  for (const auto& [id, record] : m_workers) {
    if (!record.Usable()) continue;
    PackWorker worker = WithoutPins(record, accounts);
    for (const auto& [job_id, job] : m_jobs) {
      if (job.m_job.m_placements.empty() || IsStoppable(job)) continue;
      const auto account = accounts.find({job.m_job.m_spec.m_market, job.m_job.m_spec.m_account});
      const std::size_t index = account == accounts.end() ? accounts.size() : account->second;
      for (const Placement& at : job.m_job.m_placements) {
        if (at.m_worker == id) worker.m_pinned[index] += at.m_tasks * job.m_job.m_spec.m_shape.m_task.m_accelerators;
      }
    }
    workers.push_back(std::move(worker));
  }
  if (CanPackAll(workers, blocks)) return;
  std::ostringstream seen;
  for (const PackBlock& block : blocks) {
    seen << "block of " << block.m_accelerators << ' ' << ToString(block.m_adjacency) << " for " << block.m_account
         << "; ";
  }
  for (const PackWorker& worker : workers) {
    seen << worker.m_rack << " pinned";
    for (const int pinned : worker.m_pinned) seen << ' ' << pinned;
    seen << "; ";
  }
  ReportViolation("guarantee", "not all can be had at once: " + seen.str());
}

// Tries every placement on idle workers, beside all guarantees, including the broken ones.
bool Oracle::EverFitsBesideGuarantees(const JobSpec& spec) const {
  AccountIndices accounts;
  const std::vector<PackBlock> blocks = GuaranteedBlocks(&accounts, true);
  std::vector<PackWorker> workers;
  std::vector<const WorkerRecord*> records;
  for (const auto& [id, record] : m_workers) {
    if (!record.m_known) continue;
    workers.push_back(WithoutPins(record, accounts));
    records.push_back(&record);
  }
  if (!CanPackAll(workers, blocks)) return EverFits(spec.m_shape);  // Too few workers are known to decide.
  const int account = accounts.at({spec.m_market, spec.m_account});
  std::vector<Placement> placed;
  const std::function<bool(std::size_t, int)> place = [&](std::size_t at, int left) {
    if (!placed.empty() && !IsAdjacent(spec.m_shape, placed) &&
        spec.m_shape.m_adjacency != Adjacency::kNeighbourRacks) {
      return false;
    }
    if (left == 0) return IsAdjacent(spec.m_shape, placed) && CanPackAll(workers, blocks);
    if (at == workers.size()) return false;
    for (int tasks = left; tasks >= 0; --tasks) {
      if (!(spec.m_shape.m_task * tasks).FitsIn(records[at]->m_worker.m_capacity)) continue;
      workers[at].m_pinned[account] = tasks * spec.m_shape.m_task.m_accelerators;
      if (tasks > 0) placed.push_back({records[at]->m_worker.m_id, tasks});
      const bool found = place(at + 1, left - tasks);
      if (tasks > 0) placed.pop_back();
      workers[at].m_pinned[account] = 0;
      if (found) return true;
    }
    return false;
  };
  return place(0, spec.m_shape.m_tasks);
}

//-------------------------------------------------------------------------------------------------
// Helpers
//-------------------------------------------------------------------------------------------------

// False also for a job that was cancelled while it stopped and ended by this event: the scheduler may report either
// end.
bool Oracle::EndIsFinal(const JobRecord& job) const {
  return job.m_phase == Phase::kEnded && !m_just_cancelled.contains(job.m_job.m_id);
}

const ClassOfWork* Oracle::ClassOf(const JobRecord& job) const {
  const auto market = m_markets.find(job.m_job.m_spec.m_market);
  return market == m_markets.end() ? nullptr : market->second->FindClass(job.m_job.m_spec.m_class);
}

Resources Oracle::HeldOn(const WorkerId& worker) const {
  Resources held;
  for (const auto& [id, job] : m_jobs) {
    for (const Placement& at : job.m_job.m_placements) {
      if (at.m_worker == worker) held += job.m_job.m_spec.m_shape.m_task * at.m_tasks;
    }
  }
  return held;
}

bool Oracle::IsAdjacent(const GangShape& shape, const std::vector<Placement>& placements) const {
  std::set<RackId> racks;
  std::set<int> positions;
  for (const Placement& at : placements) {
    racks.insert(m_workers.at(at.m_worker).m_worker.m_rack);
    positions.insert(m_workers.at(at.m_worker).m_worker.m_rack_position);
  }
  switch (shape.m_adjacency) {
    case Adjacency::kWorker:
      return placements.size() == 1;
    case Adjacency::kRack:
      return racks.size() == 1;
    case Adjacency::kNeighbourRacks: {
      const int low = *positions.begin();
      const int high = *positions.rbegin();
      std::set<int> known;
      for (const auto& [id, worker] : m_workers) known.insert(worker.m_worker.m_rack_position);
      for (int position = low; position <= high; ++position) {
        if (!known.contains(position)) return false;
      }
      return high - low < kMaxNeighbourRacks;
    }
    case Adjacency::kAny:
      break;
  }
  return true;
}

// Whether it would fit if all known workers were idle.
bool Oracle::EverFits(const GangShape& shape) const {
  for (const auto& [first_id, first] : m_workers) {
    int tasks = 0;
    for (const auto& [id, other] : m_workers) {
      const std::vector<Placement> both{{first_id, 1}, {id, 1}};
      const bool same = id == first_id;
      if (!first.m_known || !other.m_known) continue;
      if (!same && (shape.m_adjacency == Adjacency::kWorker || !IsAdjacent(shape, both))) continue;
      const bool before = other.m_worker.m_rack_position < first.m_worker.m_rack_position;
      if (before && shape.m_adjacency == Adjacency::kNeighbourRacks) continue;
      int here = 0;
      while (here < shape.m_tasks && (shape.m_task * (here + 1)).FitsIn(other.m_worker.m_capacity)) ++here;
      tasks += here;
    }
    if (tasks >= shape.m_tasks) return true;
  }
  return false;
}

std::string Oracle::CheckAdmission(const JobSpec& spec, Instant now, const Result<Done, Refusal>& admitted) const {
  const auto market = m_markets.find(spec.m_market);
  const ClientAccount* account = market == m_markets.end() ? nullptr : market->second->FindAccount(spec.m_account);
  const ClassOfWork* work = market == m_markets.end() ? nullptr : market->second->FindClass(spec.m_class);
  const bool known = account != nullptr && work != nullptr;
  if (!known) return Ok(admitted) ? "admission: accepted for an unknown market, account or class" : "";
  const auto of_account = [&](const auto& entry) {
    return entry.second.m_job.m_spec.m_market == spec.m_market &&
           entry.second.m_job.m_spec.m_account == spec.m_account && entry.second.m_phase == Phase::kWaiting;
  };
  const auto waiting = std::count_if(m_jobs.begin(), m_jobs.end(), of_account);
  const bool full = account->m_max_waiting_jobs > 0 && waiting >= account->m_max_waiting_jobs;
  const bool over = account->m_max_accelerators > 0 && spec.m_shape.Accelerators() > account->m_max_accelerators;
  const bool late = spec.m_deadline.m_ms != 0 && spec.m_deadline <= now;
  if (!m_guarantees && !Ok(admitted) && std::holds_alternative<NeverFits>(ErrorOf(admitted))) return "";
  const bool stoppable = !RunsOnce(spec, *work) && (work->m_preemptible || work->m_checkpointable);
  // Until a worker has joined a new scheduler, it can't know that a job is too large and must not refuse it as such.
  const bool none_known =
      std::none_of(m_workers.begin(), m_workers.end(), [](const auto& entry) { return entry.second.m_known; });
  const bool fits =
      none_known || (stoppable || !m_guarantees ? EverFits(spec.m_shape) : EverFitsBesideGuarantees(spec));
  const bool should = !full && !over && !late && fits;
  if (should == Ok(admitted)) return "";
  return should ? "admission: refused what could run" : "admission: accepted what can never run or is over a limit";
}

}  // namespace hickoryquay::test
