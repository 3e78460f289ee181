// Columns: what each subject of `show` is made of, by name and kind.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "hickoryquay/operators/statement.h"

namespace hickoryquay::operators {

enum class CellKind { kText, kNumber, kDuration };

using Cell = std::variant<std::monostate, std::string, double, Millis>;  // The first: not known or does not apply.

struct Column {
  std::string m_name;
  CellKind m_kind = CellKind::kText;
};

const std::vector<Column>& ColumnsOf(Subject subject);

// The position of a column; -1 where there is none.
int ColumnIndex(Subject subject, const std::string& name);

std::vector<std::string> ColumnNames(Subject subject);

const char* ToString(CellKind kind);  // "a text", "a number", "a duration".

}  // namespace hickoryquay::operators
