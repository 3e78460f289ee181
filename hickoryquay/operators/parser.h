// Parser of the operator language. Boost.Spirit X3 stays in grammar.cc.
#pragma once

#include <string>
#include <string_view>

#include "hickoryquay/base/result.h"
#include "hickoryquay/operators/statement.h"

namespace hickoryquay::operators {

constexpr std::size_t kMaxScriptBytes = 256 * 1024;

struct SyntaxError {
  int m_line = 1;          // From 1.
  int m_column = 1;        // From 1, in bytes.
  std::string m_expected;  // What could stand there.
  std::string m_found;     // The word that stands there; empty: the end of the line.
  std::string m_nearest;   // The known word nearest to it; empty: none is near.
};

// One line: "line 1, column 8: expected ..., found "x"; did you mean "y"?"
std::string ToString(const SyntaxError& error);

// Statements are separated by ends of line or ';'. '#' starts a comment, a '\' before the end of line continues it.
// Names of columns and the kinds of their values are checked too. Any bytes give a script or an error.
Result<Script, SyntaxError> ParseScript(std::string_view text);

}  // namespace hickoryquay::operators
