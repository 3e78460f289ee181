// Names of the questions that entry instances ask each other, see state_queries.h.
#pragma once

namespace hickoryquay::instance {

// Of the placer of a failure domain.
constexpr char kExplainJobs[] = "explain";  // Argument: ids of jobs, by commas. Answer: explanation by id.
constexpr char kCheckMarket[] =
    "check-market";  // Argument: a market's document. Answer: {"ok", "account", "shape", "why"}.
constexpr char kSetQuarantine[] = "quarantine";  // Argument: {"worker", "on"}.
constexpr char kPlacerState[] = "state";         // The placer's dump.

// Of one entry instance.
constexpr char kVersions[] = "versions";  // Version in force by key of the document.
constexpr char kDrain[] = "drain";        // Starts a planned stop.

}  // namespace hickoryquay::instance
