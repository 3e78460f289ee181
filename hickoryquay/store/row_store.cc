#include "hickoryquay/store/row_store.h"

namespace hickoryquay::store {

std::string ToString(const TransactError& error) {
  return std::visit(Overloaded{[](const RowsDiffer&) { return std::string("rows differ"); },
                               [](const StoreRefused& refused) { return "refused: " + refused.m_why; },
                               [](const StoreSilent& silent) { return "no answer: " + silent.m_why; },
                               [](const StoreRejected& rejected) { return "rejected: " + rejected.m_why; }},
                    error);
}

std::string ToString(const ReadError& error) {
  return std::visit(Overloaded{[](const HistoryGone&) { return std::string("history is gone"); },
                               [](const TooLong&) { return std::string("the answer is too long"); },
                               [](const Unreachable& unreachable) { return unreachable.m_why; }},
                    error);
}

}  // namespace hickoryquay::store
