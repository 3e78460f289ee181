// Model: what operators name and what the platform brings. Plain aggregates; nothing here decides anything.
//
// Index of this file:
//   [SECTION] Resources and shapes
//   [SECTION] Configuration: markets, client accounts, classes of work
//   [SECTION] Workers
//   [SECTION] Jobs
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "hickoryquay/base/clock.h"
#include "hickoryquay/base/ids.h"

namespace hickoryquay {

//-------------------------------------------------------------------------------------------------
// [SECTION] Resources and shapes
//-------------------------------------------------------------------------------------------------

// A vector of what a worker has or a task takes.
struct Resources {
  std::int32_t m_accelerators = 0;
  std::int64_t m_millicores = 0;
  std::int64_t m_memory_mb = 0;

  bool operator==(const Resources&) const = default;
  Resources& operator+=(const Resources& other);
  Resources& operator-=(const Resources& other);
  Resources operator*(int times) const;
  bool FitsIn(const Resources& room) const;  // Every component at most that of `room`.
};
inline Resources operator+(Resources a, const Resources& b) {
  return a += b;
}
inline Resources operator-(Resources a, const Resources& b) {
  return a -= b;
}

// How close together the accelerators of a gang or of a guaranteed block must be. Each level includes those before it.
enum class Adjacency {
  kWorker,          // All on one worker.
  kRack,            // All in one rack.
  kNeighbourRacks,  // In racks at consecutive positions, at most kMaxNeighbourRacks of them.
  kAny,             // Anywhere in the failure domain.
};
constexpr int kMaxNeighbourRacks = 4;

// A gang of equal tasks, each whole on one worker. One task alone is a gang of one.
struct GangShape {
  int m_tasks = 1;
  Resources m_task;  // What each task declares to take.
  Adjacency m_adjacency = Adjacency::kAny;

  int Accelerators() const { return m_tasks * m_task.m_accelerators; }
};

// `m_blocks` blocks of accelerators that can be called on at any time; the accelerators of each block are adjacent.
struct GuaranteedShape {
  std::string m_name;  // Unique within its client account.
  int m_blocks = 0;
  int m_accelerators_per_block = 0;
  Adjacency m_adjacency = Adjacency::kRack;
  std::map<DomainId, int> m_blocks_by_domain;  // The apportionment; sums up to m_blocks.
};

//-------------------------------------------------------------------------------------------------
// [SECTION] Configuration: markets, client accounts, classes of work
//-------------------------------------------------------------------------------------------------

struct ClassOfWork {
  ClassId m_id;
  int m_urgency = 5;              // 0 is the most urgent, 9 the least.
  Millis m_default_deadline{0};   // From acceptance, for work that brings none of its own; 0: none.
  bool m_repeatable = true;       // False: runs at most once.
  bool m_checkpointable = false;  // Can be stopped and go on later without losing its work.
  bool m_preemptible = true;  // May be stopped, losing its work, to honour a guarantee. Ignored where not repeatable.
};

struct ClientAccount {
  AccountId m_id;
  int m_max_accelerators = 0;  // At one time, borrowed ones included; 0: no limit.
  int m_max_waiting_jobs = 0;  // Further ones are refused; 0: no limit.
  std::vector<GuaranteedShape> m_guarantees;
};

// One versioned document. Opening or changing one touches no other.
struct Market {
  MarketId m_id;
  Version m_version{};
  std::vector<DomainId> m_domains;   // Where its work may run.
  double m_completion_weight = 0.5;  // 1: only completion time counts; 0: only fragmentation.
  std::map<AccountId, ClientAccount> m_accounts;
  std::map<ClassId, ClassOfWork> m_classes;

  const ClassOfWork* FindClass(const ClassId& id) const;        // nullptr where there is none.
  const ClientAccount* FindAccount(const AccountId& id) const;  // nullptr where there is none.
};

// All markets at one moment. Immutable once published; readers hold it by shared ownership.
struct Configuration {
  std::map<MarketId, std::shared_ptr<const Market>> m_markets;

  const Market* FindMarket(const MarketId& id) const;  // nullptr where there is none.
};

//-------------------------------------------------------------------------------------------------
// [SECTION] Workers
//-------------------------------------------------------------------------------------------------

struct Worker {
  WorkerId m_id;
  DomainId m_domain;
  RackId m_rack;
  int m_rack_position = 0;  // Racks at consecutive positions are neighbours.
  Resources m_capacity;
};

//-------------------------------------------------------------------------------------------------
// [SECTION] Jobs
//-------------------------------------------------------------------------------------------------

// What a caller asks for.
struct JobSpec {
  MarketId m_market;
  AccountId m_account;
  ClassId m_class;
  GangShape m_shape;
  Millis m_declared_run{0};  // Often far from the truth; 0: not declared.
  Instant m_deadline;        // Wall time; 0: that of its class.
  bool m_once = false;       // Not to be repeated, even where its class may be.
  std::string m_key;         // Idempotency key; empty: none.
  std::string m_payload;     // Opaque to us; the workers get it as it came.
};

// What a placement gives to one worker.
struct Placement {
  WorkerId m_worker;
  int m_tasks = 0;

  bool operator==(const Placement&) const = default;
};

enum class JobState {
  kWaiting,    // Accepted and recorded; holds nothing.
  kStarting,   // A start is recorded; parts may be reserved, none or all are committed.
  kRunning,    // The whole gang runs.
  kDone,       // Finished; never starts again.
  kRefused,    // Never ran, or ended for good without finishing; m_why says which.
  kCancelled,  // Ended on request.
  kUncertain,  // Not to be repeated, and may have run: nobody can say. Never starts again.
};

// The table's row of a job. What is not in it can be rebuilt from the workers.
struct Job {
  JobId m_id{};
  JobSpec m_spec;
  DomainId m_domain;  // Whose placer it belongs to.
  JobState m_state = JobState::kWaiting;
  Attempt m_attempt{};  // Of the last start; 0: never started.
  int m_failures = 0;   // Starts that count against the job's own attempts.
  std::vector<Placement> m_placements;
  Instant m_accepted;    // Wall time.
  Instant m_started;     // Wall time of the last start.
  Instant m_ended;       // Wall time.
  Millis m_attained{0};  // Run time so far that checkpoints have kept.
  std::string m_why;     // Why it ended as it did.
};

bool Ended(JobState state);

// True where the job must run at most once, by its own word or its class's.
bool RunsOnce(const JobSpec& spec, const ClassOfWork& work);

const char* ToString(Adjacency adjacency);  // "worker", "rack", "neighbour-racks", "any".
const char* ToString(JobState state);       // "waiting", "starting", ...
bool ParseAdjacency(const std::string& text, Adjacency* adjacency);
bool ParseJobState(const std::string& text, JobState* state);

}  // namespace hickoryquay
