#include "hickoryquay/store/table.h"

namespace hickoryquay::store {

std::string ToString(const TableError& error) {
  return std::visit(
      Overloaded{[](const Conflict& e) { return "conflict on " + (e.m_rows.empty() ? "?" : e.m_rows.front().m_key); },
                 [](const Unavailable& e) { return "table unavailable: " + e.m_why; },
                 [](const InDoubt& e) { return "commit in doubt: " + e.m_why; }},
      error);
}

}  // namespace hickoryquay::store
