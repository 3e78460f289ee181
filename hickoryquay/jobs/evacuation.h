// Evacuation of failure domains: which ones the operator evacuates, and how their workers return to use afterwards.
//
// An instance learns the set from the operators' table and from its peers. Both state the version of the store that
// their knowledge reflects; the higher one wins. A row that is gone has no version of its own, so a full scan counts
// with the version of the store when it answered. Pure: no I/O, no clock.
//
// Index of this file:
//   [SECTION] Set of evacuated domains
//   [SECTION] Return of workers
#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "hickoryquay/base/clock.h"
#include "hickoryquay/base/ids.h"

namespace hickoryquay::jobs {

//-------------------------------------------------------------------------------------------------
// [SECTION] Set of evacuated domains
//-------------------------------------------------------------------------------------------------

// State of the operators' table, or its changes up to a version of the store.
struct EvacuationNews {
  Version m_version{};                 // Of the store when it answered.
  bool m_whole = false;                // Domains that are not named are not evacuated.
  std::map<DomainId, bool> m_domains;  // Whether the domain is evacuated.
};

// State of a failure domain that is evacuated.
struct EvacuatedDomain {
  int m_workers = 0;
  int m_runs = 0;        // That are or may be there.
  int m_unanswered = 0;  // Of these, the ones that are not known to run: their start may still arrive.
};

// What a merge has changed.
struct EvacuationChange {
  std::set<DomainId> m_added;
  std::set<DomainId> m_lifted;

  bool Empty() const { return m_added.empty() && m_lifted.empty(); }
};

// Not thread-safe.
class EvacuationSet {
 public:
  // Merges news if their version is higher, or if nothing is known yet. Changes are complete up to their version:
  // they contain every change since the last news from the same source. Returns nothing if the news are not newer.
  std::optional<EvacuationChange> Merge(const EvacuationNews& news);

  bool Known() const { return m_known; }  // The whole set was read or received at least once.
  Version StoreVersion() const { return m_version; }
  const std::set<DomainId>& Domains() const { return m_domains; }

 private:
  std::set<DomainId> m_domains;
  Version m_version{};
  bool m_known = false;
};

//-------------------------------------------------------------------------------------------------
// [SECTION] Return of workers
//-------------------------------------------------------------------------------------------------

// The workers of a domain return in steps, so that waiting work is not all placed on workers that were just idle or
// are still starting.
struct ReturnSettings {
  int m_steps = 4;
  Millis m_step{500};  // Between two steps. All workers are back after 1.5 s, less than a usual wait for a worker.
};

struct ReturningWorker {
  WorkerId m_id;
  bool m_cold = false;
};

// Returns how long after the lift each worker may be used again. The first step is at once, warm workers come first.
std::map<WorkerId, Millis> PlanReturn(std::vector<ReturningWorker> workers, const ReturnSettings& settings);

}  // namespace hickoryquay::jobs
