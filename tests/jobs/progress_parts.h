// What the simulated world of the progress fuzz consists of: jobs, workers, and what happens to them.
#pragma once

#include <algorithm>
#include <map>
#include <ostream>
#include <set>
#include <vector>

#include "hickoryquay/jobs/scheduler.h"

namespace hickoryquay::jobs::progress {

inline const PoolName kPool{"pool"};
inline const PoolName kOtherPool{"other"};
constexpr int kRacks = 4;
constexpr int kRackSize = 5;
constexpr int kWorkers = kRacks * kRackSize;
constexpr int kOtherWorkers = 4;
constexpr int kAccelerators = 8;  // Of each worker.
constexpr int kCores = 64;
constexpr Millis kRound{100};
constexpr Millis kLongestIdle{3'000};
constexpr Millis kLongestUnexplained{1'000};
constexpr Millis kLease{10'000};
constexpr Millis kRestart{1'200};       // A worker that crashed answers again after this time.
constexpr Millis kLongestDay{600'000};  // All work that ends has ended by then.
constexpr int kMostJobs = 14;

struct Event {
  int m_kind = 0;
  int m_choice = 0;
  int m_rounds = 0;  // That pass after it.
};

inline void showValue(const Event& event, std::ostream& out) {
  out << "{" << event.m_kind << ", " << event.m_choice << ", " << event.m_rounds << "}";
}

inline int TimesIn(const Resources& room, const Resources& task) {
  return std::max(0, CountFitting(room, task));
}

// What a task does once it runs.
struct Behaviour {
  Millis m_lasts{0};
  bool m_fails = false;    // Each of its runs.
  bool m_crashes = false;  // Its worker, until faults end.
};

struct SimJob {
  AcceptedJob m_job;
  Behaviour m_behaviour;
  bool m_cancelled = false;
  std::set<TaskKey> m_done;
};

struct SimRun {
  RunNumber m_run{};
  Millis m_since{0};
  Millis m_worked{0};
};

struct DelayedStart {
  StartCommand m_command;
  int m_epoch = 0;
  Millis m_arrives{0};
};

struct SimWorker {
  WorkerEntry m_entry;
  bool m_listed = true;
  bool m_silent = false;
  bool m_refuses = false;
  bool m_loses_answers = false;  // It carries starts out, and no answer arrives.
  bool m_fails = false;          // Every task that ends here.
  int m_slowdown = 1;
  int m_epoch = 0;
  bool m_known_silent = false;
  bool m_cleared = false;
  Millis m_heard{0};
  Millis m_back{0};  // When it answers again after a crash.
  std::int64_t m_last_end = 0;
  std::map<TaskKey, SimRun> m_runs;
  std::map<TaskKey, RunNumber> m_highest;  // Run that was started or stopped here.
  std::vector<EndedTask> m_ended;
};

}  // namespace hickoryquay::jobs::progress
