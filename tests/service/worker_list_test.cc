// Changes of the list of workers while the leader follows it. Virtual time, no network.

#include <cppunit/extensions/HelperMacros.h>

#include "standin/sim_cluster.h"

namespace hickoryquay::service {
namespace {

class WorkerListTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WorkerListTest);
  CPPUNIT_TEST(WorkersWhoseRowsReturnInOneAnswerStayInUse);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against idle workers that are never used again after their rows were removed and written within one answer.
  void WorkersWhoseRowsReturnInOneAnswerStayInUse() {
    SimCluster cluster{ClusterSettings{}};
    cluster.Run(Millis{8'000});
    for (const store::StoredRow& row : cluster.Store().Rows("workers")) {
      cluster.Store().Remove(row.m_key);
      cluster.Store().Put(row.m_key, row.m_value);
    }
    cluster.Run(Millis{1'000});
    const JobId job = cluster.Submit(0, Tasks(8, 8, Millis{300}), Millis{300}, 0);
    cluster.Run(Millis{2'000});
    CPPUNIT_ASSERT(cluster.StoredPhase(job) == jobs::JobPhase::kCompleted);
    CPPUNIT_ASSERT_EQUAL(std::string(), cluster.Violations());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkerListTest);

}  // namespace
}  // namespace hickoryquay::service
