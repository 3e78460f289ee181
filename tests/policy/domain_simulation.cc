#include "tests/policy/domain_simulation.h"

#include <algorithm>
#include <array>

namespace hickoryquay::test {

using namespace policy;  // NOLINT(google-build-using-namespace): the whole file uses that interface.

namespace {

const DomainId kDomain{"d1"};
constexpr int kAcceleratorsPerWorker = 4;
constexpr int kMillicoresPerAccelerator = 1'000;
constexpr int kMemoryMbPerAccelerator = 1'000;
constexpr Millis kStep{500};
constexpr Millis kReclaimLimit{30'000};
constexpr Millis kLongTick{60'000};
constexpr int kDrainRounds = 400;
constexpr int kAnswerAfterRounds = 3;  // While guarantees are called on, starts and stops are answered only this often.

Worker MakeWorker(const std::string& id, const std::string& rack, int position) {
  Worker worker;
  worker.m_id = WorkerId{id};
  worker.m_domain = kDomain;
  worker.m_rack = RackId{rack};
  worker.m_rack_position = position;
  worker.m_capacity = Resources{kAcceleratorsPerWorker, kAcceleratorsPerWorker * kMillicoresPerAccelerator,
                                kAcceleratorsPerWorker * kMemoryMbPerAccelerator};
  return worker;
}

// Two neighbouring racks of two workers each, and a third rack of one that is no neighbour of them.
std::vector<Worker> MakeWorkers() {
  return {MakeWorker("a1", "ra", 0), MakeWorker("a2", "ra", 0), MakeWorker("b1", "rb", 1), MakeWorker("b2", "rb", 1),
          MakeWorker("c1", "rc", 3)};
}

ClassOfWork MakeClass(const std::string& id, int urgency, bool repeatable, bool checkpointable, bool preemptible) {
  ClassOfWork work;
  work.m_id = ClassId{id};
  work.m_urgency = urgency;
  work.m_repeatable = repeatable;
  work.m_checkpointable = checkpointable;
  work.m_preemptible = preemptible;
  return work;
}

const std::array<ClassOfWork, 6> kClasses = {
    MakeClass("urgent", 0, true, false, true), MakeClass("once", 4, false, false, true),
    MakeClass("kept", 5, true, true, true),    MakeClass("soft", 7, true, false, true),
    MakeClass("hard", 6, true, false, false),  MakeClass("kept-only", 6, true, true, false)};

GuaranteedShape MakeGuarantee(const std::string& name, int blocks, int accelerators, Adjacency adjacency) {
  GuaranteedShape shape;
  shape.m_name = name;
  shape.m_blocks = blocks;
  shape.m_accelerators_per_block = accelerators;
  shape.m_adjacency = adjacency;
  shape.m_blocks_by_domain[kDomain] = blocks;
  return shape;
}

void AddAccount(Market* market, const std::string& id, std::vector<GuaranteedShape> guarantees) {
  ClientAccount account;
  account.m_id = AccountId{id};
  account.m_guarantees = std::move(guarantees);
  market->m_accounts[account.m_id] = std::move(account);
}

// Variants of the configuration of two markets; kChangeMarket switches between them.
constexpr unsigned kVariants = 5;
Market MakeMarket(unsigned which, unsigned variant) {
  Market market;
  market.m_id = MarketId{which == 0 ? "m1" : "m2"};
  market.m_version = Version{variant + 1};
  market.m_domains = {kDomain};
  market.m_completion_weight = which == 0 ? 0.9 : 0.4;
  for (const ClassOfWork& work : kClasses) market.m_classes[work.m_id] = work;
  if (which == 1) {
    AddAccount(&market, "other", {MakeGuarantee("one", variant % 2 == 0 ? 1 : 0, 2, Adjacency::kWorker)});
    AddAccount(&market, "open", {});
    return market;
  }
  const int rack_block = variant == 1 ? 4 : variant == 2 ? 8 : 6;
  const Adjacency adjacency = variant == 3 ? Adjacency::kNeighbourRacks : Adjacency::kRack;
  AddAccount(&market, "large", {MakeGuarantee("rack", 1, rack_block, adjacency)});
  AddAccount(&market, "small", {MakeGuarantee("pair", variant == 4 ? 3 : 2, 2, Adjacency::kWorker)});
  AddAccount(&market, "open", {});
  AddAccount(&market, "tight", {});
  market.m_accounts[AccountId{"tight"}].m_max_accelerators = 4;
  market.m_accounts[AccountId{"tight"}].m_max_waiting_jobs = 3;
  return market;
}

struct ShapeRow {
  int m_tasks;
  int m_accelerators;
  int m_millicores;  // Of each task.
  Adjacency m_adjacency;
};
constexpr std::array<ShapeRow, 13> kShapes = {{{1, 1, 1'000, Adjacency::kAny},
                                               {1, 1, 100, Adjacency::kAny},
                                               {1, 2, 2'000, Adjacency::kWorker},
                                               {1, 4, 4'000, Adjacency::kWorker},
                                               {2, 2, 2'000, Adjacency::kRack},
                                               {4, 1, 1'000, Adjacency::kRack},
                                               {2, 4, 2'000, Adjacency::kRack},
                                               {3, 2, 1'000, Adjacency::kNeighbourRacks},
                                               {5, 2, 2'000, Adjacency::kAny},
                                               {4, 4, 4'000, Adjacency::kNeighbourRacks},
                                               {2, 0, 1'500, Adjacency::kAny},
                                               {1, 1, 4'000, Adjacency::kAny},
                                               {3, 4, 1'000, Adjacency::kRack}}};  // Never fits.

JobSpec MakeSpec(const MarketId& market, const AccountId& account, const ClassId& work, const ShapeRow& row) {
  JobSpec spec;
  spec.m_market = market;
  spec.m_account = account;
  spec.m_class = work;
  spec.m_shape.m_tasks = row.m_tasks;
  spec.m_shape.m_task = Resources{row.m_accelerators, row.m_millicores, row.m_millicores};
  spec.m_shape.m_adjacency = row.m_adjacency;
  spec.m_declared_run = Millis{60'000};
  return spec;
}

// The job's row as stored: it doesn't show a pending stop.
Job RowOf(const JobRecord& job) {
  Job row = job.m_job;
  if (job.m_phase == Phase::kWaiting) return row;
  row.m_state = job.m_phase == Phase::kRunning ? JobState::kRunning : JobState::kStarting;
  row.m_placements = job.m_last_placements;
  return row;
}

template <typename T>
const T& Pick(const std::vector<T>& from, unsigned which) {
  return from[which % from.size()];
}

}  // namespace

std::ostream& operator<<(std::ostream& out, const Command& command) {
  static constexpr const char* kNames[] = {"Submit",     "SubmitMany", "Started", "AllStarted", "StartFailed",
                                           "TaskFailed", "Finished",   "Stopped", "Cancel",     "CancelAccount",
                                           "Lose",       "Rejoin",     "Leave",   "Quarantine", "Usage",
                                           "Tick",       "Change",     "Drop",    "Repeat",     "Rebuild"};
  return out << kNames[static_cast<int>(command.m_kind)] << '(' << command.m_a << ',' << command.m_b << ','
             << command.m_c << ')';
}

DomainSimulation::DomainSimulation(SchedulerFactory make, bool guarantees)
    : m_factory(std::move(make)),
      m_guarantees(guarantees),
      m_scheduler(m_factory(kDomain)),
      m_oracle(kDomain, guarantees) {
  for (const Worker& worker : MakeWorkers()) ApplyEvent(WorkerJoined{worker});
  for (unsigned which : {0U, 1U}) ApplyEvent(MarketChanged{std::make_shared<const Market>(MakeMarket(which, 0))});
}

std::string DomainSimulation::ApplyEvent(const Event& event) {
  return m_oracle.Observe(event, m_scheduler->Apply(event, m_now));
}

std::string DomainSimulation::Run(const Command& command) {
  using Kind = Command::Kind;
  const unsigned a = command.m_a;
  const unsigned b = command.m_b;
  const unsigned c = command.m_c;
  m_now = m_now + kStep;
  switch (command.m_kind) {
    case Kind::kSubmit:
      return Submit(a, b, c);
    case Kind::kSubmitMany: {
      std::string verdict;
      for (unsigned i = 0; i < 8 && verdict.empty(); ++i) verdict = Submit(a, b, c % 3);
      return verdict;
    }
    case Kind::kStarted: {
      const std::vector<JobId> jobs = m_oracle.JobsIn(Phase::kStarting);
      return jobs.empty() ? "" : Start(Pick(jobs, a));
    }
    case Kind::kAllStarted: {
      std::string verdict;
      for (const JobId id : m_oracle.JobsIn(Phase::kStarting)) {
        if (verdict.empty() && m_oracle.Jobs().at(id).m_phase == Phase::kStarting) verdict = Start(id);
      }
      return verdict;
    }
    case Kind::kStartFailed:
      return FailStart(a, b);
    case Kind::kTaskFailed:
      return FailTask(a, b);
    case Kind::kFinished:
      return Finish(a);
    case Kind::kStopped: {
      const std::vector<JobId> jobs = m_oracle.JobsIn(Phase::kStopping);
      return jobs.empty() ? "" : Stop(Pick(jobs, a), b % 4 != 0);
    }
    case Kind::kCancel: {
      std::vector<JobId> jobs;
      for (const auto& [id, job] : m_oracle.Jobs()) {
        if (job.m_phase != Phase::kEnded) jobs.push_back(id);
      }
      return jobs.empty() ? "" : ApplyEvent(JobCancelled{Pick(jobs, a)});
    }
    case Kind::kCancelAccount:
      return CancelAccount(a);
    case Kind::kLose: {
      const WorkerRecord* worker = PickWorker(a, true);
      return worker == nullptr ? "" : ApplyEvent(WorkerLost{worker->m_worker.m_id});
    }
    case Kind::kRejoin: {
      const WorkerRecord* worker = PickWorker(a, b % 4 == 0);  // Sometimes a worker that was never lost.
      return worker == nullptr || worker->m_leaving ? "" : ApplyEvent(WorkerJoined{Worker(worker->m_worker)});
    }
    case Kind::kLeave: {
      const WorkerRecord* worker = PickWorker(a, true);
      return worker == nullptr ? "" : ApplyEvent(WorkerLeaving{worker->m_worker.m_id});
    }
    case Kind::kQuarantine: {
      const WorkerRecord* worker = PickWorker(a, true);
      if (worker == nullptr) return "";
      const WorkerId id = worker->m_worker.m_id;
      std::erase(m_operator_quarantines, id);
      if (b % 2 == 0) m_operator_quarantines.push_back(id);
      return ApplyEvent(WorkerQuarantineSet{id, b % 2 == 0});
    }
    case Kind::kUsage:
      return ReportUsage(a, b);
    case Kind::kTick:
      m_now = m_now + (a % 4 == 0 ? kLongTick : Millis{1'000});
      return ApplyEvent(Tick{});
    case Kind::kChangeMarket:
      return ChangeMarket(a % kVariants, b % 2);
    case Kind::kDropMarket:
      return ApplyEvent(MarketDropped{MarketId{a % 2 == 0 ? "m1" : "m2"}});
    case Kind::kRepeat:
      return Repeat(a);
    case Kind::kRebuild:
      return Rebuild();
    case Kind::kCount:
      break;
  }
  return "";
}

//-------------------------------------------------------------------------------------------------
// Jobs
//-------------------------------------------------------------------------------------------------

std::string DomainSimulation::Submit(unsigned account, unsigned work, unsigned shape) {
  static const std::vector<std::pair<std::string, std::string>> accounts = {
      {"m1", "large"}, {"m1", "small"}, {"m1", "open"}, {"m1", "tight"},
      {"m2", "other"}, {"m2", "open"},  {"m1", "open"}, {"m2", "nobody"}};
  const auto& [market, name] = Pick(accounts, account);
  const ClassOfWork& chosen = kClasses[work % kClasses.size()];
  return SubmitSpec(MakeSpec(MarketId{market}, AccountId{name}, chosen.m_id, kShapes[shape % kShapes.size()]));
}

std::string DomainSimulation::SubmitSpec(JobSpec spec) {
  const auto admitted = m_scheduler->Admit(spec, m_now);
  std::string verdict = m_oracle.CheckAdmission(spec, m_now, admitted);
  if (!verdict.empty() && m_count_wrong_admissions) {
    ++m_wrong_admissions;
    return "";
  }
  if (!verdict.empty() || !Ok(admitted)) return verdict;
  Job job;
  job.m_id = JobId{++m_last_job};
  job.m_spec = std::move(spec);
  job.m_domain = kDomain;
  job.m_accepted = m_now;
  m_past_events.emplace_back(JobSubmitted{job});
  return ApplyEvent(JobSubmitted{job});
}

std::string DomainSimulation::Start(JobId id) {
  const GangStarted event{id, m_oracle.Jobs().at(id).m_job.m_attempt};
  m_past_events.emplace_back(event);
  return ApplyEvent(event);
}

std::string DomainSimulation::FailStart(unsigned which, unsigned how) {
  std::vector<JobId> jobs = m_oracle.JobsIn(Phase::kStarting);
  for (const JobId id : m_oracle.JobsIn(Phase::kStopping)) {
    if (!m_oracle.Jobs().at(id).m_started) jobs.push_back(id);
  }
  if (jobs.empty()) return "";
  const JobRecord& job = m_oracle.Jobs().at(Pick(jobs, which));
  GangStartFailed event{job.m_job.m_id, job.m_job.m_attempt, {}, how % 3 == 0};
  if (how % 2 == 0) event.m_failed_worker = Pick(job.m_job.m_placements, how / 6).m_worker;
  m_past_events.emplace_back(event);
  return ApplyEvent(event);
}

std::string DomainSimulation::FailTask(unsigned which, unsigned part) {
  const std::vector<JobId> jobs = m_oracle.JobsIn(Phase::kRunning);
  if (jobs.empty()) return "";
  const JobRecord& job = m_oracle.Jobs().at(Pick(jobs, which));
  const TaskFailed event{job.m_job.m_id, job.m_job.m_attempt, Pick(job.m_job.m_placements, part).m_worker, "exit 1"};
  m_past_events.emplace_back(event);
  return ApplyEvent(event);
}

// Finishes a running job, or one whose stop came too late.
std::string DomainSimulation::Finish(unsigned which) {
  std::vector<JobId> jobs = m_oracle.JobsIn(Phase::kRunning);
  for (const JobId id : m_oracle.JobsIn(Phase::kStopping)) {
    const JobRecord& job = m_oracle.Jobs().at(id);
    if (job.m_started && !job.m_part_lost) jobs.push_back(id);
  }
  if (jobs.empty()) return "";
  const GangFinished event{Pick(jobs, which), m_oracle.Jobs().at(Pick(jobs, which)).m_job.m_attempt};
  m_past_events.emplace_back(event);
  return ApplyEvent(event);
}

std::string DomainSimulation::Stop(JobId id, bool as_asked) {
  const JobRecord& job = m_oracle.Jobs().at(id);
  const GangStopped event{id, job.m_job.m_attempt, as_asked && job.m_checkpoint && job.m_started};
  m_past_events.emplace_back(event);
  return ApplyEvent(event);
}

std::string DomainSimulation::CancelAccount(unsigned which) {
  static const std::vector<std::string> names = {"large", "small", "open", "tight", "other"};
  std::vector<JobId> cancelled;
  for (const auto& [id, job] : m_oracle.Jobs()) {
    if (job.m_phase != Phase::kEnded && job.m_job.m_spec.m_account.m_value == Pick(names, which))
      cancelled.push_back(id);
  }
  std::string verdict;
  for (const JobId id : cancelled) {
    if (verdict.empty()) verdict = ApplyEvent(JobCancelled{id});
  }
  return verdict;
}

// Applies a past event about an attempt that is over, as a late or repeated one.
std::string DomainSimulation::Repeat(unsigned which) {
  const auto stale = [this](JobId id, Attempt attempt) {
    const JobRecord& job = m_oracle.Jobs().at(id);
    const bool holds = job.m_phase != Phase::kWaiting && job.m_phase != Phase::kEnded;
    return !holds || job.m_job.m_attempt != attempt;
  };
  if (m_past_events.empty()) return "";
  const Event event = Pick(m_past_events, which);
  const bool is_repeat = std::visit(
      Overloaded{[](const JobSubmitted&) { return true; }, [](const GangStarted&) { return true; },
                 [&](const GangStartFailed& e) { return stale(e.m_job, e.m_attempt); },
                 [&](const TaskFailed& e) { return stale(e.m_job, e.m_attempt); },
                 [&](const GangFinished& e) { return stale(e.m_job, e.m_attempt); },
                 [&](const GangStopped& e) { return stale(e.m_job, e.m_attempt); }, [](const auto&) { return false; }},
      event);
  // Answers other than GangStarted are left out while their attempt holds accelerators: they would be new events.
  return is_repeat ? ApplyEvent(event) : "";
}

//-------------------------------------------------------------------------------------------------
// Workers, markets, placers
//-------------------------------------------------------------------------------------------------

const WorkerRecord* DomainSimulation::PickWorker(unsigned which, bool up) const {
  std::vector<const WorkerRecord*> found;
  for (const auto& [id, worker] : m_oracle.Workers()) {
    if (worker.m_up == up) found.push_back(&worker);
  }
  return found.empty() ? nullptr : Pick(found, which);
}

std::string DomainSimulation::ReportUsage(unsigned which, unsigned size) {
  const WorkerRecord* worker = PickWorker(which, true);
  if (worker == nullptr) return "";
  UsageReported report{worker->m_worker.m_id, {}};
  for (const auto& [id, job] : m_oracle.Jobs()) {
    const bool runs = job.m_phase == Phase::kRunning || job.m_phase == Phase::kStopping;
    if (!runs && (size / 3) % 5 != 0) continue;  // Sometimes includes jobs that are gone: reports lag behind.
    Resources used = job.m_job.m_spec.m_shape.m_task;
    used.m_millicores = used.m_millicores * (size % 20 + 1) / 4;
    used.m_memory_mb = used.m_memory_mb * (size % 7 + 1) / 3;
    report.m_tasks.push_back(TaskUsage{id, used});
  }
  return ApplyEvent(report);
}

std::string DomainSimulation::ChangeMarket(unsigned variant, unsigned which) {
  const Market market = MakeMarket(which, variant);
  if (m_guarantees) {
    const auto checked = m_scheduler->CheckMarket(market);
    if (!Ok(checked)) {
      const UnsatisfiableGuarantee& why = ErrorOf(checked);
      const bool named = !why.m_account.Empty() && !why.m_shape.empty() && !why.m_why.empty();
      return named ? "" : "market: refused without naming the account and the shape";
    }
  }
  return ApplyEvent(MarketChanged{std::make_shared<const Market>(market)});
}

// Replaces the scheduler as a new placer does: it gets the configuration, the workers that answer and the rows; then
// the workers that are lost.
std::string DomainSimulation::Rebuild() {
  m_scheduler = m_factory(kDomain);
  m_oracle.OnTakeover();
  std::erase_if(m_past_events, [](const Event& event) { return std::holds_alternative<JobSubmitted>(event); });
  const auto workers = m_oracle.Workers();
  const auto jobs = m_oracle.Jobs();
  Decisions all;  // Checked together: the state is incomplete until every row is restored.
  const auto apply = [&](const Event& event) {
    for (Decision& decision : m_scheduler->Apply(event, m_now)) all.push_back(std::move(decision));
  };
  for (const auto& [id, market] : m_oracle.Markets()) apply(MarketChanged{market});
  for (const auto& [id, worker] : workers) {
    if (worker.m_up) apply(WorkerJoined{worker.m_worker});
    if (worker.m_up && worker.m_leaving) apply(WorkerLeaving{id});
  }
  for (const WorkerId& id : m_operator_quarantines) apply(WorkerQuarantineSet{id, true});
  for (const auto& [id, job] : jobs) {
    if (job.m_phase != Phase::kEnded) apply(JobRestored{RowOf(job)});
  }
  for (const char* market : {"m1", "m2"}) {
    if (!m_oracle.Markets().contains(MarketId{market})) apply(MarketDropped{MarketId{market}});
  }
  for (const auto& [id, worker] : workers) {
    if (!worker.m_up) apply(WorkerLost{id});
  }
  for (const auto& [id, job] : jobs) {
    const bool holds = job.m_phase != Phase::kEnded && job.m_phase != Phase::kWaiting;
    if (job.m_cancelled && job.m_phase != Phase::kEnded) apply(JobCancelled{id});
    if (holds && job.m_part_lost)
      apply(TaskFailed{id, job.m_job.m_attempt, job.m_last_placements.front().m_worker, "lost"});
  }
  return m_oracle.Observe(Tick{}, all);
}

//-------------------------------------------------------------------------------------------------
// Ends
//-------------------------------------------------------------------------------------------------

std::vector<JobId> DomainSimulation::Holding() const {
  std::vector<JobId> ids;
  for (const auto& [id, job] : m_oracle.Jobs()) {
    if (job.m_phase != Phase::kWaiting && job.m_phase != Phase::kEnded) ids.push_back(id);
  }
  return ids;
}

std::string DomainSimulation::AnswerAll(bool finish) {
  std::string verdict;
  for (const JobId id : Holding()) {
    const JobRecord& job = m_oracle.Jobs().at(id);
    if (!verdict.empty()) return verdict;
    if (job.m_phase == Phase::kStarting)
      verdict = Start(id);
    else if (job.m_phase == Phase::kStopping)
      verdict = Stop(id, true);
    else if (job.m_phase == Phase::kRunning && finish)
      verdict = ApplyEvent(GangFinished{id, job.m_job.m_attempt});
  }
  return verdict;
}

std::string DomainSimulation::RestoreWorkers() {
  std::string verdict;
  const auto apply = [&](const Event& event) {
    if (verdict.empty()) verdict = ApplyEvent(event);
  };
  const auto workers = m_oracle.Workers();
  for (const auto& [id, worker] : workers) {
    if (worker.m_leaving) apply(WorkerLost{id});
    if (worker.m_leaving || !worker.m_up) apply(WorkerJoined{worker.m_worker});
    apply(WorkerQuarantineSet{id, false});
  }
  m_operator_quarantines.clear();
  for (int round = 0; round < 4 && verdict.empty(); ++round) {
    m_now = m_now + Millis{1'000};
    verdict = AnswerAll(false);
    apply(Tick{});
  }
  return verdict;
}

std::string DomainSimulation::CancelGuaranteedJobs() {
  std::vector<JobId> cancelled;
  for (const auto& [id, job] : m_oracle.Jobs()) {
    const JobSpec& spec = job.m_job.m_spec;
    const auto market = m_oracle.Markets().find(spec.m_market);
    const ClientAccount* account =
        market == m_oracle.Markets().end() ? nullptr : market->second->FindAccount(spec.m_account);
    if (job.m_phase != Phase::kEnded && account != nullptr && !account->m_guarantees.empty()) cancelled.push_back(id);
  }
  std::string verdict;
  for (const JobId id : cancelled) {
    if (verdict.empty()) verdict = ApplyEvent(JobCancelled{id});
  }
  return verdict.empty() ? AnswerAll(false) : verdict;
}

// Cancels the jobs of accounts with guarantees, then calls on all their blocks at once. Stops are answered late.
std::string DomainSimulation::CallAllGuarantees() {
  std::string verdict = CancelGuaranteedJobs();
  const std::uint64_t before = m_last_job;
  for (const auto& [market_id, market] : std::map(m_oracle.Markets())) {
    for (const auto& [account_id, account] : market->m_accounts) {
      for (const GuaranteedShape& shape : account.m_guarantees) {
        if (m_oracle.BrokenGuarantees().contains({market_id, account_id, shape.m_name})) continue;
        const ShapeRow row{shape.m_accelerators_per_block, 1, kMillicoresPerAccelerator, shape.m_adjacency};
        for (int i = 0; i < shape.m_blocks && verdict.empty(); ++i) {
          verdict = SubmitSpec(MakeSpec(market_id, account_id, ClassId{"kept"}, row));
        }
      }
    }
  }
  const Instant limit = m_now + kReclaimLimit;
  for (int round = 1; m_now < limit && verdict.empty(); ++round) {
    m_now = m_now + Millis{1'000};
    if (round % kAnswerAfterRounds == 0) verdict = AnswerAll(false);
    if (verdict.empty()) verdict = ApplyEvent(Tick{});
  }
  if (!verdict.empty()) return verdict;
  for (const auto& [id, job] : m_oracle.Jobs()) {
    const bool called = Raw(id) > before && job.m_phase != Phase::kEnded;
    if (!called || job.m_phase == Phase::kRunning || job.m_phase == Phase::kStarting) continue;
    return "reclaim: " + ToString(id) + " of " + job.m_job.m_spec.m_account.m_value + " has not started in time, " +
           m_scheduler->Explain(id, m_now).m_why;
  }
  return "";
}

std::string DomainSimulation::RunToCompletion() {
  std::string verdict;
  for (int round = 0; round < kDrainRounds && verdict.empty(); ++round) {
    m_now = m_now + Millis{5'000};
    verdict = AnswerAll(true);
    for (const auto& [id, worker] : m_oracle.Workers()) {
      if (verdict.empty()) verdict = ApplyEvent(UsageReported{id, {}});
    }
    if (verdict.empty()) verdict = ApplyEvent(Tick{});
  }
  if (!verdict.empty()) return verdict;
  for (const auto& [id, job] : m_oracle.Jobs()) {
    if (job.m_phase == Phase::kEnded) continue;
    return "forgotten: " + ToString(id) + " has not ended, " + m_scheduler->Explain(id, m_now).m_why;
  }
  const bool restored = m_oracle.BrokenGuarantees().empty();
  return !m_guarantees || restored ? "" : "guarantee-report: still broken in an empty, whole domain";
}

}  // namespace hickoryquay::test
