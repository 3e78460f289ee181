#include "hickoryquay/policy/policy.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "hickoryquay/policy/invariants.h"
#include "hickoryquay/policy/policy_impl.h"

namespace hickoryquay::policy {

std::unique_ptr<Scheduler> MakePolicy(const PolicySettings& settings) {
  return std::make_unique<PolicyImpl>(settings);
}

std::string CheckInvariants(const Scheduler& scheduler) {
  const auto* policy = dynamic_cast<const PolicyImpl*>(&scheduler);
  return policy == nullptr ? "" : policy->CheckInvariants();
}

PolicyImpl::PolicyImpl(const PolicySettings& settings)
    : m_settings(settings), m_waiting(&m_cluster, &m_estimator), m_plans(&m_cluster), m_health(settings, &m_cluster) {}

Decisions PolicyImpl::Apply(const Event& event, Instant now) {
  m_now = std::max(m_now, now);
  m_decisions.clear();
  std::visit([this](const auto& e) { On(e); }, event);
  // A new placer restores thousands of rows: nothing is started or stopped until all are restored.
  if (std::holds_alternative<JobRestored>(event)) {
    if (m_certificate.NeedsRepair()) UpdateGuarantees();
  } else {
    UpdateGuarantees();
    RefuseInfeasible();
    Schedule();
  }
  return std::exchange(m_decisions, {});
}

}  // namespace hickoryquay::policy
