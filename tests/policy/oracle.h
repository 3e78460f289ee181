// Oracle: derives the state of jobs and workers from events and decisions, and reports the first rule that a scheduler
// violates.
//
// Independent of the policy's code; simple and slow, for clusters of a few workers. A violation is reported as
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
  Job m_job;  // The row, with the attempt of the last start and the placements still held.
  std::vector<Placement> m_last_placements;  // Of the last start, including parts lost since.
  Phase m_phase = Phase::kWaiting;
  bool m_once = false;
  bool m_may_have_run = false;
  bool m_start_in_doubt = false;  // A worker was lost, so the job may have run unless its start fails.
  bool m_started = false;         // GangStarted was received for this attempt.
  bool m_cancelled = false;
  bool m_part_lost = false;   // A part of this attempt was lost or failed.
  bool m_checkpoint = false;  // The current stop requested a checkpoint.
  std::string m_end;          // How it ended, with the reason.
};

struct WorkerRecord {
  Worker m_worker;
  bool m_up = true;
  bool m_known = true;  // Was up at some time since the current scheduler took over.
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
  // `guarantees`: whether the scheduler supports guarantees.
  Oracle(DomainId domain, bool guarantees) : m_domain(std::move(domain)), m_guarantees(guarantees) {}

  // Applies one event, checks and applies the decisions that answered it. Returns the first violation so far, or empty.
  std::string Observe(const policy::Event& event, const policy::Decisions& decisions);

  // Call when a new scheduler takes over. Resets what it can't know: stops in progress, broken guarantees reported,
  // quarantines and lost workers.
  void OnTakeover();

  // Checks the answer to Admit. Returns empty if `admitted` is right, else the violation.
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
  void Check(const policy::MarkUncertain& uncertain);
  void Check(const policy::QuarantineWorker& quarantine);
  void Check(const policy::ReleaseWorker& release);
  void Check(const policy::GuaranteeBroken& broken);
  void Check(const policy::GuaranteeRestored& restored);

  // Rules that must hold after each event.
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
  std::set<JobId> m_must_end;        // Run at most once, may have run, and were released by this event: must end.
  std::set<JobId> m_just_cancelled;  // Ended as cancelled by this event.
  bool m_checked = false;            // The current state was checked; m_violation has the result.
  std::string m_violation;
};

}  // namespace hickoryquay::test
