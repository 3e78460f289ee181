#include "hickoryquay/model/json_salvage.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

namespace hickoryquay {

namespace {

namespace json = boost::json;

constexpr std::string_view kSpace = " \t\r\n";

std::string_view Trim(std::string_view text) {
  const std::size_t first = text.find_first_not_of(kSpace);
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(kSpace) - first + 1);
}

// The position behind the text in quotes that begins at `at`; the end of `text` if it does not end.
std::size_t BehindQuotes(std::string_view text, std::size_t at) {
  for (++at; at < text.size(); ++at) {
    if (text[at] == '\\') {
      ++at;
    } else if (text[at] == '"') {
      return at + 1;
    }
  }
  return text.size();
}

// What stands between the commas of the outermost pair of brackets. Kinds of brackets inside are not told apart: an
// element in which they don't match can't be parsed later.
std::optional<std::vector<std::string_view>> Split(std::string_view text, char open, char close) {
  text = Trim(text);
  if (text.size() < 2 || text.front() != open || text.back() != close) return std::nullopt;
  text = text.substr(1, text.size() - 2);
  std::vector<std::string_view> parts;
  if (Trim(text).empty()) return parts;
  std::size_t depth = 0;
  std::size_t begin = 0;
  for (std::size_t at = 0; at < text.size();) {
    const char c = text[at];
    if (c == '"') {
      at = BehindQuotes(text, at);
      continue;
    }
    if (c == '[' || c == '{') ++depth;
    if ((c == ']' || c == '}') && depth-- == 0) return std::nullopt;
    if (c == ',' && depth == 0) {
      parts.push_back(Trim(text.substr(begin, at - begin)));
      begin = at + 1;
    }
    ++at;
  }
  if (depth != 0) return std::nullopt;
  parts.push_back(Trim(text.substr(begin)));
  return parts;
}

}  // namespace

std::optional<std::vector<std::string_view>> SplitArray(std::string_view text) {
  return Split(text, '[', ']');
}

std::optional<FieldTexts> SplitObject(std::string_view text) {
  const auto parts = Split(text, '{', '}');
  if (!parts) return std::nullopt;
  FieldTexts fields;
  for (const std::string_view part : *parts) {
    if (part.empty() || part.front() != '"') return std::nullopt;
    const std::size_t end = BehindQuotes(part, 0);
    const std::string_view rest = Trim(part.substr(end));
    if (end < 2 || rest.empty() || rest.front() != ':') return std::nullopt;
    fields.emplace_back(part.substr(1, end - 2), Trim(rest.substr(1)));
  }
  return fields;
}

Parsed<SalvagedList> ParseAroundOdd(std::string_view text, std::string_view list) {
  auto whole = ParseJson(text);
  if (Ok(whole)) return SalvagedList{TakeValue(std::move(whole)), {}};
  const auto fields = SplitObject(text);
  if (!fields) return ErrorOf(whole);
  json::object object;
  SalvagedList salvaged;
  for (const auto& [name, field] : *fields) {
    const auto elements = name == list ? SplitArray(field) : std::nullopt;
    if (!elements) {
      auto value = ParseJson(field);
      if (!Ok(value)) return ErrorOf(whole);
      object.insert_or_assign(name, TakeValue(std::move(value)));
      continue;
    }
    json::array readable;
    for (const std::string_view element : *elements) {
      auto value = ParseJson(element);
      if (Ok(value)) {
        readable.push_back(TakeValue(std::move(value)));
      } else {
        salvaged.m_unparsed.push_back(element);
      }
    }
    object.insert_or_assign(name, std::move(readable));
  }
  salvaged.m_json = std::move(object);
  return salvaged;
}

}  // namespace hickoryquay
