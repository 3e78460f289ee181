// PolicyImpl: the scheduler behind MakePolicy. Applies events to the cluster's state and schedules waiting jobs.
//
// Defined in policy.cc (dispatch of events), policy_events.cc (jobs), policy_workers.cc (workers and guarantees),
// policy_markets.cc (configuration and admission), policy_usage.cc (overuse), policy_schedule.cc (starts, plans and
// preemption) and policy_report.cc (statistics, explanations, invariants).
//
// Index of this file:
//   [SECTION] Events
//   [SECTION] Jobs
//   [SECTION] Guarantees
//   [SECTION] Scheduling
//   [SECTION] Overuse
//   [SECTION] Reports
//   [SECTION] State
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

#include "hickoryquay/policy/certificate.h"
#include "hickoryquay/policy/cluster.h"
#include "hickoryquay/policy/estimator.h"
#include "hickoryquay/policy/health.h"
#include "hickoryquay/policy/idle_domain.h"
#include "hickoryquay/policy/ordering.h"
#include "hickoryquay/policy/placement.h"
#include "hickoryquay/policy/plans.h"
#include "hickoryquay/policy/policy.h"
#include "hickoryquay/policy/reclaim.h"

namespace hickoryquay::policy {

class PolicyImpl final : public Scheduler {
 public:
  explicit PolicyImpl(const PolicySettings& settings);

  Decisions Apply(const Event& event, Instant now) override;
  Result<Done, Refusal> Admit(const JobSpec& spec, Instant now) const override;
  Result<Done, UnsatisfiableGuarantee> CheckMarket(const Market& market) const override;
  Explanation Explain(JobId job, Instant now) const override;
  SchedulerStats CollectStats() const override;

  // Empty where the state is consistent; else what is wrong. O(workers + jobs + blocks); for tests.
  std::string CheckInvariants() const;

 private:
  //-----------------------------------------------------------------------------------------------
  // [SECTION] Events
  //-----------------------------------------------------------------------------------------------
  void On(const MarketChanged& event);
  void On(const MarketDropped& event);
  void On(const WorkerJoined& event);
  void On(const WorkerLost& event);
  void On(const WorkerLeaving& event);
  void On(const WorkerQuarantineSet& event);
  void On(const JobSubmitted& event);
  void On(const JobRestored& event);
  void On(const JobCancelled& event);
  void On(const GangStarted& event);
  void On(const GangStartFailed& event);
  void On(const TaskFailed& event);
  void On(const GangFinished& event);
  void On(const GangStopped& event);
  void On(const UsageReported& event);
  void On(const Tick& event);

  //-----------------------------------------------------------------------------------------------
  // [SECTION] Jobs
  //-----------------------------------------------------------------------------------------------
  JobIndex AddJob(const Job& job);
  void UpdateCertificate(const JobEntry& job, const Part& part, int sign);  // `sign`: 1 adds the part, -1 removes it.
  JobIndex FindActiveAttempt(JobId id, Attempt attempt) const;  // kNone where the attempt holds no accelerators.
  void Hold(JobIndex job, std::vector<Part> parts);             // Allocates the parts' accelerators.
  void ReleaseParts(JobIndex job);
  void ReleasePartOn(JobIndex job, WorkerIndex worker);
  void Stop(JobIndex job, StopReason reason, bool checkpoint);
  void StopFor(JobIndex job, StopReason reason, AfterStop after_stop, std::string why);
  void HandleStopped(JobIndex job);  // Does with a stopped job what m_after_stop says.
  void ClearCall(JobIndex job);      // The job no longer counts as a call on its account's guarantees.
  void Requeue(JobIndex job);
  void Refuse(JobIndex job, std::string why);
  void End(JobIndex job);
  void CountFailure(JobIndex job, WorkerIndex worker, const std::string& reason);
  void QuarantineFailing(WorkerIndex worker, const std::string& why);
  void RestoreParts(JobIndex job, const Job& row);
  bool IsPinned(const JobEntry& job) const;

  //-----------------------------------------------------------------------------------------------
  // [SECTION] Guarantees
  //-----------------------------------------------------------------------------------------------
  using AccountIndices = std::map<AccountId, AccountIndex>;
  AccountIndices IndicesOf(const Market& market) const;  // New accounts get the indices after the last known one.
  std::vector<BlockSpec> BlocksOf(const Market& market, const AccountIndices& indices) const;
  std::vector<AccountIndex> AccountsOf(const MarketId& market) const;
  void CloseAccounts(const Market* market, const MarketId& id);
  void UpdateClasses(const Market& market);
  void UpdateWorkerCapacity(WorkerIndex worker);  // After any change of its state or capacity.
  void UpdateGuarantees();
  void ReportGuarantees();
  std::string RemedyFor(const Block& block) const;
  IdleDomain& GetIdleDomain() const;  // The domain with no job running.
  void RefuseInfeasible();

  //-----------------------------------------------------------------------------------------------
  // [SECTION] Scheduling
  //-----------------------------------------------------------------------------------------------
  // A search that found no room. Searches that need at least as much are skipped until room becomes free.
  struct FailedSearch {
    GangShape m_shape;  // With the task size to be reserved.
    AccountIndex m_account = kNone;
    bool m_pinned = false;
    std::optional<PlanKind> m_kind;  // Empty: a search in available room.
  };

  // Work of one pass, limited by kMaxSearches: each start takes a search at least.
  struct Budget {
    int m_searches = 0;
  };

  void Schedule();
  void StartReadyPlans();
  void FullPass();
  void TryNewJobs();
  bool TryStart(JobIndex job, Budget* budget);
  bool Startable(const JobEntry& job) const;  // Neither its account's limit nor a backoff holds it.
  BorrowingRule BorrowingRuleFor(const JobEntry& job) const;
  bool StartInAvailableRoom(JobIndex job, Budget* budget);
  bool FindAvailableRoom(JobIndex job, const AvailableRoom::Request& request, Budget* budget, GangPlacement* place);
  bool MakePlan(JobIndex job, PlanKind kind, Budget* budget);
  int AcceleratorsCalledBy(AccountIndex account) const;
  bool MayPlan(JobIndex job, PlanKind kind) const;
  void ReserveForHead(const std::vector<JobIndex>& blocked, Budget* budget);
  bool StartPlanned(JobIndex job);
  void StartJob(JobIndex job, std::vector<Part> parts);
  bool CertificateAllows(JobIndex job, const std::vector<Part>& parts);
  Resources TaskSizeOf(const JobEntry& job) const;
  std::vector<Part> PartsOf(JobIndex job, const GangPlacement& place, const Resources& task) const;
  // True where a recorded search that needs no more has failed.
  bool KnownToFail(const GangShape& shape, AccountIndex account, bool pinned, std::optional<PlanKind> kind) const;
  void RecordFailedSearch(const FailedSearch& failed);
  void OnRoomFreed();  // Makes the next Schedule() a full pass.
  void ResendStops();
  void DropStalePlans();
  void MoveJobsForHeadPlans();
  void Compact();
  bool BlockedByMovableOnly(const Plan& plan, std::vector<JobIndex>* movable) const;

  //-----------------------------------------------------------------------------------------------
  // [SECTION] Overuse
  //-----------------------------------------------------------------------------------------------
  struct Load {
    JobIndex m_job = kNone;
    Part* m_part = nullptr;
    Resources m_used;
    double m_excess = 0.0;  // Largest excess over any resource it was given, as a share of the worker's capacity.
  };
  std::vector<Load> MeasureLoads(WorkerIndex worker, const std::vector<TaskUsage>& tasks);
  void HandleOveruse(WorkerIndex worker, const Load& load);

  //-----------------------------------------------------------------------------------------------
  // [SECTION] Reports
  //-----------------------------------------------------------------------------------------------
  Explanation ExplainWaiting(JobIndex job, Instant now) const;
  Explanation ExplainNoRoom(JobIndex job, Instant now) const;
  GangShape LargestShape() const;  // Of waiting jobs and guaranteed blocks; no accelerators where there is none.
  std::vector<JobId> HoldersOf(AccountIndex account) const;
  std::vector<JobId> AwaitedBy(const Plan& plan) const;
  std::vector<std::string> GuaranteesBorrowedBy(const JobEntry& job) const;

  //-----------------------------------------------------------------------------------------------
  // [SECTION] State
  //-----------------------------------------------------------------------------------------------
  PolicySettings m_settings;
  Cluster m_cluster;
  Certificate m_certificate;
  Estimator m_estimator;
  WaitingQueues m_waiting;
  Plans m_plans;
  WorkerHealth m_health;
  std::map<MarketId, std::shared_ptr<const Market>> m_markets;

  Instant m_now;
  Instant m_last_repack;  // Of the last attempt to make room by repacking.
  Instant m_last_compaction;
  mutable std::unique_ptr<IdleDomain> m_idle_domain;                 // Built on first use.
  Decisions m_decisions;                                             // Of the event being applied.
  std::vector<JobIndex> m_new_jobs;                                  // Submitted since the last pass.
  bool m_pass_due = false;                                           // Room became free since the last pass.
  bool m_repair_due = false;                                         // The certificate may be broken, or repairable.
  bool m_recheck_waiting = false;                                    // Some waiting jobs may have become infeasible.
  std::vector<FailedSearch> m_failed_searches;                       // Since room last became free; see FailedSearch.
  std::set<std::pair<AccountIndex, std::string>> m_reported_broken;  // Shapes reported as broken.
  std::unordered_set<JobId> m_recently_ended;                        // Detects repeated events about ended jobs.
  std::deque<JobId> m_recently_ended_order;
};

}  // namespace hickoryquay::policy
