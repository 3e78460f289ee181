// WorkerApi: the calls that run tasks on a worker, whatever a platform's workers speak.
//
// A worker runs what it is told, keeps what has ended until it is told that the end is known, and kills everything once
// its lease has run out. Every call carries the epoch of the caller; a worker does nothing for a lower one than it has
// seen.
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

// Time on a worker's own steady clock, which may run 2% slow.
struct WorkerTime {
  std::int64_t m_ms = 0;

  auto operator<=>(const WorkerTime&) const = default;
};

// One life of a worker; another life at the same address answers nothing meant for this one.
struct WorkerTarget {
  WorkerId m_id;
  std::string m_address;  // "IP:PORT".
};

struct StartCall {
  TaskKey m_task;
  RunNumber m_run{};
  std::shared_ptr<const std::string> m_payload;
  std::string m_checkpoint;  // Empty: starts from the beginning.
  WorkerTime m_lease_until;  // Of everything that runs on the worker; never shortens.
  Epoch m_epoch{};
};

enum class StartOutcome {
  kAccepted,          // Also where the run was there already.
  kFenced,            // The worker has seen a higher epoch.
  kStaleRun,          // A run that is not lower was stopped or has ended there.
  kLeaseExpired,      // The lease that the call carried was over on arrival.
  kNoRoom,            // The worker guards its capacity.
  kNoTicket,          // The queue needs advice that the call did not carry.
  kMalformed,         // The worker could not read the call.
  kUnhealthy,         // Nothing was done.
  kOtherIncarnation,  // Another life of the worker answered.
  kNotSent,           // Provably never reached the worker.
  kUnknown,           // No answer: it may run, now or seconds later.
};

struct StartReply {
  StartOutcome m_outcome = StartOutcome::kUnknown;
  std::optional<WorkerTime> m_clock;
};

struct StopCall {
  TaskKey m_task;
  RunNumber m_run{};
  Epoch m_epoch{};
};

enum class StopOutcome { kStopping, kFenced, kOtherIncarnation, kNoAnswer };

struct PollCall {
  Epoch m_epoch{};
  std::int64_t m_recorded_ends = 0;  // Ends up to this number are recorded; the worker forgets them.
  std::optional<WorkerTime> m_lease_until;
  Millis m_wait{0};  // The answer may wait this long for an end.
};

struct RunningTask {
  TaskKey m_task;
  RunNumber m_run{};
  std::string m_checkpoint;
  int m_percent = 0;  // Of the task's work; 100 for one that lasts and is at work.
};

enum class EndKind { kDone, kFailed, kStopped, kLapsed, kBroken, kAlone };
const char* ToString(EndKind kind);

struct EndedTask {
  std::int64_t m_number = 0;  // Starts at 1 in each life of a worker and rises.
  TaskKey m_task;
  RunNumber m_run{};
  EndKind m_kind = EndKind::kFailed;
  std::string m_checkpoint;
};

struct PollReply {
  WorkerTime m_clock;
  std::vector<RunningTask> m_running;
  std::vector<EndedTask> m_ended;  // Ascending.
  bool m_more_ended = false;       // The list of ends is cut off.
};

enum class PollFailure {
  kRefused,
  kFenced,
  kOtherIncarnation,
  kNoAnswer
};  // kRefused: nothing listens at the address.

using StartCallback = std::function<void(StartReply)>;
using StopCallback = std::function<void(StopOutcome)>;
using PollCallback = std::function<void(Result<PollReply, PollFailure>)>;

// Every call answers exactly once, never inside the call itself, at the latest when `timeout` is over.
class WorkerApi {
 public:
  virtual ~WorkerApi() = default;
  virtual void Start(const WorkerTarget& worker, const StartCall& call, Millis timeout, StartCallback callback) = 0;
  virtual void Stop(const WorkerTarget& worker, const StopCall& call, Millis timeout, StopCallback callback) = 0;
  virtual void Poll(const WorkerTarget& worker, const PollCall& call, Millis timeout, PollCallback callback) = 0;
};

// Ids of all lives of workers that the platform knows; the error says why there is no list.
using WorkerIdsCallback = std::function<void(Result<std::set<WorkerId>, std::string>)>;

// What the platform itself knows of its workers, whether this instance reaches them or not.
class WorkerDirectory {
 public:
  virtual ~WorkerDirectory() = default;
  virtual void ListWorkerIds(Millis timeout,
                             WorkerIdsCallback callback) = 0;  // Answers exactly once, never inside the call.
};

}  // namespace hickoryquay::jobs
