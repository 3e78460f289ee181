#include "hickoryquay/placer/job_intake.h"

#include <algorithm>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

#include "hickoryquay/placer/rows.h"

namespace hickoryquay::placer {

namespace {

namespace json = boost::json;

bool SameRequest(const JobSpec& a, const JobSpec& b) {
  return ToJson(a) == ToJson(b);
}

}  // namespace

JobIntake::JobIntake(IntakeParts parts, DomainId domain)
    : m_parts(std::move(parts)),
      m_domain(std::move(domain)),
      m_accepted(m_parts.m_metrics->GetCounter("hq_jobs_accepted_total")),
      m_repeated(m_parts.m_metrics->GetCounter("hq_jobs_repeated_total")),
      m_refused(m_parts.m_metrics->GetCounter("hq_jobs_refused_total")),
      m_unsure(m_parts.m_metrics->GetCounter("hq_jobs_unsure_total")) {}

Result<Done, policy::Refusal> JobIntake::Validate(const JobSpec& spec, const Configuration& configuration,
                                                  Instant wall) {
  const Market* market = configuration.FindMarket(spec.m_market);
  if (market == nullptr) return policy::Refusal{policy::UnknownMarket{}};
  const ClientAccount* account = market->FindAccount(spec.m_account);
  if (account == nullptr) return policy::Refusal{policy::UnknownAccount{}};
  if (market->FindClass(spec.m_class) == nullptr) return policy::Refusal{policy::UnknownClass{}};
  if (spec.m_deadline.m_ms != 0 && spec.m_deadline <= wall) return policy::Refusal{policy::DeadlinePassed{}};
  const int accelerators = spec.m_shape.Accelerators();
  if (account->m_max_accelerators > 0 && accelerators > account->m_max_accelerators) {
    return policy::Refusal{policy::OverAccountLimit{accelerators, account->m_max_accelerators}};
  }
  return Done{};
}

DomainId JobIntake::HomeDomain(const Market& market, const DomainId& here) {
  const auto& domains = market.m_domains;
  const bool spans = domains.empty() || std::find(domains.begin(), domains.end(), here) != domains.end();
  return spans ? here : domains.front();
}

void JobIntake::Submit(const JobSpec& spec, IntakeCallback callback) {
  const auto configuration = m_parts.m_configuration();
  const Instant wall = m_parts.m_clock->Wall();
  const auto valid = Validate(spec, *configuration, wall);
  if (!Ok(valid)) {
    m_refused.Add();
    return callback(IntakeError{JobRefused{ErrorOf(valid)}});
  }
  const Market& market = *configuration->FindMarket(spec.m_market);
  auto job = std::make_shared<Job>();
  job->m_id = spec.m_key.empty() ? RandomJobId() : DeriveJobId(spec.m_market, spec.m_account, spec.m_key);
  job->m_spec = spec;
  job->m_domain = HomeDomain(market, m_domain);
  job->m_accepted = wall;
  Record(job, market, callback);
}

void JobIntake::Record(const std::shared_ptr<Job>& job, const Market& market, const IntakeCallback& callback) {
  store::Commit commit;
  const std::string key = JobKey(job->m_domain, job->m_id);
  commit.m_checks.push_back({key, Version{0}});
  for (const DomainId& domain : market.m_domains) {
    if (domain != job->m_domain && !job->m_spec.m_key.empty()) {
      commit.m_checks.push_back({JobKey(domain, job->m_id), Version{0}});
    }
  }
  commit.m_writes.push_back({key, JobValue(*job)});
  m_parts.m_table->Submit(std::move(commit), [self = shared_from_this(), job, callback](const auto& result) {
    self->OnRecorded(*job, result, callback);
  });
}

void JobIntake::OnRecorded(const Job& job, const Result<store::Committed, store::TableError>& result,
                           const IntakeCallback& callback) {
  if (Ok(result)) {
    m_accepted.Add();
    m_parts.m_notify(job.m_id);
    return callback(Accepted{job, false});
  }
  std::visit(Overloaded{[&](const store::Conflict& conflict) { OnExistingRow(job, conflict.m_rows.front(), callback); },
                        [&](const store::Unavailable& unavailable) {
                          m_refused.Add();
                          callback(IntakeError{NotRecorded{unavailable.m_why}});
                        },
                        [&](const store::InDoubt& in_doubt) { OnInDoubt(job, in_doubt.m_why, callback); }},
             ErrorOf(result));
}

// The placer may have overwritten the row already, so a different commit token in it does not prove that the write
// failed. That the row exists proves that the job is recorded.
void JobIntake::OnInDoubt(const Job& job, const std::string& why, const IntakeCallback& callback) {
  const std::string key = JobKey(job.m_domain, job.m_id);
  m_parts.m_table->Get(key, [self = shared_from_this(), job, why, callback](const auto& result) {
    if (Ok(result) && ValueOf(result).m_version != Version{0}) {
      return self->OnExistingRow(job, ValueOf(result), callback);
    }
    self->m_unsure.Add();
    self->m_parts.m_notify(job.m_id);
    callback(IntakeError{RecordInDoubt{job.m_id, why}});
  });
}

void JobIntake::OnExistingRow(const Job& job, const store::Row& row, const IntakeCallback& callback) {
  const auto recorded = ParseJobValue(row.m_value);
  if (!Ok(recorded)) {
    m_unsure.Add();
    return callback(IntakeError{RecordInDoubt{job.m_id, "its row can't be read: " + ErrorOf(recorded).m_field}});
  }
  if (!SameRequest(ValueOf(recorded).m_spec, job.m_spec)) {
    m_refused.Add();
    return callback(IntakeError{KeyTaken{job.m_id}});
  }
  m_repeated.Add();
  if (!Ended(ValueOf(recorded).m_state)) m_parts.m_notify(job.m_id);
  callback(Accepted{ValueOf(recorded), true});
}

void JobIntake::Cancel(const DomainId& domain, JobId job, const std::string& by, CancelCallback callback) {
  const std::string key = CancelKey(domain, job);
  store::Commit commit;
  commit.m_checks.push_back({key, Version{0}});
  commit.m_writes.push_back({key, CancelValue(by, m_parts.m_clock->Wall())});
  m_parts.m_table->Submit(
      std::move(commit), [self = shared_from_this(), job, callback = std::move(callback)](const auto& result) {
        const bool already_recorded = !Ok(result) && std::holds_alternative<store::Conflict>(ErrorOf(result));
        if (!Ok(result) && !already_recorded) return callback(ErrorOf(result));
        self->m_parts.m_notify(job);
        callback(Done{});
      });
}

boost::json::value JobIntake::Dump() const {
  return json::object{{"domain", m_domain.m_value},
                      {"accepted", m_accepted.Value()},
                      {"repeated", m_repeated.Value()},
                      {"refused", m_refused.Value()},
                      {"unsure", m_unsure.Value()}};
}

}  // namespace hickoryquay::placer
