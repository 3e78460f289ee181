#include "hickoryquay/placer/gang.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hickoryquay::placer {
namespace {

using workers::Op;
using workers::TaskState;

class GangTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GangTest);
  CPPUNIT_TEST(ReportsAreJudgedByThePhase);
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

 private:
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
