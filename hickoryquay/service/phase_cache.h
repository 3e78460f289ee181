// PhaseCache: what an instance knows of jobs without asking the store.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "hickoryquay/base/clock.h"
#include "hickoryquay/jobs/job.h"
#include "hickoryquay/service/job_room.h"

namespace hickoryquay::service {

// Job phases and numbers of waiting jobs, as reported by the leader or read from the store. Not thread-safe.
class PhaseCache {
 public:
  explicit PhaseCache(Millis keep, std::uint64_t job_memory_bytes = 0) : m_retention(keep), m_room(job_memory_bytes) {}

  void Set(JobId job, jobs::JobPhase phase, Instant now);
  // Sets a phase that a call to the store has told, sent at `sent`. Unless the job has ended it is left out if an
  // update came, or may have been missed, since then.
  void SetFromStore(JobId job, jobs::JobPhase phase, Instant sent, Instant now);
  // Drops the phases of jobs that have not ended. For when updates may have been missed.
  void DropUnfinished(Instant now);
  void SetPending(std::map<jobs::QueueName, int> pending, Instant now);
  // Whether the part of versions before the sixteen parts has rows of jobs, as the leader says.
  void SetEarlierRows(bool any, Instant now);
  bool MayHaveEarlierRows(Instant now) const;  // True if the leader has not told recently.
  // Records a heartbeat of the leader. Phases of unfinished jobs are valid only for a short time after one.
  void NoteHeartbeat(Instant now) { m_heartbeat_at = now; }
  std::optional<jobs::JobPhase> Find(JobId job, Instant now) const;
  std::optional<int> Pending(const jobs::QueueName& queue, Instant now) const;  // Empty if the count is too old.
  void RemoveExpired(Instant now);
  JobRoom& Room() { return m_room; }

 private:
  struct Entry {
    jobs::JobPhase m_phase;
    Instant m_since;
  };
  Millis m_retention;
  std::map<JobId, Entry> m_entries;
  std::map<jobs::QueueName, int> m_pending;
  Instant m_pending_at;
  Instant m_heartbeat_at;
  Instant m_dropped_at;          // When updates may have been missed last.
  Instant m_no_earlier_rows_at;  // When the leader last said that there are none; 0: never, or there are some.
  bool m_has_pending = false;
  JobRoom m_room;
};

}  // namespace hickoryquay::service
