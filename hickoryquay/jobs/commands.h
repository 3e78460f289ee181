// What the scheduler hands to its driver: commands for workers, rows to store, news of jobs and workers, and counts.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "hickoryquay/jobs/job.h"
#include "hickoryquay/jobs/rows.h"

namespace hickoryquay::jobs {

using JobFilter = std::function<bool(JobId)>;  // Returns false for jobs to be left out; empty: takes all.

struct StartCommand {
  WorkerId m_worker;
  TaskKey m_task;
  RunNumber m_run{};
  std::shared_ptr<const std::string> m_payload;
  std::string m_checkpoint;
  int m_priority = 0;  // Of its queue: lower ones are sent first.
};

struct StopCommand {
  WorkerId m_worker;
  TaskKey m_task;
  RunNumber m_run{};
};

// Ends of this incarnation of a worker up to m_number are recorded in rows.
struct RecordedEnds {
  WorkerId m_worker;
  std::int64_t m_number = 0;
  Instant m_born;  // Wall time of the start of the incarnation; 0: not known.
};

struct PhaseChange {
  JobId m_job{};
  JobPhase m_phase = JobPhase::kQueued;
  int m_priority = 0;
  Instant m_accepted;  // Wall time.
};

// Rows to store in one transaction, and the actions to take after they are stored.
struct Batch {
  std::vector<RowChange> m_rows;
  std::vector<StartCommand> m_starts;
  std::vector<RecordedEnds> m_recorded_ends;
  std::vector<PhaseChange> m_phases;

  bool Empty() const { return m_rows.empty() && m_recorded_ends.empty(); }
};

// A job that has ended and of which nothing runs.
struct SettledJob {
  JobId m_id{};
  PhaseRow m_end;
};

// A job of priority 0 within its account's guarantee has begun all tasks of its first step.
struct GuaranteeStart {
  JobId m_job{};
  AccountId m_account;
  Millis m_since_accepted{0};  // By the wall clocks of the instance that accepted the job and of this one.
  Millis m_since_taken_in{0};
};

// A unit whose run was lost is placed again.
struct ReplacedRun {
  int m_priority = 0;
  Millis m_waited{0};  // Since the run was known to be lost.
};

// A worker that holds runs.
struct OccupiedWorker {
  WorkerId m_id;
  std::string m_address;
  std::optional<Instant> m_born;  // Wall time of the start of the latest incarnation that holds a run, if known.
};

struct SchedulerCounts {
  int m_open_jobs = 0;  // Not ended.
  int m_active_units = 0;
  int m_starts = 0;       // Starts of tasks since construction.
  int m_preemptions = 0;  // Preempted units since construction.
  int m_lost_runs = 0;    // Runs lost with their workers since construction.
  int m_lost_ends = 0;    // Of these, runs that by their pace would have ended by then.
  int m_used_accelerators = 0;
  int m_accelerators = 0;
};

}  // namespace hickoryquay::jobs
