// Simulation: placers of one failure domain, a table and workers in virtual time, with injected faults.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "hickoryquay/placer/job_intake.h"
#include "hickoryquay/placer/placer.h"
#include "tests/fakes/fake_table.h"
#include "tests/fakes/fake_worker.h"

namespace hickoryquay::test {

constexpr Millis kLongestDelay{4'000};  // Of a message between placer and worker.

// Probabilities in percent, applied to each message to a worker.
struct NetFaults {
  int m_lose_request = 0;
  int m_lose_answer = 0;
  int m_delay = 0;      // Delivered up to kLongestDelay later, after newer messages.
  int m_duplicate = 0;  // Delivered a second time later; that answer is dropped.
};

class Simulation {
 public:
  // One process of an entry instance: a lease and a placer on their own executor.
  struct Process {
    InstanceId m_id;
    bool m_alive = true;
    bool m_paused = false;
    std::deque<std::function<void()>> m_tasks;
    Metrics m_metrics;
    std::shared_ptr<placer::PlacerLease> m_lease;
    std::shared_ptr<placer::Placer> m_placer;
    std::shared_ptr<placer::JobIntake> m_intake;
  };
  using ProcessPtr = std::shared_ptr<Process>;

  explicit Simulation(int workers, unsigned seed = 1);

  ProcessPtr StartProcess();
  void Crash(const ProcessPtr& process);
  static void Pause(const ProcessPtr& process) { process->m_paused = true; }
  static void Resume(const ProcessPtr& process) { process->m_paused = false; }

  // Advances the virtual time in steps and runs everything that becomes due.
  void Advance(Millis by);

  // Runs one pending task, table answer or message; false if none is left.
  bool StepOnce();

  JobSpec Spec(int tasks, bool once, const std::string& key = "") const;

  // Submits through the process; an accepted job is added to m_accepted.
  void Submit(const ProcessPtr& process, const JobSpec& spec);

  Job RowOf(JobId job);
  std::shared_ptr<const Configuration> Configured() const { return m_configuration; }
  ProcessPtr Holder() const;

  // Describes the invariants that were violated so far; empty: none. `lease`: longest time that part of a gang may run
  // without the rest.
  std::string Violations(Millis lease);
  std::string Unfinished();  // Accepted jobs whose rows are missing or have not ended.

  ManualClock m_clock;
  ManualTimerService m_timers{&m_clock};
  FakeTable m_table;
  std::vector<RunEvent> m_log;
  std::map<WorkerId, FakeWorker> m_workers;
  std::vector<ProcessPtr> m_processes;
  std::map<JobId, JobSpec> m_accepted;
  NetFaults m_faults;
  std::set<WorkerId> m_unreachable;  // Messages to these workers are dropped.
  placer::PlacerSettings m_settings;
  std::mt19937 m_random;

 private:
  struct Message {
    Instant m_at;
    std::function<void()> m_deliver;
  };

  store::HttpSend SendOf(const ProcessPtr& process);
  void SendMessage(const net::Endpoint& to, const std::string& body, net::ResponseCallback callback);
  void Deliver(const WorkerId& worker, const std::string& body, const net::ResponseCallback& callback, bool lose);
  bool Chance(int percent);
  bool RunTasks();
  bool DeliverDue();

  std::shared_ptr<const Configuration> m_configuration;
  std::shared_ptr<const store::Instances> m_instances;
  std::deque<Message> m_messages;
  std::vector<ProcessPtr> m_crashed;
  int m_next_process = 0;
};

}  // namespace hickoryquay::test
