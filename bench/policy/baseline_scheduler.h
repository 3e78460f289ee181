// Baseline: the scheduler behind all baselines; what makes them differ stands in its rules.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <unordered_set>
#include <utility>
#include <vector>

#include "bench/policy/baseline.h"
#include "bench/policy/baseline_workers.h"

namespace hickoryquay::bench {

constexpr Millis kHeadBound{5 * 60 * 1000};  // A blocked job waits this long before workers are kept for it.
constexpr int kNoAccount = -1;

using OrderKey = std::tuple<std::int64_t, std::int64_t, JobId>;

// How the baselines differ.
struct Rules {
  bool m_best_fit = false;
  bool m_partition = false;
  Millis m_head_bound = kHeadBound;
  OrderKey (*m_order)(const Job& job, const ClassOfWork& work, const TrueRun& true_run) = nullptr;
  TrueRun m_true_run;
};

enum class Phase { kWaiting, kStarting, kRunning, kStopping };
enum class AfterStop { kWait, kRefuse, kUncertain, kForget };

struct Record {
  Job m_job;
  int m_account = 0;
  Phase m_phase = Phase::kWaiting;
  AfterStop m_after = AfterStop::kWait;
  bool m_once = false;
  bool m_ran = false;
  std::set<int> m_failed_on;  // Workers.
  std::set<int> m_throttled;  // Workers, in this attempt.
  OrderKey m_order;
  std::string m_why;
};

class Baseline final : public policy::Scheduler {
 public:
  Baseline(DomainId domain, Rules rules)
      : m_domain(std::move(domain)), m_rules(std::move(rules)), m_workers(m_rules.m_best_fit) {}

  policy::Decisions Apply(const policy::Event& event, Instant now) override;
  Result<Done, policy::Refusal> Admit(const JobSpec& spec, Instant now) const override;
  Result<Done, policy::UnsatisfiableGuarantee> CheckMarket(const Market& market) const override;
  policy::Explanation Explain(JobId job, Instant now) const override;
  policy::SchedulerStats CollectStats() const override;

 private:
  using AccountKey = std::pair<MarketId, AccountId>;

  // Events.
  void On(const policy::MarketChanged& event);
  void On(const policy::MarketDropped& event);
  void On(const policy::WorkerJoined& event);
  void On(const policy::WorkerLost& event);
  void On(const policy::WorkerLeaving& event);
  void On(const policy::WorkerQuarantineSet& event);
  void On(const policy::JobSubmitted& event) { Add(event.m_job); }
  void On(const policy::JobRestored& event) { Add(event.m_job); }
  void On(const policy::JobCancelled& event);
  void On(const policy::GangStarted& event);
  void On(const policy::GangStartFailed& event);
  void On(const policy::TaskFailed& event);
  void On(const policy::GangFinished& event);
  void On(const policy::GangStopped& event);
  void On(const policy::UsageReported& event);
  void On(const policy::Tick& event);

  // Jobs.
  void Add(const Job& job);
  Record* Current(JobId job, Attempt attempt);
  const ClassOfWork* ClassOf(const JobSpec& spec) const;
  void Stop(Record* record, policy::StopReason reason, AfterStop after);
  void Free(Record* record);
  void Settle(Record* record, AfterStop after);
  void Refuse(Record* record, const std::string& why);
  void Forget(Record* record);
  bool CountFailure(Record* record, int worker);
  void NoteWorkerFailure(int worker, JobId job);

  // Placement.
  int AccountIndex(const AccountKey& key);
  void Partition();
  void RefuseHopeless();
  void StartWaiting();
  enum class Attempted { kStarted, kNoRoom, kOverLimit };
  Attempted TryStart(Record* record);
  void KeepWorkersForHead(const Record& record);

  DomainId m_domain;
  Rules m_rules;
  Instant m_now;
  BaselineWorkers m_workers;
  std::map<MarketId, std::shared_ptr<const Market>> m_markets;
  std::map<AccountKey, int> m_accounts;  // Index.
  std::vector<int> m_account_used;       // Accelerators, by index.
  std::vector<int> m_account_waiting;    // Jobs, by index.
  std::vector<bool> m_keeps_for;         // Whether accelerators are set aside, by index.
  std::map<JobId, Record> m_jobs;
  std::unordered_set<JobId> m_ended;  // To know repeated submissions by.
  std::map<OrderKey, Record*> m_queue;
  JobId m_head{};  // For whom workers are kept.
  std::set<int> m_head_workers;
  bool m_schedule_all = false;
  bool m_partition_stale = false;
  Record* m_new_job = nullptr;
  policy::Decisions m_out;
};

}  // namespace hickoryquay::bench
