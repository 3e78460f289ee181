#include "standin/sim_store.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace hickoryquay::standin {

namespace {

constexpr Millis kFeedPoll{5};  // How soon a waiting feed sees a change.
constexpr int kEarliestLateMs = 1'000;
constexpr int kLatestLateMs = 6'000;
constexpr std::size_t kRowOverheadBytes = 60;  // Names of fields and the version, besides key and value.

// Of a row in an answer, its value in base64.
std::int64_t BytesOf(const store::StoredRow& row) {
  const store::RowKey& key = row.m_key;
  return static_cast<std::int64_t>(kRowOverheadBytes + key.m_table.size() + key.m_part.size() + key.m_key.size() +
                                   (row.m_value.size() + 2) / 3 * 4);
}

std::int64_t BytesOf(const store::RowPage& page) {
  std::int64_t bytes = 0;
  for (const store::StoredRow& row : page.m_rows) bytes += BytesOf(row);
  return bytes;
}

}  // namespace

void SimStore::Put(const store::RowKey& key, const std::string& value) {
  const store::StoredRow row{key, value, Next(), false};
  m_rows[key] = row;
  m_history.push_back(row);
}

void SimStore::Remove(const store::RowKey& key) {
  if (m_rows.erase(key) > 0) m_history.push_back({key, "", Next(), true});
}

std::vector<store::StoredRow> SimStore::Rows(const std::string& table) const {
  std::vector<store::StoredRow> rows;
  for (const auto& [key, row] : m_rows) {
    if (key.m_table == table) rows.push_back(row);
  }
  return rows;
}

Result<Version, store::TransactError> SimStore::Apply(const store::Transaction& transaction) {
  const auto& puts = transaction.m_puts;
  const bool rejected = std::any_of(puts.begin(), puts.end(),
                                    [this](const store::RowPut& put) { return m_rejected.contains(put.m_key); });
  if (rejected) return store::TransactError{store::StoreRejected{"status 400"}};
  store::RowsDiffer differ;
  for (const store::RowCheck& check : transaction.m_checks) {
    const auto found = m_rows.find(check.m_key);
    const Version version = found == m_rows.end() ? Version{} : found->second.m_version;
    if (version != check.m_expected) {
      differ.m_rows.push_back(found == m_rows.end() ? store::StoredRow{check.m_key, "", Version{}, false}
                                                    : found->second);
    }
  }
  if (!differ.m_rows.empty()) return store::TransactError{differ};
  ++m_writes;
  const Version version = Next();
  for (const store::RowPut& put : transaction.m_puts) {
    const store::StoredRow row{put.m_key, put.m_value, version, false};
    m_rows[put.m_key] = row;
    int& left_out = m_left_out[put.m_key.m_table];
    if (left_out > 0) {
      --left_out;
      continue;
    }
    m_history.push_back(row);
  }
  for (const store::RowKey& key : transaction.m_removals) {
    if (m_rows.erase(key) > 0) m_history.push_back({key, "", version, true});
  }
  return version;
}

Result<store::RowPage, store::ReadError> SimStore::Page(const store::RowRange& range, int limit) const {
  store::RowPage page;
  page.m_version = m_version;
  page.m_answered = StoreTime();
  std::int64_t bytes = 0;
  for (auto it = m_rows.lower_bound({range.m_table, range.m_part, range.m_from}); it != m_rows.end(); ++it) {
    const store::RowKey& key = it->first;
    if (key.m_table != range.m_table || key.m_part != range.m_part) break;
    if (!range.m_to.empty() && key.m_key >= range.m_to) break;
    bytes += BytesOf(it->second);
    const bool full = !page.m_rows.empty() && bytes > m_settings.m_page_bytes;
    if (full || static_cast<int>(page.m_rows.size()) == limit) {
      page.m_more = true;
      break;
    }
    page.m_rows.push_back(it->second);
  }
  return page;
}

Result<store::RowPage, store::ReadError> SimStore::Changes(const std::string& table, Version after) const {
  if (after < m_history_from) return store::ReadError{store::HistoryGone{}};
  store::RowPage page;
  page.m_version = m_version;
  page.m_answered = StoreTime();
  const auto first = std::upper_bound(m_history.begin(), m_history.end(), after,
                                      [](Version seen, const store::StoredRow& row) { return seen < row.m_version; });
  std::copy_if(first, m_history.end(), std::back_inserter(page.m_rows),
               [&table](const store::StoredRow& row) { return row.m_key.m_table == table; });
  return page;
}

// Takes the link for the time that it needs to carry the transaction, and returns how long it is until that is done. A
// call that times out first closes its connection and frees the link.
Millis SimStoreClient::ReserveUplink(const store::Transaction& transaction, Millis timeout) {
  if (m_bytes_per_ms == 0) return Millis{0};
  std::int64_t bytes = 0;
  for (const store::RowPut& put : transaction.m_puts) bytes += BytesOf({put.m_key, put.m_value, Version{}, false});
  for (const store::RowKey& key : transaction.m_removals) bytes += BytesOf({key, "", Version{}, true});
  const Instant now = m_store->m_clock->Now();
  const Instant leaves = std::max(now, m_uplink_free) + Millis{bytes / m_bytes_per_ms};
  m_uplink_free = std::max(m_uplink_free, std::min(leaves, now + timeout));
  return leaves - now;
}

void SimStoreClient::Transact(const store::Transaction& transaction, Millis timeout, store::TransactCallback callback) {
  ++m_transactions;
  const Millis upload = ReserveUplink(transaction, timeout);
  if (upload.count() > 0) {
    const bool late = upload > timeout;
    m_store->m_timers
        ->After(std::min(upload, timeout),
                [this, late, transaction, left = timeout - upload, callback = std::move(callback)] {
                  if (late) return callback(store::TransactError{store::StoreSilent{"timed out"}});
                  Arrive(transaction, left, callback);
                })
        .Detach();
    return;
  }
  Arrive(transaction, timeout, std::move(callback));
}

void SimStoreClient::Arrive(const store::Transaction& transaction, Millis timeout, store::TransactCallback callback) {
  TimerService* timers = m_store->m_timers;
  const Millis half = m_store->m_settings.m_latency / 2;
  const auto silent = [timers, timeout, callback] {
    timers->After(timeout, [callback] { callback(store::TransactError{store::StoreSilent{"timed out"}}); }).Detach();
  };
  const bool hit = m_mood == StoreMood::kServes || m_store->Chance(m_share);
  if (hit && m_mood == StoreMood::kSilent) return silent();
  if (hit && m_mood == StoreMood::kRefuses) {
    timers->After(half, [callback] { callback(store::TransactError{store::StoreRefused{"status 503"}}); }).Detach();
    return;
  }
  const auto& keys = transaction.m_puts;
  const std::string part = keys.empty() ? "" : keys.front().m_key.m_part;
  if (m_silent_parts.contains(part)) return silent();
  Instant& part_free = m_store->m_part_free[part];
  const Instant now = m_store->m_clock->Now();
  const Millis queue = std::max(Millis{0}, part_free - now);
  if (queue > m_store->m_settings.m_longest_queue) {
    timers->After(half, [callback] { callback(store::TransactError{store::StoreRefused{"status 429"}}); }).Detach();
    return;
  }
  const Millis work = queue + m_store->m_settings.m_transaction;
  part_free = now + work;
  const bool slow = m_store->m_settings.m_latency + work > timeout;
  const bool lost = slow || (hit && (m_mood == StoreMood::kLosesWrites || m_mood == StoreMood::kLateWrites));
  const bool late = hit && m_mood == StoreMood::kLateWrites;
  const Millis delay =
      late ? Millis{std::uniform_int_distribution<>(kEarliestLateMs, kLatestLateMs)(m_store->m_random)} : half + work;
  timers
      ->After(delay,
              [store = m_store, transaction, callback, lost, half, timers] {
                auto result = store->Apply(transaction);
                if (lost) return;
                timers->After(half, [callback, result] { callback(result); }).Detach();
              })
      .Detach();
  if (lost) silent();
}

void SimStoreClient::Read(const store::RowRange& range, int limit, Millis timeout, store::ReadCallback callback) {
  ++m_reads;
  TimerService* timers = m_store->m_timers;
  const bool slow = m_store->m_settings.m_latency > timeout || m_silent_parts.contains(range.m_part);
  if (slow || m_mood == StoreMood::kSilent || m_mood == StoreMood::kRefuses) {
    const Millis delay = m_mood == StoreMood::kRefuses ? m_store->m_settings.m_latency : timeout;
    timers->After(delay, [callback] { callback(store::ReadError{store::Unreachable{"away"}}); }).Detach();
    return;
  }
  const Instant until = m_store->m_clock->Now() + timeout;
  timers
      ->After(m_store->m_settings.m_latency / 2,
              [this, timers, range, limit, until, callback] {
                timers
                    ->After(
                        m_store->m_settings.m_latency - m_store->m_settings.m_latency / 2,
                        [this, page = m_store->Page(range, limit), until, callback] { Deliver(page, until, callback); })
                    .Detach();
              })
      .Detach();
}

// Hands an answer over once the link has carried it.
void SimStoreClient::Deliver(Result<store::RowPage, store::ReadError> page, Instant until,
                             const store::ReadCallback& callback) {
  const std::int64_t bytes = Ok(page) ? BytesOf(ValueOf(page)) : 0;
  m_received_bytes += bytes;
  const Instant now = m_store->m_clock->Now();
  if (m_bytes_per_ms == 0) return callback(std::move(page));
  const Instant begins = std::max(now, m_link_free);
  const bool silent = begins > until;
  if (!silent) m_link_free = begins + Millis{bytes / m_bytes_per_ms};
  if (silent) page = store::ReadError{store::Unreachable{"timed out"}};
  m_store->m_timers
      ->After(std::max(Millis{0}, (silent ? until : m_link_free) - now),
              [callback, page = std::move(page)] { callback(page); })
      .Detach();
}

void SimStoreClient::Feed(const store::FeedRange& range, Millis timeout, store::ReadCallback callback) {
  TimerService* timers = m_store->m_timers;
  if (m_mood == StoreMood::kSilent || m_mood == StoreMood::kRefuses) {
    const Millis delay = m_mood == StoreMood::kSilent ? timeout : m_store->m_settings.m_latency;
    timers->After(delay, [callback] { callback(store::ReadError{store::Unreachable{"away"}}); }).Detach();
    return;
  }
  PollFeed(
      std::make_shared<const WaitingFeed>(WaitingFeed{range, m_store->m_clock->Now() + timeout, std::move(callback)}),
      range.m_wait);
}

void SimStoreClient::PollFeed(const std::shared_ptr<const WaitingFeed>& feed, Millis left) {
  const store::FeedRange& range = feed->m_range;
  auto page = m_store->Changes(range.m_table, range.m_after);
  const bool held = m_store->m_clock->Now() < m_store->m_feeds_held_until;
  if (held) page = store::RowPage{{}, false, range.m_after, m_store->StoreTime()};
  const auto most = static_cast<std::int64_t>(range.m_max_bytes / 3 * 4);
  if (most > 0 && Ok(page) && BytesOf(ValueOf(page)) > most) page = store::ReadError{store::TooLong{}};
  if (!Ok(page) || !ValueOf(page).m_rows.empty() || left.count() <= 0) {
    m_store->m_timers
        ->After(m_store->m_settings.m_latency + m_feed_delay,
                [this, feed, page] { Deliver(page, feed->m_until, feed->m_callback); })
        .Detach();
    return;
  }
  m_store->m_timers->After(kFeedPoll, [this, feed, left] { PollFeed(feed, left - kFeedPoll); }).Detach();
}

}  // namespace hickoryquay::standin
