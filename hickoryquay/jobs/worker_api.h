// WorkerApi: the calls that run tasks on a worker, independent of the platform's protocol.
//
// A worker runs the tasks that it is told to start, lists the end of each until the caller confirms that the end is
// recorded, and kills all tasks when its lease expires. Every call carries the epoch of the caller; a worker refuses an
// epoch that is lower than the highest it has seen.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "hickoryquay/base/clock.h"
#include "hickoryquay/base/ids.h"
#include "hickoryquay/base/result.h"
#include "hickoryquay/jobs/job.h"

namespace hickoryquay::jobs {

// Time on the worker's own steady clock, which may run up to 2% slow.
struct WorkerTime {
  std::int64_t m_ms = 0;

  auto operator<=>(const WorkerTime&) const = default;
};

// A worker at an address. One with another id does not execute its calls; one that restarted under its id does.
struct WorkerTarget {
  WorkerId m_id;
  std::string m_address;  // "IP:PORT".
};

struct StartCall {
  TaskKey m_task;
  RunNumber m_run{};
  std::shared_ptr<const std::string> m_payload;
  std::string m_checkpoint;  // Empty: starts from the beginning.
  WorkerTime m_lease_until;  // New end of the worker's lease, which covers all its tasks; never shortens the lease.
  Epoch m_epoch{};
};

enum class StartOutcome {
  kAccepted,          // Also if the run had been started before.
  kFenced,            // The worker has seen a higher epoch.
  kStaleRun,          // A run with this or a higher number was stopped or has ended there.
  kLeaseExpired,      // The lease of the call had expired on arrival.
  kNoRoom,            // Exceeds the worker's capacity.
  kNoTicket,          // The queue requires a ticket, which the call did not carry.
  kMalformed,         // The worker could not parse the call.
  kUnhealthy,         // The worker is overloaded or unavailable and did nothing.
  kOtherIncarnation,  // Another incarnation of the worker answered.
  kNotSent,           // The call certainly did not reach the worker.
  kUnknown,           // No answer: the task may be running, or start seconds later.
};

struct StartReply {
  StartOutcome m_outcome = StartOutcome::kUnknown;
  std::optional<WorkerTime> m_clock;
  std::optional<Instant> m_born;  // As in PollReply; answers of some workers have none.
};

struct StopCall {
  TaskKey m_task;
  RunNumber m_run{};
  Epoch m_epoch{};
};

enum class StopOutcome { kStopping, kFenced, kOtherIncarnation, kNoAnswer };

struct PollCall {
  Epoch m_epoch{};
  std::int64_t m_recorded_ends = 0;         // Ends up to this number are recorded; the worker drops them.
  std::optional<WorkerTime> m_lease_until;  // As in StartCall; empty: leaves the lease unchanged.
  Millis m_wait{0};                         // The worker may hold the answer back this long until a task ends.
};

struct RunningTask {
  TaskKey m_task;
  RunNumber m_run{};
  std::string m_checkpoint;
  int m_percent = 0;  // Progress, 0 to 100; 100 for a long-running task that is working.
};

enum class EndKind { kDone, kFailed, kStopped, kLapsed, kBroken, kAlone };
const char* ToString(EndKind kind);

struct EndedTask {
  std::int64_t m_number = 0;  // Ascending, from 1 in each incarnation of a worker.
  TaskKey m_task;
  RunNumber m_run{};
  EndKind m_kind = EndKind::kFailed;
  std::string m_checkpoint;
};

struct PollReply {
  WorkerTime m_clock;
  std::vector<RunningTask> m_running;
  std::vector<EndedTask> m_ended;  // Ascending.
  bool m_more_ended = false;       // m_ended is incomplete.
  std::optional<Instant> m_born;   // Wall time of the start of this incarnation; see incarnation.h.
};

enum class PollFailure { kRefused, kFenced, kOtherIncarnation, kNoAnswer };  // kRefused: the connection was refused.

using StartCallback = std::function<void(StartReply)>;
using StopCallback = std::function<void(StopOutcome)>;
using PollCallback = std::function<void(Result<PollReply, PollFailure>)>;

// Every call invokes its callback exactly once, never before the call returns, and within `timeout`.
class WorkerApi {
 public:
  virtual ~WorkerApi() = default;
  virtual void Start(const WorkerTarget& worker, const StartCall& call, Millis timeout, StartCallback callback) = 0;
  virtual void Stop(const WorkerTarget& worker, const StopCall& call, Millis timeout, StopCallback callback) = 0;
  virtual void Poll(const WorkerTarget& worker, const PollCall& call, Millis timeout, PollCallback callback) = 0;
};

// Ids of all worker incarnations that the platform lists; the error is the reason why there is no list.
using WorkerIdsCallback = std::function<void(Result<std::set<WorkerId>, std::string>)>;

// The platform's own list of workers, independent of whether this instance can reach them.
class WorkerDirectory {
 public:
  virtual ~WorkerDirectory() = default;
  // Invokes `callback` exactly once, never before the call returns.
  virtual void ListWorkerIds(Millis timeout, WorkerIdsCallback callback) = 0;
};

}  // namespace hickoryquay::jobs
