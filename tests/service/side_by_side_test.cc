// An instance among instances of other versions: it takes over their rows and uses their settings. Virtual time, no
// network.

#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <fstream>
#include <map>
#include <sstream>

#include "hickoryquay/settings/node_settings.h"
#include "standin/sim_cluster.h"
#include "tests/service/compatibility_changes.h"
#include "tests/service/compatibility_records.h"

namespace hickoryquay::service {
namespace {

using jobs::JobPhase;

constexpr Millis kStartup{3'000};
constexpr Millis kWork{2'000};

// How many rows of the kind were reported; a job's row is read twice at a takeover.
int Unreadable(const std::string& metrics, const char* row) {
  const std::string name = "hq_rows_unreadable_total{row=\"" + std::string(row) + "\"} ";
  const std::size_t found = metrics.find(name);
  return found == std::string::npos ? 0 : std::stoi(metrics.substr(found + name.size()));
}

//-------------------------------------------------------------------------------------------------
// Takeover
//-------------------------------------------------------------------------------------------------

class OtherRowsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OtherRowsTest);
  CPPUNIT_TEST(LeaderTakesOverRowsWithUnknownFields);
  CPPUNIT_TEST(JobsAndCancelsWithUnknownFieldsAreTakenFromTheFeed);
  CPPUNIT_TEST(UnreadableRowsCostOnlyThemselves);
  CPPUNIT_TEST(UnreadableJobInTheFeedCostsOnlyItself);
  CPPUNIT_TEST(UnreadableJobIsReportedOnce);
  CPPUNIT_TEST(JobOfAnEarlierVersionRunsOnce);
  CPPUNIT_TEST(JobOfAnEarlierVersionRunsOnceOverATakeover);
  CPPUNIT_TEST(JobInTwoPartsRunsOnce);
  CPPUNIT_TEST(EndedJobThatAnEarlierVersionAcceptsAgainRunsOnce);
  CPPUNIT_TEST(LeaderKnowsWhetherAnEarlierVersionHasJobs);
  CPPUNIT_TEST(UnreadableStepOfARunningJobRunsNothingTwice);
  CPPUNIT_TEST(UnreadableStepThatIsDoneIsNotRepeated);
  CPPUNIT_TEST(JobWithAnUnreadableStepCanBeCancelled);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    ClusterSettings settings;
    settings.m_workers_report_born = true;
    m_cluster = std::make_unique<SimCluster>(settings);
    m_cluster->Run(kStartup);
  }
  void tearDown() override { m_cluster.reset(); }

  // Guards against a leader of this version losing or repeating runs that one of a later version has started.
  void LeaderTakesOverRowsWithUnknownFields() {
    constexpr int kTasks = 43;
    const JobId wide = m_cluster->Submit(0, Tasks(40, 1, kWork), kWork);
    jobs::StepSpec gang = Tasks(3, 4, kWork);
    gang.m_gang = true;
    const JobId together = m_cluster->Submit(1, gang, kWork, 0);
    m_cluster->Run(Millis{700});
    CPPUNIT_ASSERT(m_cluster->Sim().Starts() >= kTasks - 4);
    m_cluster->KillInstance(*m_cluster->Leader());
    int changed = 0;
    for (const std::string& table : {m_tables.m_intake, m_tables.m_state}) {
      for (const store::StoredRow& row : m_cluster->Store().Rows(table)) {
        m_cluster->Store().Put(row.m_key, samples::WithUnknownFields(row.m_value));
        ++changed;
      }
    }
    CPPUNIT_ASSERT(changed >= 8);  // Jobs, phases, steps, a second row of the wide one, the leader.
    m_cluster->Run(Millis{8'000});
    CPPUNIT_ASSERT(m_cluster->Leader());
    for (const JobId job : {wide, together}) CheckPhase(job, JobPhase::kCompleted);
    CPPUNIT_ASSERT_EQUAL(kTasks, m_cluster->Sim().Starts());
    CPPUNIT_ASSERT_EQUAL(std::string::npos, m_cluster->MetricsText().find("hq_rows_unreadable_total"));
    CPPUNIT_ASSERT_EQUAL(std::string(), m_cluster->Violations());
  }

  void JobsAndCancelsWithUnknownFieldsAreTakenFromTheFeed() {
    const JobId cancelled = m_cluster->Submit(0, Tasks(1, 1, Millis{60'000}), Millis{60'000});
    m_cluster->Run(Millis{500});
    CheckPhase(cancelled, JobPhase::kRunning);
    m_cluster->Store().Put(Row(CancelRowKey(cancelled), cancelled), samples::WithUnknownFields(recorded::kCancel[2]));
    const JobId late{0x999};
    m_cluster->Store().Put(Row(JobRowKey(late), late), samples::WithUnknownFields(PlainJob(late)));
    m_cluster->Run(Millis{2'000});
    CheckPhase(cancelled, JobPhase::kCancelled);
    CheckPhase(late, JobPhase::kCompleted);
  }

  // Guards against one row that can't be read stopping a takeover, or being passed over in silence.
  void UnreadableRowsCostOnlyThemselves() {
    const JobId job = m_cluster->Submit(0, Tasks(4, 1, kWork), kWork);
    m_cluster->Run(Millis{700});
    m_cluster->KillInstance(*m_cluster->Leader());
    const JobId unknown{0x999};
    for (const char* text : {"garbled", "[]", "{\"queue\":7}"}) {
      const JobId id{Raw(unknown) + std::string_view(text).size()};
      m_cluster->Store().Put(Row(JobRowKey(id), id), text);
      m_cluster->Store().Put({m_tables.m_state, m_tables.m_leader_part, jobs::HexText(id)}, text);
      m_cluster->Store().Put({m_tables.m_state, m_tables.m_leader_part, jobs::ToText(jobs::StepKey{id, 0, 0})}, text);
    }
    m_cluster->Store().Put({m_tables.m_intake, "intake-0", "j/none"}, "{}");
    m_cluster->Store().Put({m_tables.m_intake, "intake-0", "later/1"}, "{}");
    m_cluster->Store().Put({m_tables.m_state, m_tables.m_leader_part, "later/1"}, "{}");
    m_cluster->Run(Millis{8'000});
    CPPUNIT_ASSERT(m_cluster->Leader());
    CheckPhase(job, JobPhase::kCompleted);
    const std::string metrics = m_cluster->MetricsText();
    CPPUNIT_ASSERT(Unreadable(metrics, "job") >= 3);
    for (const char* row : {"phase", "step"}) CPPUNIT_ASSERT_EQUAL(3, Unreadable(metrics, row));
    CPPUNIT_ASSERT_EQUAL(std::string(), m_cluster->Violations());
  }

  void UnreadableJobInTheFeedCostsOnlyItself() {
    const JobId unreadable{0x999};
    m_cluster->Store().Put(Row(JobRowKey(unreadable), unreadable), "garbled");
    const JobId job = m_cluster->Submit(0, Tasks(4, 1, kWork), kWork);
    m_cluster->Run(Millis{6'000});
    CheckPhase(job, JobPhase::kCompleted);
    CPPUNIT_ASSERT_EQUAL(1, Unreadable(m_cluster->MetricsText(), "job"));
  }

  // Guards against an unreadable row that the audit reports again with each pass, as one that no feed brought.
  void UnreadableJobIsReportedOnce() {
    const JobId unreadable{0x999};
    m_cluster->Store().Put(Row(JobRowKey(unreadable), unreadable), "garbled");
    m_cluster->Run(Millis{60'000});
    const std::string metrics = m_cluster->MetricsText();
    CPPUNIT_ASSERT_EQUAL(1, Unreadable(metrics, "job"));
    CPPUNIT_ASSERT(metrics.find("hq_intake_rows_missed_total 0") != std::string::npos);
  }

  // Guards against a job that runs again once it is forgotten. An instance of an earlier version accepted it while one
  // of this version led, so that its row was taken to lie in another part, and stayed.
  void JobOfAnEarlierVersionRunsOnce() {
    const JobId early{0x999};
    m_cluster->Store().Put({m_tables.m_intake, m_tables.m_whole_part, JobRowKey(early)}, PlainJob(early));
    m_cluster->Run(Millis{80'000});
    CPPUNIT_ASSERT_EQUAL(1, m_cluster->Sim().Starts());
  }

  void JobOfAnEarlierVersionRunsOnceOverATakeover() {
    const JobId early{0x999};
    m_cluster->Store().Put({m_tables.m_intake, m_tables.m_whole_part, JobRowKey(early)}, PlainJob(early));
    m_cluster->Run(Millis{10'000});
    m_cluster->KillInstance(*m_cluster->Leader());
    m_cluster->Run(Millis{10'000});
    CPPUNIT_ASSERT_EQUAL(1, m_cluster->Sim().Starts());
  }

  // Guards against a job that runs again once it is forgotten. An instance of this version accepted it, then one of an
  // earlier version, which does not know where the first row lies.
  void JobInTwoPartsRunsOnce() {
    const JobId twice = m_cluster->Submit(0, Tasks(1, 1, kWork), kWork);
    m_cluster->Run(kWork / 2);
    m_cluster->Store().Put({m_tables.m_intake, m_tables.m_whole_part, JobRowKey(twice)}, PlainJob(twice));
    m_cluster->Run(Millis{80'000});
    CPPUNIT_ASSERT_EQUAL(1, m_cluster->Sim().Starts());
    CPPUNIT_ASSERT(m_cluster->Store().Rows(m_tables.m_intake).empty());
  }

  // The same after the job's end.
  void EndedJobThatAnEarlierVersionAcceptsAgainRunsOnce() {
    const JobId twice = m_cluster->Submit(0, Tasks(1, 1, kWork), kWork);
    m_cluster->Run(kWork + Millis{5'000});
    CPPUNIT_ASSERT(m_cluster->Store().Rows(m_tables.m_intake).empty());
    m_cluster->Store().Put({m_tables.m_intake, m_tables.m_whole_part, JobRowKey(twice)}, PlainJob(twice));
    m_cluster->Run(Millis{80'000});
    CPPUNIT_ASSERT_EQUAL(1, m_cluster->Sim().Starts());
    CPPUNIT_ASSERT(m_cluster->Store().Rows(m_tables.m_intake).empty());
  }

  // Guards against a leader that says so too early, so that a job which is ending or has ended is accepted again.
  void LeaderKnowsWhetherAnEarlierVersionHasJobs() {
    const auto may_have = [this] { return m_cluster->MayHaveEarlierRowsAt(*m_cluster->Leader()); };
    m_cluster->Run(kWork);
    CPPUNIT_ASSERT(!may_have());
    const JobId early{0x999};
    m_cluster->Store().Put({m_tables.m_intake, m_tables.m_whole_part, JobRowKey(early)}, PlainJob(early));
    for (int second = 0; second < 100; ++second) {
      m_cluster->Run(Millis{1'000});
      CPPUNIT_ASSERT(may_have());
      if (second == 50) m_cluster->KillInstance(*m_cluster->Leader());
      if (second == 50) m_cluster->Run(kStartup);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_cluster->Store().Rows(m_tables.m_ended).size());
    m_cluster->Run(Millis{100'000});
    CPPUNIT_ASSERT(!may_have());
  }

  // Guards against a second start of tasks that run, where only the row that tells of them can't be read. The workers
  // tell their ends.
  void UnreadableStepOfARunningJobRunsNothingTwice() {
    const JobId job = m_cluster->Submit(0, Tasks(4, 1, kWork), kWork);
    const JobId other = m_cluster->Submit(0, Tasks(4, 1, kWork), kWork);
    m_cluster->Run(Millis{700});
    m_cluster->KillInstance(*m_cluster->Leader());
    m_cluster->Store().Put(FirstStep(job), "garbled");
    m_cluster->Run(Millis{8'000});
    CPPUNIT_ASSERT_EQUAL(1, Unreadable(m_cluster->MetricsText(), "step"));
    CPPUNIT_ASSERT_EQUAL(8, m_cluster->Sim().Starts());
    CPPUNIT_ASSERT_EQUAL(std::string(), m_cluster->Violations());
    for (const JobId each : {job, other}) CheckPhase(each, JobPhase::kCompleted);
  }

  // The same of tasks that are done. Their job waits for a leader that can read the row.
  void UnreadableStepThatIsDoneIsNotRepeated() {
    const JobId job = SubmitTwoSteps();
    const std::string readable = Stored(FirstStep(job));
    TakeOverWithGarbled(FirstStep(job));
    CheckPhase(job, JobPhase::kRunning);
    CPPUNIT_ASSERT_EQUAL(5, m_cluster->Sim().Starts());
    CPPUNIT_ASSERT_EQUAL(std::string("garbled"), Stored(FirstStep(job)));
    m_cluster->Store().Put(FirstStep(job), readable);
    m_cluster->KillInstance(*m_cluster->Leader());
    m_cluster->Run(Millis{5'000});
    CheckPhase(job, JobPhase::kCompleted);
    CPPUNIT_ASSERT_EQUAL(5, m_cluster->Sim().Starts());
    CPPUNIT_ASSERT_EQUAL(std::string(), m_cluster->Violations());
  }

  void JobWithAnUnreadableStepCanBeCancelled() {
    const JobId job = SubmitTwoSteps();
    TakeOverWithGarbled(FirstStep(job));
    CheckPhase(job, JobPhase::kRunning);
    m_cluster->Cancel(*m_cluster->Leader(), job);
    m_cluster->Run(Millis{2'000});
    CheckPhase(job, JobPhase::kCancelled);
    CPPUNIT_ASSERT_EQUAL(std::string(), Stored(FirstStep(job)));
    CPPUNIT_ASSERT_EQUAL(std::string(), m_cluster->Violations());
  }

 private:
  store::RowKey Row(const std::string& key, JobId job) const {
    return {m_tables.m_intake, m_tables.IntakePart(job), key};
  }

  std::string Stored(const store::RowKey& key) const {
    for (const store::StoredRow& row : m_cluster->Store().Rows(key.m_table)) {
      if (row.m_key == key) return row.m_value;
    }
    return "";
  }

  store::RowKey FirstStep(JobId job) const {
    return {m_tables.m_state, m_tables.m_leader_part, jobs::ToText(jobs::StepKey{job, 0, 0})};
  }

  // Two tasks, then three: the second step runs.
  JobId SubmitTwoSteps() {
    jobs::StepSpec second = Tasks(3, 1, kWork);
    second.m_after = {0};
    const JobId job = m_cluster->SubmitSteps(0, {Tasks(2, 1, kWork), second}, kWork, 1);
    m_cluster->Run(kWork + Millis{800});
    CPPUNIT_ASSERT_EQUAL(5, m_cluster->Sim().Starts());
    return job;
  }

  void TakeOverWithGarbled(const store::RowKey& row) {
    m_cluster->KillInstance(*m_cluster->Leader());
    m_cluster->Store().Put(row, "garbled");
    m_cluster->Run(Millis{8'000});
    CPPUNIT_ASSERT(m_cluster->Leader());
  }

  // A job of one short task.
  std::string PlainJob(JobId id) {
    standin::StepTruth truth;
    truth.m_spec = Tasks(1, 1, Millis{100});
    truth.m_pool = jobs::PoolName{"pool"};
    truth.m_work = {Millis{100}};
    m_cluster->Sim().Know({id, 0, 0}, truth);
    jobs::AcceptedJob job;
    job.m_queue = jobs::QueueName{"q1"};
    job.m_account = AccountId{"account"};
    job.m_pool = jobs::PoolName{"pool"};
    job.m_priority = 1;
    job.m_request.m_steps.push_back(truth.m_spec);
    return Write(job);
  }

  void CheckPhase(JobId job, JobPhase phase) const {
    const auto stored = m_cluster->StoredPhase(job);
    CPPUNIT_ASSERT_EQUAL(std::string(ToString(phase)), std::string(stored ? ToString(*stored) : "none"));
  }

  TableNames m_tables;
  std::unique_ptr<SimCluster> m_cluster;
};

CPPUNIT_TEST_SUITE_REGISTRATION(OtherRowsTest);

//-------------------------------------------------------------------------------------------------
// Settings
//-------------------------------------------------------------------------------------------------

class OtherSettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OtherSettingsTest);
  CPPUNIT_TEST(SettingsOfBeforeAreRead);
  CPPUNIT_TEST(SettingsOfTodayAreRead);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a key that is required now and that no file of before has.
  void SettingsOfBeforeAreRead() {
    const settings::NodeSettings read = Read(recorded::kSettings);
    CPPUNIT_ASSERT(read.m_ignored.empty());
    CheckFacts(read);
    CPPUNIT_ASSERT(read.m_terms.m_cancel == settings::TermsSection{}.m_cancel);
    CPPUNIT_ASSERT(read.m_terms.m_drain == settings::TermsSection{}.m_drain);
  }

  void SettingsOfTodayAreRead() {
    std::ifstream file(std::string(std::getenv("HQ_SOURCE")) + "/deploy/node.ini");
    std::ostringstream text;
    text << file.rdbuf();
    const settings::NodeSettings read = Read(Render(text.str()));
    CPPUNIT_ASSERT(read.m_ignored.empty());
    CheckFacts(read);
    CPPUNIT_ASSERT(read.m_terms.m_cancel == Millis{3'100});
    CPPUNIT_ASSERT(read.m_terms.m_drain == Millis{2'100});
    CPPUNIT_ASSERT_EQUAL(512, read.m_capacity.m_memory_mb);
    CPPUNIT_ASSERT_EQUAL(8'192, read.m_capacity.m_descriptors);
    CPPUNIT_ASSERT_EQUAL(std::size_t{32'768}, read.m_terms.m_row_bytes);
  }

 private:
  static settings::NodeSettings Read(const std::string& text) {
    std::istringstream in(text);
    const auto read = settings::ParseNodeSettings("node.ini", in);
    CPPUNIT_ASSERT_MESSAGE(Ok(read) ? "" : ToString(ErrorOf(read)), Ok(read));
    return ValueOf(read);
  }

  static void CheckFacts(const settings::NodeSettings& read) {
    const settings::TermsSection& terms = read.m_terms;
    CPPUNIT_ASSERT_EQUAL(std::string("node-1"), read.m_node.m_name);
    CPPUNIT_ASSERT(read.m_node.m_domain == DomainId{"d1"});
    CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:17000"), net::ToString(read.m_node.m_callers));
    CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:17001"), net::ToString(read.m_node.m_ready));
    CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:17003"), net::ToString(read.m_node.m_inner));
    CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:17010"), net::ToString(read.m_node.m_metrics));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, read.m_node.m_seeds.size());
    CPPUNIT_ASSERT(read.m_node.m_grace == Millis{4'500});
    CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:1"), net::ToString(read.m_store.m_address));
    CPPUNIT_ASSERT_EQUAL(0.25, read.m_capacity.m_processor_share);
    CPPUNIT_ASSERT_EQUAL(20.0, read.m_capacity.m_link_mbit_s);
    CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:2"), net::ToString(read.m_machines.m_address));
    CPPUNIT_ASSERT(terms.m_longest_lease == Millis{5'000} && terms.m_stop_timeout == Millis{900});
    CPPUNIT_ASSERT(terms.m_reclaim == Millis{2'600} && terms.m_restore == Millis{240});
    CPPUNIT_ASSERT(terms.m_keep_ended == Millis{110'000} && terms.m_evacuate == Millis{4'900});
    CPPUNIT_ASSERT_EQUAL(2.5, terms.m_remote_factor);
  }

  // Fills in the fields, as the platform does.
  static std::string Render(std::string text) {
    static const std::map<std::string, std::string> fields{{"node", "node-1"},
                                                           {"zone", "d1"},
                                                           {"listen.front", "127.0.0.1:17000"},
                                                           {"listen.ready", "127.0.0.1:17001"},
                                                           {"listen.control", "127.0.0.1:17003"},
                                                           {"ip", "127.0.0.1"},
                                                           {"portRange.0", "17010"},
                                                           {"seeds", "127.0.0.1:17003, 127.0.0.2:17003"},
                                                           {"bounds.graceS", "4.5"},
                                                           {"platform.address", "127.0.0.1:1"},
                                                           {"limits.cpuShare", "0.25"},
                                                           {"limits.linkMbps", "20.0"},
                                                           {"limits.memoryMb", "512"},
                                                           {"limits.maxFds", "8192"},
                                                           {"platform.rowBytes", "32768"},
                                                           {"cloudApi.address", "127.0.0.1:2"},
                                                           {"bounds.maxHoldMs", "5000"},
                                                           {"bounds.stopTimeoutMs", "900"},
                                                           {"bounds.reclaimMs", "2600"},
                                                           {"bounds.restoreMs", "240"},
                                                           {"bounds.status_s", "110"},
                                                           {"bounds.evacuateMs", "4900"},
                                                           {"bounds.cancel_ms", "3100"},
                                                           {"bounds.drainMs", "2100"},
                                                           {"bounds.remoteFactor", "2.5"}};
    const auto replace = [&text](const std::string& part, const std::string& by) {
      for (std::size_t at = 0; (at = text.find(part, at)) != std::string::npos; at += by.size()) {
        text.replace(at, part.size(), by);
      }
    };
    for (const auto& [name, value] : fields) {
      const std::size_t begin = text.find("{{#" + name + "}}");
      if (begin != std::string::npos) text.replace(text.find("{{.}}", begin), 5, value);
      replace("{{#" + name + "}}", "");
      replace("{{/" + name + "}}", "");
      replace("{{" + name + "}}", value);
    }
    CPPUNIT_ASSERT_MESSAGE(text, text.find("{{") == std::string::npos);
    return text;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OtherSettingsTest);

}  // namespace
}  // namespace hickoryquay::service
