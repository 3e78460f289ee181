#include "hickoryquay/placer/gang.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <optional>
#include <vector>

namespace hickoryquay::placer {
namespace {

using workers::Op;
using workers::TaskState;

class GangTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GangTest);
  CPPUNIT_TEST(ReportsAreJudgedByThePhase);
  CPPUNIT_TEST(RefusedCommitOfARunThatEndedIsNoProofThatItNeverRan);
  CPPUNIT_TEST(RefusedCommitWithoutARunNeverRan);
  CPPUNIT_TEST(RefusedCommitWhileTheGangStops);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against reports being judged by the rule of another phase: a gang that starts was taken for one that is
  // restored, and ended again with each report.
  void ReportsAreJudgedByThePhase() {
    Gang gang({{m_a, 1}, {m_b, 1}}, true);
    gang.Begin();
    gang.OnResult(m_a, Op::kReserve, true, "");
    CheckIgnored(&gang, m_a, TaskState::kReserved, Gang::Phase::kReserving);
    gang.OnResult(m_b, Op::kReserve, true, "");
    CheckIgnored(&gang, m_b, TaskState::kReserved, Gang::Phase::kRecording);
    gang.OnRecorded();
    CheckIgnored(&gang, m_a, TaskState::kReserved, Gang::Phase::kCommitting);
    gang.OnResult(m_a, Op::kCommit, true, "");
    gang.OnResult(m_b, Op::kCommit, true, "");
    CheckIgnored(&gang, m_a, TaskState::kRunning, Gang::Phase::kRunning);
    gang.OnStop(false);
    CheckIgnored(&gang, m_a, TaskState::kRunning, Gang::Phase::kStopping);
    gang.OnReport(m_a, Report(TaskState::kStopped));
    gang.OnReport(m_b, Report(TaskState::kStopped));
    CheckIgnored(&gang, m_a, TaskState::kStopped, Gang::Phase::kEnded);
  }

  // Guards against a job that may run once running twice: the first commit was carried out and its answer lost, the run
  // failed, and the second commit is refused.
  void RefusedCommitOfARunThatEndedIsNoProofThatItNeverRan() {
    Gang gang = Committing({{m_a, 1}});
    gang.OnResult(m_a, Op::kCommit, false, "refused");
    CheckFailed(gang.OnReport(m_a, Report(TaskState::kFailed)), true);
    CPPUNIT_ASSERT(gang.Ended());
  }

  void RefusedCommitWithoutARunNeverRan() {
    Gang lapsed = Committing({{m_a, 1}});
    lapsed.OnResult(m_a, Op::kCommit, false, "refused");
    CheckFailed(lapsed.OnReport(m_a, std::nullopt), false);
    Gang reserved = Committing({{m_a, 1}});
    reserved.OnResult(m_a, Op::kCommit, false, "refused");
    CheckFailed(reserved.OnReport(m_a, Report(TaskState::kReserved)), false);
  }

  // Guards against the same while another part of the gang has failed to start.
  void RefusedCommitWhileTheGangStops() {
    for (const bool ran : {false, true}) {
      Gang gang = Committing({{m_a, 1}, {m_b, 1}});
      gang.OnResult(m_a, Op::kCommit, false, "refused");
      gang.OnReport(m_a, std::nullopt);
      CPPUNIT_ASSERT(gang.CurrentPhase() == Gang::Phase::kStopping);
      gang.OnResult(m_b, Op::kCommit, false, "refused");
      CPPUNIT_ASSERT(gang.CurrentPhase() == Gang::Phase::kStopping);
      CheckFailed(gang.OnReport(m_b, ran ? std::optional(Report(TaskState::kStopped)) : std::nullopt), ran);
    }
  }

 private:
  static Gang Committing(const std::vector<Placement>& placements) {
    Gang gang(placements, true);
    gang.Begin();
    for (const Placement& placement : placements) gang.OnResult(placement.m_worker, Op::kReserve, true, "");
    gang.OnRecorded();
    return gang;
  }

  static void CheckFailed(const GangOutputs& outputs, bool may_have_run) {
    const auto failed = std::find_if(outputs.begin(), outputs.end(), [](const GangOutput& output) {
      return std::holds_alternative<StartFailed>(output);
    });
    CPPUNIT_ASSERT(failed != outputs.end());
    CPPUNIT_ASSERT_EQUAL(may_have_run, std::get<StartFailed>(*failed).m_may_have_run);
  }

  static workers::TaskReport Report(TaskState state) {
    workers::TaskReport report;
    report.m_state = state;
    return report;
  }

  static void CheckIgnored(Gang* gang, const WorkerId& worker, TaskState state, Gang::Phase phase) {
    CPPUNIT_ASSERT(gang->CurrentPhase() == phase);
    CPPUNIT_ASSERT(gang->OnReport(worker, Report(state)).empty());
    CPPUNIT_ASSERT(gang->CurrentPhase() == phase);
  }

  const WorkerId m_a{"w-a"};
  const WorkerId m_b{"w-b"};
};

CPPUNIT_TEST_SUITE_REGISTRATION(GangTest);

}  // namespace
}  // namespace hickoryquay::placer
