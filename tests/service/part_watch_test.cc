#include "hickoryquay/service/part_watch.h"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

namespace hickoryquay::service {
namespace {

// Keeps the reads until the test answers them.
class HeldStore final : public store::RowStore {
 public:
  void Transact(const store::Transaction&, Millis, store::TransactCallback) override {}
  void Read(const store::RowRange&, int, Millis, store::ReadCallback callback) override { m_reads.push_back(callback); }
  void Feed(const store::FeedRange&, Millis, store::ReadCallback) override {}

  std::vector<store::ReadCallback> m_reads;
};

class PartWatchTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PartWatchTest);
  CPPUNIT_TEST(PauseOfThisProcessIsNoSilence);
  CPPUNIT_TEST(ProbeAfterThePauseDecides);
  CPPUNIT_TEST(CallsThatEndInTimeCount);
  CPPUNIT_TEST(LateProbesSendNoOthers);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_timers.Advance(Millis{1'000});
    m_watch->NoteAnswer(m_part, Instant{990});
  }

  // Guards against a process that paused refusing work because the answers that it has not read yet count as silence.
  void PauseOfThisProcessIsNoSilence() {
    NoteSilenceAfter(Millis{4'000});
    CPPUNIT_ASSERT(!m_watch->IsSilent(m_part));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_store.m_reads.size());
    m_store.m_reads[0](store::RowPage{});
    CPPUNIT_ASSERT(!m_watch->IsSilent(m_part));
  }

  // Guards against a pause hiding an outage that goes on.
  void ProbeAfterThePauseDecides() {
    NoteSilenceAfter(Millis{4'000});
    m_timers.Advance(PartWatchSettings{}.m_probe_timeout);
    m_store.m_reads.at(0)(store::ReadError{store::Unreachable{"no answer"}});
    CPPUNIT_ASSERT(m_watch->IsSilent(m_part));
  }

  void CallsThatEndInTimeCount() {
    NoteSilenceAfter(kLimit + PartWatchSettings{}.m_longest_late);
    CPPUNIT_ASSERT(m_watch->IsSilent(m_part));
  }

  // Guards against a process that stays late sending more probes with each call that ends.
  void LateProbesSendNoOthers() {
    NoteSilenceAfter(Millis{4'000});
    NoteSilenceAfter(Millis{4'000});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_store.m_reads.size());
  }

 private:
  static constexpr Millis kLimit{1'500};

  void NoteSilenceAfter(Millis took) {
    const Instant sent = m_clock.Now() + Millis{1};
    m_timers.Advance(took + Millis{1});
    m_watch->NoteSilence(m_part, sent, kLimit);
  }

  const StorePart m_part{"table", "part"};
  HeldStore m_store;
  ManualClock m_clock;
  ManualTimerService m_timers{&m_clock};
  std::shared_ptr<PartWatch> m_watch = std::make_shared<PartWatch>(&m_store, &m_timers, &m_clock, PartWatchSettings{});
};

CPPUNIT_TEST_SUITE_REGISTRATION(PartWatchTest);

}  // namespace
}  // namespace hickoryquay::service
