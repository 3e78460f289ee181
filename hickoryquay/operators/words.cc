#include "hickoryquay/operators/words.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <cmath>
#include <limits>
#include <numeric>

#include "hickoryquay/settings/values.h"

namespace hickoryquay::operators {

namespace {

constexpr std::size_t kMaxComparedLength = 40;  // Longer words are nobody's misspelling.
constexpr Millis kLongestDuration{std::numeric_limits<std::int64_t>::max()};

// Words that end a value or a column in a filter.
const std::vector<std::string>& FilterWords() {
  static const std::vector<std::string> words = {"and", "or", "not", "order", "limit", "where"};
  return words;
}

bool Contains(const std::vector<std::string>& words, std::string_view word) {
  return std::find(words.begin(), words.end(), word) != words.end();
}

// Levenshtein's distance.
std::size_t Distance(std::string_view a, std::string_view b) {
  std::vector<std::size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), std::size_t{0});
  for (std::size_t i = 0; i < a.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i + 1;
    for (std::size_t j = 0; j < b.size(); ++j) {
      const std::size_t replaced = diagonal + (a[i] == b[j] ? 0 : 1);
      diagonal = row[j + 1];
      row[j + 1] = std::min({replaced, diagonal + 1, row[j] + 1});
    }
  }
  return row.back();
}

}  // namespace

bool IsNameLetter(char c) {
  return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' || c == '_' || c == '.';
}

std::optional<double> ParseNumber(std::string_view text) {
  const bool starts_well = !text.empty() && (text[0] == '-' || std::isdigit(static_cast<unsigned char>(text[0])) != 0);
  double number = 0.0;
  const char* const end = text.data() + text.size();
  const auto [rest, failed] = std::from_chars(text.data(), end, number);
  if (!starts_well || failed != std::errc{} || rest != end || !std::isfinite(number)) return std::nullopt;
  return number;
}

std::string NumberText(double number) {
  std::array<char, 32> digits{};
  const auto written = std::to_chars(digits.data(), digits.data() + digits.size(), number);
  return std::string(digits.data(), written.ptr);
}

Value ValueOfWord(const std::string& word) {
  if (const auto number = ParseNumber(word)) return *number;
  Millis duration{0};
  if (settings::ParseDuration(word, Millis{0}, kLongestDuration, &duration).empty()) return duration;
  return word;
}

bool IsBareText(const std::string& text) {
  const auto fits = [](char c) { return IsNameLetter(c) || c == '/' || c == ':'; };
  if (text.empty() || !std::all_of(text.begin(), text.end(), fits) || Contains(FilterWords(), text)) return false;
  return std::holds_alternative<std::string>(ValueOfWord(text));
}

std::optional<std::string> NearestWord(std::string_view word, const std::vector<std::string>& candidates) {
  if (word.empty() || word.size() > kMaxComparedLength) return std::nullopt;
  std::optional<std::string> nearest;
  std::size_t least = 1 + std::max<std::size_t>(1, word.size() / 3);
  for (const std::string& candidate : candidates) {
    const std::size_t distance = Distance(word, candidate);
    if (distance >= least) continue;
    least = distance;
    nearest = candidate;
  }
  return nearest;
}

const std::vector<std::string>& Keywords() {
  static const std::vector<std::string> words = {"create",
                                                 "change",
                                                 "drop",
                                                 "expect",
                                                 "drain",
                                                 "quarantine",
                                                 "release",
                                                 "cancel",
                                                 "retry",
                                                 "show",
                                                 "why",
                                                 "what",
                                                 "if",
                                                 "not",
                                                 "begin",
                                                 "each",
                                                 "market",
                                                 "account",
                                                 "guarantee",
                                                 "class",
                                                 "worker",
                                                 "instance",
                                                 "job",
                                                 "jobs",
                                                 "domains",
                                                 "weight",
                                                 "accelerators",
                                                 "waiting",
                                                 "blocks",
                                                 "of",
                                                 "adjacent",
                                                 "split",
                                                 "urgency",
                                                 "deadline",
                                                 "repeatable",
                                                 "checkpointable",
                                                 "preemptible",
                                                 "version",
                                                 "where",
                                                 "and",
                                                 "or",
                                                 "order",
                                                 "by",
                                                 "asc",
                                                 "desc",
                                                 "limit",
                                                 "requests",
                                                 "workers",
                                                 "backends",
                                                 "racks",
                                                 "markets",
                                                 "accounts",
                                                 "guarantees",
                                                 "classes",
                                                 "instances",
                                                 "versions",
                                                 "changes",
                                                 "rack",
                                                 "neighbour-racks",
                                                 "any",
                                                 "yes",
                                                 "no"};
  return words;
}

}  // namespace hickoryquay::operators
