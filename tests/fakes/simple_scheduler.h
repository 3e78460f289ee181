// SimpleScheduler: first come, first served on the first workers with room. Enough policy to drive a placer in tests.
#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "hickoryquay/policy/scheduler.h"

namespace hickoryquay::test {

class SimpleScheduler final : public policy::Scheduler {
 public:
  policy::Decisions Apply(const policy::Event& event, Instant now) override {
    m_now = now;
    m_decisions.clear();
    std::visit([this](const auto& known) { On(known); }, event);
    Place();
    return std::move(m_decisions);
  }

  Result<Done, policy::Refusal> Admit(const JobSpec&, Instant) const override { return Done{}; }
  Result<Done, policy::UnsatisfiableGuarantee> CheckMarket(const Market&) const override { return Done{}; }
  policy::Explanation Explain(JobId, Instant) const override { return {}; }
  policy::SchedulerStats CollectStats() const override {
    policy::SchedulerStats measures;
    for (const auto& [id, entry] : m_jobs) ++(entry.m_held ? measures.m_running_jobs : measures.m_waiting_jobs);
    return measures;
  }

 private:
  struct Entry {
    Job m_job;
    bool m_held = false;  // Started by a decision, or found started.
    bool m_cancelled = false;
    Instant m_not_before;
  };

  static constexpr int kMaxFailures = 20;
  static constexpr Millis kBackoff{1'000};  // After an attempt that failed.

  void On(const policy::MarketChanged&) {}
  void On(const policy::MarketDropped&) {}
  void On(const policy::WorkerJoined& e) {
    m_free[e.m_worker.m_id] = e.m_worker.m_capacity.m_accelerators - Held(e.m_worker.m_id);
  }
  void On(const policy::WorkerLeaving& e) { m_free.erase(e.m_worker); }
  void On(const policy::WorkerQuarantineSet&) {}
  void On(const policy::UsageReported&) {}
  void On(const policy::Tick&) {}

  void On(const policy::WorkerLost& e) {
    m_free.erase(e.m_worker);
    for (auto& [id, entry] : m_jobs) {
      if (!entry.m_held || TasksOn(entry.m_job, e.m_worker) == 0) continue;
      m_decisions.push_back(policy::StopGang{id, entry.m_job.m_attempt, policy::StopReason::kPartLost, false});
    }
  }

  void On(const policy::JobSubmitted& e) { m_jobs[e.m_job.m_id] = {e.m_job, false, false, {}}; }

  void On(const policy::JobRestored& e) {
    const bool held = e.m_job.m_state != JobState::kWaiting;
    m_jobs[e.m_job.m_id] = {e.m_job, held, false, {}};
    if (held) Take(e.m_job, 1);
  }

  void On(const policy::JobCancelled& e) {
    const auto found = m_jobs.find(e.m_job);
    if (found == m_jobs.end()) return;
    found->second.m_cancelled = true;
    if (!found->second.m_held) return void(m_jobs.erase(found));
    m_decisions.push_back(
        policy::StopGang{e.m_job, found->second.m_job.m_attempt, policy::StopReason::kCancelled, false});
  }

  void On(const policy::GangStarted&) {}

  void On(const policy::GangStartFailed& e) {
    Entry* entry = Free(e.m_job, e.m_attempt);
    if (entry == nullptr) return;
    if (e.m_may_have_run)
      Retry(entry, "may have run");
    else if (entry->m_cancelled)
      m_jobs.erase(e.m_job);
  }

  void On(const policy::TaskFailed& e) {
    if (Entry* entry = Free(e.m_job, e.m_attempt)) Retry(entry, e.m_reason);
  }

  void On(const policy::GangFinished& e) {
    if (Free(e.m_job, e.m_attempt) != nullptr) m_jobs.erase(e.m_job);
  }

  void On(const policy::GangStopped& e) {
    if (Entry* entry = Free(e.m_job, e.m_attempt)) Retry(entry, "stopped");
  }

  // After an attempt that may have run.
  void Retry(Entry* entry, const std::string& why) {
    const JobId id = entry->m_job.m_id;
    if (entry->m_job.m_spec.m_once) {
      m_decisions.push_back(policy::MarkUncertain{id, why});
      m_jobs.erase(id);
    } else if (entry->m_cancelled) {
      m_jobs.erase(id);
    } else if (++entry->m_job.m_failures >= kMaxFailures) {
      m_decisions.push_back(policy::RefuseJob{id, true, why});
      m_jobs.erase(id);
    }
  }

  Entry* Free(JobId id, Attempt attempt) {
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end() || !found->second.m_held || found->second.m_job.m_attempt != attempt) return nullptr;
    found->second.m_held = false;
    found->second.m_not_before = m_now + kBackoff;
    Take(found->second.m_job, -1);
    return &found->second;
  }

  void Take(const Job& job, int sign) {
    for (const Placement& placement : job.m_placements) {
      const auto free = m_free.find(placement.m_worker);
      if (free != m_free.end()) free->second -= sign * placement.m_tasks * job.m_spec.m_shape.m_task.m_accelerators;
    }
  }

  static int TasksOn(const Job& job, const WorkerId& worker) {
    int tasks = 0;
    for (const Placement& placement : job.m_placements) tasks += placement.m_worker == worker ? placement.m_tasks : 0;
    return tasks;
  }

  int Held(const WorkerId& worker) const {
    int held = 0;
    for (const auto& [id, entry] : m_jobs) {
      if (entry.m_held) held += TasksOn(entry.m_job, worker) * entry.m_job.m_spec.m_shape.m_task.m_accelerators;
    }
    return held;
  }

  void Place() {
    for (auto& [id, entry] : m_jobs) {
      if (!entry.m_held && !entry.m_cancelled && m_now >= entry.m_not_before) TryStart(&entry);
    }
  }

  // One task a worker while others have room, so that gangs spread.
  void TryStart(Entry* entry) {
    std::vector<Placement> placements;
    int left = entry->m_job.m_spec.m_shape.m_tasks;
    const int each = std::max(1, entry->m_job.m_spec.m_shape.m_task.m_accelerators);
    for (const auto& [worker, free] : m_free) {
      if (left == 0 || free < each) continue;
      placements.push_back({worker, 1});
      --left;
    }
    if (left > 0) return;
    entry->m_held = true;
    entry->m_job.m_attempt = Attempt{Raw(entry->m_job.m_attempt) + 1};
    entry->m_job.m_placements = placements;
    Take(entry->m_job, 1);
    m_decisions.push_back(policy::StartGang{entry->m_job.m_id, entry->m_job.m_attempt, placements});
  }

  std::map<JobId, Entry> m_jobs;
  std::map<WorkerId, int> m_free;  // Accelerators.
  policy::Decisions m_decisions;
  Instant m_now;
};

}  // namespace hickoryquay::test
