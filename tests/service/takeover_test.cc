// Pattern: the leader dies while many jobs wait and thousands of ended ones are kept, and all instances sit behind slow
// links. Virtual time, no network.
//
// Target: 3 s from the loss of a leader to the first start by the next one at 2 Mbit/s.

#include <cppunit/extensions/HelperMacros.h>

#include "standin/sim_cluster.h"

namespace hickoryquay::service {
namespace {

using jobs::JobPhase;

constexpr Millis kStartup{3'000};
constexpr Millis kTarget{3'000};
constexpr int kSlowLink = 250;  // Bytes a millisecond: 2 Mbit/s.

class TakeoverTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TakeoverTest);
  CPPUNIT_TEST(JobsOfTheDayDoNotDelayATakeover);
  CPPUNIT_TEST(KeptJobsDoNotDelayATakeover);
  CPPUNIT_TEST(WaitingJobsAreLoadedOverASlowLink);
  CPPUNIT_TEST(ArchiveSurvivesLostAnswers);
  CPPUNIT_TEST(RowsLeftByACrashAreDeleted);
  CPPUNIT_TEST(RowsOfEarlierLeadersExpire);
  CPPUNIT_TEST(TombstonesExpire);
  CPPUNIT_TEST(RowWrittenAnewIsKeptForItsOwnTime);
  CPPUNIT_TEST(JobIsEndedWhoseLastEndAloneWasStored);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Fifteen jobs of 1 KB a second for 40 s. All have ended; to read their rows would take longer than the target.
  void JobsOfTheDayDoNotDelayATakeover() {
    Build(kSlowLink);
    for (int i = 0; i < 600; ++i) {
      m_cluster->Submit(i % 3, Tasks(2, 0, Millis{200}), Millis{200});
      m_cluster->Run(Millis{66});
    }
    m_cluster->Run(Millis{2'000});
    CheckTakeover();
  }

  void KeptJobsDoNotDelayATakeover() {
    Build(kSlowLink);
    m_cluster->AddEndedJobs(10'000);
    CheckTakeover();
  }

  // More waits here than can be loaded in the target's time; it must be loaded all the same.
  void WaitingJobsAreLoadedOverASlowLink() {
    Build(kSlowLink);
    std::vector<JobId> jobs;
    for (int i = 0; i < 400; ++i) {
      jobs.push_back(m_cluster->Submit(i % 3, Tasks(1, 8, Millis{200}), Millis{200}));
      if (i % 20 == 0) m_cluster->Run(Millis{10});
    }
    m_cluster->Run(Millis{1'000});
    m_cluster->KillInstance(*m_cluster->Leader());
    m_cluster->Run(Millis{3'500});
    const std::string loading = m_cluster->MetricsText();  // Operators see how far the load has come.
    CPPUNIT_ASSERT_MESSAGE(loading, loading.find("hq_load_rows{table=\"intake\"} ") != std::string::npos);
    m_cluster->Run(Millis{36'500});
    for (const JobId job : jobs) {
      if (m_cluster->Accepted(job)) CPPUNIT_ASSERT(m_cluster->StoredPhase(job) == JobPhase::kCompleted);
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), m_cluster->Violations());
  }

  void ArchiveSurvivesLostAnswers() {
    Build(0);
    for (int i = 0; i < 3; ++i) m_cluster->StoreOf(i).SetMood(standin::StoreMood::kLosesWrites, 0.3);
    for (int i = 0; i < 60; ++i) m_cluster->Submit(i % 3, Tasks(1, 0, Millis{200}), Millis{200});
    m_cluster->Run(Millis{20'000});
    for (int i = 0; i < 3; ++i) m_cluster->StoreOf(i).SetMood(standin::StoreMood::kServes);
    m_cluster->Run(Millis{10'000});
    CheckOnlyEnded(60);
  }

  // The leader dies after it archived jobs and before it deleted their rows.
  void RowsLeftByACrashAreDeleted() {
    Build(0);
    const JobId job = m_cluster->Submit(0, Tasks(3, 1, Millis{200}), Millis{200});
    m_cluster->Run(Millis{5'000});
    CheckOnlyEnded(1);
    const TableNames tables;
    m_cluster->Store().Put({tables.m_state, tables.m_leader_part, jobs::HexText(job)},
                           jobs::Write(jobs::PhaseRow{JobPhase::kCompleted, m_cluster->Time().Wall()}));
    m_cluster->Store().Put({tables.m_state, tables.m_leader_part, jobs::HexText(job) + ".0.0"},
                           R"({"units":[{"run":1,"done":true}]})");
    const int starts = m_cluster->Sim().Starts();
    m_cluster->KillInstance(*m_cluster->Leader());
    m_cluster->Run(Millis{5'000});
    CheckOnlyEnded(1);
    CPPUNIT_ASSERT_EQUAL(starts, m_cluster->Sim().Starts());
  }

  void RowsOfEarlierLeadersExpire() {
    Build(0);
    m_cluster->AddEndedJobs(1'000);
    m_cluster->KillInstance(*m_cluster->Leader());
    m_cluster->Run(Millis{100'000});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1'000}, m_cluster->Store().Rows(TableNames{}.m_ended).size());
    m_cluster->Run(Millis{60'000});
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_cluster->Store().Rows(TableNames{}.m_ended).size());
  }

  // Guards against rows that stay for good: other instances write them after the leader has read the table.
  void TombstonesExpire() {
    Build(0);
    m_cluster->Run(Millis{20'000});
    for (std::uint64_t job = 0; job < 300; ++job) {
      m_cluster->Cancel(static_cast<int>(job % 3), JobId{0x10'000 + job});
      m_cluster->Run(Millis{20});
    }
    m_cluster->Run(Millis{100'000});
    CPPUNIT_ASSERT_EQUAL(std::size_t{300}, m_cluster->Store().Rows(TableNames{}.m_ended).size());
    m_cluster->Run(IntakeSettings{}.m_tombstone_age - Millis{100'000});
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_cluster->Store().Rows(TableNames{}.m_ended).size());
  }

  // Guards against an accepted job that is unknown too early: the leader deletes its row by the age of a tombstone.
  void RowWrittenAnewIsKeptForItsOwnTime() {
    Build(0);
    const TableNames tables;
    const JobId job{0x999};
    const store::RowKey key{tables.m_ended, tables.IntakePart(job), jobs::HexText(job)};
    const auto put = [&](bool tombstone) {
      m_cluster->Store().Put(key,
                             jobs::Write(jobs::PhaseRow{JobPhase::kCancelled, m_cluster->Time().Wall(), tombstone}));
    };
    put(true);
    m_cluster->KillInstance(*m_cluster->Leader());  // The next one reads the tombstone as it takes over.
    m_cluster->Run(Millis{125'000});
    put(false);
    m_cluster->Run(Millis{120'000});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_cluster->Store().Rows(tables.m_ended).size());
    m_cluster->Run(IntakeSettings{}.m_tombstone_age - Millis{120'000});
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_cluster->Store().Rows(tables.m_ended).size());
  }

  // Guards against jobs that never end: their leader was lost after it had stored the last end of a task, and before it
  // stored that the job has ended.
  void JobIsEndedWhoseLastEndAloneWasStored() {
    Build(0);
    m_cluster->KillInstance(*m_cluster->Leader());
    PutRunningJob(JobId{0x998}, jobs::UnitRow{0, jobs::RunNumber{1}, true, {}, {}, "", {}});
    PutRunningJob(JobId{0x999}, jobs::UnitRow{0, jobs::RunNumber{1}, false, {jobs::RunNumber{1}}, {}, "", {}});
    m_cluster->Run(Millis{5'000});
    CPPUNIT_ASSERT(m_cluster->StoredPhase(JobId{0x998}) == JobPhase::kCompleted);
    CPPUNIT_ASSERT(m_cluster->StoredPhase(JobId{0x999}) == JobPhase::kFailed);
    CPPUNIT_ASSERT_EQUAL(0, m_cluster->Sim().Starts());
  }

 private:
  // Stores a job of one task, which may fail once.
  void PutRunningJob(JobId id, const jobs::UnitRow& unit) {
    const TableNames tables;
    jobs::AcceptedJob job;
    job.m_queue = jobs::QueueName{"q1"};
    job.m_account = AccountId{"account"};
    job.m_pool = jobs::PoolName{"pool"};
    job.m_request.m_steps.push_back(Tasks(1, 1, Millis{1'000}));
    const auto put = [&](const std::string& key, const std::string& value) {
      m_cluster->Store().Put({tables.m_state, tables.m_leader_part, key}, value);
    };
    m_cluster->Store().Put({tables.m_intake, tables.IntakePart(id), JobRowKey(id)}, Write(job));
    put(jobs::HexText(id), Write(jobs::PhaseRow{JobPhase::kRunning, Instant{1'000'000}}));
    put(jobs::ToText(jobs::StepKey{id, 0, 0}), Write(jobs::StepRow{{id, 0, 0}, {unit}, 0}));
  }

  void Build(int link) {
    ClusterSettings settings;
    settings.m_link_bytes_per_ms = link;
    settings.m_payload_bytes = 1'000;
    m_cluster = std::make_unique<SimCluster>(settings);
    m_cluster->Run(kStartup);
    CPPUNIT_ASSERT(m_cluster->Leader());
  }

  // Kills the leader and hands in a job. Its first task must start within the target.
  void CheckTakeover() {
    const int leader = *m_cluster->Leader();
    m_cluster->KillInstance(leader);
    const int starts = m_cluster->Sim().Starts();
    m_cluster->Submit((leader + 1) % 3, Tasks(1, 0, Millis{200}), Millis{200});
    m_cluster->Run(kTarget);
    CPPUNIT_ASSERT(m_cluster->Sim().Starts() > starts);
    m_cluster->Run(Millis{2'000});
    CPPUNIT_ASSERT_EQUAL(std::string(), m_cluster->Violations());
  }

  // All jobs have ended and are archived; nothing else is left of them.
  void CheckOnlyEnded(std::size_t jobs) {
    const TableNames tables;
    CPPUNIT_ASSERT_EQUAL(jobs, m_cluster->Store().Rows(tables.m_ended).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_cluster->Store().Rows(tables.m_intake).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_cluster->Store().Rows(tables.m_state).size());  // The leader's.
  }

  std::unique_ptr<SimCluster> m_cluster;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TakeoverTest);

}  // namespace
}  // namespace hickoryquay::service
