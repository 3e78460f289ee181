// Cancels beside submissions whose writes are still under way, at several instances. Virtual time, no network.

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <map>

#include "hickoryquay/jobs/rows.h"
#include "hickoryquay/service/intake.h"
#include "standin/sim_store.h"

namespace hickoryquay::service {
namespace {

using standin::StoreMood;

constexpr Millis kCallerTimeout{3'000};
constexpr Millis kLatestLateWrite{10'000};
constexpr JobId kJob{0x5c0e};

std::string Text(const Result<Done, IntakeError>& result) {
  if (Ok(result)) return "done";
  return std::visit(
      Overloaded{[](const TryLater&) { return "try later"; }, [](const OutcomeUnknown&) { return "unknown"; },
                 [](const NoSuchJob&) { return "no such job"; }, [](const auto&) { return "other"; }},
      ErrorOf(result));
}

// An instance with its own way to the store.
struct Instance {
  Instance(standin::SimStore* store, TimerService* timers, const Clock* clock, const IntakeSettings& settings)
      : m_client(store), m_intake(std::make_shared<Intake>(&m_client, timers, clock, &m_metrics, settings)) {
    m_intake->Start();
  }

  Metrics m_metrics;
  standin::SimStoreClient m_client;
  std::shared_ptr<Intake> m_intake;
};

class CancelTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CancelTest);
  CPPUNIT_TEST(LateWriteOfASubmissionFailsAfterItsCancel);
  CPPUNIT_TEST(CancelBesideASubmissionUnderWayCancelsIt);
  CPPUNIT_TEST(SubmissionAfterItsCancelIsShownAsCancelled);
  CPPUNIT_TEST(JobThatNobodySubmittedIsNotShown);
  CPPUNIT_TEST(RepeatedCancelGetsTheSameAnswer);
  CPPUNIT_TEST(CancelOfAnEndedJobDoesNotDenyIt);
  CPPUNIT_TEST(LateCancelOfAnArchivedJobLeavesNothing);
  CPPUNIT_TEST(LateTombstoneDoesNotHideAnAcceptedJob);
  CPPUNIT_TEST(CancelThatIsDoneInPartIsNotRefused);
  CPPUNIT_TEST(CancelThatLeavesNoTombstoneIsNotAnswered);
  CPPUNIT_TEST(CancelsOfUnknownJobsDoNotFillTheStore);
  CPPUNIT_TEST(CancelOfAJobOfAnEarlierVersionCancelsIt);
  CPPUNIT_TEST(LateWriteOfAnEarlierVersionFailsAfterItsCancel);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_clock.Set(Instant{1'000'000});
    m_store = std::make_unique<standin::SimStore>(&m_timers, &m_clock, standin::SimStoreSettings{});
    IntakeSettings settings;
    settings.m_most_tombstones = kMostTombstones;
    for (auto& instance : m_instances) {
      instance = std::make_unique<Instance>(m_store.get(), &m_timers, &m_clock, settings);
    }
  }

  // Guards against a job that runs after its cancel was answered: the store does an unanswered write of it late.
  void LateWriteOfASubmissionFailsAfterItsCancel() {
    m_instances[0]->m_client.SetMood(StoreMood::kLateWrites);
    const auto submitted = Submit(0);
    m_timers.Advance(Millis{400});  // Its caller leaves.
    CPPUNIT_ASSERT_EQUAL(std::string("no such job"), Cancel(1));
    m_timers.Advance(kLatestLateWrite);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_store->Rows(m_tables.m_intake).size());
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"), *submitted);
  }

  // Guards against a cancel that is answered "no such job" on a row that a submission has just written.
  void CancelBesideASubmissionUnderWayCancelsIt() {
    const auto submitted = Submit(0);
    m_timers.Advance(Millis{3});  // It is stored between the cancel's read and its write.
    CPPUNIT_ASSERT_EQUAL(std::string("done"), Cancel(1));
    CPPUNIT_ASSERT_EQUAL(std::string("done"), *submitted);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_store->Rows(m_tables.m_intake).size());  // The job and its cancel.
  }

  // Guards against a job that is accepted and never known, or that runs although it was cancelled.
  void SubmissionAfterItsCancelIsShownAsCancelled() {
    CPPUNIT_ASSERT_EQUAL(std::string("no such job"), Cancel(1));
    const auto submitted = Submit(0);
    m_timers.Advance(kCallerTimeout);
    CPPUNIT_ASSERT_EQUAL(std::string("done"), *submitted);
    for (const std::size_t instance : {0, 1, 2}) CPPUNIT_ASSERT_EQUAL(std::string("cancelled"), State(instance));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_store->Rows(m_tables.m_intake).size());
    CPPUNIT_ASSERT_EQUAL(std::string("done"), Cancel(2));  // The job exists now.
  }

  // Guards against a tombstone that is shown as a cancelled job.
  void JobThatNobodySubmittedIsNotShown() {
    CPPUNIT_ASSERT_EQUAL(std::string("no such job"), Cancel(1));
    for (const std::size_t instance : {0, 1, 2}) CPPUNIT_ASSERT_EQUAL(std::string("no such job"), State(instance));
  }

  // Guards against a repeat, at another instance too, that is answered otherwise or leaves another row.
  void RepeatedCancelGetsTheSameAnswer() {
    for (const std::size_t instance : {0, 1, 1}) CPPUNIT_ASSERT_EQUAL(std::string("no such job"), Cancel(instance));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_store->Rows(m_tables.m_ended).size());
  }

  // Guards against a repeated cancel that denies the job which the first one has cancelled.
  void CancelOfAnEndedJobDoesNotDenyIt() {
    const auto submitted = Submit(0);
    m_timers.Advance(kCallerTimeout);
    CPPUNIT_ASSERT_EQUAL(std::string("done"), Cancel(1));
    Archive(jobs::JobPhase::kCancelled);
    for (const std::size_t instance : {0, 1, 2}) CPPUNIT_ASSERT_EQUAL(std::string("done"), Cancel(instance));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_store->Rows(m_tables.m_intake).size());
  }

  // Guards against rows of a cancel that is written after its job was archived, and that nobody deletes.
  void LateCancelOfAnArchivedJobLeavesNothing() {
    const auto submitted = Submit(0);
    m_timers.Advance(kCallerTimeout);
    m_instances[1]->m_client.SetMood(StoreMood::kLateWrites);
    std::string answer;
    m_instances[1]->m_intake->Cancel(kJob, kCallerTimeout, [&answer](const auto& result) { answer = Text(result); });
    m_timers.Advance(Millis{500});
    Archive(jobs::JobPhase::kCompleted);
    m_timers.Advance(kLatestLateWrite);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_store->Rows(m_tables.m_intake).size());
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"), answer);
  }

  // Guards against an accepted job that is lost to a cancel which was sent before it and is done after it.
  void LateTombstoneDoesNotHideAnAcceptedJob() {
    m_instances[1]->m_client.SetMood(StoreMood::kLateWrites);
    std::string answer;
    m_instances[1]->m_intake->Cancel(kJob, kCallerTimeout, [&answer](const auto& result) { answer = Text(result); });
    m_timers.Advance(Millis{500});
    const auto submitted = Submit(0);
    m_timers.Advance(kLatestLateWrite);
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"), answer);
    CPPUNIT_ASSERT_EQUAL(std::string("done"), *submitted);
    CPPUNIT_ASSERT_EQUAL(std::string("queued"), State(2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_store->Rows(m_tables.m_ended).size());
  }

  // Guards against a refusal that says "no effect" of a cancel whose first tombstone of two is stored.
  void CancelThatIsDoneInPartIsNotRefused() {
    m_store->Put({m_tables.m_intake, m_tables.m_whole_part, JobRowKey(JobId{1})}, "{}");
    m_store->Reject({m_tables.m_ended, m_tables.IntakePart(kJob), jobs::HexText(kJob)});
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"), Cancel(1));
  }

  // Guards against a cancel that promises an end which nothing in the store brings about.
  void CancelThatLeavesNoTombstoneIsNotAnswered() {
    m_instances[1]->m_client.SetMood(StoreMood::kLateWrites);
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"), Cancel(1));
    m_store->Reject({m_tables.m_ended, m_tables.IntakePart(kJob), jobs::HexText(kJob)});
    CPPUNIT_ASSERT_EQUAL(std::string("try later"), Cancel(2));
    m_instances[2]->m_client.SetMood(StoreMood::kRefuses);
    CPPUNIT_ASSERT_EQUAL(std::string("try later"), Cancel(2));
  }

  // Guards against callers who fill the store with cancels of jobs that nobody submitted.
  void CancelsOfUnknownJobsDoNotFillTheStore() {
    constexpr std::uint64_t kCancels = 10 * kMostTombstones;
    std::map<std::string, std::size_t> answers;
    for (std::uint64_t id = 1; id <= kCancels; ++id) ++answers[Cancel(1, JobId{id})];
    CPPUNIT_ASSERT_EQUAL(kMostTombstones, answers["no such job"]);
    CPPUNIT_ASSERT_EQUAL(kCancels - kMostTombstones, answers["try later"]);
    CPPUNIT_ASSERT_EQUAL(kMostTombstones, m_store->Rows(m_tables.m_ended).size());
    CPPUNIT_ASSERT_EQUAL(std::string("no such job"), Cancel(1, JobId{1}));  // A repeat needs no other tombstone.
    m_timers.Advance(IntakeSettings{}.m_tombstone_age);
    CPPUNIT_ASSERT_EQUAL(std::string("no such job"), Cancel(1, JobId{kCancels}));
  }

  // Guards against a job that runs although its cancel was answered: a version before the sixteen parts accepted it.
  void CancelOfAJobOfAnEarlierVersionCancelsIt() {
    m_store->Put({m_tables.m_intake, m_tables.m_whole_part, JobRowKey(kJob)}, "{}");
    CPPUNIT_ASSERT_EQUAL(std::string("done"), Cancel(1));
    const auto rows = m_store->Rows(m_tables.m_intake);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, rows.size());
    for (const auto& row : rows) CPPUNIT_ASSERT_EQUAL(m_tables.m_whole_part, row.m_key.m_part);
    CPPUNIT_ASSERT_EQUAL(CancelRowKey(kJob), rows.front().m_key.m_key);
    for (const auto& row : rows) m_store->Remove(row.m_key);  // It ends.
    m_store->Put({m_tables.m_ended, m_tables.m_whole_part, jobs::HexText(kJob)},
                 jobs::Write(jobs::PhaseRow{jobs::JobPhase::kCancelled, m_clock.Wall()}));
    CPPUNIT_ASSERT_EQUAL(std::string("done"), Cancel(2));
  }

  // Guards against the same where the write of such a version is still under way. Any job in its part tells that it
  // runs.
  void LateWriteOfAnEarlierVersionFailsAfterItsCancel() {
    const std::string& part = m_tables.m_whole_part;
    m_store->Put({m_tables.m_intake, part, JobRowKey(JobId{1})}, "{}");
    for (const std::size_t instance : {1, 2}) CPPUNIT_ASSERT_EQUAL(std::string("no such job"), Cancel(instance));
    store::Transaction submission;
    submission.m_checks = {{{m_tables.m_intake, part, JobRowKey(kJob)}, Version{}},
                           {{m_tables.m_ended, part, jobs::HexText(kJob)}, Version{}}};
    submission.m_puts = {{{m_tables.m_intake, part, JobRowKey(kJob)}, "{}"}};
    bool stored = false;
    m_instances[0]->m_client.Transact(submission, kCallerTimeout,
                                      [&stored](const auto& result) { stored = Ok(result); });
    const auto submitted = Submit(0);  // And where it is sent again to an instance of this version.
    m_timers.Advance(kCallerTimeout);
    CPPUNIT_ASSERT(!stored);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_store->Rows(m_tables.m_intake).size());
    CPPUNIT_ASSERT_EQUAL(std::string("done"), *submitted);
    CPPUNIT_ASSERT_EQUAL(std::string("cancelled"), State(2));
  }

 private:
  static constexpr std::size_t kMostTombstones = 20;

  // Returns where the answer will be.
  std::shared_ptr<const std::string> Submit(std::size_t instance) {
    jobs::JobRequest request;
    request.m_steps.resize(1);
    auto answer = std::make_shared<std::string>("none yet");
    m_instances[instance]->m_intake->Submit(Route{}, kJob, request, kCallerTimeout,
                                            [answer](const auto& result) { *answer = Text(result); });
    return answer;
  }

  std::string Cancel(std::size_t instance, JobId job = kJob) {
    std::string answer = "none yet";
    m_instances[instance]->m_intake->Cancel(job, kCallerTimeout,
                                            [&answer](const auto& result) { answer = Text(result); });
    for (Millis waited{0}; answer == "none yet" && waited <= kCallerTimeout; waited += Millis{1}) {
      m_timers.Advance(Millis{1});
    }
    return answer;
  }

  std::string State(std::size_t instance) {
    std::string answer = "none yet";
    m_instances[instance]->m_intake->State(kJob, kCallerTimeout, [&answer](const auto& result) {
      answer = Ok(result)                                           ? jobs::ToString(ValueOf(result))
               : std::holds_alternative<NoSuchJob>(ErrorOf(result)) ? "no such job"
                                                                    : "other";
    });
    m_timers.Advance(Millis{100});
    return answer;
  }

  // As the leader does.
  void Archive(jobs::JobPhase phase) {
    const std::string part = m_tables.IntakePart(kJob);
    m_store->Remove({m_tables.m_intake, part, JobRowKey(kJob)});
    m_store->Remove({m_tables.m_intake, part, CancelRowKey(kJob)});
    m_store->Put({m_tables.m_ended, part, jobs::HexText(kJob)}, jobs::Write(jobs::PhaseRow{phase, m_clock.Wall()}));
  }

  const TableNames m_tables{};
  ManualClock m_clock;
  ManualTimerService m_timers{&m_clock};
  std::unique_ptr<standin::SimStore> m_store;
  std::array<std::unique_ptr<Instance>, 3> m_instances;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CancelTest);

}  // namespace
}  // namespace hickoryquay::service
