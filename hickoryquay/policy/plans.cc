#include "hickoryquay/policy/plans.h"

#include <algorithm>

namespace hickoryquay::policy {
namespace {

bool UsesWorker(const Plan& plan, WorkerIndex worker) {
  return std::any_of(plan.m_parts.begin(), plan.m_parts.end(),
                     [worker](const Part& p) { return p.m_worker == worker; });
}

}  // namespace

AccountIndex Plans::CallingAccount(const Plan& plan) const {
  return plan.m_kind == PlanKind::kCall ? m_cluster->Job(plan.m_job).m_account : kNone;
}

void Plans::Add(Plan plan) {
  for (const Part& part : plan.m_parts) m_cluster->Reserve(part.m_worker, part.m_allocated, CallingAccount(plan));
  m_cluster->Job(plan.m_job).m_planned = true;
  m_plans.push_back(std::move(plan));
}

void Plans::DropAt(std::size_t index) {
  const Plan& plan = m_plans[index];
  for (const Part& part : plan.m_parts) m_cluster->Unreserve(part.m_worker, part.m_allocated, CallingAccount(plan));
  m_cluster->Job(plan.m_job).m_planned = false;
  m_plans.erase(m_plans.begin() + static_cast<std::ptrdiff_t>(index));
}

void Plans::Drop(JobIndex job) {
  if (!m_cluster->Job(job).m_planned) return;
  for (std::size_t i = 0; i < m_plans.size(); ++i) {
    if (m_plans[i].m_job == job) return DropAt(i);
  }
}

void Plans::DropExceptCalls(WorkerIndex worker) {
  for (std::size_t i = m_plans.size(); i-- > 0;) {
    if (m_plans[i].m_kind != PlanKind::kCall && UsesWorker(m_plans[i], worker)) DropAt(i);
  }
}

void Plans::DropOn(WorkerIndex worker) {
  for (std::size_t i = m_plans.size(); i-- > 0;) {
    if (UsesWorker(m_plans[i], worker)) DropAt(i);
  }
}

const Plan* Plans::Find(JobIndex job) const {
  if (!m_cluster->Job(job).m_planned) return nullptr;
  for (const Plan& plan : m_plans) {
    if (plan.m_job == job) return &plan;
  }
  return nullptr;
}

// The room that is kept for calls is taken by these alone: another plan on the worker may have been made later, for
// what ends there after the call has started.
bool Plans::Ready(const Plan& plan) const {
  for (const Part& part : plan.m_parts) {
    const WorkerEntry& worker = m_cluster->At(part.m_worker);
    const Resources kept = plan.m_kind == PlanKind::kCall ? Resources{} : worker.m_reserved_for_calls;
    if (!part.m_allocated.FitsIn(worker.Unallocated() - kept)) return false;
  }
  return true;
}

int Plans::Accelerators(PlanKind kind) const {
  int sum = 0;
  for (const Plan& plan : m_plans) {
    if (plan.m_kind == kind) sum += m_cluster->Job(plan.m_job).Accelerators();
  }
  return sum;
}

}  // namespace hickoryquay::policy
