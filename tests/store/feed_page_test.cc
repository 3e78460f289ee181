// A feed whose answer was cut off: more changes are behind it.

#include <cppunit/extensions/HelperMacros.h>

#include <utility>

#include "hickoryquay/store/table_follower.h"

namespace hickoryquay::store {
namespace {

constexpr Millis kCall{4};

// Answers the first feed call with a page, and no other one.
class CutStore final : public RowStore {
 public:
  CutStore(TimerService* timers, const Clock* clock, RowPage page)
      : m_timers(timers), m_clock(clock), m_page(std::move(page)) {}
  int Feeds() const { return m_feeds; }

  void Transact(const Transaction&, Millis, TransactCallback) override {}
  void Read(const RowRange&, int, Millis, ReadCallback callback) override { Answer({}, callback); }
  void Feed(const FeedRange&, Millis, ReadCallback callback) override {
    if (++m_feeds == 1) Answer(m_page, callback);
  }

 private:
  void Answer(const RowPage& page, const ReadCallback& callback) {
    m_timers
        ->After(kCall,
                [this, page, callback] {
                  RowPage answer = page;
                  answer.m_version = Version{1 + page.m_rows.size()};
                  answer.m_answered = m_clock->Now();
                  callback(answer);
                })
        .Detach();
  }

  TimerService* m_timers;
  const Clock* m_clock;
  RowPage m_page;
  int m_feeds = 0;
};

class FeedPageTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FeedPageTest);
  CPPUNIT_TEST(AnswerThatWasCutOffDoesNotMakeTheViewRecent);
  CPPUNIT_TEST(FullAnswerWithOddEntriesDoesNotMakeTheViewRecent);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a view that counts as recent while changes of seconds ago have not been read.
  void AnswerThatWasCutOffDoesNotMakeTheViewRecent() {
    RowPage page = OneRow();
    page.m_more = true;
    CheckIsCutOff(page);
  }

  // Guards against the same where a page is full, and an entry of it can't be read.
  void FullAnswerWithOddEntriesDoesNotMakeTheViewRecent() {
    RowPage page = OneRow();
    page.m_unreadable = kMaxPageRows - 1;
    CheckIsCutOff(page);
  }

 private:
  static constexpr int kMaxPageRows = 3;

  static RowPage OneRow() {
    RowPage page;
    page.m_rows = {{{"table", "", "key"}, "value", Version{2}, false}};
    return page;
  }

  static void CheckIsCutOff(const RowPage& page) {
    ManualClock clock;
    clock.Set(Instant{1'000'000});
    ManualTimerService timers(&clock);
    CutStore store(&timers, &clock, page);
    FollowerSettings settings;
    settings.m_table = "table";
    settings.m_pause = Millis{150};
    settings.m_max_page_rows = kMaxPageRows;
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
