// Table codec: the JSON bodies of the table service's calls, see docs/platform.md.
#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "hickoryquay/net/http.h"
#include "hickoryquay/store/table.h"

namespace hickoryquay::store {

// An answer that is not what the platform promises.
struct Malformed {
  std::string m_why;
};

net::HttpRequest GetRequest(const std::string& key);
net::HttpRequest ScanRequest(const std::string& prefix, const std::string& after, int limit);
net::HttpRequest CommitRequest(const Commit& commit);

Result<Row, Malformed> ParseRow(std::string_view body);
Result<Page, Malformed> ParsePage(std::string_view body);
Result<Committed, Malformed> ParseCommitted(std::string_view body);
Result<Conflict, Malformed> ParseConflict(std::string_view body);

}  // namespace hickoryquay::store
