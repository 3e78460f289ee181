#include "hickoryquay/operators/outcome.h"

#include <array>
#include <boost/json/array.hpp>
#include <cmath>

#include "hickoryquay/operators/fields.h"

namespace hickoryquay::operators {

namespace {

namespace json = boost::json;

constexpr double kMaxWhole = 9e15;  // Beyond it doubles are no whole numbers any more.

json::value ToJson(const Cell& cell) {
  return std::visit(Overloaded{[](std::monostate) -> json::value { return nullptr; },
                               [](const std::string& text) -> json::value { return json::string(text); },
                               [](double number) -> json::value {
                                 const bool whole = std::floor(number) == number && std::abs(number) < kMaxWhole;
                                 if (whole) return static_cast<std::int64_t>(number);
                                 return number;
                               },
                               [](Millis duration) -> json::value { return duration.count(); }},
                    cell);
}

const char* KindName(CellKind kind) {
  constexpr std::array<const char*, 3> kNames = {"text", "number", "duration_ms"};
  return kNames.at(static_cast<std::size_t>(kind));
}

json::array ToJson(const std::vector<std::string>& texts) {
  json::array array;
  for (const std::string& text : texts) array.emplace_back(text);
  return array;
}

void Fill(const Table& table, json::object* answer) {
  json::array columns;
  for (const Column& column : ColumnsOf(table.m_subject)) {
    columns.push_back(json::object{{"name", column.m_name}, {"kind", KindName(column.m_kind)}});
  }
  json::array rows;
  for (const auto& row : table.m_rows) {
    json::array cells;
    for (const Cell& cell : row) cells.push_back(ToJson(cell));
    rows.push_back(std::move(cells));
  }
  (*answer)["kind"] = "table";
  (*answer)["subject"] = ToString(table.m_subject);
  (*answer)["columns"] = std::move(columns);
  (*answer)["rows"] = std::move(rows);
  (*answer)["matched"] = table.m_matched;
  (*answer)["missing"] = ToJson(table.m_missing);
}

void Fill(const Explained& explained, json::object* answer) {
  json::array behind;
  for (const JobId job : explained.m_behind) behind.emplace_back(hickoryquay::ToString(job));
  (*answer)["kind"] = "explanation";
  (*answer)["subject"] = explained.m_subject;
  (*answer)["state"] = explained.m_state;
  (*answer)["why"] = explained.m_why;
  (*answer)["behind"] = std::move(behind);
  (*answer)["borrows"] = ToJson(explained.m_borrows);
  (*answer)["facts"] = ToJson(explained.m_facts);
}

void Fill(const Verdict& verdict, json::object* answer) {
  (*answer)["kind"] = "verdict";
  (*answer)["accepted"] = verdict.m_accepted;
  (*answer)["why"] = verdict.m_why;
}

void Fill(const Changed& changed, json::object* answer) {
  json::object versions;
  for (const auto& [market, version] : changed.m_versions) versions[market.m_value] = Raw(version);
  (*answer)["kind"] = "changed";
  (*answer)["versions"] = std::move(versions);
}

void Fill(const Acted& acted, json::object* answer) {
  (*answer)["kind"] = "done";
  (*answer)["message"] = acted.m_message;
}

}  // namespace

json::object ToJson(const Outcome& outcome) {
  json::array answers;
  for (const Answer& answer : outcome.m_answers) {
    json::object object{{"statement", answer.m_statement}};
    std::visit([&](const auto& value) { Fill(value, &object); }, answer.m_value);
    answers.push_back(std::move(object));
  }
  json::object object{{"answers", std::move(answers)}};
  if (outcome.m_problem.has_value()) object["error"] = ToJson(*outcome.m_problem);
  return object;
}

int HttpStatus(const Outcome& outcome) {
  return outcome.m_problem.has_value() ? HttpStatus(outcome.m_problem->m_kind) : 200;
}

}  // namespace hickoryquay::operators
