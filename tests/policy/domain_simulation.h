// DomainSimulation: drives one scheduler through arbitrary interleavings of events in a small failure domain. The
// oracle checks every decision.
#pragma once

#include <functional>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

#include "tests/policy/oracle.h"

namespace hickoryquay::test {

// One step. The numbers choose among the jobs, workers or variants that the step can apply to; a step that can apply to
// none does nothing.
struct Command {
  enum class Kind {
    kSubmit,
    kSubmitMany,
    kStarted,
    kAllStarted,
    kStartFailed,
    kTaskFailed,
    kFinished,
    kStopped,
    kCancel,
    kCancelAccount,
    kLose,
    kRejoin,
    kLeave,
    kQuarantine,
    kUsage,
    kTick,
    kChangeMarket,
    kDropMarket,
    kRepeat,
    kRebuild,
    kCount
  };
  Kind m_kind = Kind::kTick;
  unsigned m_a = 0;
  unsigned m_b = 0;
  unsigned m_c = 0;
};
std::ostream& operator<<(std::ostream& out, const Command& command);

using SchedulerFactory = std::function<std::unique_ptr<policy::Scheduler>(const DomainId&)>;

class DomainSimulation {
 public:
  DomainSimulation(SchedulerFactory make, bool guarantees);

  // Counts wrong admissions instead of ending the run; such a job is not submitted.
  void CountWrongAdmissions() { m_count_wrong_admissions = true; }
  int WrongAdmissions() const { return m_wrong_admissions; }

  // Each returns the first broken rule, or an empty text.
  std::string Run(const Command& command);
  std::string RestoreWorkers();     // All workers return, all pending starts and stops are answered.
  std::string CallAllGuarantees();  // Every account calls on all its guarantees at once: each job must start in time.
  std::string RunToCompletion();    // Runs all jobs to their end: no accepted job may be left over.

 private:
  std::string ApplyEvent(const policy::Event& event);
  std::string Submit(unsigned account, unsigned work, unsigned shape);
  std::string SubmitSpec(JobSpec spec);
  std::string ChangeMarket(unsigned variant, unsigned which);
  std::string CancelAccount(unsigned which);
  std::string ReportUsage(unsigned which, unsigned size);
  std::string Repeat(unsigned which);
  std::string Rebuild();
  std::string AnswerAll(bool finish);
  std::string CancelGuaranteedJobs();
  std::string Start(JobId id);
  std::string FailStart(unsigned which, unsigned how);
  std::string FailTask(unsigned which, unsigned part);
  std::string Finish(unsigned which);
  std::string Stop(JobId id, bool as_asked);
  const WorkerRecord* PickWorker(unsigned which, bool up) const;
  std::vector<JobId> Holding() const;

  SchedulerFactory m_factory;
  bool m_guarantees;
  std::unique_ptr<policy::Scheduler> m_scheduler;
  Oracle m_oracle;
  Instant m_now{1'000'000};
  std::uint64_t m_last_job = 0;
  bool m_count_wrong_admissions = false;
  int m_wrong_admissions = 0;
  std::vector<policy::Event> m_past_events;  // For kRepeat.
  std::vector<WorkerId> m_operator_quarantines;
};

}  // namespace hickoryquay::test
