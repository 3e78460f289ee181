// Progress under faults: any sequence of faults is followed by calm, and then no job waits without a cause.

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "hickoryquay/base/log.h"
#include "tests/jobs/progress_world.h"
#include "tests/property.h"

namespace hickoryquay::jobs::progress {
namespace {

rc::Gen<Event> ArbitraryEvent() {
  return rc::gen::build<Event>(rc::gen::set(&Event::m_kind, rc::gen::inRange(0, World::kKinds)),
                               rc::gen::set(&Event::m_choice, rc::gen::inRange(0, 10'000)),
                               rc::gen::set(&Event::m_rounds, rc::gen::element(0, 0, 0, 1, 3, 10, 25, 60, 150)));
}

class ProgressFuzz : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ProgressFuzz);
  CPPUNIT_TEST(WorkThatFitsIsNotHeldBackAfterFaults);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { log::Configure({log::Level::kError}); }

  // Guards against accepted jobs that have nothing running while there is ample room, and against ones that never end.
  void WorkThatFitsIsNotHeldBackAfterFaults() {
    test::CheckProperty("work that fits is started in calm", [] {
      const auto events = *rc::gen::container<std::vector<Event>>(ArbitraryEvent());
      World world;
      for (const Event& event : events) world.Apply(event);
      world.CalmDown();
      RC_ASSERT(world.Fault() == std::string());
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProgressFuzz);

}  // namespace
}  // namespace hickoryquay::jobs::progress
