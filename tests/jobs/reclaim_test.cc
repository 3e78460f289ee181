// Guarantees are reclaimed in time: a job of priority 0 within its account's guarantee begins within the bound,
// whatever else fills the workers. One test for each way in which the bound was missed.

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "hickoryquay/jobs/scheduler.h"
#include "hickoryquay/store/row_store.h"

namespace hickoryquay::jobs {
namespace {

constexpr Millis kTick{10};
constexpr Millis kEstimate{20'000};  // Of all tasks. They run until they are stopped.
constexpr Millis kShortStop{200};
constexpr Millis kLongStop{900};
const PoolName kPool{"pool"};
const AccountId kOwner{"owner"};
const AccountId kOther{"other"};

// Time within which a guaranteed unit begins, by the time that a stop takes: the bounds of the two deployments.
Millis Bound(Millis stop) {
  return stop == kShortStop ? Millis{2'700} : Millis{3'400};
}

struct FakeWorker {
  struct Run {
    Instant m_began;
    std::optional<Instant> m_ends;
  };
  std::map<std::pair<TaskKey, RunNumber>, Run> m_runs;
  std::vector<EndedTask> m_ends;
  std::int64_t m_number = 0;
  bool m_slow = false;           // Its runs make no progress.
  bool m_refuses = false;        // It refuses starts.
  bool m_ignores_stops = false;  // Nor does it answer them.
};

// The scheduler with workers in virtual time. Rows are stored at once, workers are polled on each tick, and lower
// priorities may fill all workers.
class Rig {
 public:
  explicit Rig(Millis stop) : m_stop(stop) {
    SchedulerSettings settings;
    settings.m_preemption.m_stop_timeout = stop;
    settings.m_min_free_share = settings.m_min_free_share_batch = settings.m_min_free_share_tight = 0.0;
    m_scheduler = std::make_unique<Scheduler>(settings);
  }

  void Guarantee(int owner, int other) {
    auto configuration = std::make_shared<QueueConfiguration>();
    configuration->m_accounts = {{kOwner, {}, owner}, {kOther, {}, other}};
    m_scheduler->SetConfiguration(configuration);
  }

  std::vector<GuaranteeStart> TakeGuaranteeStarts() { return m_scheduler->TakeGuaranteeStarts(); }

  FakeWorker& AddWorker(const std::string& name, const std::string& rack = "r") {
    WorkerEntry entry;
    entry.m_id = WorkerId{name};
    entry.m_pool = kPool;
    entry.m_rack = rack;
    entry.m_address = "10.0.0.1:80";
    entry.m_capacity = Resources{8, 64'000, 64'000};
    m_scheduler->OnWorkerListed(entry, Time());
    m_scheduler->SetWorkerUsable(entry.m_id, true);
    return m_workers[entry.m_id];
  }

  static AcceptedJob Job(int id, const AccountId& account, int priority, int tasks, int accelerators) {
    AcceptedJob job;
    job.m_id = JobId{static_cast<std::uint64_t>(id)};
    job.m_pool = kPool;
    job.m_account = account;
    job.m_priority = priority;
    job.m_stretch = 1.5;
    StepSpec step;
    step.m_tasks = tasks;
    step.m_task = Resources{accelerators, 1'000 * accelerators, 1'000};
    step.m_estimate = kEstimate;
    job.m_request.m_steps = {step};
    return job;
  }

  void Submit(AcceptedJob job, Millis clock_ahead = Millis{0}) {
    job.m_accepted = Time().m_wall + clock_ahead;
    m_scheduler->OnJob(job, Time());
  }

  void Run(Millis span) {
    for (const Instant end = m_now + span; m_now < end; m_now = m_now + kTick) Tick();
  }

  // Milliseconds until `tasks` tasks of the job run at the same time; more than `limit` if that does not happen by
  // then.
  Millis UntilBegun(int job, int tasks, Millis limit) {
    const Instant from = m_now;
    while (Running(job) < tasks && m_now - from <= limit) Run(kTick);
    return m_now - from;
  }

  void Cancel(int job) { m_scheduler->OnCancel(JobId{static_cast<std::uint64_t>(job)}, Time()); }

  int Running(int job) const {
    int running = 0;
    for (const auto& [id, worker] : m_workers) {
      for (const auto& [key, run] : worker.m_runs) running += Raw(key.first.m_step.m_job) == static_cast<unsigned>(job);
    }
    return running;
  }

  Scheduler& Get() { return *m_scheduler; }
  Now Time() const { return {m_now, m_now}; }
  FakeWorker& Worker(const std::string& name) { return m_workers.at(WorkerId{name}); }
  std::string WorkerOf(int job) const {
    for (const auto& [id, worker] : m_workers) {
      for (const auto& [key, run] : worker.m_runs) {
        if (Raw(key.first.m_step.m_job) == static_cast<unsigned>(job)) return id.m_value;
      }
    }
    return {};
  }

 private:
  void Tick() {
    for (auto& [id, worker] : m_workers) Poll(id, &worker);
    m_scheduler->Decide(Time());
    const Batch batch = m_scheduler->TakeBatch(store::kMaxTransactionRows, store::kMaxTransactionBytes);
    for (const StartCommand& start : batch.m_starts) {
      if (!m_scheduler->MaySend(start)) continue;
      FakeWorker& worker = m_workers[start.m_worker];
      m_scheduler->OnStartSent(start, Time());
      if (!worker.m_refuses) worker.m_runs[{start.m_task, start.m_run}] = {m_now, std::nullopt};
      m_scheduler->OnStartAnswer(start, worker.m_refuses ? StartOutcome::kUnhealthy : StartOutcome::kAccepted, Time());
    }
    for (const StopCommand& stop : m_scheduler->TakeStops(Time())) {
      FakeWorker& worker = m_workers[stop.m_worker];
      const auto run = worker.m_runs.find({stop.m_task, stop.m_run});
      if (!worker.m_ignores_stops && run != worker.m_runs.end() && !run->second.m_ends)
        run->second.m_ends = m_now + m_stop;
      const auto outcome = worker.m_ignores_stops ? StopOutcome::kNoAnswer : StopOutcome::kStopping;
      m_scheduler->OnStopAnswer(stop, outcome, Time());
    }
  }

  void Poll(const WorkerId& id, FakeWorker* worker) {
    PollReply reply;
    for (auto run = worker->m_runs.begin(); run != worker->m_runs.end();) {
      const auto& [key, state] = *run;
      if (state.m_ends && *state.m_ends <= m_now) {
        reply.m_ended.push_back({++worker->m_number, key.first, key.second, EndKind::kStopped, {}});
        run = worker->m_runs.erase(run);
        continue;
      }
      const auto percent =
          static_cast<int>(std::min<std::int64_t>(100, 100 * (m_now - state.m_began).count() / kEstimate.count()));
      reply.m_running.push_back({key.first, key.second, {}, worker->m_slow ? 0 : percent});
      ++run;
    }
    m_scheduler->OnPollReply(id, reply, m_now - Millis{1}, Time());
  }

  Millis m_stop;
  Instant m_now{1'000'000};
  std::unique_ptr<Scheduler> m_scheduler;
  std::map<WorkerId, FakeWorker> m_workers;
};

constexpr int kTaskAccelerators = 4;  // All tasks are alike, so that protected work leaves no unusable remainders.
constexpr int kGuarantee = 12;        // Of each of two accounts, of 40 accelerators.

// Lending, bursts, cancels, a slow worker, a worker that refuses starts, and stops under way, in random order. Checks
// on each tick that the urgent jobs of an account whose jobs are within its guarantee have begun within the bound.
class Sequence {
 public:
  explicit Sequence(Millis stop) : m_bound(Bound(stop)), m_rig(stop) {
    m_rig.Guarantee(kGuarantee, kGuarantee);
    for (int i = 0; i < 5; ++i) m_rig.AddWorker("w" + std::to_string(i), "r" + std::to_string(i / 3));
  }

  void Act(int action, int argument) {
    const bool owner = argument % 2 == 0;
    const int tasks = 1 + argument / 2 % 3;
    switch (action) {
      case 0:
      case 1:
        Submit(owner, 0, tasks, argument % 5 == 0);
        break;
      case 2:
        Submit(owner, 1 + argument % 2, 2 * tasks, false);
        break;
      case 3:
        if (!m_urgent.empty()) Cancel(std::next(m_urgent.begin(), argument % static_cast<int>(m_urgent.size()))->first);
        break;
      case 4:
        for (int i = 0; i < 5; ++i) m_rig.Worker("w" + std::to_string(i)).m_slow = argument % 6 == i;
        break;
      case 5:
        for (int i = 0; i < 5; ++i) m_rig.Worker("w" + std::to_string(i)).m_refuses = argument % 6 == i;
        break;
      default:
        for (int i = 0; i < 10 * argument; ++i) Tick();
    }
  }

  void Tick() {
    m_rig.Run(kTick);
    std::map<bool, int> needed;
    for (const auto& [id, job] : m_urgent) needed[job.m_owner] += job.m_tasks * kTaskAccelerators;
    for (auto& [id, job] : m_urgent) {
      job.m_begun = job.m_begun || m_rig.Running(id) == job.m_tasks;
      if (needed[job.m_owner] > kGuarantee) job.m_covered_since = m_rig.Time().m_steady;
      if (!job.m_begun && m_rig.Time().m_steady - job.m_covered_since > m_bound) m_late.insert(id);
    }
  }

  const std::set<int>& Late() const { return m_late; }

 private:
  struct Urgent {
    bool m_owner = false;
    int m_tasks = 0;
    bool m_begun = false;
    Instant m_covered_since;
  };

  void Submit(bool owner, int priority, int tasks, bool gang) {
    const int id = ++m_last;
    AcceptedJob job = Rig::Job(id, owner ? kOwner : kOther, priority, tasks, kTaskAccelerators);
    job.m_request.m_steps[0].m_gang = job.m_request.m_steps[0].m_rack_local = gang;
    m_rig.Submit(job);
    if (priority == 0) m_urgent[id] = {owner, tasks, false, m_rig.Time().m_steady};
  }

  void Cancel(int id) {
    m_rig.Cancel(id);
    m_urgent.erase(id);
  }

  Millis m_bound;
  Rig m_rig;
  int m_last = 0;
  std::map<int, Urgent> m_urgent;
  std::set<int> m_late;
};

class ReclaimTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReclaimTest);
  CPPUNIT_TEST(PlanUsesNoAvoidedWorker);
  CPPUNIT_TEST(BorrowedUrgentWorkIsStopped);
  CPPUNIT_TEST(GuaranteedUrgentWorkIsNotStopped);
  CPPUNIT_TEST(GangSpansRacksAsSoonAsRoomIsFree);
  CPPUNIT_TEST(UnansweredStopIsReplaced);
  CPPUNIT_TEST(CostDoesNotDelayAGuarantee);
  CPPUNIT_TEST(LaterStepsDoNotUseUpTheGuarantee);
  CPPUNIT_TEST(ClockOfTheAcceptingInstanceDoesNotMatter);
  CPPUNIT_TEST(TasksOfAStepAreReclaimedTogether);
  CPPUNIT_TEST(JobsAreReclaimedOnTheSameWorkersTogether);
  CPPUNIT_TEST(GuaranteeStartsAreReported);
  CPPUNIT_TEST(NoSequenceDelaysAGuarantee);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Work was stopped on a worker that then took no start, again and again.
  void PlanUsesNoAvoidedWorker() {
    Rig rig(kShortStop);
    rig.Guarantee(4, 0);
    rig.AddWorker("a");
    rig.Submit(Rig::Job(1, kOther, 2, 2, 4));
    rig.Run(Millis{2'000});
    rig.AddWorker("b");
    rig.Submit(Rig::Job(2, kOther, 1, 2, 4));  // Younger than the work on a, so that it costs less.
    rig.Run(Millis{100});
    CPPUNIT_ASSERT_EQUAL(2, rig.Running(2));
    rig.Worker("b").m_slow = true;
    rig.Run(Millis{1'200});  // CheckPace finds it slow.
    rig.Submit(Rig::Job(3, kOwner, 0, 1, 4));
    CheckBegins(&rig, 3, 1, Bound(kShortStop));
    CPPUNIT_ASSERT_EQUAL(std::string("a"), rig.WorkerOf(3));
  }

  // An owner could not call on its guarantee while urgent work of another account had borrowed the room.
  void BorrowedUrgentWorkIsStopped() {
    Rig rig(kShortStop);
    rig.Guarantee(8, 8);
    rig.AddWorker("a");
    rig.AddWorker("b");
    rig.Submit(Rig::Job(1, kOther, 0, 1, 8));
    rig.Run(Millis{500});
    rig.Submit(Rig::Job(2, kOther, 0, 1, 8));
    rig.Run(Millis{500});
    CPPUNIT_ASSERT_EQUAL(1, rig.Running(2));
    rig.Submit(Rig::Job(3, kOwner, 0, 1, 8));
    CheckBegins(&rig, 3, 1, Bound(kShortStop));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("within the guarantee of its account", 1, rig.Running(1));
  }

  // Guards against the opposite fault of hypothesis 2.
  void GuaranteedUrgentWorkIsNotStopped() {
    Rig rig(kShortStop);
    rig.Guarantee(8, 8);
    rig.AddWorker("a");
    rig.Submit(Rig::Job(1, kOther, 0, 1, 8));
    rig.Run(Millis{500});
    rig.Submit(Rig::Job(2, kOwner, 0, 1, 8));
    rig.Run(Millis{5'000});
    CPPUNIT_ASSERT_EQUAL(1, rig.Running(1));
    CPPUNIT_ASSERT_EQUAL(0, rig.Running(2));
  }

  // Operators have to see how long guarantees take; work of others must not count.
  void GuaranteeStartsAreReported() {
    Rig rig(kShortStop);
    rig.Guarantee(8, 0);
    rig.AddWorker("a");
    rig.Submit(Rig::Job(1, kOther, 1, 1, 8));
    rig.Run(Millis{500});
    CPPUNIT_ASSERT(rig.TakeGuaranteeStarts().empty());
    rig.Submit(Rig::Job(2, kOwner, 0, 1, 8));
    rig.Run(Bound(kShortStop));
    const auto starts = rig.TakeGuaranteeStarts();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, starts.size());
    CPPUNIT_ASSERT(starts.front().m_job == JobId{2} && starts.front().m_account == kOwner);
    CPPUNIT_ASSERT(starts.front().m_since_taken_in > Millis{0});
    CPPUNIT_ASSERT(starts.front().m_since_taken_in <= Bound(kShortStop));
  }

  // Room was made for a gang in two racks, but the gang was not placed there for another second.
  void GangSpansRacksAsSoonAsRoomIsFree() {
    Rig rig(kShortStop);
    rig.Guarantee(8, 8);
    rig.AddWorker("a", "r1");
    rig.AddWorker("b", "r2");
    AcceptedJob spread = Rig::Job(1, kOther, 0, 2, 4);
    spread.m_request.m_steps[0].m_max_per_worker = 1;
    rig.Submit(spread);
    rig.Run(Millis{100});
    rig.Submit(Rig::Job(2, kOther, 1, 2, 4));
    rig.Run(Millis{2'000});
    CPPUNIT_ASSERT_EQUAL(2, rig.Running(2));
    AcceptedJob gang = Rig::Job(3, kOwner, 0, 2, 4);
    gang.m_request.m_steps[0].m_gang = true;
    gang.m_request.m_steps[0].m_rack_local = true;
    rig.Submit(gang);
    CheckBegins(&rig, 3, 2, kShortStop + Millis{300});
  }

  // A stop that got no answer held up the unit, and the worker was chosen again afterwards.
  void UnansweredStopIsReplaced() {
    Rig rig(kLongStop);
    rig.Guarantee(8, 0);
    rig.AddWorker("a");
    rig.Submit(Rig::Job(1, kOther, 2, 1, 8));
    rig.Run(Millis{1'000});
    rig.AddWorker("b");
    rig.Submit(Rig::Job(2, kOther, 1, 1, 8));
    rig.Run(Millis{500});
    CPPUNIT_ASSERT_EQUAL(1, rig.Running(2));
    rig.Worker("b").m_ignores_stops = true;
    rig.Submit(Rig::Job(3, kOwner, 0, 1, 8));
    CheckBegins(&rig, 3, 1, Bound(kLongStop));
  }

  // Work that cost more than a limit was stopped for a guarantee only after a second.
  void CostDoesNotDelayAGuarantee() {
    Rig rig(kShortStop);
    rig.Guarantee(8, 0);
    rig.AddWorker("a");
    rig.Submit(Rig::Job(1, kOther, 2, 1, 8));
    rig.Run(Millis{60'000});
    AcceptedJob job = Rig::Job(2, kOwner, 0, 1, 8);
    job.m_request.m_steps[0].m_estimate = Millis{1'000};
    rig.Submit(job);
    CheckBegins(&rig, 2, 1, kShortStop + Millis{300});
  }

  // A job whose steps run one after another counted with the sum of them.
  void LaterStepsDoNotUseUpTheGuarantee() {
    Rig rig(kShortStop);
    rig.Guarantee(8, 0);
    rig.AddWorker("a");
    rig.Submit(Rig::Job(1, kOther, 2, 1, 8));
    rig.Run(Millis{120'000});
    AcceptedJob job = Rig::Job(2, kOwner, 0, 1, 8);
    job.m_request.m_steps[0].m_estimate = Millis{1'000};
    job.m_request.m_steps.push_back(job.m_request.m_steps[0]);
    job.m_request.m_steps[1].m_after = {0};
    rig.Submit(job);
    CheckBegins(&rig, 2, 1, Bound(kShortStop));
  }

  // The second of the test before was counted by the difference of two machines' clocks.
  void ClockOfTheAcceptingInstanceDoesNotMatter() {
    Rig rig(kShortStop);
    rig.Guarantee(8, 0);
    rig.AddWorker("a");
    rig.Submit(Rig::Job(1, kOther, 2, 1, 8));
    rig.Run(Millis{60'000});
    AcceptedJob job = Rig::Job(2, kOwner, 0, 1, 8);
    job.m_request.m_steps[0].m_estimate = Millis{1'000};
    rig.Submit(job, Millis{3'000});
    CheckBegins(&rig, 2, 1, Bound(kShortStop));
  }

  // A preemption was made for one single task of a step at a time, each as long as a stop takes.
  void TasksOfAStepAreReclaimedTogether() {
    Rig rig(kLongStop);
    rig.Guarantee(8, 0);
    rig.AddWorker("a");
    rig.AddWorker("b");
    rig.Submit(Rig::Job(1, kOther, 1, 16, 1));
    rig.Run(Millis{1'000});
    rig.Submit(Rig::Job(2, kOwner, 0, 8, 1));
    CheckBegins(&rig, 2, 8, Bound(kLongStop));
  }

  // A reservation took whole workers, so that further jobs of the account waited for one another's preemption.
  void JobsAreReclaimedOnTheSameWorkersTogether() {
    Rig rig(kLongStop);
    rig.Guarantee(8, 0);
    rig.AddWorker("a");
    rig.Submit(Rig::Job(1, kOther, 1, 8, 1));
    rig.Run(Millis{1'000});
    for (int job = 2; job < 10; ++job) rig.Submit(Rig::Job(job, kOwner, 0, 1, 1));
    rig.Run(Bound(kLongStop));
    for (int job = 2; job < 10; ++job) CheckBegins(&rig, job, 1, Millis{0});
  }

  void NoSequenceDelaysAGuarantee() {
    const bool holds = rc::check("no sequence delays a guarantee", [] {
      Sequence sequence(*rc::gen::element(kShortStop, kLongStop));
      const auto actions = *rc::gen::container<std::vector<std::pair<int, int>>>(
          rc::gen::pair(rc::gen::inRange(0, 9), rc::gen::inRange(0, 30)));
      for (const auto& [action, argument] : actions) sequence.Act(action, argument);
      sequence.Act(9, 40);
      RC_ASSERT(sequence.Late() == std::set<int>{});
    });
    CPPUNIT_ASSERT(holds);
  }

 private:
  static void CheckBegins(Rig* rig, int job, int tasks, Millis within) {
    const Millis took = rig->UntilBegun(job, tasks, within);
    const std::string message = std::to_string(rig->Running(job)) + " of " + std::to_string(tasks) + " tasks of job " +
                                std::to_string(job) + " run after " + std::to_string(took.count()) + " ms";
    CPPUNIT_ASSERT_MESSAGE(message, took <= within);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReclaimTest);

}  // namespace
}  // namespace hickoryquay::jobs
