// Writes of the leader during and after store outages. Virtual time, no network.

#include "hickoryquay/service/leadership.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "standin/sim_store.h"

namespace hickoryquay::service {
namespace {

using standin::StoreMood;

class LeadershipTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LeadershipTest);
  CPPUNIT_TEST(WriteResumesWhenStoreReturns);
  CPPUNIT_TEST(WriteWaitsForTimeoutWithoutNotification);
  CPPUNIT_TEST(LateDuplicateWriteIsRejected);
  CPPUNIT_TEST(StoreReturnIsIgnoredWithoutStaleWrite);
  CPPUNIT_TEST(RenewalCountsFromTheLastProofThatItWasNotStored);
  CPPUNIT_TEST(SlowStoreGetsFewCopiesOfAWrite);
  CPPUNIT_TEST(LostAnswersDoNotDelayTheWritesThatFollow);
  CPPUNIT_TEST(CopyInDoubtOfARejectedWriteIsNotTakenForTheNextOne);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_clock.Set(Instant{1'000'000});
    m_store = std::make_unique<standin::SimStore>(&m_timers, &m_clock, standin::SimStoreSettings{});
    m_client = std::make_unique<standin::SimStoreClient>(m_store.get());
    LeadershipSettings settings;
    settings.m_row = {"state", "leader", "leader"};
    settings.m_node = "node";
    settings.m_self = InstanceId{"life"};
    m_leadership = std::make_shared<Leadership>(
        m_client.get(), &m_timers, &m_clock, settings,
        Leadership::Events{[](Epoch) {}, [this](const std::string& why) { m_deposed = why; }});
    m_leadership->Start();
    m_timers.Advance(Millis{2'000});
    CPPUNIT_ASSERT(m_leadership->Leading());
  }
  void tearDown() override { m_leadership->Stop(); }

  void WriteResumesWhenStoreReturns() {
    WriteInOutage(StoreMood::kSilent);
    m_leadership->OnStoreAvailable();
    m_timers.Advance(Millis{30});
    CPPUNIT_ASSERT_EQUAL(1, m_stored);
    CPPUNIT_ASSERT_EQUAL(std::string("value"), ValueOfRow());
  }

  void WriteWaitsForTimeoutWithoutNotification() {
    WriteInOutage(StoreMood::kSilent);
    m_timers.Advance(Millis{30});
    CPPUNIT_ASSERT_EQUAL(0, m_stored);
    m_timers.Advance(Millis{5'000});
    CPPUNIT_ASSERT_EQUAL(1, m_stored);
  }

  // The store applies the first copy of a write seconds after its repetition and a later write were stored.
  void LateDuplicateWriteIsRejected() {
    WriteInOutage(StoreMood::kLateWrites);
    m_leadership->OnStoreAvailable();
    m_timers.Advance(Millis{30});
    CPPUNIT_ASSERT_EQUAL(1, m_stored);
    Write("second");
    m_timers.Advance(Millis{20'000});
    CPPUNIT_ASSERT_EQUAL(2, m_stored);
    CPPUNIT_ASSERT_EQUAL(std::string("second"), ValueOfRow());
    CPPUNIT_ASSERT_EQUAL(std::string(), m_deposed);
    CPPUNIT_ASSERT(m_leadership->Leading());
  }

  // A write without an answer is applied while the answer to the read that did not find it is on its way. It is sent
  // again after that. A successor counts from when it was applied; leases must not be extended any longer.
  void RenewalCountsFromTheLastProofThatItWasNotStored() {
    m_store->SetLatency(Millis{400});
    m_store->SetTransactionTime(Millis{300});
    m_client->SetMood(StoreMood::kLosesWrites);
    const Instant applied = m_clock.Now() + Millis{500};
    Write("value");
    m_timers.Advance(Millis{300});
    CPPUNIT_ASSERT_EQUAL(std::string(), ValueOfRow());
    m_client->SetMood(StoreMood::kServes);
    m_timers.Advance(Millis{700});
    m_client->SetMood(StoreMood::kSilent);  // For further renewals. The answer that finds the write is on its way.
    m_timers.Advance(Millis{400});
    CPPUNIT_ASSERT_EQUAL(1, m_stored);
    // The earliest takeover comes 1,100 ms after that; the successor takes grants to end 400 ms later.
    m_timers.Advance(applied + Millis{1'100 + 400 + 10} - m_clock.Now());
    CPPUNIT_ASSERT(!m_leadership->MayGrant());
  }

  // Copies of a write queue up behind each other in its part of the store, and make it slower still. In this time the
  // part does five transactions.
  void SlowStoreGetsFewCopiesOfAWrite() {
    m_store->SetTransactionTime(Millis{900});
    const std::int64_t before = m_client->Transactions();
    Write("value");
    m_timers.Advance(Millis{4'500});
    CPPUNIT_ASSERT(m_stored > 0);
    CPPUNIT_ASSERT(m_leadership->Leading());
    CPPUNIT_ASSERT_MESSAGE(std::to_string(m_client->Transactions() - before), m_client->Transactions() - before <= 10);
  }

  // Every answer to a write is lost for some seconds, while the store is as quick as ever. Each write waited longer
  // than the one before it, up to seconds.
  void LostAnswersDoNotDelayTheWritesThatFollow() {
    m_client->SetMood(StoreMood::kLosesWrites);
    for (int i = 1; i <= 8; ++i) {
      Write("value");
      m_timers.Advance(Millis{400});
      CPPUNIT_ASSERT_EQUAL(i, m_stored);
    }
    CPPUNIT_ASSERT(m_leadership->Leading());
  }

  void StoreReturnIsIgnoredWithoutStaleWrite() {
    m_leadership->OnStoreAvailable();
    Write("value");
    m_leadership->OnStoreAvailable();  // The call was just sent, so it is not verified yet.
    m_timers.Advance(Millis{30});
    CPPUNIT_ASSERT_EQUAL(1, m_stored);
    CPPUNIT_ASSERT(m_leadership->Leading());
  }

  // Guards against a write that counts as stored because a late copy of the rejected one before it has its number.
  void CopyInDoubtOfARejectedWriteIsNotTakenForTheNextOne() {
    m_client->SetMood(StoreMood::kLateWrites);
    m_leadership->Store(
        {{{{"state", "leader", "row"}, "first"}}, {}}, [] {}, [](const std::string&) {});
    m_timers.Advance(Millis{20});
    m_client->SetMood(StoreMood::kServes);
    m_store->Reject({"state", "leader", "row"});
    m_timers.Advance(Millis{900});
    m_store->Accept();  // What rejected the copies was not the store.
    m_client->SetMood(StoreMood::kRefuses);
    bool stored = false;
    m_leadership->Store({{{{"state", "leader", "other"}, "second"}}, {}}, [&stored] { stored = true; });
    m_timers.Advance(Millis{10'000});  // The late copy is applied.
    m_client->SetMood(StoreMood::kServes);
    m_leadership->OnStoreAvailable();
    m_timers.Advance(Millis{5'000});
    const auto rows = m_store->Rows("state");
    CPPUNIT_ASSERT(stored);
    CPPUNIT_ASSERT(std::any_of(rows.begin(), rows.end(), [](const auto& row) { return row.m_value == "second"; }));
  }

 private:
  void Write(const std::string& value) {
    m_leadership->Store({{{{"state", "leader", "row"}, value}}, {}}, [this] { ++m_stored; });
  }

  // Sends a write that gets no answer. The store works again 500 ms later.
  void WriteInOutage(StoreMood mood) {
    m_client->SetMood(mood);
    Write("value");
    m_timers.Advance(Millis{500});
    m_client->SetMood(StoreMood::kServes);
  }

  std::string ValueOfRow() const {
    for (const store::StoredRow& row : m_store->Rows("state")) {
      if (row.m_key.m_key == "row") return row.m_value;
    }
    return "";
  }

  ManualClock m_clock;
  ManualTimerService m_timers{&m_clock};
  std::unique_ptr<standin::SimStore> m_store;
  std::unique_ptr<standin::SimStoreClient> m_client;
  std::shared_ptr<Leadership> m_leadership;
  std::string m_deposed;
  int m_stored = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeadershipTest);

}  // namespace
}  // namespace hickoryquay::service
