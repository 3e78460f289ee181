#include "hickoryquay/store/adaptive_store.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hickoryquay::store {
namespace {

constexpr Millis kLongest{2'500};

class AdaptiveStoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdaptiveStoreTest);
  CPPUNIT_TEST(HealthyStoreIsNotWaitedForLong);
  CPPUNIT_TEST(SlowStoreGetsItsTimeAtOnce);
  CPPUNIT_TEST(SilenceDoublesTheTimeWithinBounds);
  CPPUNIT_TEST(TimeFallsAgainSlowly);
  CPPUNIT_TEST(SilenceOfACallThatLaterOnesOvertookIsNotSlowness);
  CPPUNIT_TEST_SUITE_END();

 public:
  void HealthyStoreIsNotWaitedForLong() {
    CallTime time{AdaptiveSettings{}};
    for (int i = 0; i < 10; ++i) time.Answered(Millis{4});
    CPPUNIT_ASSERT(time.Allow(kLongest) == AdaptiveSettings{}.m_least);
  }

  void SlowStoreGetsItsTimeAtOnce() {
    CallTime time{AdaptiveSettings{}};
    time.Answered(Millis{300});
    CPPUNIT_ASSERT(time.Allow(kLongest) >= Millis{900});
  }

  void SilenceDoublesTheTimeWithinBounds() {
    CallTime time{AdaptiveSettings{}};
    const Millis first = time.Allow(kLongest);
    time.TimedOut(first);
    CPPUNIT_ASSERT(time.Allow(kLongest) >= 2 * first);
    for (int i = 0; i < 10; ++i) time.TimedOut(time.Allow(kLongest));
    CPPUNIT_ASSERT(time.Allow(kLongest) == kLongest);
    CPPUNIT_ASSERT(time.Allow(Millis{100}) == Millis{100});
  }

  // One silent part of the store, or a lost answer, made all calls wait for seconds.
  void SilenceOfACallThatLaterOnesOvertookIsNotSlowness() {
    CallTime time{AdaptiveSettings{}};
    const Millis first = time.Allow(kLongest);
    time.Answered(Instant{1'100}, Millis{4});
    time.TimedOut(Instant{1'000}, first);
    CPPUNIT_ASSERT(time.Allow(kLongest) == first);
    time.TimedOut(Instant{1'200}, first);
    CPPUNIT_ASSERT(time.Allow(kLongest) >= 2 * first);
  }

  void TimeFallsAgainSlowly() {
    CallTime time{AdaptiveSettings{}};
    time.Answered(Millis{600});
    time.Answered(Millis{4});
    CPPUNIT_ASSERT(time.Allow(kLongest) > Millis{1'500});
    for (int i = 0; i < 60; ++i) time.Answered(Millis{4});
    CPPUNIT_ASSERT(time.Allow(kLongest) == AdaptiveSettings{}.m_least);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdaptiveStoreTest);

}  // namespace
}  // namespace hickoryquay::store
