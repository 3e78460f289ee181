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
  bool m_start_in_doubt = false;  // A worker was lost during the start: the answer to the start may tell.
  bool m_started = false;         // This attempt was answered by GangStarted.
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
  const std::set<GuaranteeKey>& BrokenGuarantees() const { return m_broken_guarantees; }
  std::vector<JobId> JobsIn(Phase phase) const;

 private:
  // Events.
  void Apply(const policy::MarketChanged& event);
  void Apply(const policy::MarketDropped& event);
  void Apply(const policy::WorkerJoined& event);
  void Apply(const policy::WorkerLost& event);
  void Apply(const policy::WorkerLeaving& event);
  void Apply(const policy::WorkerQuarantineSet&) {}
  void Apply(const policy::JobSubmitted& event);
  void Apply(const policy::JobRestored&) {}
  void Apply(const policy::JobCancelled& event);
  void Apply(const policy::GangStarted& event);
  void Apply(const policy::GangStartFailed& event);
  void Apply(const policy::TaskFailed& event);
  void Apply(const policy::GangFinished& event);
  void Apply(const policy::GangStopped& event);
  void Apply(const policy::UsageReported&) {}
  void Apply(const policy::Tick&) {}

  // Decisions.
  void Check(const policy::StartGang& start);
  void Check(const policy::StopGang& stop);
  void Check(const policy::ThrottleTask& throttle);
  void Check(const policy::RefuseJob& refuse);
  void Check(const policy::LeaveUncertain& uncertain);
  void Check(const policy::QuarantineWorker& quarantine);
  void Check(const policy::ReleaseWorker& release);
  void Check(const policy::GuaranteeBroken& broken);
  void Check(const policy::GuaranteeRestored& restored);

  // Rules that hold between events.
  void CheckGangsWhole();
  void CheckGuarantees();

  using AccountIndices = std::map<std::pair<MarketId, AccountId>, int>;
  std::vector<PackBlock> GuaranteedBlocks(AccountIndices* accounts, bool with_broken) const;
  PackWorker WithoutPins(const WorkerRecord& record, const AccountIndices& accounts) const;
  bool EverFitsBesideGuarantees(const JobSpec& spec) const;

  JobRecord* FindAttempt(JobId job, Attempt attempt);
  const ClassOfWork* ClassOf(const JobRecord& job) const;
  bool EndIsFinal(const JobRecord& job) const;
  Resources HeldOn(const WorkerId& worker) const;
  bool IsAdjacent(const GangShape& shape, const std::vector<Placement>& placements) const;
  bool EverFits(const GangShape& shape) const;
  bool IsStoppable(const JobRecord& job) const;
  void EndAttempt(JobRecord* job);
  void ReportViolation(const std::string& rule, const std::string& seen);

  DomainId m_domain;
  bool m_guarantees;
  std::map<MarketId, std::shared_ptr<const Market>> m_markets;
  std::map<WorkerId, WorkerRecord> m_workers;
  std::map<JobId, JobRecord> m_jobs;
  std::set<GuaranteeKey> m_broken_guarantees;
  std::set<JobId> m_must_end;        // Lost all parts in this event: must wait or end truthfully.
  std::set<JobId> m_just_cancelled;  // Ended so by this event.
  bool m_checked = false;            // m_violation tells of the records as they are.
  std::string m_violation;
};

}  // namespace hickoryquay::test
