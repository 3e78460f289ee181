// Texts of refusals, for callers.
#include <string>
#include <variant>

#include "hickoryquay/policy/scheduler.h"

namespace hickoryquay::policy {

std::string ToString(const Refusal& refusal) {
  return std::visit(
      Overloaded{
          [](const UnknownMarket&) -> std::string { return "The market is not known."; },
          [](const UnknownAccount&) -> std::string { return "The market has no such client account."; },
          [](const UnknownClass&) -> std::string { return "The market has no such class of work."; },
          [](const DeadlinePassed&) -> std::string { return "Its deadline has passed."; },
          [](const TooManyWaiting& e) -> std::string {
            return "The client account has " + std::to_string(e.m_limit) + " jobs waiting, which is its limit.";
          },
          [](const OverAccountLimit& e) -> std::string {
            return "It takes " + std::to_string(e.m_accelerators) + " accelerators; the client account may hold " +
                   std::to_string(e.m_limit) + " at one time.";
          },
          [](const NeverFits& e) -> std::string { return e.m_why; },
      },
      refusal);
}

}  // namespace hickoryquay::policy
