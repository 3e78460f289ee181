// PartScan: the rows of one part of a table while they are read page by page, beside a feed of the table's changes.
//
// Pages are read at different versions of the store, and the feed overtakes them: it may tell of a change before the
// page arrives that was read before the change. So changes that come while the part is read are kept, and go before
// what older pages say. Pure: no I/O, no clock.
#pragma once

#include <algorithm>
#include <iterator>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "hickoryquay/store/row_store.h"

namespace hickoryquay::store {

// Not thread-safe.
class PartScan {
 public:
  // Call before the first page is asked for: changes count from then on.
  void Begin() { m_began = true; }

  // A page that begins at From() has arrived. `answered`: when the store gave it, in steady time.
  void Add(RowPage page, Instant answered) {
    if (!std::exchange(m_has_page, true)) {
      m_version = page.m_version;
      m_complete_at = answered;
    }
    StampPage(&page);
    if (!page.m_rows.empty()) m_from = page.m_rows.back().m_key.m_key + '\0';
    std::move(page.m_rows.begin(), page.m_rows.end(), std::back_inserter(m_rows));
  }

  // The feed tells of a change of the part.
  void OnChange(const StoredRow& row) {
    if (m_began) m_changes[row.m_key.m_key] = row;
  }

  // Returns the rows of all pages but those that have changed since, then the changes, removals included. What was read
  // and when stays.
  std::vector<StoredRow> Take() {
    std::vector<StoredRow> rows;
    for (StoredRow& row : std::exchange(m_rows, {})) {
      const auto change = m_changes.find(row.m_key.m_key);
      if (change == m_changes.end() || change->second.m_version <= row.m_read_at) rows.push_back(std::move(row));
    }
    for (auto& [key, row] : std::exchange(m_changes, {})) rows.push_back(std::move(row));
    return rows;
  }

  const std::string& From() const { return m_from; }  // First key of the next page.
  bool HasPage() const { return m_has_page; }
  std::size_t Rows() const { return m_rows.size(); }
  Version AtVersion() const { return m_version; }       // Of the first page: later changes come through the feed.
  Instant CompleteAt() const { return m_complete_at; }  // Steady time of the same.

 private:
  std::vector<StoredRow> m_rows;
  std::map<std::string, StoredRow> m_changes;  // The last one of each key.
  std::string m_from;
  bool m_began = false;
  bool m_has_page = false;
  Version m_version{};
  Instant m_complete_at;
};

}  // namespace hickoryquay::store
