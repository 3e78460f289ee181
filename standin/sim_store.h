// SimStore: the platform's store of rows in memory, in virtual time, with the moods that it may have.
//
// Each instance talks through a SimStoreClient of its own, which can be cut off while others are served.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "hickoryquay/base/timer_service.h"
#include "hickoryquay/store/row_store.h"

namespace hickoryquay::standin {

struct SimStoreSettings {
  Millis m_latency{4};            // Of a call, both ways together.
  Millis m_transaction{0};        // Each of a part waits for those before it.
  Millis m_longest_queue{1'000};  // Of a part; further transactions are refused.
  int m_page_bytes = 1'000'000;   // A page of a read ends before the row that would exceed this.
  std::uint64_t m_random_seed = 1;
};

// What a client meets at the store.
enum class StoreMood {
  kServes,
  kRefuses,      // Answers at once that nothing was done.
  kSilent,       // Nothing arrives, no answer.
  kLosesWrites,  // Of writes: some are done without an answer.
  kLateWrites,   // Of writes: some get no answer and are done seconds later, if their checks still hold.
};

// Not thread-safe.
class SimStore {
  static constexpr Millis kClockAhead{12'345};  // Of its own clock.

 public:
  SimStore(TimerService* timers, const Clock* clock, const SimStoreSettings& settings)
      : m_timers(timers), m_clock(clock), m_settings(settings), m_random(settings.m_random_seed) {}

  void Put(const store::RowKey& key, const std::string& value);  // As the operator and the workers do.
  void Remove(const store::RowKey& key);
  void SetLatency(Millis latency) { m_settings.m_latency = latency; }  // Calls that take longer than allowed time out.
  void SetTransactionTime(Millis time) { m_settings.m_transaction = time; }
  void ForgetHistory() { m_history_from = m_version; }
  void HoldFeeds(Millis time) { m_feeds_held_until = m_clock->Now() + time; }  // They hear of nothing meanwhile.
  void Reject(const store::RowKey& key) { m_rejected.insert(key); }            // Transactions that put it.
  void Accept() { m_rejected.clear(); }
  void LeaveOutOfFeeds(const std::string& table, int rows) { m_left_out[table] = rows; }  // The next ones to be put.
  std::vector<store::StoredRow> Rows(const std::string& table) const;
  std::int64_t Writes() const { return m_writes; }

 private:
  friend class SimStoreClient;

  Result<Version, store::TransactError> Apply(const store::Transaction& transaction);
  Result<store::RowPage, store::ReadError> Page(const store::RowRange& range, int limit) const;
  Result<store::RowPage, store::ReadError> Changes(const std::string& table, Version after) const;
  Instant StoreTime() const { return m_clock->Now() + kClockAhead; }
  Version Next() { return m_version = Version{Raw(m_version) + 1}; }
  bool Chance(double share) { return std::uniform_real_distribution<>(0.0, 1.0)(m_random) < share; }

  TimerService* m_timers;
  const Clock* m_clock;
  SimStoreSettings m_settings;
  std::mt19937_64 m_random;
  std::map<store::RowKey, store::StoredRow> m_rows;
  std::map<std::string, Instant> m_part_free;  // When the transactions that wait are done, by part.
  std::vector<store::StoredRow> m_history;     // In order of versions.
  Version m_version{};
  Version m_history_from{};
  std::set<store::RowKey> m_rejected;
  std::map<std::string, int> m_left_out;  // Rows still to be left out of the history, by table.
  Instant m_feeds_held_until;
  std::int64_t m_writes = 0;
};

// Outlived by the store.
class SimStoreClient final : public store::RowStore {
 public:
  explicit SimStoreClient(SimStore* store) : m_store(store) {}

  void SetMood(StoreMood mood, double share = 1.0) {
    m_mood = mood;
    m_share = share;
  }

  // Reads and transactions of these parts get no answer, whatever the mood.
  void SetSilentParts(std::set<std::string> parts) { m_silent_parts = std::move(parts); }

  // Answers to feeds arrive this much later, whole, as over a link or in a process that is busy.
  void DelayFeeds(Millis delay) { m_feed_delay = delay; }

  // Answers arrive, and transactions leave, one after another at this rate each way; 0: at once. A read whose answer
  // has not begun in time fails, and so does a transaction that has not left whole: the store never sees it.
  void SetLink(int bytes_per_ms) { m_bytes_per_ms = bytes_per_ms; }
  std::int64_t ReceivedBytes() const { return m_received_bytes; }
  std::int64_t Reads() const { return m_reads; }
  std::int64_t Transactions() const { return m_transactions; }  // Calls, whatever became of them.

  void Transact(const store::Transaction& transaction, Millis timeout, store::TransactCallback callback) override;
  void Read(const store::RowRange& range, int limit, Millis timeout, store::ReadCallback callback) override;
  void Feed(const store::FeedRange& range, Millis timeout, store::ReadCallback callback) override;

 private:
  void Arrive(const store::Transaction& transaction, Millis timeout, store::TransactCallback callback);
  Millis ReserveUplink(const store::Transaction& transaction, Millis timeout);
  // A feed call that waits for changes.
  struct WaitingFeed {
    store::FeedRange m_range;
    Instant m_until;
    store::ReadCallback m_callback;
  };
  void PollFeed(const std::shared_ptr<const WaitingFeed>& feed, Millis left);
  void Deliver(Result<store::RowPage, store::ReadError> page, Instant until, const store::ReadCallback& callback);

  SimStore* m_store;
  StoreMood m_mood = StoreMood::kServes;
  double m_share = 1.0;
  std::set<std::string> m_silent_parts;
  Millis m_feed_delay{0};
  int m_bytes_per_ms = 0;
  Instant m_link_free;  // When the answers under way have arrived.
  Instant m_uplink_free;
  std::int64_t m_received_bytes = 0;
  std::int64_t m_reads = 0;
  std::int64_t m_transactions = 0;
};

}  // namespace hickoryquay::standin
