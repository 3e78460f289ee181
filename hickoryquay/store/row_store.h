// RowStore: the platform's store of rows in tables and parts, with transactions and a feed of changes.
//
// Unlike Table it knows parts: a transaction touches one of them, and transactions of one part run one after another.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "hickoryquay/base/clock.h"
#include "hickoryquay/base/ids.h"
#include "hickoryquay/base/result.h"

namespace hickoryquay::store {

struct RowKey {
  std::string m_table;
  std::string m_part;
  std::string m_key;

  auto operator<=>(const RowKey&) const = default;
};

struct StoredRow {
  RowKey m_key;
  std::string m_value;
  Version m_version{};     // Rises with every transaction of the whole store.
  bool m_removed = false;  // In a feed: the row is gone.
  Version m_read_at{};     // Of the store as a whole at some moment when the row was so, see StampPage. 0: not told.
};

struct RowCheck {
  RowKey m_key;
  Version m_expected{};  // 0: must be absent.
};

struct RowPut {
  RowKey m_key;
  std::string m_value;
};

// All or nothing. Checks, puts and removals name rows of one part, at most kMaxTransactionRows of them together.
struct Transaction {
  std::vector<RowCheck> m_checks;
  std::vector<RowPut> m_puts;
  std::vector<RowKey> m_removals;
};
constexpr std::size_t kMaxTransactionRows = 100;       // The store's limit.
constexpr std::size_t kMaxTransactionBytes = 600'000;  // Of values; the store takes 1 MB of base64 and names.

// The checked rows as they are. Nothing was written.
struct RowsDiffer {
  std::vector<StoredRow> m_rows;
};

// Provably nothing was done.
struct StoreRefused {
  std::string m_why;
};

// Provably nothing was done, and the same transaction won't be taken later either.
struct StoreRejected {
  std::string m_why;
};

// May have been done, or may be done seconds later if its checks still hold.
struct StoreSilent {
  std::string m_why;
};

using TransactError = std::variant<RowsDiffer, StoreRefused, StoreSilent, StoreRejected>;
std::string ToString(const TransactError& error);

struct RowRange {
  std::string m_table;
  std::string m_part;
  std::string m_from;  // First key; empty: from the start.
  std::string m_to;    // Behind the last key; empty: to the end.
};

// Changes of a table behind a version, as soon as there is one, or none once m_wait is over.
struct FeedRange {
  std::string m_table;
  Version m_after{};
  Millis m_wait{0};
  std::size_t m_max_bytes = 0;  // Of values, roughly; more are answered TooLong. 0: any number.
};

struct RowPage {
  std::vector<StoredRow> m_rows;  // Ascending by key in a range, in order of their versions in a feed.
  bool m_more = false;
  Version m_version{};           // Of the store as a whole when it answered.
  Instant m_answered;            // By the store's steady clock; 0: not told.
  std::size_t m_unreadable = 0;  // Further rows, of which not even the key is known.
};

// Notes in the rows of a range's page at which version they were read.
inline void StampPage(RowPage* page) {
  for (StoredRow& row : page->m_rows) row.m_read_at = page->m_version;
}

// The same of a feed's page. It may leave out later changes of a row, so each row proves its own version only.
inline void StampFeed(RowPage* page) {
  for (StoredRow& row : page->m_rows) row.m_read_at = row.m_version;
}

struct HistoryGone {};  // The feed can't go on from there: read the table anew.
struct TooLong {};      // The answer is longer than was asked for, or than a peer can pass on: read fewer rows.
struct Unreachable {
  std::string m_why;
};
using ReadError = std::variant<HistoryGone, TooLong, Unreachable>;
std::string ToString(const ReadError& error);

using TransactCallback = std::function<void(Result<Version, TransactError>)>;
using ReadCallback = std::function<void(Result<RowPage, ReadError>)>;

// Every call answers exactly once, never inside the call itself. Nothing is retried. The timeout of a read or feed
// bounds how long nothing arrives: the time that a link needs for an answer depends on its size, which the reader can't
// know.
class RowStore {
 public:
  virtual ~RowStore() = default;
  virtual void Transact(const Transaction& transaction, Millis timeout, TransactCallback callback) = 0;
  virtual void Read(const RowRange& range, int limit, Millis timeout, ReadCallback callback) = 0;
  virtual void Feed(const FeedRange& range, Millis timeout, ReadCallback callback) = 0;
};

}  // namespace hickoryquay::store
