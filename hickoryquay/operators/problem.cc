#include "hickoryquay/operators/problem.h"

#include <array>

namespace hickoryquay::operators {

namespace {

struct KindEntry {
  const char* m_name;
  int m_status;
};

const KindEntry& EntryOf(ProblemKind kind) {
  static constexpr std::array<KindEntry, 8> kEntries = {{{"syntax", 400},
                                                         {"unauthorized", 401},
                                                         {"forbidden", 403},
                                                         {"not_found", 404},
                                                         {"conflict", 409},
                                                         {"refused", 422},
                                                         {"unavailable", 503},
                                                         {"in_doubt", 504}}};
  return kEntries.at(static_cast<std::size_t>(kind));
}

std::string VersionText(Version version) {
  return version == Version{} ? "absent" : "at version " + std::to_string(Raw(version));
}

Problem Make(ProblemKind kind, std::string message) {
  Problem problem;
  problem.m_kind = kind;
  problem.m_message = std::move(message);
  return problem;
}

Problem Doubt(const InDoubt& error) {
  return Make(ProblemKind::kInDoubt, "may or may not have taken effect (" + error.m_why +
                                         "); check with: show changes order by at desc limit 5");
}

}  // namespace

Problem FromSyntax(const SyntaxError& error) {
  Problem problem = Make(ProblemKind::kSyntax, ToString(error));
  problem.m_line = error.m_line;
  problem.m_column = error.m_column;
  problem.m_nearest = error.m_nearest;
  return problem;
}

Problem FromChange(const ChangeError& error) {
  return std::visit(
      Overloaded{[](const VersionConflict& e) {
                   Problem problem =
                       Make(ProblemKind::kConflict, "market " + e.m_market.m_value + " is " + VersionText(e.m_found) +
                                                        ", this change is against one " + VersionText(e.m_expected) +
                                                        "; nothing was changed");
                   problem.m_market = e.m_market;
                   problem.m_expected = e.m_expected;
                   problem.m_found = e.m_found;
                   return problem;
                 },
                 [](const NotDone& e) { return Make(ProblemKind::kUnavailable, "nothing was changed: " + e.m_why); },
                 [](const InDoubt& e) { return Doubt(e); }},
      error);
}

Problem FromAction(const ActionError& error) {
  return std::visit(
      Overloaded{[](const NotFound& e) { return Make(ProblemKind::kNotFound, e.m_what + " is not known"); },
                 [](const NotAllowed& e) { return Make(ProblemKind::kRefused, e.m_why); },
                 [](const NotDone& e) { return Make(ProblemKind::kUnavailable, "nothing was done: " + e.m_why); },
                 [](const InDoubt& e) { return Doubt(e); }},
      error);
}

Problem FromUnhonourable(const MarketId& market, const policy::UnsatisfiableGuarantee& error) {
  return Make(ProblemKind::kRefused, "guarantee " + market.m_value + "/" + error.m_account.m_value + "/" +
                                         error.m_shape + " could not be honoured: " + error.m_why);
}

int HttpStatus(ProblemKind kind) {
  return EntryOf(kind).m_status;
}

const char* ToString(ProblemKind kind) {
  return EntryOf(kind).m_name;
}

boost::json::object ToJson(const Problem& problem) {
  boost::json::object json{{"code", ToString(problem.m_kind)}, {"message", problem.m_message}};
  if (problem.m_line > 0) json["line"] = problem.m_line;
  if (problem.m_column > 0) json["column"] = problem.m_column;
  if (!problem.m_nearest.empty()) json["nearest"] = problem.m_nearest;
  if (problem.m_market.Empty()) return json;
  json["market"] = problem.m_market.m_value;
  json["expected_version"] = Raw(problem.m_expected);
  json["found_version"] = Raw(problem.m_found);
  return json;
}

}  // namespace hickoryquay::operators
