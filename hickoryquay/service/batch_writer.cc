#include "hickoryquay/service/batch_writer.h"

namespace hickoryquay::service {

BatchWriter::BatchWriter(const std::shared_ptr<Leadership>& leadership, std::string table, std::string part,
                         std::vector<jobs::RowChange> rows, Events events)
    : m_leadership(leadership),
      m_table(std::move(table)),
      m_part(std::move(part)),
      m_rows(std::move(rows)),
      m_events(std::move(events)) {
  if (!m_rows.empty()) m_left.emplace_back(0, m_rows.size());
}

void BatchWriter::StoreNext() {
  if (m_left.empty()) return m_events.m_stored();
  const auto leadership = m_leadership.lock();
  if (!leadership) return;
  const Range range = m_left.back();
  m_left.pop_back();
  LeaderWrite write;
  for (std::size_t i = range.first; i < range.second; ++i) {
    const jobs::RowChange& change = m_rows[i];
    store::RowKey key{m_table, m_part, change.m_key};
    change.m_value ? write.m_puts.push_back({std::move(key), *change.m_value})
                   : write.m_removals.push_back(std::move(key));
  }
  leadership->Store(
      std::move(write), [self = shared_from_this()] { self->StoreNext(); },
      [self = shared_from_this(), range](const std::string& why) { self->OnRejected(range, why); });
}

void BatchWriter::OnRejected(const Range& range, const std::string& why) {
  const auto [begin, end] = range;
  if (end - begin == 1) {
    m_events.m_rejected(m_rows[begin], why);
  } else {
    const std::size_t middle = begin + (end - begin) / 2;
    m_left.emplace_back(middle, end);
    m_left.emplace_back(begin, middle);
  }
  StoreNext();
}

}  // namespace hickoryquay::service
