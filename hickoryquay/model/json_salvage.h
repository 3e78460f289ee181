// Salvage of lists: reads the good elements of a JSON list beside those that no parser takes.
//
// Other writers' entries may be nested too deeply, hold numbers out of range or texts that are no Unicode. As part of a
// larger text each makes all of it unreadable. Here the text is split first, without recursion or a limit of depth.
#pragma once

#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "hickoryquay/model/json.h"

namespace hickoryquay {

// The texts between the brackets and commas of one array; each may be anything. Empty if the text is no array.
std::optional<std::vector<std::string_view>> SplitArray(std::string_view text);

// Names, without quotes and not unescaped, and the texts of the values of one object. Empty if the text is no object.
using FieldTexts = std::vector<std::pair<std::string_view, std::string_view>>;
std::optional<FieldTexts> SplitObject(std::string_view text);

struct SalvagedList {
  boost::json::value m_json;                 // The object; its list holds the elements that could be parsed.
  std::vector<std::string_view> m_unparsed;  // Texts of the others, parts of the text that was read.
};

// Parses an object whose array under `list` may hold anything. An error if any other field can't be parsed. Costs no
// more than ParseJson where all can.
Parsed<SalvagedList> ParseAroundOdd(std::string_view text, std::string_view list);

}  // namespace hickoryquay
