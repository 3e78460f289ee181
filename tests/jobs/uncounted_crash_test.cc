// Tasks that crash their workers in ways that hid the crashes, and sound tasks that lose their workers.

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <utility>

#include "hickoryquay/jobs/scheduler.h"
#include "hickoryquay/store/row_store.h"

namespace hickoryquay::jobs {
namespace {

const PoolName kPool{"pool"};
constexpr JobId kJob{7};
constexpr JobId kOther{8};
constexpr int kMostRuns = 5;  // Three crashes, and two starts more.
constexpr int kWhole = 8;     // Accelerators of a worker.
constexpr std::int64_t kBack = 3'000;
constexpr std::int64_t kStep = 50;

class UncountedCrashTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UncountedCrashTest);
  CPPUNIT_TEST(TaskThatCrashesWorkersAfterLongRunsIsGivenUp);
  CPPUNIT_TEST(TaskThatCrashesWorkersAtTimesThatVaryIsGivenUp);
  CPPUNIT_TEST(CrashesAreKnownToTheNextLeader);
  CPPUNIT_TEST(JobOfManyTasksThatCrashWorkersIsGivenUp);
  CPPUNIT_TEST(TwoJobsOfManyTasksThatCrashWorkersAreGivenUp);
  CPPUNIT_TEST(SoundTaskBesideOneThatCrashesWorkersIsKept);
  CPPUNIT_TEST(TasksOfADomainThatLosesPowerAreKept);
  CPPUNIT_TEST(LastingTaskThatLosesItsWorkersNowAndThenIsKept);
  CPPUNIT_TEST(TaskAmongWorkersThatAreLostAllTheTimeIsKept);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a task that crashes each worker 15.6 s after its start and is started without end.
  void TaskThatCrashesWorkersAfterLongRunsIsGivenUp() {
    MakeScheduler(4, 1);
    Submit(kJob, 1);
    m_crash_after[kJob] = [](int, int) { return 15'600; };
    Run(300'000);
    ExpectGivenUp(kJob, 1);
  }

  // Guards against a run that outlasts the crashes before it, and so wipes them out before it crashes its worker too.
  void TaskThatCrashesWorkersAtTimesThatVaryIsGivenUp() {
    MakeScheduler(4, 1);
    Submit(kJob, 1);
    m_crash_after[kJob] = [](int, int run) { return 700 * (1 << (2 * (run % 3))); };
    Run(300'000);
    ExpectGivenUp(kJob, 1);
  }

  // Guards against crashes after long runs of which the next leader knows nothing.
  void CrashesAreKnownToTheNextLeader() {
    MakeScheduler(4, 1);
    Submit(kJob, 1);
    m_crash_after[kJob] = [](int, int run) { return 15'600 * run; };
    for (int term = 0; term < 10; ++term) {
      Run(40'000);
      if (m_scheduler->Phase(kJob) == JobPhase::kFailed) break;
      TakeOver();
    }
    Run(100'000);
    ExpectGivenUp(kJob, 1);
  }

  // Guards against crashes that count for nothing since the job's other tasks crash all other workers as often.
  void JobOfManyTasksThatCrashWorkersIsGivenUp() {
    MakeScheduler(16, 2);
    Submit(kJob, 16, kWhole);
    m_crash_after[kJob] = [](int task, int) { return 3'000 + 150 * task; };
    Run(200'000);
    ExpectGivenUp(kJob, 16);
  }

  // Guards against two such jobs that excuse each other.
  void TwoJobsOfManyTasksThatCrashWorkersAreGivenUp() {
    MakeScheduler(16, 2);
    for (const JobId job : {kJob, kOther}) Submit(job, 8, kWhole);
    m_crash_after[kJob] = [](int task, int) { return 3'000 + 150 * task; };
    m_crash_after[kOther] = [](int task, int) { return 3'500 + 130 * task; };
    Run(200'000);
    ExpectGivenUp(kJob, 8);
    ExpectGivenUp(kOther, 8);
  }

  // Guards against a sound task being given up for the crashes of one that is placed beside it.
  void SoundTaskBesideOneThatCrashesWorkersIsKept() {
    MakeScheduler(2, 1);
    Submit(kOther, 4);
    Submit(kJob, 1);
    m_crash_after[kJob] = [](int, int) { return 15'600; };
    m_done_after[kOther] = 60'000;
    Run(600'000);
    ExpectGivenUp(kJob, 1);
    CPPUNIT_ASSERT(m_scheduler->Phase(kOther) == JobPhase::kCompleted);
  }

  // Guards against tasks being given up since their failure domain loses power again and again.
  void TasksOfADomainThatLosesPowerAreKept() {
    MakeScheduler(16, 2);
    for (int job = 1; job <= 8; ++job) {
      Submit(JobId{static_cast<std::uint64_t>(job)}, 2, kWhole);
      m_done_after[JobId{static_cast<std::uint64_t>(job)}] = 20'000;
    }
    for (int loss = 0; loss < 8; ++loss) {
      Run(8'000);
      for (int worker = loss % 2; worker < 16; worker += 2) {
        GoDown(worker);
        Run(kStep);  // The leader notices them one after the other.
      }
    }
    Run(200'000);
    for (int job = 1; job <= 8; ++job)
      CPPUNIT_ASSERT(m_scheduler->Phase(JobId{static_cast<std::uint64_t>(job)}) == JobPhase::kCompleted);
  }

  // Guards against work without an end being given up for the workers that it loses in the course of time.
  void LastingTaskThatLosesItsWorkersNowAndThenIsKept() {
    MakeScheduler(4, 1);
    Submit(kJob, 1, 1, true);
    for (int loss = 0; loss < 8; ++loss) {
      Run(700'000);
      GoDown(WorkerOf(kJob));
    }
    Run(10'000);
    CPPUNIT_ASSERT(m_scheduler->Phase(kJob) == JobPhase::kRunning);
  }

  // Guards against a sound task being given up where all workers are lost about as often, one after the other.
  void TaskAmongWorkersThatAreLostAllTheTimeIsKept() {
    MakeScheduler(6, 3);
    Submit(kJob, 1);
    m_done_after[kJob] = 60'000;
    for (int round = 0; round < 8; ++round) {
      for (int worker = 0; worker < 6; ++worker) {
        Run(2'500);
        GoDown(worker);
      }
    }
    Run(100'000);
    CPPUNIT_ASSERT(m_scheduler->Phase(kJob) == JobPhase::kCompleted);
  }

 private:
  struct Running {
    TaskKey m_task;
    RunNumber m_run{};
    std::int64_t m_since = 0;
  };
  struct Machine {
    WorkerEntry m_entry;
    std::vector<Running> m_running;
    std::vector<EndedTask> m_ended;
    std::int64_t m_born = 1;
    std::int64_t m_back = 0;  // 0: it is up.
  };

  Now At() const { return {Instant{1'000'000 + m_ms}, Instant{1'000'000 + m_ms}}; }

  void MakeScheduler(int workers, int domains) {
    m_machines.clear();
    m_crash_after.clear();
    m_done_after.clear();
    m_runs.clear();
    m_rows.clear();
    m_jobs.clear();
    m_ms = 0;
    for (int i = 0; i < workers; ++i) {
      Machine& machine = m_machines.emplace_back();
      machine.m_entry.m_id = WorkerId{"w" + std::to_string(i)};
      machine.m_entry.m_pool = kPool;
      machine.m_entry.m_domain = DomainId{"domain" + std::to_string(i % domains)};
      machine.m_entry.m_capacity = Resources{kWhole, kWhole, kWhole};
    }
    StartLeader();
  }

  void StartLeader() {
    m_scheduler = std::make_unique<Scheduler>(SchedulerSettings{});
    for (const Machine& machine : m_machines) {
      m_scheduler->OnWorkerListed(machine.m_entry, At());
      m_scheduler->SetWorkerUsable(machine.m_entry.m_id, true);
    }
  }

  void TakeOver() {
    StartLeader();
    for (const auto& [id, job] : m_jobs) m_scheduler->RestoreJob(job);
    for (const auto& [key, value] : m_rows) {
      const auto step = ParseStepRowKey(key);
      if (!step) continue;
      const auto row = ReadStepRow(*step, value);
      CPPUNIT_ASSERT(Ok(row));
      m_scheduler->RestoreStep(ValueOf(row));
    }
  }

  void Submit(JobId id, int count, int accelerators = 1, bool lasts = false) {
    AcceptedJob job;
    job.m_id = id;
    job.m_pool = kPool;
    job.m_request.m_steps = {StepSpec{}};
    job.m_request.m_steps.front().m_task = Resources{accelerators, 1, 1};
    job.m_request.m_steps.front().m_tasks = count;
    job.m_request.m_steps.front().m_long_running = lasts;
    m_jobs[id] = job;
    m_scheduler->RestoreJob(job);
  }

  int WorkerOf(JobId job) const {
    for (std::size_t i = 0; i < m_machines.size(); ++i) {
      for (const Running& running : m_machines[i].m_running) {
        if (running.m_task.m_step.m_job == job) return static_cast<int>(i);
      }
    }
    CPPUNIT_FAIL("no worker runs the job");
    return 0;
  }

  void GoDown(int worker) {
    Machine& machine = m_machines[static_cast<std::size_t>(worker)];
    machine.m_running.clear();
    machine.m_ended.clear();
    machine.m_back = m_ms + kBack;
    ++machine.m_born;
    m_scheduler->OnWorkerSilent(machine.m_entry.m_id, At());
    m_scheduler->SetWorkerUsable(machine.m_entry.m_id, false);
  }

  void Poll(Machine* machine) {
    PollReply reply;
    reply.m_born = Instant{machine->m_born};
    for (const Running& running : machine->m_running)
      reply.m_running.push_back({running.m_task, running.m_run, "", 10});
    reply.m_ended = machine->m_ended;
    m_scheduler->OnPollReply(machine->m_entry.m_id, reply, At().m_steady, At());
  }

  // Tasks whose time has come end, or take their worker down.
  void Work(int worker) {
    Machine& machine = m_machines[static_cast<std::size_t>(worker)];
    for (const Running& running : std::vector<Running>(machine.m_running)) {
      const JobId job = running.m_task.m_step.m_job;
      const std::int64_t ran = m_ms - running.m_since;
      const auto crash = m_crash_after.find(job);
      if (crash != m_crash_after.end() &&
          ran >= crash->second(running.m_task.m_index, static_cast<int>(Raw(running.m_run))))
        return GoDown(worker);
      const auto done = m_done_after.find(job);
      if (done == m_done_after.end() || ran < done->second) continue;
      std::erase_if(machine.m_running, [&](const Running& other) { return other.m_task == running.m_task; });
      machine.m_ended.push_back(
          {static_cast<std::int64_t>(machine.m_ended.size()) + 1, running.m_task, running.m_run, EndKind::kDone, ""});
    }
  }

  void Run(std::int64_t ms) {
    for (const std::int64_t until = m_ms + ms; m_ms < until; m_ms += kStep) {
      for (std::size_t i = 0; i < m_machines.size(); ++i) {
        Machine& machine = m_machines[i];
        if (machine.m_back == 0) Work(static_cast<int>(i));
        if (machine.m_back > m_ms) continue;
        if (std::exchange(machine.m_back, 0) != 0) m_scheduler->SetWorkerUsable(machine.m_entry.m_id, true);
        Poll(&machine);
      }
      Decide();
    }
  }

  void Decide() {
    m_scheduler->Decide(At());
    Batch batch = m_scheduler->TakeBatch(store::kMaxTransactionRows, store::kMaxTransactionBytes);
    for (const RowChange& row : batch.m_rows) {
      if (row.m_value) m_rows[row.m_key] = *row.m_value;
    }
    for (const StartCommand& start : batch.m_starts) {
      for (Machine& machine : m_machines) {
        if (machine.m_entry.m_id != start.m_worker) continue;
        m_scheduler->OnStartSent(start, At());
        m_scheduler->OnStartAnswer(start, StartOutcome::kAccepted, At());
        machine.m_running.push_back({start.m_task, start.m_run, m_ms});
        ++m_runs[start.m_task];
      }
    }
  }

  void ExpectGivenUp(JobId job, int tasks) {
    for (int task = 0; task < tasks; ++task) {
      const int runs = m_runs[TaskKey{{job, 0, 0}, task}];
      CPPUNIT_ASSERT_MESSAGE(std::to_string(runs) + " runs of task " + std::to_string(task), runs <= kMostRuns);
    }
    CPPUNIT_ASSERT(m_scheduler->Phase(job) == JobPhase::kFailed);
  }

  std::unique_ptr<Scheduler> m_scheduler;
  std::vector<Machine> m_machines;
  std::map<JobId, std::function<int(int task, int run)>> m_crash_after;
  std::map<JobId, std::int64_t> m_done_after;
  std::map<TaskKey, int> m_runs;
  std::map<std::string, std::string> m_rows;
  std::map<JobId, AcceptedJob> m_jobs;
  std::int64_t m_ms = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(UncountedCrashTest);

}  // namespace
}  // namespace hickoryquay::jobs
