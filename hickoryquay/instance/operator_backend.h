// OperatorBackend: what the operator language and the admin API act on, over the parts of this entry instance.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "hickoryquay/base/metrics.h"
#include "hickoryquay/instance/collector.h"
#include "hickoryquay/operators/backend.h"
#include "hickoryquay/placer/job_intake.h"

namespace hickoryquay::instance {

struct OperatorParts {
  CollectorParts m_collector;
  std::shared_ptr<placer::JobIntake> m_intake;
  Metrics* m_metrics = nullptr;
  std::function<void(JobId)> m_notify_cancelled;
  std::function<void(std::function<void(boost::json::value)>)> m_dump;
  std::function<std::string()> m_not_ready;
  std::function<void()> m_drain;  // A planned stop of this instance.
};

class OperatorBackend final : public operators::Backend {
 public:
  explicit OperatorBackend(OperatorParts parts) : m_parts(std::move(parts)) {}

  std::shared_ptr<const Configuration> Markets() const override;
  void ChangeMarkets(operators::ChangeRequest request, operators::ChangeCallback callback) override;
  void CheckMarket(const Market& market, operators::CheckCallback callback) override;
  void Collect(const operators::Wanted& wanted, operators::CollectCallback callback) override;
  void Explain(JobId job, operators::ExplainCallback callback) override;
  void CancelJobs(const std::vector<JobId>& jobs, const std::string& who, operators::ActionCallback callback) override;
  void RetryJob(JobId job, const std::string& who, operators::ActionCallback callback) override;
  void Steer(const operators::SteerWorker& steer, const std::string& who, operators::ActionCallback callback) override;
  void Steer(const operators::SteerInstance& steer, const std::string& who,
             operators::ActionCallback callback) override;
  void Dump(std::function<void(boost::json::value)> callback) const override { m_parts.m_dump(std::move(callback)); }
  std::string MetricsText() const override { return m_parts.m_metrics->PrometheusText(); }
  std::string NotReady() const override { return m_parts.m_not_ready(); }

 private:
  // The job with its row, looked for in every failure domain.
  using FoundCallback = std::function<void(Result<std::pair<Job, Version>, operators::ActionError>)>;
  void FindJob(JobId job, FoundCallback callback);
  std::vector<DomainId> Domains() const;

  OperatorParts m_parts;
};

}  // namespace hickoryquay::instance
