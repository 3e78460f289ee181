// Problem: why a statement or a call of the admin API was not carried out, for people and programs.
#pragma once

#include <boost/json/object.hpp>
#include <string>

#include "hickoryquay/operators/backend.h"
#include "hickoryquay/operators/parser.h"

namespace hickoryquay::operators {

enum class ProblemKind {
  kSyntax,        // 400
  kUnauthorized,  // 401
  kForbidden,     // 403
  kNotFound,      // 404
  kConflict,      // 409: lost against another change.
  kRefused,       // 422: understood, and not acceptable.
  kUnavailable,   // 503: provably not done.
  kInDoubt,       // 504: may have taken effect.
};

struct Problem {
  ProblemKind m_kind = ProblemKind::kRefused;
  std::string m_message;  // One sentence.
  int m_line = 0;         // Of the script; 0: none.
  int m_column = 0;       // 0: none.
  std::string m_nearest;  // Known word or name nearest to a wrong one.
  MarketId m_market;      // Of a conflict.
  Version m_expected{};
  Version m_found{};
};

Problem FromSyntax(const SyntaxError& error);
Problem FromChange(const ChangeError& error);
Problem FromAction(const ActionError& error);
Problem FromUnhonourable(const MarketId& market, const policy::UnsatisfiableGuarantee& error);

int HttpStatus(ProblemKind kind);
const char* ToString(ProblemKind kind);  // "syntax", "unauthorized", ...
boost::json::object ToJson(const Problem& problem);

}  // namespace hickoryquay::operators
