// Grammar: parses one statement. Internal to the parser.
#pragma once

#include <string>
#include <string_view>

#include "hickoryquay/base/result.h"
#include "hickoryquay/operators/statement.h"

namespace hickoryquay::operators {

// Where parsing failed and what was expected there.
struct Expectation {
  std::size_t m_offset = 0;
  std::string m_expected;
};

struct ParsedStatement {
  Statement m_statement;
  std::size_t m_end = 0;  // Offset of the separator behind it, or the text's size.
};

// Parses the statement that starts at `begin`, which is no separator.
Result<ParsedStatement, Expectation> ParseStatement(std::string_view text, std::size_t begin);

// Skips blanks, comments and separators; returns the offset of the next statement or the text's size.
std::size_t SkipToStatement(std::string_view text, std::size_t begin);

}  // namespace hickoryquay::operators
