// Explain: the answers of `why job`, `why account` and `why not worker`.
#pragma once

#include "hickoryquay/base/result.h"
#include "hickoryquay/operators/backend.h"
#include "hickoryquay/operators/outcome.h"

namespace hickoryquay::operators {

Explained ExplainJob(JobId job, const policy::Explanation& explanation);

// What the client account runs, waits for and is guaranteed, and which of its limits or guarantees holds it up.
Result<Explained, Problem> ExplainAccount(const AccountPath& path, const Configuration& configuration,
                                          const Collected& collected);

// Why the worker takes no more work, and which jobs would have to end for that.
Result<Explained, Problem> ExplainWorker(const WorkerId& id, const Collected& collected);

}  // namespace hickoryquay::operators
