// Load: a seeded plan of the jobs of one heavy day, and of what goes wrong with the workers while it lasts.
//
// A model of our own of the users' loads: three queues, gangs and batch steps, estimates that are off, workers of
// different speeds in racks. Each pattern changes it in one way that hurts schedulers.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "hickoryquay/jobs/job.h"
#include "standin/sim_workers.h"

namespace hickoryquay::bench {

// What one queue gets, and what its jobs are worth.
struct QueueLoad {
  jobs::Queue m_queue;
  double m_per_second = 1.0;
  double m_worth = 1.0;
  double m_late_worth = 0.3;  // Done later than its objective, within three times of it.
  double m_mean_tasks = 4.0;
  double m_task_spread = 0.8;  // Of the logarithm.
  int m_max_tasks = 30;
  double m_mean_work_ms = 5'000.0;
  double m_work_spread = 0.3;  // Of the logarithm.
  double m_max_work_ms = 11'000.0;
  std::vector<int> m_accelerators;  // Of a task; one is drawn for each job.
  std::int64_t m_millicores = 1'000;
  std::int64_t m_memory_mb = 1'000;
  double m_estimate_off = 0.9;       // Estimates lie between 1 / (1 + this) and 1 + this times the truth.
  double m_member_spread = 0.0;      // Of the work of a gang's members: of the logarithm.
  double m_stragglers = 0.0;         // Share of single tasks that take seven times as long.
  bool m_nominal_objective = false;  // The objective follows the step's usual work instead of its longest task.
  double m_gangs = 0.0;              // Shares of its jobs from here on.
  double m_rack_local = 0.0;         // Of gangs.
  double m_checkpoints = 0.0;
  double m_second_step = 0.0;
  double m_faulty = 0.05;  // The first run fails by its own fault.
  double m_cancelled = 0.0;
};

struct DayJob {
  jobs::AcceptedJob m_job;  // As accepted; m_accepted counts from the beginning of the day.
  std::vector<standin::StepTruth> m_truths;
  double m_worth = 0.0;  // Done in time.
  double m_late_worth = 0.0;
  Millis m_objective{0};      // From acceptance, by what the job really takes.
  Millis m_critical_path{0};  // Its longest chain, as it really is.
  bool m_can_be_done = true;
  std::optional<Instant> m_cancel_at;
};

struct WorkerTrouble {
  enum class Kind { kSlow, kHangs, kFails, kDrains };
  Kind m_kind = Kind::kSlow;
  WorkerId m_worker;
  Instant m_from;
  Instant m_until;
};

struct DayLoad {
  std::vector<standin::SimWorkerSettings> m_workers;
  std::vector<QueueLoad> m_queues;
  std::vector<jobs::Account> m_accounts;
  std::vector<DayJob> m_jobs;  // In order of acceptance.
  std::vector<WorkerTrouble> m_troubles;
  Instant m_first_arrival;    // Time of the day at which regular arrivals begin.
  double m_swing = 0.15;      // Of arrivals, in waves.
  Millis m_arrivals{40'000};  // Jobs come until then.
  Millis m_after{15'000};     // Played on for this long behind the last arrival.
};

// Names of patterns with what each one is.
std::map<std::string, std::string> Patterns();

// nullopt where the pattern is unknown. `load` scales all arrivals: at 1, about what the accelerators can do.
std::optional<DayLoad> MakeDay(const std::string& pattern, std::uint64_t seed, double load, int workers);

}  // namespace hickoryquay::bench
