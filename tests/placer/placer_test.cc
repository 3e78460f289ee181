#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <iostream>
#include <map>
#include <string>

#include "hickoryquay/placer/job_mover.h"
#include "tests/placer/simulation.h"

namespace hickoryquay {
namespace {

using test::Simulation;

constexpr Millis kLease{15'000};
constexpr Millis kTakeover{3'000};

class PlacerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlacerTest);
  CPPUNIT_TEST(RunsAGangWhole);
  CPPUNIT_TEST(TakesOverWithinThreeSeconds);
  CPPUNIT_TEST(HandsOverOnDrain);
  CPPUNIT_TEST(CrashAtEachStepOfAStart);
  CPPUNIT_TEST(PausedHolderBreaksNoInvariant);
  CPPUNIT_TEST(TableDownLongerThanEveryLease);
  CPPUNIT_TEST(RepeatedKeyIsOneJob);
  CPPUNIT_TEST(CancelsManyJobsAtOnce);
  CPPUNIT_TEST(RowThatIsWrittenAfterItsCancelNeverRuns);
  CPPUNIT_TEST(CancelsOfUnknownJobsDoNotDelayOthers);
  CPPUNIT_TEST(RunningJobSurvivesFailover);
  CPPUNIT_TEST(WritingBehindSavesRowWrites);
  CPPUNIT_TEST(MovesOnlyJobsThatCannotRunTwice);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RunsAGangWhole() {
    Simulation simulation(3);
    const auto process = simulation.StartProcess();
    simulation.Advance(Millis{2'000});
    simulation.Submit(process, simulation.Spec(3, true, "rebuild"));
    simulation.Advance(Millis{60'000});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, simulation.m_accepted.size());
    CPPUNIT_ASSERT_EQUAL(std::string(), simulation.Violations(kLease));
    CPPUNIT_ASSERT_EQUAL(std::string(), simulation.Unfinished());
    CPPUNIT_ASSERT(StateOfFirst(&simulation) == JobState::kDone);
  }

  void TakesOverWithinThreeSeconds() {
    for (int wait = 0; wait < 1'000; wait += 130) {
      Simulation simulation(2);
      simulation.StartProcess();
      simulation.StartProcess();
      simulation.Advance(Millis{3'000 + wait});
      const auto holder = simulation.Holder();
      const Epoch epoch = holder->m_lease->HeldEpoch();
      simulation.Crash(holder);
      simulation.Advance(kTakeover);
      CPPUNIT_ASSERT(simulation.Holder() != nullptr);
      CPPUNIT_ASSERT(simulation.Holder()->m_lease->HeldEpoch() > epoch);
    }
  }

  void HandsOverOnDrain() {
    Simulation simulation(2);
    simulation.StartProcess();
    simulation.StartProcess();
    simulation.Advance(Millis{3'000});
    const auto holder = simulation.Holder();
    bool done = false;
    holder->m_lease->HandOver(Millis{5'000}, [&] { done = true; });
    simulation.Advance(Millis{1'000});
    CPPUNIT_ASSERT(done);
    CPPUNIT_ASSERT(simulation.Holder() != nullptr && simulation.Holder() != holder);
  }

  // The placer crashes after each single event between submission and the running gang; the job must still run.
  void CrashAtEachStepOfAStart() {
    for (const bool once : {false, true}) {
      for (int steps = 0; steps < 60; ++steps) {
        Simulation simulation(3);
        simulation.StartProcess();
        const auto other = simulation.StartProcess();
        simulation.Advance(Millis{3'000});
        simulation.Submit(other, simulation.Spec(3, once, "rebuild"));
        for (int i = 0; i < steps && simulation.StepOnce(); ++i) {
        }
        if (const auto holder = simulation.Holder()) simulation.Crash(holder);
        simulation.StartProcess();
        simulation.Advance(Millis{90'000});
        CPPUNIT_ASSERT_EQUAL(std::string(), simulation.Violations(kLease));
        CPPUNIT_ASSERT_EQUAL(std::string(), simulation.Unfinished());
        CPPUNIT_ASSERT(simulation.m_accepted.empty() || StateOfFirst(&simulation) == JobState::kDone);
      }
    }
  }

  void PausedHolderBreaksNoInvariant() {
    for (int steps = 0; steps < 40; ++steps) {
      Simulation simulation(3);
      simulation.StartProcess();
      const auto other = simulation.StartProcess();
      simulation.Advance(Millis{3'000});
      simulation.Submit(other, simulation.Spec(2, true, "batch"));
      for (int i = 0; i < steps && simulation.StepOnce(); ++i) {
      }
      const auto paused = simulation.Holder();
      Simulation::Pause(paused);
      simulation.Advance(Millis{20'000});
      Simulation::Resume(paused);
      simulation.Advance(Millis{60'000});
      CPPUNIT_ASSERT_EQUAL(std::string(), simulation.Violations(kLease));
      CPPUNIT_ASSERT_EQUAL(std::string(), simulation.Unfinished());
    }
  }

  // While the table is down, running jobs continue, accepted repeatable jobs start, and jobs that run at most once wait
  // for the write of their start.
  void TableDownLongerThanEveryLease() {
    Simulation simulation(2);
    const auto process = simulation.StartProcess();
    simulation.Advance(Millis{3'000});
    for (auto& [id, worker] : simulation.m_workers) worker.m_run_for = Millis{10'000};
    for (int i = 0; i < 5; ++i) simulation.Submit(process, simulation.Spec(2, false));
    simulation.Submit(process, simulation.Spec(2, true, "confirmation"));
    simulation.Advance(Millis{1'000});
    simulation.m_table.SetFault(test::FakeTable::Fault::kDown);
    const std::size_t accepted = simulation.m_accepted.size();
    simulation.Submit(process, simulation.Spec(1, false));
    simulation.Advance(Millis{60'000});
    CPPUNIT_ASSERT_EQUAL(accepted, simulation.m_accepted.size());
    int finished = 0;
    for (const auto& event : simulation.m_log) finished += event.m_what == test::RunEvent::What::kFinished ? 1 : 0;
    CPPUNIT_ASSERT(finished >= 10);  // All five gangs of two parts.
    simulation.m_table.SetFault(test::FakeTable::Fault::kNone);
    simulation.Advance(Millis{60'000});
    CPPUNIT_ASSERT_EQUAL(std::string(), simulation.Violations(kLease));
    CPPUNIT_ASSERT_EQUAL(std::string(), simulation.Unfinished());
  }

  void RepeatedKeyIsOneJob() {
    Simulation simulation(2);
    const auto first = simulation.StartProcess();
    const auto second = simulation.StartProcess();
    simulation.Advance(Millis{3'000});
    for (int i = 0; i < 4; ++i) {
      simulation.Submit(i % 2 == 0 ? first : second, simulation.Spec(1, true, "confirmation-17"));
      simulation.Advance(Millis{i * 10'000});
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, simulation.m_accepted.size());
    CPPUNIT_ASSERT_EQUAL(std::string(), simulation.Violations(kLease));
  }

  void CancelsManyJobsAtOnce() {
    Simulation simulation(2);
    const auto process = simulation.StartProcess();
    simulation.Advance(Millis{3'000});
    for (int i = 0; i < 300; ++i) simulation.Submit(process, simulation.Spec(1, false));
    simulation.Advance(Millis{2'000});
    for (const auto& [job, spec] : simulation.m_accepted) {
      process->m_intake->Cancel(DomainId("leicester"), job, "operator", [](const auto&) {});
    }
    simulation.Advance(Millis{30'000});
    CPPUNIT_ASSERT_EQUAL(std::size_t{300}, simulation.m_accepted.size());
    for (const auto& [job, spec] : simulation.m_accepted) {
      CPPUNIT_ASSERT(simulation.RowOf(job).m_state == JobState::kCancelled);
    }
    CPPUNIT_ASSERT(simulation.m_table.Engine().Scan("cancel/", "", 10).m_rows.empty());
  }

  // Guards against a job that runs after its cancel was acknowledged: the table does the write of its row late.
  void RowThatIsWrittenAfterItsCancelNeverRuns() {
    for (const bool failover : {false, true}) {
      Simulation simulation(2);
      simulation.StartProcess();
      const auto process = simulation.StartProcess();
      simulation.Advance(Millis{3'000});
      Job job;
      job.m_id = JobId{0x5c0e};
      job.m_domain = DomainId("leicester");
      job.m_spec = simulation.Spec(1, false);
      job.m_accepted = simulation.m_clock.Wall();
      const std::string key = placer::JobKey(job.m_domain, job.m_id);
      process->m_intake->Cancel(job.m_domain, job.m_id, "caller", [](const auto&) {});
      simulation.Advance(Millis{8'000});
      simulation.m_table.Engine().Submit({"", {{key, Version{0}}}, {{key, placer::JobValue(job)}}});
      if (failover) simulation.Crash(simulation.Holder());
      simulation.Advance(Millis{120'000});
      CPPUNIT_ASSERT(simulation.RowOf(job.m_id).m_state == JobState::kCancelled);
      CPPUNIT_ASSERT(simulation.m_log.empty());
      CPPUNIT_ASSERT(simulation.m_table.Engine().Scan("cancel/", "", 10).m_rows.empty());
    }
  }

  // Guards against a cancel that waits behind more cancels of unknown jobs than are read at once.
  void CancelsOfUnknownJobsDoNotDelayOthers() {
    Simulation simulation(2);
    const auto process = simulation.StartProcess();
    simulation.Advance(Millis{3'000});
    for (auto& [id, worker] : simulation.m_workers) worker.m_run_for = Millis{60'000};
    simulation.Submit(process, simulation.Spec(1, false));
    simulation.Advance(Millis{2'000});
    for (std::uint64_t id = 1; id <= 500; ++id) {
      process->m_intake->Cancel(DomainId("leicester"), JobId{id}, "caller", [](const auto&) {});
    }
    const JobId job = simulation.m_accepted.begin()->first;
    process->m_intake->Cancel(DomainId("leicester"), job, "caller", [](const auto&) {});
    simulation.Advance(Millis{6'000});
    CPPUNIT_ASSERT(simulation.RowOf(job).m_state == JobState::kCancelled);
    simulation.Advance(Millis{90'000});
    CPPUNIT_ASSERT(simulation.m_table.Engine().Scan("cancel/", "", 10).m_rows.empty());
  }

  void RunningJobSurvivesFailover() {
    Simulation simulation(3);
    simulation.StartProcess();
    const auto other = simulation.StartProcess();
    simulation.Advance(Millis{3'000});
    simulation.Submit(other, simulation.Spec(3, true, "rebuild"));
    simulation.Advance(Millis{8'000});
    simulation.Crash(simulation.Holder());
    simulation.Advance(Millis{60'000});
    CPPUNIT_ASSERT_EQUAL(std::string(), simulation.Violations(kLease));
    CPPUNIT_ASSERT(StateOfFirst(&simulation) == JobState::kDone);
    CPPUNIT_ASSERT(simulation.RowOf(simulation.m_accepted.begin()->first).m_attempt == Attempt{1});
  }

  // Rows that the placer writes per job, for short and long jobs, with the queue of keys and with plain batching.
  void WritingBehindSavesRowWrites() {
    const auto rows_a_job = [](bool coalesce, Millis run_for, bool once) {
      constexpr int kJobs = 200;
      Simulation simulation(8);
      simulation.m_settings.m_writer.m_coalesce = coalesce;
      for (auto& [id, worker] : simulation.m_workers) worker.m_run_for = run_for;
      const auto process = simulation.StartProcess();
      simulation.Advance(Millis{3'000});
      for (int i = 0; i < kJobs; ++i) simulation.Submit(process, simulation.Spec(1, once));
      simulation.Advance(Millis{400'000});
      CPPUNIT_ASSERT_EQUAL(std::string(), simulation.Unfinished());
      const auto rows = process->m_metrics.GetCounter("hq_placer_rows_written_total").Value();
      return static_cast<double>(rows) / kJobs;
    };
    for (const bool once : {false, true}) {
      for (const Millis run_for : {Millis{400}, Millis{20'000}}) {
        const double queue = rows_a_job(true, run_for, once);
        const double batching = rows_a_job(false, run_for, once);
        if (std::getenv("HQ_PRINT") != nullptr) {
          std::cout << "once=" << once << " run_ms=" << run_for.count() << " queue=" << queue
                    << " batching=" << batching << "\n";
        }
        const bool short_and_repeatable = !once && run_for < Millis{1'000};
        CPPUNIT_ASSERT(short_and_repeatable ? queue < batching : queue <= batching);
      }
    }
  }

  void MovesOnlyJobsThatCannotRunTwice() {
    Simulation simulation(1);
    const auto process = simulation.StartProcess();
    simulation.Advance(Millis{3'000});
    for (const bool once : {false, true}) simulation.Submit(process, simulation.Spec(1, once, once ? "once" : "again"));
    simulation.Submit(process, simulation.Spec(2, true, "never fits one worker"));
    simulation.Advance(Millis{5'000});
    const placer::JobMover mover(&simulation.m_table, [&simulation] { return simulation.Configured(); });
    std::map<std::string, bool> moved;
    for (const auto& [job, spec] : simulation.m_accepted) {
      mover.Move(job, DomainId("leicester"), DomainId("derby"), true,
                 [&moved, key = spec.m_key](const auto& result) { moved[key] = Ok(result); });
    }
    simulation.Advance(Millis{60'000});
    CPPUNIT_ASSERT(!moved["once"]);  // Is running and runs at most once.
    CPPUNIT_ASSERT(moved["again"]);
    CPPUNIT_ASSERT(moved["never fits one worker"]);  // Provably never ran.
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, simulation.m_table.Engine().Scan("job/derby/", "", 10).m_rows.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, simulation.m_table.Engine().Scan("job/leicester/", "", 10).m_rows.size());
  }

 private:
  static JobState StateOfFirst(Simulation* simulation) {
    return simulation->RowOf(simulation->m_accepted.begin()->first).m_state;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacerTest);

}  // namespace
}  // namespace hickoryquay
