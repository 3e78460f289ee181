// Scheduling: starts waiting jobs, reserves room for them by plans, and stops other jobs to make room.
#include <algorithm>
#include <queue>
#include <utility>

#include "hickoryquay/policy/compaction.h"
#include "hickoryquay/policy/policy_impl.h"

namespace hickoryquay::policy {
namespace {

constexpr int kMaxSearches = 128;  // Searches for room per event; the next event continues.
constexpr int kMaxHeadsTried = 3;  // Jobs of one queue that are tried in one pass while none starts.
constexpr std::size_t kMaxPlans = 96;
constexpr std::size_t kMaxFailedSearches = 64;
constexpr int kPlacesTriedForPin = 4;        // Places offered to the certificate for a pinned job.
constexpr int kUrgentLevel = 1;              // Jobs of this level or a more urgent one may preempt whatever their size.
constexpr int kMinPreemptingGang = 4;        // Smaller gangs that are not urgent don't cause stops.
constexpr Millis kShortRun{2 * 60'000};      // Shorter runs borrow at any risk of a call.
constexpr Millis kBorrowAfter{60 * 60'000};  // Longer runs do so after a wait of this and of their run time.
constexpr double kMaxCallProbability = 0.2;  // Otherwise, the highest risk of losing their work to a call.
constexpr double kCheckpointLossWeight = 0.3;    // Weight of a stop's loss where work can be checkpointed, else 1.
constexpr Millis kUseDeclaredSizeAfter{60'000};  // Wait after which the estimated size is ignored.
constexpr double kMaxHeadShare = 0.25;           // Share of all accelerators that head reservations may take.
constexpr Millis kMoveCooldown{10 * 60'000};     // A moved job is not moved again within this time.
constexpr Millis kCompactionInterval{15'000};
constexpr Millis kResendStopAfter{10'000};            // An unanswered stop is sent again.
constexpr int kStalePlanFactor = 2;                   // Times the reclaim limit: then a plan is dropped.
constexpr Millis kHeadPlanLifetime{3 * 60 * 60'000};  // Then room is sought elsewhere.

}  // namespace

//-------------------------------------------------------------------------------------------------
// Passes
//-------------------------------------------------------------------------------------------------

void PolicyImpl::OnRoomFreed() {
  m_pass_due = true;
  m_failed_searches.clear();
}

void PolicyImpl::Schedule() {
  StartReadyPlans();
  if (m_pass_due) {
    FullPass();
  } else {
    TryNewJobs();
  }
  m_new_jobs.clear();
}

void PolicyImpl::StartReadyPlans() {
  if (m_plans.All().empty()) return;
  std::vector<JobIndex> ready;
  for (const Plan& plan : m_plans.All()) {
    if (m_plans.Ready(plan)) ready.push_back(plan.m_job);
  }
  for (const JobIndex job : ready) {
    const Plan* plan = m_plans.Find(job);
    if (plan != nullptr && m_plans.Ready(*plan) && !StartPlanned(job)) OnRoomFreed();
  }
}

void PolicyImpl::TryNewJobs() {
  Budget budget;
  const std::vector<JobIndex> jobs = std::exchange(m_new_jobs, {});
  for (const JobIndex job : jobs) TryStart(job, &budget);
}

// Tries the heads of all queues in order of rank.
void PolicyImpl::FullPass() {
  using Entry = std::pair<Rank, int>;
  std::priority_queue<Entry, std::vector<Entry>, std::greater<>> queues;
  for (int queue = 0; queue < m_waiting.Queues(); ++queue) {
    const JobIndex head = m_waiting.Head(queue);
    if (head != kNone) queues.emplace(m_waiting.RankOf(head, m_now), queue);
  }
  m_pass_due = false;
  Budget budget;
  std::vector<JobIndex> blocked;
  while (!queues.empty() && budget.m_searches < kMaxSearches) {
    const int queue = queues.top().second;
    queues.pop();
    bool started = false;
    for (const JobIndex job : m_waiting.Heads(queue, kMaxHeadsTried)) {
      started = TryStart(job, &budget);
      if (started) break;
      if (Startable(m_cluster.Job(job))) blocked.push_back(job);
    }
    const JobIndex head = m_waiting.Head(queue);
    if (started && head != kNone) queues.emplace(m_waiting.RankOf(head, m_now), queue);
  }
  if (!queues.empty()) m_pass_due = true;
  ReserveForHead(blocked, &budget);
}

bool PolicyImpl::Startable(const JobEntry& job) const {
  const AccountEntry& account = m_cluster.Account(job.m_account);
  if (!account.m_configured || m_now < job.m_not_before) return false;
  return account.m_max_accelerators == 0 || account.m_held + job.Accelerators() <= account.m_max_accelerators;
}

bool PolicyImpl::TryStart(JobIndex index, Budget* budget) {
  const JobEntry& job = m_cluster.Job(index);
  if (job.Holds() || !Startable(job)) return false;
  if (StartInAvailableRoom(index, budget)) return true;
  if (job.m_planned) return false;
  for (const PlanKind kind : {PlanKind::kCall, PlanKind::kPreempt, PlanKind::kRepack}) {
    if (MayPlan(index, kind) && MakePlan(index, kind, budget)) return true;
  }
  return false;
}

//-------------------------------------------------------------------------------------------------
// Available room
//-------------------------------------------------------------------------------------------------

Resources PolicyImpl::TaskSizeOf(const JobEntry& job) const {
  if (m_now - job.m_queued >= kUseDeclaredSizeAfter) return job.m_shape.m_task;
  return m_estimator.TaskSize(job, m_cluster.LargestWorker());
}

bool PolicyImpl::KnownToFail(const GangShape& shape, AccountIndex account, bool pinned,
                             std::optional<PlanKind> kind) const {
  const auto covers = [&](const FailedSearch& failed) {
    if (failed.m_kind != kind || failed.m_shape.m_tasks > shape.m_tasks) return false;
    if (failed.m_shape.m_adjacency < shape.m_adjacency || !failed.m_shape.m_task.FitsIn(shape.m_task)) return false;
    const bool same = failed.m_account == account;
    return (!failed.m_pinned || (pinned && same)) && (!kind || same);
  };
  return std::any_of(m_failed_searches.begin(), m_failed_searches.end(), covers);
}

void PolicyImpl::RecordFailedSearch(const FailedSearch& failed) {
  if (m_failed_searches.size() < kMaxFailedSearches) m_failed_searches.push_back(failed);
}

// A job that would lose its work by a call does not borrow guarantees that are likely to be called on while it runs.
BorrowingRule PolicyImpl::BorrowingRuleFor(const JobEntry& job) const {
  BorrowingRule rule{&m_estimator, job.m_account, m_estimator.ExpectedRun(job), 1.0, m_now};
  if (job.m_pinned || m_cluster.Class(job.m_class).m_work.m_checkpointable) return rule;
  const bool short_run = rule.m_run < kShortRun;
  const bool waited_long = m_now - job.m_queued >= std::max(kBorrowAfter, rule.m_run);
  if (!short_run && !waited_long) rule.m_max_risk = kMaxCallProbability;
  return rule;
}

bool PolicyImpl::StartInAvailableRoom(JobIndex index, Budget* budget) {
  const JobEntry& job = m_cluster.Job(index);
  const ClassOfWork& work = m_cluster.Class(job.m_class).m_work;
  const bool planned = job.m_planned;
  if (!planned && job.Accelerators() > m_cluster.Available()) return false;
  AvailableRoom::Request request;
  request.m_account = job.m_account;
  request.m_task = TaskSizeOf(job);
  request.m_pinned = job.m_pinned;
  request.m_trial = !job.m_pinned && job.m_shape.m_tasks == 1;
  request.m_completion_weight = m_cluster.Account(job.m_account).m_weight;
  request.m_loss_weight = work.m_checkpointable ? kCheckpointLossWeight : 1.0;
  request.m_borrowing = BorrowingRuleFor(job);
  GangShape shape = job.m_shape;
  shape.m_task = request.m_task;
  if (!planned && KnownToFail(shape, job.m_account, job.m_pinned, std::nullopt)) return false;
  Plan plan;
  if (planned) {  // Without the job's own reservations, which would count as allocated.
    plan = *m_plans.Find(index);
    m_plans.Drop(index);
  }
  GangPlacement place;
  if (FindAvailableRoom(index, request, budget, &place)) {
    StartJob(index, PartsOf(index, place, request.m_task));
    if (planned) OnRoomFreed();
    return true;
  }
  if (planned) {
    m_plans.Add(std::move(plan));
  } else {
    RecordFailedSearch({shape, job.m_account, job.m_pinned, std::nullopt});
  }
  return false;
}

bool PolicyImpl::FindAvailableRoom(JobIndex index, const AvailableRoom::Request& request, Budget* budget,
                                   GangPlacement* place) {
  const JobEntry& job = m_cluster.Job(index);
  GangShape shape = job.m_shape;
  shape.m_task = request.m_task;
  std::vector<WorkerIndex> avoid = job.m_failed_on;
  AvailableRoom::Request attempt = request;
  attempt.m_avoid = &avoid;
  const auto find = [&] {
    ++budget->m_searches;
    *place = FindPlacement(m_cluster, AvailableRoom(m_cluster, m_certificate, attempt), shape);
    return !place->empty();
  };
  const auto allowed = [&] { return CertificateAllows(index, PartsOf(index, *place, request.m_task)); };
  if (find() && allowed()) return true;
  if (!avoid.empty()) {
    avoid.clear();
    if (find() && allowed()) return true;
  }
  attempt.m_pinned = false;  // The certificate may be able to make room by moving blocks.
  for (int i = 0; job.m_pinned && i < kPlacesTriedForPin && find(); ++i) {
    if (allowed()) return true;
    for (const WorkerTasks& part : *place) avoid.push_back(part.m_worker);
  }
  return false;
}

bool PolicyImpl::CertificateAllows(JobIndex index, const std::vector<Part>& parts) {
  const JobEntry& job = m_cluster.Job(index);
  if (!job.m_pinned) return true;
  std::vector<Pin> pins;
  for (const Part& part : parts) pins.push_back({part.m_worker, part.m_allocated});
  return m_certificate.MakeRoom(job.m_account, pins);
}

std::vector<Part> PolicyImpl::PartsOf(JobIndex, const GangPlacement& place, const Resources& task) const {
  std::vector<Part> parts;
  for (const WorkerTasks& at : place) {
    const Resources taken = task * at.m_tasks;
    parts.push_back({at.m_worker, at.m_tasks, taken, Instant{}});
  }
  return parts;
}

void PolicyImpl::StartJob(JobIndex index, std::vector<Part> parts) {
  m_waiting.Remove(index);
  JobEntry& job = m_cluster.Job(index);
  job.m_phase = Phase::kStarting;
  job.m_after_stop = AfterStop::kRequeue;
  job.m_failure_counted = false;
  job.m_attempt = Attempt{Raw(job.m_attempt) + 1};
  job.m_started = m_now;
  Hold(index, std::move(parts));
  StartGang start{job.m_id, job.m_attempt, {}};
  for (const Part& part : job.m_parts) {
    start.m_placements.push_back({m_cluster.At(part.m_worker).m_worker.m_id, part.m_tasks});
  }
  m_decisions.push_back(std::move(start));
}

//-------------------------------------------------------------------------------------------------
// Plans
//-------------------------------------------------------------------------------------------------

// Accelerators that the account holds by calls on its guarantees, or has pending calls for.
int PolicyImpl::AcceleratorsCalledBy(AccountIndex account) const {
  int called = m_cluster.Account(account).m_started_by_call;
  for (const Plan& plan : m_plans.All()) {
    const JobEntry& job = m_cluster.Job(plan.m_job);
    if (plan.m_kind == PlanKind::kCall && job.m_account == account) called += job.Accelerators();
  }
  return called;
}

bool PolicyImpl::MayPlan(JobIndex index, PlanKind kind) const {
  const JobEntry& job = m_cluster.Job(index);
  if (job.m_planned || job.Accelerators() == 0 || m_plans.All().size() >= kMaxPlans) return false;
  const int urgency = m_cluster.Class(job.m_class).m_work.m_urgency;
  switch (kind) {
    case PlanKind::kCall:
      return AcceleratorsCalledBy(job.m_account) + job.Accelerators() <= m_cluster.Account(job.m_account).m_guaranteed;
    case PlanKind::kPreempt:
      return urgency <= kUrgentLevel || job.Accelerators() >= kMinPreemptingGang;
    case PlanKind::kRepack:
      return job.Accelerators() >= kMinPreemptingGang;
    case PlanKind::kHeadReservation: {
      const int kept = m_plans.Accelerators(PlanKind::kHeadReservation);
      const bool fair = kept == 0 || kept + job.Accelerators() <= kMaxHeadShare * m_cluster.Capacity();
      return fair && job.Accelerators() > 1 && m_now - job.m_queued >= m_settings.m_head_reservation;
    }
  }
  return false;
}

bool PolicyImpl::MakePlan(JobIndex index, PlanKind kind, Budget* budget) {
  const JobEntry& job = m_cluster.Job(index);
  const bool call = kind == PlanKind::kCall;
  GangShape shape = job.m_shape;
  if (!call) shape.m_task = TaskSizeOf(job);  // A call uses the declared size: an estimate must not make it fail.
  if (KnownToFail(shape, job.m_account, job.m_pinned, kind)) return false;
  ++budget->m_searches;
  const ReclaimableRoom room(m_cluster, m_certificate, m_estimator,
                             {index, kind, shape.m_task, m_now, BorrowingRuleFor(job)});
  const GangPlacement place = FindPlacement(m_cluster, room, shape);
  if (call && place.empty() && m_certificate.AlignShares(job.m_account, shape.m_task.m_accelerators)) {
    return MakePlan(index, kind, budget);
  }
  const Victims victims = room.ChooseVictims(place);
  if (place.empty() || !victims.m_sufficient) {
    RecordFailedSearch({shape, job.m_account, job.m_pinned, kind});
    return false;
  }
  if (kind == PlanKind::kRepack) {
    int moved = 0;
    for (const JobIndex victim : victims.m_jobs) moved += m_cluster.Job(victim).Accelerators();
    if (moved > job.Accelerators() || moved > m_cluster.Available()) return false;
  }
  Plan plan{index, kind, PartsOf(index, place, shape.m_task), m_now, {}};
  for (const JobIndex victim : victims.m_jobs) plan.m_stopped_jobs.push_back(m_cluster.Job(victim).m_id);
  for (const Part& part : plan.m_parts) {
    if (call) m_plans.DropExceptCalls(part.m_worker);
  }
  m_plans.Add(std::move(plan));
  if (call) m_estimator.ObserveCall(job.m_account, m_now);
  const StopReason reason = kind == PlanKind::kRepack ? StopReason::kRepack : StopReason::kReclaim;
  for (const JobIndex victim : victims.m_jobs) {
    if (kind == PlanKind::kRepack) m_cluster.Job(victim).m_last_moved = m_now;
    StopFor(victim, reason, AfterStop::kRequeue, "");
  }
  return m_plans.Ready(*m_plans.Find(index)) && StartPlanned(index);
}

bool PolicyImpl::StartPlanned(JobIndex index) {
  const Plan plan = *m_plans.Find(index);
  JobEntry& job = m_cluster.Job(index);
  m_plans.Drop(index);
  if (!Startable(job) || !CertificateAllows(index, plan.m_parts)) return false;
  job.m_started_by_call = plan.m_kind == PlanKind::kCall;
  if (job.m_started_by_call) m_cluster.Account(job.m_account).m_started_by_call += job.Accelerators();
  StartJob(index, plan.m_parts);
  return true;
}

// Reserves room for the first of the jobs that found none, in order of rank, that may have a plan.
void PolicyImpl::ReserveForHead(const std::vector<JobIndex>& blocked, Budget* budget) {
  for (const JobIndex index : blocked) {
    if (m_cluster.Job(index).Holds() || !MayPlan(index, PlanKind::kHeadReservation)) continue;
    MakePlan(index, PlanKind::kHeadReservation, budget);
    return;
  }
}

//-------------------------------------------------------------------------------------------------
// Time
//-------------------------------------------------------------------------------------------------

void PolicyImpl::On(const Tick&) {
  for (const WorkerIndex worker : m_health.ExpiredQuarantines(m_now)) {
    m_health.Release(worker, true);
    m_decisions.push_back(ReleaseWorker{m_cluster.At(worker).m_worker.m_id});
    UpdateWorkerCapacity(worker);
  }
  ResendStops();
  DropStalePlans();
  MoveJobsForHeadPlans();
  Compact();
  if (m_certificate.Missing() > 0) m_repair_due = true;
  m_certificate.ImprovePacking();
  if (m_waiting.Size() > 0) OnRoomFreed();
}

// A stop may have been lost, and a checkpoint may take too long for a job that waits for the room: a repeated stop for
// a reclaim asks for no checkpoint where the job is preemptible.
void PolicyImpl::ResendStops() {
  for (const auto& [id, index] : m_cluster.Jobs()) {
    JobEntry& job = m_cluster.Job(index);
    if (job.m_phase != Phase::kStopping || m_now - job.m_stop_requested < kResendStopAfter) continue;
    const bool preemptible = m_cluster.Class(job.m_class).m_work.m_preemptible && !job.m_once;
    const bool stop_at_once = preemptible && job.m_stop_reason == StopReason::kReclaim;
    const bool resumes = job.m_after_stop == AfterStop::kRequeue;  // The job runs again later.
    job.m_stop_checkpoint = job.m_stop_checkpoint && resumes && !stop_at_once;
    job.m_stop_requested = m_now;
    m_decisions.push_back(StopGang{id, job.m_attempt, job.m_stop_reason, job.m_stop_checkpoint});
  }
}

void PolicyImpl::DropStalePlans() {
  std::vector<JobIndex> stale;
  for (const Plan& plan : m_plans.All()) {
    const Millis limit =
        plan.m_kind == PlanKind::kHeadReservation ? kHeadPlanLifetime : m_settings.m_reclaim_limit * kStalePlanFactor;
    if (m_now - plan.m_since > limit) stale.push_back(plan.m_job);
  }
  for (const JobIndex job : stale) m_plans.Drop(job);
}

// Whether all jobs that the plan waits for can be checkpointed and moved; they are added to `movable`.
bool PolicyImpl::BlockedByMovableOnly(const Plan& plan, std::vector<JobIndex>* movable) const {
  const JobEntry& caller = m_cluster.Job(plan.m_job);
  for (const Part& part : plan.m_parts) {
    const WorkerEntry& worker = m_cluster.At(part.m_worker);
    if (part.m_allocated.FitsIn(worker.Unallocated())) continue;
    for (const JobIndex index : worker.m_jobs) {
      const JobEntry& job = m_cluster.Job(index);
      const bool checkpointable = m_cluster.Class(job.m_class).m_work.m_checkpointable;
      const bool borrows =
          worker.AcceleratorsUsedBy(job.m_account) > m_certificate.Certified(part.m_worker, job.m_account);
      const int urgency = m_cluster.Class(job.m_class).m_work.m_urgency;
      const bool small = job.Accelerators() * 2 <= caller.Accelerators() && m_now - job.m_last_moved > kMoveCooldown;
      if (job.m_phase != Phase::kRunning || job.m_pinned || !checkpointable || !borrows) return false;
      if (urgency <= m_cluster.Class(caller.m_class).m_work.m_urgency && !small) return false;
      if (std::find(movable->begin(), movable->end(), index) == movable->end()) movable->push_back(index);
    }
  }
  return !movable->empty();
}

// Moves the last jobs away from room that is reserved for a gang, where all of them are movable.
void PolicyImpl::MoveJobsForHeadPlans() {
  std::vector<JobIndex> movable;
  for (const Plan& plan : m_plans.All()) {
    std::vector<JobIndex> found;
    if (plan.m_kind != PlanKind::kHeadReservation || !BlockedByMovableOnly(plan, &found)) continue;
    movable.insert(movable.end(), found.begin(), found.end());
  }
  for (const JobIndex index : movable) {
    JobEntry& job = m_cluster.Job(index);
    if (job.m_phase != Phase::kRunning) continue;  // Already stopped for another plan.
    job.m_last_moved = m_now;
    StopFor(index, StopReason::kRepack, AfterStop::kRequeue, "");
  }
}

// Moves small checkpointable jobs closer together, so that the largest waiting or guaranteed shape fits.
void PolicyImpl::Compact() {
  if (m_now - m_last_compaction < kCompactionInterval) return;
  m_last_compaction = m_now;
  for (const JobIndex index : ChooseJobsToMove(m_cluster, m_certificate, LargestShape(), m_now)) {
    m_cluster.Job(index).m_last_moved = m_now;
    StopFor(index, StopReason::kRepack, AfterStop::kRequeue, "");
  }
}

}  // namespace hickoryquay::policy
