// Query: answers `show` from the configuration and from what was collected.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "hickoryquay/operators/backend.h"
#include "hickoryquay/operators/columns.h"
#include "hickoryquay/operators/fields.h"

namespace hickoryquay::operators {

struct Table {
  Subject m_subject = Subject::kJobs;
  std::vector<std::vector<Cell>> m_rows;  // Cells in the order of ColumnsOf(m_subject).
  std::size_t m_matched = 0;              // Before the limit.
  std::vector<std::string> m_missing;     // Who did not answer.
};

// The rows that a query of this subject needs.
Wanted WantedBy(Subject subject);

// The query is checked already. O(rows), and O(matched log matched) where it is ordered.
Table RunQuery(const Show& show, const Configuration& configuration, const Collected& collected);

// Jobs that have not ended and fit the filter.
std::vector<JobId> SelectJobs(const Filter& where, const Configuration& configuration, const Collected& collected);

// Client accounts with what they run and wait for.
std::vector<AccountRow> AccountRows(const Configuration& configuration, const Collected& collected);

}  // namespace hickoryquay::operators
