// JobIntake: accepts jobs on any entry instance. A job counts as accepted only after its row is written.
//
// If the caller gives an idempotency key, the job's id is derived from it, and the insert checks that no failure domain
// of the market has a row with this id. Repeating a submission through other instances or domains thus gives one job.
#pragma once

#include <boost/json/value.hpp>
#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "hickoryquay/base/metrics.h"
#include "hickoryquay/model/model.h"
#include "hickoryquay/policy/scheduler.h"
#include "hickoryquay/store/configuration_store.h"
#include "hickoryquay/store/table.h"

namespace hickoryquay::placer {

struct Accepted {
  Job m_job;
  bool m_repeated = false;  // An earlier submission with the same key was accepted; m_job is its current row.
};

// The job did not run and never will: it violates the configuration.
struct JobRefused {
  policy::Refusal m_refusal;
};

// The job did not run and never will: its key belongs to a different job.
struct KeyTaken {
  JobId m_job{};
};

// The job did not run and never will: its row could not be written.
struct NotRecorded {
  std::string m_why;
};

// The row may or may not have been written. Submitting again with the same key or querying the job's id resolves it.
struct RecordInDoubt {
  JobId m_job{};
  std::string m_why;
};

using IntakeError = std::variant<JobRefused, KeyTaken, NotRecorded, RecordInDoubt>;
std::string ToString(const IntakeError& error);
using IntakeCallback = std::function<void(Result<Accepted, IntakeError>)>;
using CancelCallback = std::function<void(Result<Done, store::TableError>)>;

// Dependencies of JobIntake.
struct IntakeParts {
  store::Table* m_table = nullptr;
  const Clock* m_clock = nullptr;
  Metrics* m_metrics = nullptr;
  std::function<std::shared_ptr<const Configuration>()> m_configuration;
  std::function<void(JobId)> m_notify;  // Notifies the domain's placer of a new row; the notification may be lost.
};

// Thread-safe. Callbacks run on the table's threads, or within the call if no row is written.
class JobIntake : public std::enable_shared_from_this<JobIntake> {
 public:
  JobIntake(IntakeParts parts, DomainId domain);

  void Submit(const JobSpec& spec, IntakeCallback callback);

  // Writes a cancel row, which the placer acts on. Returns Done if the row exists already.
  void Cancel(const DomainId& domain, JobId job, const std::string& by, CancelCallback callback);

  // Checks a job against the configuration. Limits that depend on the workers are checked by the placer.
  static Result<Done, policy::Refusal> Validate(const JobSpec& spec, const Configuration& configuration, Instant wall);

  // The domain of a job that is submitted in `here`: `here` if the market runs there, else the market's first domain.
  static DomainId HomeDomain(const Market& market, const DomainId& here);

  boost::json::value Dump() const;

 private:
  void Record(const std::shared_ptr<Job>& job, const Market& market, const IntakeCallback& callback);
  void OnRecorded(const Job& job, const Result<store::Committed, store::TableError>& result,
                  const IntakeCallback& callback);
  void OnExistingRow(const Job& job, const store::Row& row, const IntakeCallback& callback);
  void OnInDoubt(const Job& job, const std::string& why, const IntakeCallback& callback);

  const IntakeParts m_parts;
  const DomainId m_domain;
  Counter& m_accepted;
  Counter& m_repeated;
  Counter& m_refused;
  Counter& m_unsure;
};

}  // namespace hickoryquay::placer
