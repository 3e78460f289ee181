// Table: the platform's transactional table service, as the system sees it.
//
// Rows are texts under text keys. A commit checks the versions of some rows and writes others, all or nothing. Every
// commit carries a token of its own that its rows keep, so that a lost answer is settled by reading back.
//
// Keys in use are listed in docs/design/state.md.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "hickoryquay/base/ids.h"
#include "hickoryquay/base/result.h"

namespace hickoryquay::store {

struct Row {
  std::string m_key;
  std::string m_value;
  Version m_version{};  // Rises with every commit to the table, so it orders rows too; 0: the row is absent.
  std::string m_token;  // Of the commit that wrote it.
};

struct Check {
  std::string m_key;
  Version m_expected{};  // 0: must be absent.
};

struct Write {
  std::string m_key;
  std::optional<std::string> m_value;  // Empty: deletes the row.
};

struct Commit {
  std::string m_token;  // Unique; the client makes one where it is empty.
  std::vector<Check> m_checks;
  std::vector<Write> m_writes;
};

// Of all rows the commit wrote.
struct Committed {
  Version m_version{};
};

struct Page {
  std::vector<Row> m_rows;
  bool m_more = false;
};

// Checked rows that differ, as they are now. Nothing was written.
struct Conflict {
  std::vector<Row> m_rows;
};

// Provably not done.
struct Unavailable {
  std::string m_why;
};

// May have taken effect, and reading back did not settle it.
struct InDoubt {
  std::string m_why;
};

using TableError = std::variant<Conflict, Unavailable, InDoubt>;
std::string ToString(const TableError& error);

using RowCallback = std::function<void(Result<Row, TableError>)>;
using PageCallback = std::function<void(Result<Page, TableError>)>;
using CommitCallback = std::function<void(Result<Committed, TableError>)>;

// Thread-safe. Every call answers exactly once, never inside the call itself.
class Table {
 public:
  virtual ~Table() = default;
  virtual void Get(const std::string& key, RowCallback callback) = 0;
  virtual void Scan(const std::string& prefix, const std::string& after, int limit, PageCallback callback) = 0;
  virtual void Submit(Commit commit, CommitCallback callback) = 0;
};

}  // namespace hickoryquay::store
