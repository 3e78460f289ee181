// WorkerModel: one worker as docs/platform.md describes it. Pure: time comes in with every call.
#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <map>
#include <string>

#include "hickoryquay/model/model.h"
#include "standin/run_log.h"

namespace hickoryquay::standin {

// How long after a start the report shows what the task really takes, not what it declared.
constexpr Millis kUsageLag{2000};

// What the payload of a job asks of this stand-in: {"run_ms": 500, "fail": false, "accelerators_used": 2}.
struct TaskPlan {
  Millis m_run{1000};
  bool m_fail = false;
  std::int32_t m_accelerators_used = -1;  // By each task; -1: as declared.
};
TaskPlan ParseTaskPlan(const std::string& payload);

struct SyncAnswer {
  int m_status = 200;
  boost::json::object m_body;
};

// Not thread-safe.
class WorkerModel {
 public:
  WorkerModel(Worker worker, RunLog* log) : m_worker(std::move(worker)), m_log(log) {}

  // Handles one sync call. Commands are idempotent; a lower epoch than one seen is refused whole.
  SyncAnswer Sync(const boost::json::object& request, Instant now);

  // Ends tasks that are due and stops those whose lease has lapsed.
  void Tick(Instant now);

  // Forgets everything, as a worker that was replaced does; its tasks are gone.
  void Restart(Instant now);

  void SetFailsEverything(bool on) { m_fails_everything = on; }
  const Worker& Spec() const { return m_worker; }

 private:
  enum class State { kReserved, kRunning, kFinished, kFailed, kStopped, kCheckpointed };

  struct Task {
    std::uint64_t m_attempt = 0;
    State m_state = State::kReserved;
    int m_count = 0;
    Resources m_declared;  // Of one task.
    TaskPlan m_plan;
    Instant m_lease_until;
    Instant m_started;
    std::string m_why;
  };

  struct Outcome {
    bool m_ok = true;
    std::string m_why;
  };

  struct Command {
    std::string m_job;
    std::uint64_t m_attempt = 0;
    Millis m_lease{0};
    const boost::json::object* m_json = nullptr;
  };

  using Operation = Outcome (WorkerModel::*)(const Command&, Instant);
  static const std::map<std::string, Operation>& Operations();

  Outcome Reserve(const Command& command, Instant now);
  Outcome StartCommitted(const Command& command, Instant now);
  Outcome Renew(const Command& command, Instant now);
  Outcome Checkpoint(const Command& command, Instant now);
  Outcome Stop(const Command& command, Instant now);
  Outcome Throttle(const Command& command, Instant now);
  Outcome Forget(const Command& command, Instant now);

  Task* Find(const Command& command);
  Outcome EndTask(const Command& command, State state, const char* what, Instant now);
  void Log(const std::string& job, const Task& task, const char* what, const std::string& detail, Instant now);
  boost::json::object Report(const std::string& job, const Task& task, Instant now) const;
  static bool Live(const Task& task);
  static const char* ToString(State state);

  Worker m_worker;
  RunLog* m_log;
  std::uint64_t m_epoch = 0;
  std::map<std::string, Task> m_tasks;                     // By job; the latest attempt.
  std::map<std::string, std::uint64_t> m_highest_attempt;  // Of each job, also of those forgotten.
  bool m_fails_everything = false;
};

}  // namespace hickoryquay::standin
