// CallerApi: what callers and the balancer ask for beside requests, on the callers' address.
//
//   GET  /ready          200 while new work may come here, else 503 with the reason
//   GET  /health         200 while the process serves
//   POST /v1/jobs        a job (JobSpec as JSON); 202 once it is recorded, 200 where the same key was accepted before
//   GET  /v1/jobs/ID     the job's row; ?domain=D for another failure domain's
//   POST /v1/jobs/ID/cancel
//
// Refusals are truthful: 4xx and 503 mean that nothing was accepted, but for code "record_unsure".
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "hickoryquay/net/http.h"
#include "hickoryquay/placer/job_intake.h"
#include "hickoryquay/store/table.h"

namespace hickoryquay::instance {

struct CallerApiParts {
  DomainId m_domain;
  store::Table* m_table = nullptr;
  std::shared_ptr<placer::JobIntake> m_intake;
  std::function<std::string()> m_not_ready;       // Why no new work may come; empty: ready.
  std::function<void(JobId)> m_notify_cancelled;  // Tells the domain's placer; may be lost.
};

// Thread-safe.
class CallerApi {
 public:
  explicit CallerApi(CallerApiParts parts) : m_parts(std::move(parts)) {}

  // A net::Handler. Answers once, from any thread.
  void Handle(const net::HttpRequest& request, const net::Responder& respond) const;

 private:
  void Ready(const net::Responder& respond) const;
  void Submit(const net::HttpRequest& request, const net::Responder& respond) const;
  void Get(const DomainId& domain, JobId job, const net::Responder& respond) const;
  void Cancel(const DomainId& domain, JobId job, const net::Responder& respond) const;

  CallerApiParts m_parts;
};

}  // namespace hickoryquay::instance
