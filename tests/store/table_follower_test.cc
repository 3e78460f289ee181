// Reading a table over links of any speed, and following its changes. Virtual time, no network.

#include "hickoryquay/store/table_follower.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <set>

#include "hickoryquay/store/adaptive_store.h"
#include "standin/sim_store.h"

namespace hickoryquay::store {
namespace {

constexpr int kRows = 400;
constexpr std::size_t kRowBytes = 2'000;
constexpr int kSlowLink = 250;                                                         // Bytes a millisecond: 2 Mbit/s.
constexpr Millis kTableTime{kRows * static_cast<int>(kRowBytes) * 4 / 3 / kSlowLink};  // On that link, without pauses.
constexpr std::size_t kLargeRow = 400'000;
constexpr Millis kLargeRowTime{static_cast<int>(kLargeRow) * 4 / 3 / kSlowLink};
constexpr const char* kTable = "table";
constexpr const char* kPart = "part";

// A store some of whose rows can't be read, not even their keys.
class UnreadableRows final : public RowStore {
 public:
  explicit UnreadableRows(RowStore* store) : m_store(store) {}

  void Transact(const Transaction& transaction, Millis timeout, TransactCallback callback) override {
    m_store->Transact(transaction, timeout, std::move(callback));
  }
  void Read(const RowRange& range, int limit, Millis timeout, ReadCallback callback) override {
    ++m_reads;
    m_store->Read(range, limit, timeout, Hiding(std::move(callback)));
  }
  void Feed(const FeedRange& range, Millis timeout, ReadCallback callback) override {
    m_store->Feed(range, timeout, Hiding(std::move(callback)));
  }

  std::set<RowKey> m_hidden;
  int m_reads = 0;

 private:
  ReadCallback Hiding(ReadCallback callback) {
    return [this, callback = std::move(callback)](Result<RowPage, ReadError> page) {
      if (Ok(page)) {
        auto& read = std::get<RowPage>(page);
        read.m_unreadable =
            std::erase_if(read.m_rows, [this](const StoredRow& row) { return m_hidden.contains(row.m_key); });
      }
      callback(std::move(page));
    };
  }

  RowStore* m_store;
};

class TableFollowerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TableFollowerTest);
  CPPUNIT_TEST(LargeTableArrivesOverASlowLink);
  CPPUNIT_TEST(LargeRowsArriveOneByOne);
  CPPUNIT_TEST(FastLinkNeedsFewCalls);
  CPPUNIT_TEST(SlowStoreNeedsFewCalls);
  CPPUNIT_TEST(PagesLeaveRoomOnASlowLink);
  CPPUNIT_TEST(ScanGoesOnWhereItBroke);
  CPPUNIT_TEST(RowsChangedDuringAScanAreCurrent);
  CPPUNIT_TEST(SlowPageIsNoUnreachableStore);
  CPPUNIT_TEST(SilentStoreIsReportedUnreachable);
  CPPUNIT_TEST(UnreadableRowsCostOnlyThemselves);
  CPPUNIT_TEST(TableOfUnreadablePagesIsNotTakenForEmpty);
  CPPUNIT_TEST(MissedVersionsAreNotAllRead);
  CPPUNIT_TEST(ChangeOfALargeRowIsReadOnce);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_clock.Set(Instant{1'000'000});
    m_store = std::make_unique<standin::SimStore>(&m_timers, &m_clock, standin::SimStoreSettings{});
    m_client = std::make_unique<standin::SimStoreClient>(m_store.get());
    m_adaptive = std::make_unique<AdaptiveStore>(m_client.get(), &m_clock, &m_metrics, AdaptiveSettings{});
  }
  void tearDown() override {
    if (m_follower) m_follower->Stop();
  }

  // Known from the grown deployment: pages of 500 rows did not arrive within a call's time over 10 Mbit/s, the scan
  // began anew each time, and a leader never loaded its tables.
  void LargeTableArrivesOverASlowLink() {
    Fill(kRows, kRowBytes);
    m_client->SetLink(kSlowLink);
    Follow();
    m_timers.Advance(kTableTime + Millis{2'000});
    CPPUNIT_ASSERT(m_follower->Synced());
    CPPUNIT_ASSERT_EQUAL(std::size_t{kRows}, m_rows.size());
    CPPUNIT_ASSERT(m_client->ReceivedBytes() < 3 * kRows * static_cast<std::int64_t>(kRowBytes));
  }

  // Rows of the largest size that the store takes.
  void LargeRowsArriveOneByOne() {
    Fill(20, 64'000);
    m_client->SetLink(kSlowLink);
    Follow();
    m_timers.Advance(Millis{15'000});
    CPPUNIT_ASSERT_EQUAL(std::size_t{20}, m_rows.size());
  }

  void FastLinkNeedsFewCalls() {
    Fill(2'000, 200);
    m_client->SetLink(125'000);  // 1,000 Mbit/s.
    Follow();
    m_timers.Advance(Millis{200});
    CPPUNIT_ASSERT_EQUAL(std::size_t{2'000}, m_rows.size());
  }

  // Pattern: a takeover while the store takes 240 ms a call, with a worker table of the large deployment. Smaller pages
  // arrive no sooner then. Fifteen calls at most, which is 3.6 s.
  void SlowStoreNeedsFewCalls() {
    Fill(1'100, 300);
    m_store->SetLatency(Millis{240});
    m_client->SetLink(25'000);
    Follow();
    m_timers.Advance(Millis{15 * 240});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1'100}, m_rows.size());
  }

  // Other calls of the instance wait for the page that is under way.
  void PagesLeaveRoomOnASlowLink() {
    Fill(kRows, kRowBytes);
    m_client->SetLink(kSlowLink);
    Follow();
    m_timers.Advance(Millis{1'000});
    Millis longest{0};
    for (int i = 0; i < 20; ++i) {
      std::optional<Instant> answered;
      const Instant sent = m_clock.Now();
      m_client->Read({"other", "", "", ""}, 1, Millis{2'000}, [&](const auto&) { answered = m_clock.Now(); });
      while (!answered) m_timers.Advance(Millis{1});
      longest = std::max(longest, *answered - sent);
      m_timers.Advance(Millis{37});
    }
    CPPUNIT_ASSERT_MESSAGE(std::to_string(longest.count()), longest <= 2 * FollowerSettings{}.m_page_time);
  }

  void ScanGoesOnWhereItBroke() {
    Fill(kRows, kRowBytes);
    m_client->SetLink(kSlowLink);
    Follow();
    m_timers.Advance(kTableTime / 2);
    m_client->SetMood(standin::StoreMood::kSilent);
    m_timers.Advance(Millis{3'000});
    m_client->SetMood(standin::StoreMood::kServes);
    m_timers.Advance(kTableTime / 2 + Millis{3'000});
    CPPUNIT_ASSERT_EQUAL(std::size_t{kRows}, m_rows.size());
  }

  // Removed, changed and added while the scan is under way, behind and before where it is.
  void RowsChangedDuringAScanAreCurrent() {
    Fill(kRows, kRowBytes);
    m_client->SetLink(kSlowLink);
    Follow();
    m_timers.Advance(kTableTime / 2);
    CPPUNIT_ASSERT(!m_follower->Synced());
    m_store->Remove(KeyOf(1));
    m_store->Remove(KeyOf(kRows - 1));
    m_store->Put(KeyOf(2), "changed");
    m_store->Put(KeyOf(kRows - 2), "changed");
    m_store->Put(KeyOf(kRows), "added");
    m_timers.Advance(kTableTime + Millis{5'000});
    CPPUNIT_ASSERT_EQUAL(std::size_t{kRows - 1}, m_rows.size());
    CPPUNIT_ASSERT_EQUAL(std::string("changed"), m_rows.at(KeyOf(2).m_key));
    CPPUNIT_ASSERT_EQUAL(std::string("changed"), m_rows.at(KeyOf(kRows - 2).m_key));
    CPPUNIT_ASSERT(!m_rows.contains(KeyOf(1).m_key));
  }

  void SlowPageIsNoUnreachableStore() {
    Fill(kRows, kRowBytes);
    m_client->SetLink(kSlowLink);
    Follow();
    m_timers.Advance(kTableTime + Millis{2'000});
    CPPUNIT_ASSERT_EQUAL(0, m_unreachable);
  }

  void SilentStoreIsReportedUnreachable() {
    Fill(kRows, kRowBytes);
    m_client->SetMood(standin::StoreMood::kSilent);
    Follow();
    m_timers.Advance(Millis{6'000});
    CPPUNIT_ASSERT_EQUAL(1, m_unreachable);
    m_client->SetMood(standin::StoreMood::kServes);
    m_timers.Advance(Millis{2'000});
    CPPUNIT_ASSERT_EQUAL(std::size_t{kRows}, m_rows.size());
  }

  // A page without a readable row was taken for the end of the table: all workers behind it looked gone.
  void UnreadableRowsCostOnlyThemselves() {
    Fill(kRows, 100);
    UnreadableRows odd(m_client.get());
    for (int i = 0; i < 40; ++i) odd.m_hidden.insert(KeyOf(i));  // More than the first page has.
    odd.m_hidden.insert({KeyOf(99), KeyOf(kRows - 1)});
    Follow(&odd);
    m_timers.Advance(Millis{2'000});
    CPPUNIT_ASSERT_EQUAL(std::size_t{kRows - 42}, m_rows.size());
    CPPUNIT_ASSERT_EQUAL(0, m_unreachable);
    odd.m_hidden.insert(KeyOf(kRows));
    m_store->Put(KeyOf(kRows), "odd");
    m_timers.Advance(Millis{100});
    m_store->Put(KeyOf(kRows + 1), "good");
    m_timers.Advance(Millis{2'000});
    CPPUNIT_ASSERT_EQUAL(std::string("good"), m_rows.at(KeyOf(kRows + 1).m_key));
    m_follower->Stop();
  }

  // More unreadable rows than a page holds can't be passed: the rows known so far stay, and the table is tried again.
  void TableOfUnreadablePagesIsNotTakenForEmpty() {
    Fill(1'100, 10);
    UnreadableRows odd(m_client.get());
    for (int i = 100; i < 700; ++i) odd.m_hidden.insert(KeyOf(i));
    Follow(&odd);
    m_timers.Advance(Millis{10'000});
    CPPUNIT_ASSERT(!m_follower->Synced());
    CPPUNIT_ASSERT_EQUAL(1, m_unreachable);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(odd.m_reads), odd.m_reads < 100);
    odd.m_hidden.clear();
    m_timers.Advance(Millis{5'000});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1'100}, m_rows.size());
    m_follower->Stop();
  }

  // Guards against a configuration that comes late after an outage: all of its versions meanwhile were received, of
  // which only the last one counts.
  void MissedVersionsAreNotAllRead() {
    FollowOneLargeRow();
    m_client->SetMood(standin::StoreMood::kSilent);
    m_timers.Advance(Millis{3'000});
    for (const char version : {'b', 'c', 'd', 'e', 'f', 'g'}) m_store->Put(KeyOf(0), std::string(kLargeRow, version));
    m_client->SetMood(standin::StoreMood::kServes);
    const std::int64_t before = m_client->ReceivedBytes();
    m_timers.Advance(3 * kLargeRowTime / 2 + Millis{1'000});
    CPPUNIT_ASSERT_EQUAL('g', m_rows.at(KeyOf(0).m_key).front());
    CPPUNIT_ASSERT(m_client->ReceivedBytes() - before < 2 * static_cast<std::int64_t>(kLargeRow));
  }

  void ChangeOfALargeRowIsReadOnce() {
    FollowOneLargeRow();
    m_store->Put(KeyOf(0), std::string(kLargeRow + kLargeRow / 2, 'b'));
    m_timers.Advance(2 * kLargeRowTime + Millis{1'000});
    CPPUNIT_ASSERT_EQUAL('b', m_rows.at(KeyOf(0).m_key).front());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, m_follower->Scans());
  }

 private:
  static RowKey KeyOf(int index) { return {kTable, kPart, "row-" + std::to_string(10'000 + index)}; }

  void Fill(int rows, std::size_t bytes) {
    for (int i = 0; i < rows; ++i) m_store->Put(KeyOf(i), std::string(bytes, 'x'));
  }

  void Follow() { Follow(m_adaptive.get()); }

  void FollowOneLargeRow() {
    m_most_versions = 2;
    m_store->Put(KeyOf(0), std::string(kLargeRow, 'a'));
    m_client->SetLink(kSlowLink);
    Follow();
    m_timers.Advance(kLargeRowTime + Millis{1'000});
    CPPUNIT_ASSERT(m_follower->Synced());
  }

  void Follow(RowStore* store) {
    FollowerSettings settings;
    settings.m_table = kTable;
    settings.m_parts = {kPart};
    settings.m_most_versions = m_most_versions;
    m_follower = std::make_shared<TableFollower>(
        store, &m_timers, &m_clock, settings,
        [this](const std::vector<StoredRow>& rows, bool whole) {
          if (whole) m_rows.clear();
          for (const StoredRow& row : rows) {
            if (row.m_removed) {
              m_rows.erase(row.m_key.m_key);
            } else {
              m_rows[row.m_key.m_key] = row.m_value;
            }
          }
        },
        [this](bool reachable) { m_unreachable += reachable ? 0 : 1; });
    m_follower->Start();
  }

  ManualClock m_clock;
  ManualTimerService m_timers{&m_clock};
  Metrics m_metrics;
  std::unique_ptr<standin::SimStore> m_store;
  std::unique_ptr<standin::SimStoreClient> m_client;
  std::unique_ptr<AdaptiveStore> m_adaptive;
  std::shared_ptr<TableFollower> m_follower;
  std::map<std::string, std::string> m_rows;
  int m_unreachable = 0;
  int m_most_versions = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TableFollowerTest);

}  // namespace
}  // namespace hickoryquay::store
