// StartGate: of which jobs the leader may start something now.
//
// What the leader knows of a job's cancel is as old as its view of the part of the table that keeps the job. A part
// whose view is too old holds up its own jobs; the list of workers holds up all.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "hickoryquay/base/clock.h"
#include "hickoryquay/base/metrics.h"
#include "hickoryquay/jobs/commands.h"
#include "hickoryquay/service/earlier_jobs.h"
#include "hickoryquay/service/start_view.h"
#include "hickoryquay/store/table_follower.h"
#include "hickoryquay/store/version_times.h"

namespace hickoryquay::service {

struct StartGateParts {
  const store::TableFollower* m_intake = nullptr;  // Of accepted jobs and cancels.
  const store::TableFollower* m_workers = nullptr;
  const store::VersionTimes* m_writes = nullptr;  // Of the leader: they show that a feed leaves changes out.
  const EarlierJobs* m_earlier_jobs = nullptr;    // Tells in which parts a job is.
  std::vector<std::string> m_intake_parts;
  const Clock* m_clock = nullptr;
  Metrics* m_metrics = nullptr;
};

// Not thread-safe. One object per term of leadership; what `parts` points to must outlive it.
class StartGate {
 public:
  StartGate(const StartGateParts& parts, const StartTerms& terms, Instant term_began);

  bool MayStart() const;  // Something.
  bool MayStartAll() const { return IsRecent(CompleteAtAll()); }
  jobs::JobFilter Startable() const;  // Jobs of which something may be started now.
  StartView View() const;             // Of the part that is known the least.
  void LogChanges();                  // Call once a round.

 private:
  Instant CompleteAt(const store::KnownUpTo& known) const;
  Instant CompleteAt(const std::string& part) const { return CompleteAt(m_parts.m_intake->KnownOf(part)); }
  Instant CompleteAtAll() const { return CompleteAt(m_parts.m_intake->KnownOfAll()); }
  bool IsRecent(Instant intake) const;
  std::set<std::string> OldParts() const;

  StartGateParts m_parts;
  StartTerms m_terms;
  Instant m_term_began;
  bool m_holds_all = false;           // As last logged.
  std::set<std::string> m_old_parts;  // The same.
  Counter* m_views_old;
};

}  // namespace hickoryquay::service
