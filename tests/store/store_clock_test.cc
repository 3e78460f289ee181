#include "hickoryquay/store/store_clock.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hickoryquay::store {
namespace {

class StoreClockTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreClockTest);
  CPPUNIT_TEST(AnswerThatWaitedIsOld);
  CPPUNIT_TEST(DelayOfAllAnswersIsNotTakenForNone);
  CPPUNIT_TEST(WithoutTheStoresClockTheCallCounts);
  CPPUNIT_TEST(SteppedClockStaysWithinTheCall);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against taking the arrival of an answer for the moment that it describes.
  void AnswerThatWaitedIsOld() {
    StoreClock clock;
    CPPUNIT_ASSERT(clock.AnsweredAt(Instant{50'000}, Instant{1'000}, Instant{1'004}) == Instant{1'000});
    // Given 996 ms after the first, read 5 s later.
    CPPUNIT_ASSERT(clock.AnsweredAt(Instant{50'996}, Instant{1'100}, Instant{7'000}) == Instant{1'996});
  }

  // Guards against a view that looks recent because every answer is late by as much.
  void DelayOfAllAnswersIsNotTakenForNone() {
    StoreClock clock;
    for (int i = 0; i < 10; ++i) {
      const Instant sent{1'000 + i * 2'100};
      const Instant given = sent + Millis{4};
      CPPUNIT_ASSERT(clock.AnsweredAt(given + Millis{50'000}, sent, given + Millis{2'000}) <= given);
    }
  }

  void WithoutTheStoresClockTheCallCounts() {
    StoreClock clock;
    CPPUNIT_ASSERT(clock.AnsweredAt(Instant{}, Instant{1'000}, Instant{3'000}) == Instant{1'000});
  }

  // The store's clock may begin anew.
  void SteppedClockStaysWithinTheCall() {
    StoreClock clock;
    clock.AnsweredAt(Instant{50'000}, Instant{1'000}, Instant{1'004});
    CPPUNIT_ASSERT(clock.AnsweredAt(Instant{10}, Instant{2'000}, Instant{2'500}) == Instant{2'000});
    CPPUNIT_ASSERT(clock.AnsweredAt(Instant{90'000}, Instant{3'000}, Instant{3'500}) == Instant{3'500});
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreClockTest);

}  // namespace
}  // namespace hickoryquay::store
