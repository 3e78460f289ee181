// A found case that is not mended, see KNOWN-RED.txt. Virtual time, no network.

#include <cppunit/extensions/HelperMacros.h>

#include "standin/sim_cluster.h"

namespace hickoryquay::service {
namespace {

constexpr Millis kStartup{3'000};

class ViewOpenTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ViewOpenTest);
  CPPUNIT_TEST(FeedThatHearsOfNothingIsNotRecent);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_cluster = std::make_unique<SimCluster>(ClusterSettings{});
    m_cluster->Run(kStartup);
    m_other = (m_cluster->Leader().value() + 1) % 3;
  }
  void tearDown() override { m_cluster.reset(); }

  // Guards against starts on leaving workers while the store answers feeds in time and leaves changes out.
  void FeedThatHearsOfNothingIsNotRecent() {
    m_cluster->Run(Millis{5'000});
    m_cluster->Store().HoldFeeds(Millis{3'000});
    for (const WorkerId& worker : m_cluster->Workers()) m_cluster->Drain(worker, Millis{20'000});
    for (int i = 0; i < 100; ++i) {
      m_cluster->Run(Millis{50});
      m_cluster->Submit(m_other, Tasks(1, 1, Millis{300}), Millis{300}, 0);
    }
    m_cluster->Run(Millis{3'000});
    CPPUNIT_ASSERT_EQUAL(std::string(), m_cluster->Violations());
  }

 private:
  std::unique_ptr<SimCluster> m_cluster;
  int m_other = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ViewOpenTest);

}  // namespace
}  // namespace hickoryquay::service
