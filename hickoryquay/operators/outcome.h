// Outcome: what became of a script, as typed answers and as the JSON of the admin API.
#pragma once

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "hickoryquay/operators/backend.h"
#include "hickoryquay/operators/problem.h"
#include "hickoryquay/operators/query.h"

namespace hickoryquay::operators {

// Of `why`.
struct Explained {
  std::string m_subject;  // "job j-...", "account trentmere/desk", "worker w-1".
  std::string m_state;
  std::string m_why;                   // One sentence.
  std::vector<JobId> m_behind;         // Jobs that would have to end or start first.
  std::vector<std::string> m_borrows;  // Guarantees it borrows from, as "account/shape".
  std::vector<std::string> m_facts;    // Further sentences.
};

// Of `what if`.
struct Verdict {
  bool m_accepted = false;
  std::string m_why;  // Empty where it would be accepted.
};

// Of a change that is in the table.
struct Changed {
  std::vector<std::pair<MarketId, Version>> m_versions;  // 0: dropped.
};

// Of an action on jobs, workers or instances, and of statements that only guard.
struct Acted {
  std::string m_message;
};

struct Answer {
  std::string m_statement;
  std::variant<Table, Explained, Verdict, Changed, Acted> m_value;
};

struct Outcome {
  std::vector<Answer> m_answers;     // Of the statements carried out, in order.
  std::optional<Problem> m_problem;  // Why the rest was not.
};

boost::json::object ToJson(const Outcome& outcome);

// 200, or that of the problem.
int HttpStatus(const Outcome& outcome);

}  // namespace hickoryquay::operators
