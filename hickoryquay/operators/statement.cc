// The printer of statements.
#include "hickoryquay/operators/statement.h"

#include <array>

#include "hickoryquay/base/result.h"
#include "hickoryquay/operators/words.h"
#include "hickoryquay/settings/values.h"

namespace hickoryquay::operators {

namespace {

std::string Text(double number) {
  return NumberText(number);
}

std::string Text(Millis duration) {
  return settings::DurationText(duration);
}

std::string Text(bool flag) {
  return flag ? "yes" : "no";
}

std::string Text(int number) {
  return std::to_string(number);
}

std::string Text(const AccountPath& path) {
  return path.m_market.m_value + "/" + path.m_account.m_value;
}

std::string Text(const ClassPath& path) {
  return path.m_market.m_value + "/" + path.m_class.m_value;
}

std::string Text(const GuaranteePath& path) {
  return path.m_market.m_value + "/" + path.m_account.m_value + "/" + path.m_shape;
}

std::string Quoted(const std::string& text) {
  std::string quoted = "\"";
  for (const char c : text) {
    if (c == '"' || c == '\\') quoted += '\\';
    if (c == '\n') {
      quoted += "\\n";
    } else {
      quoted += c;
    }
  }
  return quoted + "\"";
}

std::string Text(const Value& value) {
  return std::visit(
      Overloaded{[](const std::string& text) { return IsBareText(text) ? text : Quoted(text); },
                 [](double number) { return Text(number); }, [](Millis duration) { return Text(duration); }},
      value);
}

// " keyword value", or nothing where the clause is not given.
template <typename T>
std::string Clause(const char* keyword, const std::optional<T>& value) {
  return value.has_value() ? std::string(" ") + keyword + " " + Text(*value) : "";
}

// "create account ", "change account ", "account ".
std::string Verb(PutMode mode, const char* kind) {
  constexpr std::array<const char*, 3> kVerbs = {"create ", "change ", ""};
  return kVerbs.at(static_cast<std::size_t>(mode)) + std::string(kind) + " ";
}

template <typename List, typename Print>
std::string Joined(const List& list, const char* between, Print print) {
  std::string text;
  for (const auto& element : list) text += (text.empty() ? "" : between) + print(element);
  return text;
}

std::string Text(const Comparison& comparison) {
  return (comparison.m_negated ? "not " : "") + comparison.m_column + " " + ToString(comparison.m_comparator) + " " +
         Text(comparison.m_value);
}

std::string Text(const Filter& filter) {
  if (filter.m_any.empty()) return "";
  const auto all_of = [](const std::vector<Comparison>& all) {
    return Joined(all, " and ", [](const Comparison& comparison) { return Text(comparison); });
  };
  return " where " + Joined(filter.m_any, " or ", all_of);
}

struct Printer {
  std::string operator()(const PutMarket& put) const {
    std::string text = Verb(put.m_mode, "market") + put.m_market.m_value;
    if (put.m_domains.has_value()) {
      text += " domains " + Joined(*put.m_domains, ", ", [](const DomainId& domain) { return domain.m_value; });
    }
    return text + Clause("weight", put.m_weight);
  }
  std::string operator()(const PutAccount& put) const {
    return Verb(put.m_mode, "account") + Text(put.m_account) + Clause("accelerators", put.m_accelerators) +
           Clause("waiting", put.m_waiting);
  }
  std::string operator()(const PutGuarantee& put) const {
    std::string text = Verb(put.m_mode, "guarantee") + Text(put.m_guarantee);
    if (put.m_size.has_value()) {
      text += " blocks " + Text(put.m_size->m_blocks) + " of " + Text(put.m_size->m_accelerators);
    }
    if (put.m_adjacency.has_value()) text += std::string(" adjacent ") + ToString(*put.m_adjacency);
    if (!put.m_split.has_value()) return text;
    return text + " split " + Joined(*put.m_split, ", ", [](const DomainShare& share) {
             return share.m_domain.m_value + " " + Text(share.m_blocks);
           });
  }
  std::string operator()(const PutClass& put) const {
    return Verb(put.m_mode, "class") + Text(put.m_class) + Clause("urgency", put.m_urgency) +
           Clause("deadline", put.m_deadline) + Clause("repeatable", put.m_repeatable) +
           Clause("checkpointable", put.m_checkpointable) + Clause("preemptible", put.m_preemptible);
  }
  std::string operator()(const Drop& drop) const {
    return "drop " +
           std::visit(Overloaded{[](const MarketId& market) { return "market " + market.m_value; },
                                 [](const AccountPath& account) { return "account " + Text(account); },
                                 [](const GuaranteePath& guarantee) { return "guarantee " + Text(guarantee); },
                                 [](const ClassPath& work) { return "class " + Text(work); }},
                      drop.m_target);
  }
  std::string operator()(const ExpectVersion& expect) const {
    return "expect market " + expect.m_market.m_value + " version " + std::to_string(Raw(expect.m_version));
  }
  std::string operator()(const SteerWorker& steer) const {
    return std::string(ToString(steer.m_steering)) + " worker " + steer.m_worker.m_value;
  }
  std::string operator()(const SteerInstance& steer) const {
    return std::string(ToString(steer.m_steering)) + " instance " + steer.m_instance.m_value;
  }
  std::string operator()(const CancelJobs& cancel) const {
    if (cancel.m_jobs.empty()) return "cancel jobs" + Text(cancel.m_where);
    return "cancel job " + Joined(cancel.m_jobs, ", ", [](JobId job) { return hickoryquay::ToString(job); });
  }
  std::string operator()(const RetryJob& retry) const { return "retry job " + hickoryquay::ToString(retry.m_job); }
  std::string operator()(const Show& show) const {
    std::string text = std::string("show ") + ToString(show.m_subject) + Text(show.m_where);
    if (!show.m_order.empty()) {
      text += " order by " + Joined(show.m_order, ", ", [](const OrderBy& order) {
                return order.m_column + (order.m_descending ? " desc" : "");
              });
    }
    return text + Clause("limit", show.m_limit);
  }
  std::string operator()(const WhyJob& why) const { return "why job " + hickoryquay::ToString(why.m_job); }
  std::string operator()(const WhyAccount& why) const { return "why account " + Text(why.m_account); }
  std::string operator()(const WhyNotWorker& why) const { return "why not worker " + why.m_worker.m_value; }
  std::string operator()(const WhatIf& what_if) const { return "what if " + std::visit(*this, what_if.m_change); }
  std::string operator()(const BeginEach&) const { return "begin each"; }
};

template <typename T, typename... Ts>
constexpr bool kOneOf = (std::is_same_v<T, Ts> || ...);

}  // namespace

std::string ToText(const Statement& statement) {
  return std::visit(Printer{}, statement);
}

bool IsConfigurationChange(const Statement& statement) {
  return std::visit(
      [](const auto& s) {
        return kOneOf<std::decay_t<decltype(s)>, PutMarket, PutAccount, PutGuarantee, PutClass, Drop>;
      },
      statement);
}

bool IsAction(const Statement& statement) {
  return std::visit(
      [](const auto& s) { return kOneOf<std::decay_t<decltype(s)>, SteerWorker, SteerInstance, CancelJobs, RetryJob>; },
      statement);
}

bool Changes(const Statement& statement) {
  return IsConfigurationChange(statement) || IsAction(statement);
}

const char* ToString(Subject subject) {
  constexpr std::array<const char*, 12> kNames = {"jobs",    "requests",  "workers",  "backends",
                                                  "racks",   "markets",   "accounts", "guarantees",
                                                  "classes", "instances", "versions", "changes"};
  return kNames.at(static_cast<std::size_t>(subject));
}

const char* ToString(Comparator comparator) {
  constexpr std::array<const char*, 7> kNames = {"=", "!=", "<", "<=", ">", ">=", "~"};
  return kNames.at(static_cast<std::size_t>(comparator));
}

const char* ToString(Steering steering) {
  constexpr std::array<const char*, 3> kNames = {"drain", "quarantine", "release"};
  return kNames.at(static_cast<std::size_t>(steering));
}

}  // namespace hickoryquay::operators
