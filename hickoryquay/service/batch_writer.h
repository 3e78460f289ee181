// BatchWriter: stores the rows of one batch through the leadership. If the store rejects them for good, it halves what
// was rejected until the row is found that the store won't take, and stores the others in their order.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "hickoryquay/jobs/scheduler.h"
#include "hickoryquay/service/leadership.h"

namespace hickoryquay::service {

// Ends with its last owner, which is the write under way. Not thread-safe.
class BatchWriter : public std::enable_shared_from_this<BatchWriter> {
 public:
  struct Events {
    std::function<void()> m_stored;  // All rows are stored, but for those that were rejected.
    std::function<void(const jobs::RowChange& row, const std::string& why)> m_rejected;
  };

  BatchWriter(const std::shared_ptr<Leadership>& leadership, std::string table, std::string part,
              std::vector<jobs::RowChange> rows, Events events);

  void Start() { StoreNext(); }

 private:
  using Range = std::pair<std::size_t, std::size_t>;  // Of m_rows: the first one and the one behind the last.

  void StoreNext();
  void OnRejected(const Range& range, const std::string& why);

  std::weak_ptr<Leadership> m_leadership;  // Which owns this writer, by the callbacks of the write under way.
  std::string m_table;
  std::string m_part;
  std::vector<jobs::RowChange> m_rows;
  Events m_events;
  std::vector<Range> m_left;  // The last one is stored next.
};

}  // namespace hickoryquay::service
