// Oracle: keeps books of its own from events and decisions, and names the first rule that a scheduler breaks.
//
// Independent of the policy's code; simple and slow, for clusters of a few workers. Each broken rule is reported as
// "rule: what was seen".
#pragma once

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "hickoryquay/policy/scheduler.h"
#include "tests/policy/packing.h"

namespace hickoryquay::test {

enum class Phase { kWaiting, kStarting, kRunning, kStopping, kEnded };

struct JobRecord {
  Job m_job;                                 // The row, with its placements and attempt as of the last start.
  std::vector<Placement> m_last_placements;  // Placements of the last start, parts lost since included.
  Phase m_phase = Phase::kWaiting;
  bool m_once = false;
  bool m_may_have_run = false;
  bool m_doubtful = false;  // A worker was lost during the start: the answer to the start may tell.
  bool m_started = false;   // This attempt was answered by GangStarted.
  bool m_cancelled = false;
  bool m_part_lost = false;   // A part of this attempt is lost or failed.
  bool m_checkpoint = false;  // The stop under way asked for one.
  std::string m_end;          // Why it ended.
};

struct WorkerRecord {
  Worker m_worker;
  bool m_up = true;
  bool m_known = true;  // To the present scheduler: it was up at some time since that took over.
  bool m_leaving = false;
  bool m_quarantined = false;
  bool Usable() const { return m_up && !m_leaving && !m_quarantined; }
};

struct GuaranteeKey {
  MarketId m_market;
  AccountId m_account;
  std::string m_shape;
  auto operator<=>(const GuaranteeKey&) const = default;
};

class Oracle {
 public:
  // `guarantees`: whether the scheduler promises guaranteed shapes.
  Oracle(DomainId domain, bool guarantees) : m_domain(std::move(domain)), m_guarantees(guarantees) {}

  // Books one event and the decisions that answered it. Empty, or the first rule that was broken.
  std::string Observe(const policy::Event& event, const policy::Decisions& decisions);

  // A new scheduler took over. It knows neither the stops under way, nor what was reported, nor workers that are gone.
  void OnTakeover();

  // What the answer to Admit must be; empty where `admitted` is right.
  std::string CheckAdmission(const JobSpec& spec, Instant now, const Result<Done, policy::Refusal>& admitted) const;

  const std::map<JobId, JobRecord>& Jobs() const { return m_jobs; }
  const std::map<WorkerId, WorkerRecord>& Workers() const { return m_workers; }
  const std::map<MarketId, std::shared_ptr<const Market>>& Markets() const { return m_markets; }
  const std::set<GuaranteeKey>& BrokenGuarantees() const { return m_broken; }
  std::vector<JobId> JobsIn(Phase phase) const;

 private:
  // Events.
  void Book(const policy::MarketChanged& event);
  void Book(const policy::MarketDropped& event);
  void Book(const policy::WorkerJoined& event);
  void Book(const policy::WorkerLost& event);
  void Book(const policy::WorkerLeaving& event);
  void Book(const policy::WorkerQuarantineSet&) {}
  void Book(const policy::JobSubmitted& event);
  void Book(const policy::JobRestored&) {}
  void Book(const policy::JobCancelled& event);
  void Book(const policy::GangStarted& event);
  void Book(const policy::GangStartFailed& event);
  void Book(const policy::TaskFailed& event);
  void Book(const policy::GangFinished& event);
  void Book(const policy::GangStopped& event);
  void Book(const policy::UsageReported&) {}
  void Book(const policy::Tick&) {}

  // Decisions.
  void Judge(const policy::StartGang& start);
  void Judge(const policy::StopGang& stop);
  void Judge(const policy::ThrottleTask& throttle);
  void Judge(const policy::RefuseJob& refuse);
  void Judge(const policy::LeaveUncertain& uncertain);
  void Judge(const policy::QuarantineWorker& quarantine);
  void Judge(const policy::ReleaseWorker& release);
  void Judge(const policy::GuaranteeBroken& broken);
  void Judge(const policy::GuaranteeRestored& restored);

  // Rules that hold between events.
  void JudgeGangsWhole();
  void JudgeGuarantees();

  using AccountIndices = std::map<std::pair<MarketId, AccountId>, int>;
  std::vector<PackBlock> Blocks(AccountIndices* accounts, bool with_broken) const;
  PackWorker Empty(const WorkerRecord& book, const AccountIndices& accounts) const;
  bool EverFitsBesideGuarantees(const JobSpec& spec) const;

  JobRecord* Current(JobId job, Attempt attempt);
  const ClassOfWork* ClassOf(const JobRecord& job) const;
  bool HasEnded(const JobRecord& job) const;
  Resources HeldOn(const WorkerId& worker) const;
  bool Adjacent(const GangShape& shape, const std::vector<Placement>& placements) const;
  bool EverFits(const GangShape& shape) const;
  bool Stoppable(const JobRecord& job) const;
  void Release(JobRecord* job);
  void Broken(const std::string& rule, const std::string& seen);

  DomainId m_domain;
  bool m_guarantees;
  std::map<MarketId, std::shared_ptr<const Market>> m_markets;
  std::map<WorkerId, WorkerRecord> m_workers;
  std::map<JobId, JobRecord> m_jobs;
  std::set<GuaranteeKey> m_broken;
  std::set<JobId> m_must_settle;     // Lost all parts in this event: must wait or end truthfully.
  std::set<JobId> m_just_cancelled;  // Ended so by this event.
  bool m_judged = false;             // m_verdict tells of the books as they are.
  std::string m_verdict;
};

}  // namespace hickoryquay::test
