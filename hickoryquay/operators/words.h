// Words of the operator language: values without quotes, and the known word nearest to a misspelt one.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "hickoryquay/operators/statement.h"

namespace hickoryquay::operators {

// Letters, digits, '-', '_' and '.': what names are made of.
bool IsNameLetter(char c);

// A number, a duration or else a text, as an unquoted value means it.
Value ValueOfWord(const std::string& word);

// A finite decimal number, the whole of the text.
std::optional<double> ParseNumber(std::string_view text);

// The shortest text that ParseNumber reads as this number.
std::string NumberText(double number);

// True where the text needs no quotes: made of name letters, '/' and ':', and not read as something else.
bool IsBareText(const std::string& text);

// The candidate with the fewest changed letters; nothing where all are too far away.
std::optional<std::string> NearestWord(std::string_view word, const std::vector<std::string>& candidates);

// Every keyword of the grammar.
const std::vector<std::string>& Keywords();

}  // namespace hickoryquay::operators
