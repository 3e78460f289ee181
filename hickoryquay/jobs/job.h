// Job model: what callers submit, the queues and client accounts that it is submitted to, and the stored job.
//
// A job has one or more steps, a step has one or more tasks. Steps may depend on earlier ones, and a timed job repeats
// all of its steps (each repetition is an occurrence).
//
// Index of this file:
//   [SECTION] Keys
//   [SECTION] Job requests
//   [SECTION] Queues and client accounts
//   [SECTION] Accepted jobs
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "hickoryquay/base/clock.h"
#include "hickoryquay/base/ids.h"
#include "hickoryquay/model/model.h"

namespace hickoryquay::jobs {

//-------------------------------------------------------------------------------------------------
// [SECTION] Keys
//-------------------------------------------------------------------------------------------------

using QueueName = Name<struct QueueTag>;
using PoolName = Name<struct PoolTag>;  // The group of workers that run a queue's tasks.

enum class RunNumber : std::uint32_t {};  // Number of a start of one task, from 1. All tasks of a gang have the same.

// One step of one occurrence of a job.
struct StepKey {
  JobId m_job{};
  int m_occurrence = 0;  // 0 for a job that runs once.
  int m_step = 0;

  auto operator<=>(const StepKey&) const = default;
};

struct TaskKey {
  StepKey m_step;
  int m_index = 0;

  auto operator<=>(const TaskKey&) const = default;
};

// 16 lower-case hexadecimal digits.
std::string HexText(JobId job);
std::optional<JobId> ParseHexJobId(std::string_view text);

// "JOB.OCCURRENCE.STEP" and "JOB.OCCURRENCE.STEP.INDEX".
std::string ToText(const StepKey& key);
std::string ToText(const TaskKey& key);
std::optional<StepKey> ParseStepKey(std::string_view text);
std::optional<TaskKey> ParseTaskKey(std::string_view text);

//-------------------------------------------------------------------------------------------------
// [SECTION] Job requests
//-------------------------------------------------------------------------------------------------

// Largest values of a request and of its row. What exceeds them is malformed.
constexpr std::int64_t kMaxCount = 1'000'000;  // Of tasks, repetitions, accelerators and the like.
constexpr std::int64_t kMaxMillicores = 100'000'000;
constexpr std::int64_t kMaxMemoryMb = 1'000'000'000;

struct StepSpec {
  int m_tasks = 1;
  Resources m_task;             // Resources of one task on its worker.
  Millis m_estimate{0};         // The caller's estimate of a task's duration; off by 50% up to tenfold.
  std::vector<int> m_after;     // Indices of earlier steps whose tasks must all be done first.
  bool m_checkpoints = false;   // A stopped task can resume from its last checkpoint.
  bool m_gang = false;          // All tasks run at the same time and end together.
  bool m_rack_local = false;    // The gang runs slower when it spans racks.
  bool m_speculative = false;   // Copies of a task may run in parallel.
  bool m_long_running = false;  // Runs until the job is cancelled; restarted whenever a task ends, with success or not.
  bool m_uses_idle_cores = false;  // Uses the cores that other tasks leave idle.
  std::string m_required_label;    // Only workers with this label run the step; empty: any worker.
  std::string m_data_rack;         // Rack of the input data, tasks on other racks run slower; empty: no data.
  int m_max_per_worker = 0;        // Limit of tasks of one occurrence on one worker; 0: no limit.
  std::string m_image;             // Program image; tasks with the same image behave alike.
  Millis m_latency_target{0};      // Target for the tail latency of a task that serves requests; 0: it serves none.
  int m_max_unavailable = 0;  // Limit of tasks of a long-running step that the scheduler may stop at the same time.
};

struct JobRequest {
  std::string m_payload;  // Opaque; passed to workers unchanged.
  std::vector<StepSpec> m_steps;
  int m_repeats = 0;     // Occurrences of a timed job; 0: runs once, immediately.
  Instant m_first_due;   // Wall time of occurrence 0.
  Millis m_interval{0};  // Between occurrences.
};

//-------------------------------------------------------------------------------------------------
// [SECTION] Queues and client accounts
//-------------------------------------------------------------------------------------------------

struct Queue {
  QueueName m_name;
  std::string m_host;
  std::string m_path_prefix;
  PoolName m_pool;
  int m_priority = 0;      // 0 is the most urgent and may preempt others.
  int m_max_attempts = 1;  // Failed runs of one task that make the job fail.
  double m_stretch = 1.0;  // A job's objective is to end within m_stretch * its critical path + m_objective.
  Millis m_objective{0};
  bool m_public = false;  // Requests need no API key.
};

struct Account {
  AccountId m_id;
  std::vector<std::string> m_keys;
  int m_guaranteed_accelerators = 0;  // Always available to its jobs of priority 0.
};

// One version of all queues and client accounts. Immutable once published.
struct QueueConfiguration {
  std::int64_t m_version = 0;
  std::vector<Queue> m_queues;
  std::vector<Account> m_accounts;
  std::size_t m_max_body_bytes = 262'144;

  const Queue* Find(std::string_view host, std::string_view path) const;  // Longest matching prefix; nullptr: none.
  const Queue* FindQueue(const QueueName& name) const;
  const Account* FindAccountByKey(std::string_view key) const;
  int Guaranteed(const AccountId& account) const;
};

//-------------------------------------------------------------------------------------------------
// [SECTION] Accepted jobs
//-------------------------------------------------------------------------------------------------

// The row that is stored before a job is accepted. It copies the queue's settings of that moment, since the queue may
// be removed later.
struct AcceptedJob {
  JobId m_id{};
  QueueName m_queue;
  AccountId m_account;
  Instant m_accepted;  // Wall time.
  PoolName m_pool;
  int m_priority = 0;
  int m_max_attempts = 1;
  double m_stretch = 1.0;
  Millis m_objective{0};
  JobRequest m_request;
};

enum class JobPhase { kQueued, kRunning, kCompleted, kFailed, kCancelled };
bool Ended(JobPhase phase);
const char* ToString(JobPhase phase);  // "queued", "running", ...
std::optional<JobPhase> ParseJobPhase(std::string_view text);

// One worker of a pool, as listed by the platform.
struct WorkerEntry {
  WorkerId m_id;  // Identifies one incarnation of the worker process, together with m_born where that is known.
  PoolName m_pool;
  std::string m_address;  // "IP:PORT".
  DomainId m_domain;
  std::string m_rack;
  std::vector<std::string> m_labels;
  Resources m_capacity;
  bool m_draining = false;
  std::optional<Millis> m_remaining;  // Least time until a draining worker is removed.
  std::optional<Millis> m_cold_left;  // How much longer it is slow after its start.
  // Wall time of the start of this incarnation, if the platform tells it. A worker may then restart under its id.
  std::optional<Instant> m_born;

  bool operator==(const WorkerEntry&) const = default;
};

}  // namespace hickoryquay::jobs
