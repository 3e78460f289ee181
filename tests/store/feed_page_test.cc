// A feed whose answer was cut off: more changes are behind it.

#include <cppunit/extensions/HelperMacros.h>

#include "hickoryquay/store/table_follower.h"

namespace hickoryquay::store {
namespace {

constexpr Millis kCall{4};

// Answers the first feed call with a row and more behind it, and no other one.
class CutStore final : public RowStore {
 public:
  CutStore(TimerService* timers, const Clock* clock) : m_timers(timers), m_clock(clock) {}
  int Feeds() const { return m_feeds; }

  void Transact(const Transaction&, Millis, TransactCallback) override {}
  void Read(const RowRange&, int, Millis, ReadCallback callback) override { Answer({}, false, callback); }
  void Feed(const std::string&, Version, Millis, Millis, ReadCallback callback) override {
    if (++m_feeds == 1) Answer({{{"table", "", "key"}, "value", Version{2}, false}}, true, callback);
  }

 private:
  void Answer(const std::vector<StoredRow>& rows, bool more, const ReadCallback& callback) {
    m_timers
        ->After(kCall,
                [this, rows, more, callback] {
                  callback(RowPage{rows, more, Version{1 + rows.size()}, m_clock->Now()});
                })
        .Detach();
  }

  TimerService* m_timers;
  const Clock* m_clock;
  int m_feeds = 0;
};

class FeedPageTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FeedPageTest);
  CPPUNIT_TEST(AnswerThatWasCutOffDoesNotMakeTheViewRecent);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a view that counts as recent while changes of seconds ago have not been read.
  void AnswerThatWasCutOffDoesNotMakeTheViewRecent() {
    ManualClock clock;
    clock.Set(Instant{1'000'000});
    ManualTimerService timers(&clock);
    CutStore store(&timers, &clock);
    FollowerSettings settings;
    settings.m_table = "table";
    settings.m_pause = Millis{150};
    auto follower = std::make_shared<TableFollower>(&store, &timers, &clock, settings, [](const auto&, bool) {});
    follower->Start();
    timers.Advance(kCall + Millis{1});
    const Instant scanned = follower->CompleteAt();
    timers.Advance(Millis{50});
    CPPUNIT_ASSERT(follower->CompleteAt() == scanned);
    CPPUNIT_ASSERT_EQUAL(2, store.Feeds());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FeedPageTest);

}  // namespace
}  // namespace hickoryquay::store
