// ArchivedJobs: jobs whose rows have been removed from the table of accepted jobs.
//
// They are remembered for a while, since reads that were sent before the removal may still name them. A read can take
// any time, so the time decides only how often a row has to be read again. What tells an outdated row is its version:
// every read that the store answers after a removal names a version no older than that removal's.
//
// Pure: no I/O, no clock.
#pragma once

#include <algorithm>
#include <deque>
#include <vector>

#include "hickoryquay/base/clock.h"
#include "hickoryquay/base/ids.h"

namespace hickoryquay::jobs {

// Not thread-safe. One object per term of leadership.
class ArchivedJobs {
 public:
  // The last row of the job was removed at the version `removed` of the store.
  void Add(JobId job, Version removed, Instant now) { m_remembered.push_back({job, removed, now}); }

  // Returns the jobs that were added `after` ago or earlier. They are not remembered any more.
  std::vector<JobId> TakeForgotten(Instant now, Millis after) {
    std::vector<JobId> forgotten;
    while (!m_remembered.empty() && now - m_remembered.front().m_since >= after) {
      m_last_removal = std::max(m_last_removal, m_remembered.front().m_removed);
      forgotten.push_back(m_remembered.front().m_job);
      m_remembered.pop_front();
    }
    return forgotten;
  }

  // Returns false if a row that was read at this version may be of a job that was forgotten.
  bool IsCurrent(Version read_at) const { return read_at >= m_last_removal; }

 private:
  struct Entry {
    JobId m_job;
    Version m_removed;
    Instant m_since;  // Steady time.
  };

  std::deque<Entry> m_remembered;
  Version m_last_removal{};  // Of the jobs that were forgotten.
};

}  // namespace hickoryquay::jobs
