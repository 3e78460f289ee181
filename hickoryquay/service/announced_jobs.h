// AnnouncedJobs: which jobs the leader takes in because an instance announced them.
//
// The feed of the table of jobs names every accepted job, but late while the store is slow, and not at all while its
// feeds are held up. So the instance that stored a job also tells the leader. An announcement counts only until the
// feed has come to the version at which the job was stored: after that the job may have run and be forgotten already,
// and a copy that arrives late must not start it again.
//
// Pure: no I/O, no clock.
#pragma once

#include <map>

#include "hickoryquay/base/ids.h"

namespace hickoryquay::service {

// Not thread-safe. One object per term of leadership.
class AnnouncedJobs {
 public:
  // Returns true if the job, stored at the version `stored`, is to be taken in now. `seen`: the version that the feed
  // has come to.
  bool Take(JobId job, Version stored, Version seen) {
    m_taken.erase(m_taken.begin(), m_taken.upper_bound(seen));
    return stored > seen && m_taken.emplace(stored, job).second;
  }

  std::size_t Count() const { return m_taken.size(); }

 private:
  std::map<Version, JobId> m_taken;  // Ahead of the feed. A transaction stores one job, so versions differ.
};

}  // namespace hickoryquay::service
