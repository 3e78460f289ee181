#include "hickoryquay/operators/parser.h"

#include <algorithm>
#include <array>
#include <optional>

#include "hickoryquay/operators/columns.h"
#include "hickoryquay/operators/grammar.h"
#include "hickoryquay/operators/words.h"

namespace hickoryquay::operators {

namespace {

bool IsWordLetter(char c) {
  return IsNameLetter(c) || c == '/';
}

// The word that starts at `at`, or the one character where there is none.
std::string_view WordFrom(std::string_view text, std::size_t at) {
  const auto begin = text.begin() + static_cast<std::ptrdiff_t>(at);
  auto end = std::find_if_not(begin, text.end(), IsWordLetter);
  if (end == begin && end != text.end() && *end != '\n') ++end;
  return {begin, end};
}

// An expectation may stand before the blanks in front of the word that is wrong.
std::size_t SkipBlanks(std::string_view text, std::size_t at) {
  while (at < text.size() && (text[at] == ' ' || text[at] == '\t' || text[at] == '\r')) ++at;
  return at;
}

bool Contains(const std::vector<std::string>& words, const std::string& word) {
  return std::find(words.begin(), words.end(), word) != words.end();
}

// The nearest of the words that could stand there, else of all keywords; empty where none is near. A word that is
// known but misplaced is no misspelling of one that could not stand there either.
std::string Nearest(const std::string& found, const std::string& expected, std::vector<std::string> candidates) {
  for (const std::string& keyword : Keywords()) {
    if (expected.find(keyword) != std::string::npos) candidates.push_back(keyword);
  }
  const bool misplaced = Contains(Keywords(), found);
  if (Contains(candidates, found) && !misplaced) return "";
  std::erase(candidates, found);
  const std::optional<std::string> nearest = NearestWord(found, candidates);
  if (nearest.has_value() || misplaced) return nearest.value_or("");
  return NearestWord(found, Keywords()).value_or("");
}

SyntaxError ErrorAt(std::string_view text, std::size_t offset, std::string expected,
                    const std::vector<std::string>& candidates = {}) {
  offset = SkipBlanks(text, std::min(offset, text.size()));
  const std::string_view before = text.substr(0, offset);
  const std::size_t line_start = before.rfind('\n');
  SyntaxError error;
  error.m_line = 1 + static_cast<int>(std::count(before.begin(), before.end(), '\n'));
  error.m_column = static_cast<int>(offset - (line_start == std::string_view::npos ? 0 : line_start + 1)) + 1;
  error.m_found = std::string(WordFrom(text, offset));
  error.m_expected = std::move(expected);
  error.m_nearest = Nearest(error.m_found, error.m_expected, candidates);
  return error;
}

// What may follow a whole statement, for the error at anything else.
std::string ExpectedBehind(const Statement& statement) {
  struct Clauses {
    std::string operator()(const PutMarket&) const { return "domains, weight or "; }
    std::string operator()(const PutAccount&) const { return "accelerators, waiting or "; }
    std::string operator()(const PutGuarantee&) const { return "blocks, adjacent, split or "; }
    std::string operator()(const PutClass&) const {
      return "urgency, deadline, repeatable, checkpointable, preemptible or ";
    }
    std::string operator()(const Drop&) const { return ""; }
  };
  std::string clauses;
  if (const auto* what_if = std::get_if<WhatIf>(&statement)) clauses = std::visit(Clauses{}, what_if->m_change);
  if (std::holds_alternative<PutMarket>(statement)) clauses = Clauses{}(std::get<PutMarket>(statement));
  if (std::holds_alternative<PutAccount>(statement)) clauses = Clauses{}(std::get<PutAccount>(statement));
  if (std::holds_alternative<PutGuarantee>(statement)) clauses = Clauses{}(std::get<PutGuarantee>(statement));
  if (std::holds_alternative<PutClass>(statement)) clauses = Clauses{}(std::get<PutClass>(statement));
  if (std::holds_alternative<Show>(statement)) clauses = "where, and, or, order by, limit or ";
  if (std::holds_alternative<CancelJobs>(statement)) clauses = "and, or, \",\" or ";
  return clauses + "the end of the statement, each clause at most once";
}

// Offset of a whole word in the statement; that of the statement where it is not found.
std::size_t FindWord(std::string_view text, std::size_t begin, std::size_t end, const std::string& word) {
  for (std::size_t at = text.find(word, begin); at < end; at = text.find(word, at + 1)) {
    const bool starts = at == 0 || !IsNameLetter(text[at - 1]);
    const bool ends = at + word.size() >= text.size() || !IsNameLetter(text[at + word.size()]);
    if (starts && ends) return at;
  }
  return begin;
}

CellKind KindOf(const Value& value) {
  constexpr std::array<CellKind, 3> kKinds = {CellKind::kText, CellKind::kNumber, CellKind::kDuration};
  return kKinds.at(value.index());
}

// A column or value that does not fit its subject.
struct Misfit {
  std::string m_word;
  std::string m_expected;
};

std::optional<Misfit> CheckColumn(Subject subject, const std::string& name) {
  if (ColumnIndex(subject, name) >= 0) return std::nullopt;
  std::string expected = std::string("a column of ") + ToString(subject) + ":";
  for (const std::string& column : ColumnNames(subject)) expected += " " + column;
  return Misfit{name, expected};
}

std::optional<Misfit> CheckComparison(Subject subject, const Comparison& comparison) {
  if (auto misfit = CheckColumn(subject, comparison.m_column)) return misfit;
  const CellKind kind = ColumnsOf(subject)[static_cast<std::size_t>(ColumnIndex(subject, comparison.m_column))].m_kind;
  const bool contains = comparison.m_comparator == Comparator::kContains;
  if (contains && kind != CellKind::kText) return Misfit{comparison.m_column, "a column of texts for ~"};
  // Any bare word may stand for a text: a job id or a name may look like a number.
  if (kind == CellKind::kText || kind == KindOf(comparison.m_value)) return std::nullopt;
  return Misfit{comparison.m_column, comparison.m_column + " compared with " + ToString(kind)};
}

std::optional<Misfit> CheckFilter(Subject subject, const Filter& filter) {
  for (const auto& all : filter.m_any) {
    for (const Comparison& comparison : all) {
      if (auto misfit = CheckComparison(subject, comparison)) return misfit;
    }
  }
  return std::nullopt;
}

std::optional<Misfit> CheckStatement(const Statement& statement) {
  if (const auto* cancel = std::get_if<CancelJobs>(&statement)) return CheckFilter(Subject::kJobs, cancel->m_where);
  const auto* show = std::get_if<Show>(&statement);
  if (show == nullptr) return std::nullopt;
  if (auto misfit = CheckFilter(show->m_subject, show->m_where)) return misfit;
  for (const OrderBy& order : show->m_order) {
    if (auto misfit = CheckColumn(show->m_subject, order.m_column)) return misfit;
  }
  return std::nullopt;
}

Subject SubjectOf(const Statement& statement) {
  const auto* show = std::get_if<Show>(&statement);
  return show == nullptr ? Subject::kJobs : show->m_subject;
}

// Without blanks at its end; a comment behind it is no part of what is parsed.
std::string_view Trimmed(std::string_view text) {
  const std::size_t last = text.find_last_not_of(" \t\r");
  return text.substr(0, last == std::string_view::npos ? 0 : last + 1);
}

}  // namespace

std::string ToString(const SyntaxError& error) {
  std::string text = "line " + std::to_string(error.m_line) + ", column " + std::to_string(error.m_column) +
                     ": expected " + error.m_expected + ", found ";
  text += error.m_found.empty() ? "the end of the line" : "\"" + error.m_found + "\"";
  if (!error.m_nearest.empty()) text += "; did you mean \"" + error.m_nearest + "\"?";
  return text;
}

Result<Script, SyntaxError> ParseScript(std::string_view text) {
  if (text.size() > kMaxScriptBytes) return ErrorAt(text, kMaxScriptBytes, "a script of at most 256 KB");
  Script script;
  std::size_t at = SkipToStatement(text, 0);
  while (at < text.size()) {
    auto parsed = ParseStatement(text, at);
    if (!Ok(parsed)) return ErrorAt(text, ErrorOf(parsed).m_offset, ErrorOf(parsed).m_expected);
    ParsedStatement statement = TakeValue(std::move(parsed));
    const std::size_t end = statement.m_end;
    const bool ended = end >= text.size() || text[end] == '\n' || text[end] == ';';
    if (!ended) return ErrorAt(text, end, ExpectedBehind(statement.m_statement));
    if (const auto misfit = CheckStatement(statement.m_statement)) {
      const Subject subject = SubjectOf(statement.m_statement);
      return ErrorAt(text, FindWord(text, at, end, misfit->m_word), misfit->m_expected, ColumnNames(subject));
    }
    if (std::holds_alternative<BeginEach>(statement.m_statement) && !script.m_lines.empty()) {
      return ErrorAt(text, at, "begin each before all other statements");
    }
    const auto newlines = std::count(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(at), '\n');
    script.m_lines.push_back({std::move(statement.m_statement), std::string(Trimmed(text.substr(at, end - at))),
                              1 + static_cast<int>(newlines)});
    at = SkipToStatement(text, end);
  }
  return script;
}

}  // namespace hickoryquay::operators
