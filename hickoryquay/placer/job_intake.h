// JobIntake: accepts jobs at any entry instance. A job is accepted once its row is written, never before.
//
// A key given by the caller fixes the job's id, and the insert checks that no failure domain of the market has a row of
// that id: the same submission through several instances, domains or tries is one job.
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
  bool m_repeated = false;  // A submission of the same key was accepted before; m_job is its row as it is now.
};

// Was not run and will not be: the job breaks a rule of the configuration.
struct JobRefused {
  policy::Refusal m_refusal;
};

// Was not run and will not be: the key was used for another job.
struct KeyTaken {
  JobId m_job{};
};

// Was not run and will not be: it could not be recorded.
struct NotRecorded {
  std::string m_why;
};

// May have been recorded. Submitting again under the same key, or asking for the job by its id, tells.
struct RecordInDoubt {
  JobId m_job{};
  std::string m_why;
};

using IntakeError = std::variant<JobRefused, KeyTaken, NotRecorded, RecordInDoubt>;
std::string ToString(const IntakeError& error);
using IntakeCallback = std::function<void(Result<Accepted, IntakeError>)>;
using CancelCallback = std::function<void(Result<Done, store::TableError>)>;

struct IntakeParts {
  store::Table* m_table = nullptr;
  const Clock* m_clock = nullptr;
  Metrics* m_metrics = nullptr;
  std::function<std::shared_ptr<const Configuration>()> m_configuration;
  std::function<void(JobId)> m_notify;  // Tells the domain's placer of a new row; may be lost.
};

// Thread-safe. Callbacks run on the table's threads, or inside the call where nothing is to be recorded.
class JobIntake : public std::enable_shared_from_this<JobIntake> {
 public:
  JobIntake(IntakeParts parts, DomainId domain);

  void Submit(const JobSpec& spec, IntakeCallback callback);

  // Records the wish to cancel; the placer carries it out. Done where it was recorded before.
  void Cancel(const DomainId& domain, JobId job, const std::string& by, CancelCallback callback);

  // What the configuration says against a job; what depends on workers is judged by the placer.
  static Result<Done, policy::Refusal> Validate(const JobSpec& spec, const Configuration& configuration, Instant wall);

  // Where a job submitted here belongs: this domain where the market spans it, else the market's first.
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
