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
  CPPUNIT_TEST(FastStoreClockMakesNoAnswerYoung);
  CPPUNIT_TEST(StoreClockThatSteppedMakesNoAnswerYoung);
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

  // Guards against ages that count from the arrival of an answer again once the store's clock has gained on ours.
  void FastStoreClockMakesNoAnswerYoung() {
    StoreClock clock;
    const auto told = [](Instant at) { return Instant{50'000 + at.m_ms + at.m_ms / 10'000}; };
    Instant now{1'000};
    for (const Instant end{5 * 3'600'000}; now < end; now = now + Millis{400}) {
      const Instant given = now + Millis{396};
      clock.AnsweredAt(told(given), now, given + kWay);
    }
    const Instant given = now + Millis{396};
    CPPUNIT_ASSERT(clock.AnsweredAt(told(given), now, given + Millis{1'500}) <= given + 2 * kWay);
  }

  void StoreClockThatSteppedMakesNoAnswerYoung() {
    StoreClock clock;
    clock.AnsweredAt(Instant{50'000}, Instant{1'000}, Instant{1'004});
    clock.AnsweredAt(Instant{1'050'100}, Instant{1'100}, Instant{1'104});
    const Instant given{2'000};
    CPPUNIT_ASSERT(clock.AnsweredAt(Instant{1'051'000}, Instant{1'200}, given + Millis{1'500}) <= given + kWay);
  }

 private:
  static constexpr Millis kWay{4};  // Of an answer.
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreClockTest);

}  // namespace
}  // namespace hickoryquay::store
