#include "standin/table_engine.h"

namespace hickoryquay::standin {

store::Row TableEngine::Get(const std::string& key) const {
  const auto found = m_rows.find(key);
  return found == m_rows.end() ? store::Row{key, "", Version{0}, ""} : found->second;
}

store::Page TableEngine::Scan(const std::string& prefix, const std::string& after, int limit) const {
  store::Page page;
  auto row = after < prefix ? m_rows.lower_bound(prefix) : m_rows.upper_bound(after);
  for (; row != m_rows.end() && row->first.starts_with(prefix); ++row) {
    if (static_cast<int>(page.m_rows.size()) == limit) {
      page.m_more = true;
      break;
    }
    page.m_rows.push_back(row->second);
  }
  return page;
}

Result<store::Committed, store::Conflict> TableEngine::Submit(const store::Commit& commit) {
  store::Conflict conflict;
  for (const store::Check& check : commit.m_checks) {
    const store::Row row = Get(check.m_key);
    if (row.m_version != check.m_expected) conflict.m_rows.push_back(row);
  }
  if (!conflict.m_rows.empty()) return conflict;

  const Version version{++m_last_version};
  for (const store::Write& write : commit.m_writes) {
    if (write.m_value) {
      m_rows[write.m_key] = store::Row{write.m_key, *write.m_value, version, commit.m_token};
    } else {
      m_rows.erase(write.m_key);
    }
  }
  return store::Committed{version};
}

}  // namespace hickoryquay::standin
