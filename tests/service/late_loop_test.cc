// A leader whose event loop is late, since rounds are long or its processor is short. Virtual time, no network.

#include <cppunit/extensions/HelperMacros.h>

#include "standin/sim_cluster.h"

namespace hickoryquay::service {
namespace {

class LateLoopTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LateLoopTest);
  CPPUNIT_TEST(LateLoopIsNotTakenForASlowLink);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against thousands of starts that wait behind a handful in flight while the loop is late.
  void LateLoopIsNotTakenForASlowLink() {
    constexpr int kTasks = 600;
    ClusterSettings settings;
    settings.m_racks = 8;
    settings.m_workers_per_rack = 12;
    SimCluster cluster(settings);
    cluster.Run(Millis{3'000});
    const int leader = cluster.Leader().value();
    cluster.Submit((leader + 1) % 3, Tasks(kTasks, 1, Millis{60'000}), Millis{60'000}, 0);
    for (int i = 0; i < 20; ++i) {
      cluster.Suspend(leader);
      cluster.Run(Millis{199});
      cluster.Resume(leader);
      cluster.Run(Millis{1});
    }
    CPPUNIT_ASSERT_EQUAL(kTasks, cluster.Sim().Starts());
    CPPUNIT_ASSERT_EQUAL(std::string(), cluster.Violations());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LateLoopTest);

}  // namespace
}  // namespace hickoryquay::service
