// Executor: carries out a script against the backend.
//
// A script is one transaction: its changes of the configuration are checked, then committed together, then its
// queries are answered in order. Behind `begin each` every statement is one, in order, up to the first that fails.
// An action on jobs, workers or instances can't be undone, so it is the only change of its transaction.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "hickoryquay/operators/backend.h"
#include "hickoryquay/operators/outcome.h"
#include "hickoryquay/operators/statement.h"

namespace hickoryquay::operators {

struct Caller {
  std::string m_name;         // For the audit log.
  bool m_may_change = false;  // False: questions only.
};

struct RunOptions {
  std::map<MarketId, Version> m_expected;  // Versions to stand on, as `expect market` statements.
};

using OutcomeCallback = std::function<void(Outcome)>;

// Calls back once. The backend must outlive the call.
void RunScript(Backend* backend, const Script& script, const Caller& caller, const RunOptions& options,
               OutcomeCallback callback);

// Puts or drops one market's whole document, on the version expected; 0: must be absent.
void PutMarketDocument(Backend* backend, const StagedMarket& market, const Caller& caller, std::string statement,
                       OutcomeCallback callback);

}  // namespace hickoryquay::operators
