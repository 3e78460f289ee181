// TableEngine: the rows and commits of the stand-in's table service, without any protocol. Also behind the tests' fake.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "hickoryquay/base/result.h"
#include "hickoryquay/store/table.h"

namespace hickoryquay::standin {

// Not thread-safe. Every call is O(log rows) a row touched.
class TableEngine {
 public:
  store::Row Get(const std::string& key) const;  // Version 0 where the row is absent.
  store::Page Scan(const std::string& prefix, const std::string& after, int limit) const;
  Result<store::Committed, store::Conflict> Submit(const store::Commit& commit);

 private:
  std::map<std::string, store::Row> m_rows;
  std::uint64_t m_last_version = 0;
};

}  // namespace hickoryquay::standin
