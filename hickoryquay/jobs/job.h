// Jobs of steps: what callers submit where a job is more than one gang, and under which terms a queue runs it.
//
// Index of this file:
//   [SECTION] Keys
//   [SECTION] What callers ask for
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
using PoolName = Name<struct PoolTag>;  // The group of workers that a queue's tasks run on.

enum class RunNumber : std::uint32_t {};  // Counts the starts of one task, from 1. Members of a gang share it.

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

// Sixteen lower-case hexadecimal digits.
std::string HexText(JobId job);
std::optional<JobId> ParseHexJobId(std::string_view text);

// "JOB.OCCURRENCE.STEP" and "JOB.OCCURRENCE.STEP.INDEX".
std::string ToText(const StepKey& key);
std::string ToText(const TaskKey& key);
std::optional<StepKey> ParseStepKey(std::string_view text);
std::optional<TaskKey> ParseTaskKey(std::string_view text);

//-------------------------------------------------------------------------------------------------
// [SECTION] What callers ask for
//-------------------------------------------------------------------------------------------------

struct StepSpec {
  int m_tasks = 1;
  Resources m_task;                // What each task takes of its worker.
  Millis m_estimate{0};            // The caller's guess at a task's duration; off by half to ten times.
  std::vector<int> m_after;        // Earlier steps whose tasks must all be done first.
  bool m_checkpoints = false;      // A stopped task can go on from its last checkpoint.
  bool m_gang = false;             // Tasks work only together and end together.
  bool m_rack_local = false;       // A gang on more than one rack is slowed down.
  bool m_speculative = false;      // Copies of a task may run in parallel.
  bool m_long_running = false;     // Runs until the job is cancelled; restarted however it ends.
  bool m_uses_idle_cores = false;  // Takes the cores that others leave unused.
  std::string m_required_label;    // Workers without it may not run the step; empty: any worker.
  std::string m_data_rack;         // Elsewhere tasks are slowed down; empty: no data.
  int m_max_per_worker = 0;        // Tasks of one occurrence on one worker; 0: no limit.
  std::string m_image;             // Tasks of one image behave alike.
  Millis m_latency_target{0};      // Tail of the responses of a task that serves; 0: it serves nobody.
  int m_max_unavailable = 0;       // Tasks of a lasting step that our own actions may keep away at a time.
};

struct JobRequest {
  std::string m_payload;  // Opaque; workers get it as it came.
  std::vector<StepSpec> m_steps;
  int m_repeats = 0;    // Occurrences of a timed job; 0: runs once, at once.
  Instant m_first_due;  // Wall time of occurrence 0.
  Millis m_interval{0};
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
  int m_max_attempts = 1;  // Failed runs of a task after which its job has failed.
  double m_stretch = 1.0;  // The objective of a job is stretch times its longest chain, and m_objective more.
  Millis m_objective{0};
  bool m_public = false;  // Calls need no key.
};

struct Account {
  AccountId m_id;
  std::vector<std::string> m_keys;
  int m_guaranteed_accelerators = 0;  // Belong to its jobs of priority 0 at all times.
};

// One version of everything operators set. Immutable once published.
struct QueueConfiguration {
  std::int64_t m_version = 0;
  std::vector<Queue> m_queues;
  std::vector<Account> m_accounts;
  std::size_t m_max_body_bytes = 262'144;

  const Queue* Find(std::string_view host, std::string_view path) const;  // By longest prefix; nullptr: none.
  const Queue* FindQueue(const QueueName& name) const;
  const Account* FindAccountByKey(std::string_view key) const;
  int Guaranteed(const AccountId& account) const;
};

//-------------------------------------------------------------------------------------------------
// [SECTION] Accepted jobs
//-------------------------------------------------------------------------------------------------

// What intake stores before it accepts a job. The terms are those in force at that moment: a queue may be gone later.
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

// One worker of a pool as the platform lists it.
struct WorkerEntry {
  WorkerId m_id;  // Of one life of the process; a restarted one has another.
  PoolName m_pool;
  std::string m_address;  // "IP:PORT".
  DomainId m_domain;
  std::string m_rack;
  std::vector<std::string> m_labels;
  Resources m_capacity;
  bool m_draining = false;
  std::optional<Millis> m_remaining;  // Until a draining worker leaves, at least.

  bool operator==(const WorkerEntry&) const = default;
};

}  // namespace hickoryquay::jobs
