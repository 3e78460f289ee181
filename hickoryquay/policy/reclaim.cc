#include "hickoryquay/policy/reclaim.h"

#include <algorithm>
#include <limits>

namespace hickoryquay::policy {
namespace {

constexpr int kUrgencyGap = 2;            // Levels by which a job must be more urgent than one it preempts.
constexpr Millis kNegligibleRun{30'000};  // Work that can't be checkpointed is preempted only if it ran for less.
constexpr Millis kMinRunBeforePreemption{60'000};  // Checkpointable work runs at least this long between preemptions.
constexpr Millis kMoveCooldown{10 * 60 * 1000};    // A job moved by repacking is not moved again within this time.
constexpr double kCheckpointSeconds = 5.0;         // Run time lost by a checkpoint and a restart.
constexpr double kStopSeconds = 10.0;              // Overhead of any stop, per accelerator.
constexpr double kStopBaseCost = 20.0;             // Overhead of any stop, in accelerator-seconds.
constexpr double kWithinGuaranteeFactor = 4.0;     // Cost factor of accounts that hold no more than their guarantees.

bool IsMet(const Resources& need) {
  return need.m_accelerators <= 0 && need.m_millicores <= 0 && need.m_memory_mb <= 0;
}

// How much of the need these resources meet: in accelerators where those are short; else 1 where they free any other
// resource that is short.
double UsefulAmount(const Resources& freed, const Resources& need) {
  if (need.m_accelerators > 0) return std::min(freed.m_accelerators, need.m_accelerators);
  const bool helps =
      (need.m_millicores > 0 && freed.m_millicores > 0) || (need.m_memory_mb > 0 && freed.m_memory_mb > 0);
  return helps ? 1.0 : 0.0;
}

Resources TakenOn(const JobEntry& job, WorkerIndex worker) {
  for (const Part& part : job.m_parts) {
    if (part.m_worker == worker) return part.m_allocated;
  }
  return {};
}

}  // namespace

ReclaimableRoom::ReclaimableRoom(const Cluster& cluster, const Certificate& certificate, const Estimator& estimator,
                                 const Request& request)
    : m_cluster(cluster),
      m_certificate(certificate),
      m_estimator(estimator),
      m_request(request),
      m_job(cluster.Job(request.m_job)),
      m_urgency(cluster.Class(m_job.m_class).m_work.m_urgency) {
  if (request.m_kind != PlanKind::kCall) return;
  m_racks.resize(cluster.Racks().size(), false);
  for (const Block& block : certificate.Blocks()) {
    if (block.m_spec.m_account != m_job.m_account) continue;
    for (const Share& share : block.m_shares) m_racks[cluster.At(share.m_worker).m_rack] = true;
  }
}

bool ReclaimableRoom::RackMayFit(RackIndex rack) const {
  return m_request.m_kind != PlanKind::kCall || m_racks[rack];
}

double ReclaimableRoom::RackCost(RackIndex) const {
  return 0.0;
}

bool ReclaimableRoom::MayStop(JobIndex index, WorkerIndex worker) const {
  const JobEntry& victim = m_cluster.Job(index);
  if (victim.m_pinned || (victim.m_phase != Phase::kStarting && victim.m_phase != Phase::kRunning)) return false;
  const ClassOfWork& work = m_cluster.Class(victim.m_class).m_work;
  const bool own = victim.m_account == m_job.m_account;
  if (!own && TakenOn(victim, worker).m_accelerators > 0) {
    const bool borrows =
        m_cluster.At(worker).AcceleratorsUsedBy(victim.m_account) > m_certificate.Certified(worker, victim.m_account);
    if (!borrows) return false;
  }
  switch (m_request.m_kind) {
    case PlanKind::kCall:
      return !own || work.m_urgency > m_urgency;
    case PlanKind::kPreempt: {
      const AccountEntry& victim_account = m_cluster.Account(victim.m_account);
      const bool same_market = victim_account.m_market == m_cluster.Account(m_job.m_account).m_market;
      return same_market && work.m_urgency >= m_urgency + kUrgencyGap && CheapToPreempt(victim);
    }
    case PlanKind::kRepack:
      return work.m_checkpointable && work.m_urgency >= m_urgency && victim.m_phase == Phase::kRunning &&
             m_request.m_now - victim.m_last_moved >= kMoveCooldown;
    case PlanKind::kHeadReservation:
      return false;
  }
  return false;
}

bool ReclaimableRoom::CheapToPreempt(const JobEntry& victim) const {
  const Millis ran = m_request.m_now - victim.m_started;
  if (!m_cluster.Class(victim.m_class).m_work.m_checkpointable) return ran < kNegligibleRun;
  return victim.m_phase == Phase::kRunning && ran >= kMinRunBeforePreemption;
}

Resources ReclaimableRoom::RoomWithoutStops(const WorkerEntry& worker) const {
  switch (m_request.m_kind) {
    case PlanKind::kCall:  // A call overrides the reservations of other plans.
      return worker.Unallocated() + worker.m_stopping - worker.m_reserved_for_calls;
    case PlanKind::kHeadReservation:
      return worker.m_worker.m_capacity - worker.m_reserved;
    default:
      return worker.Available() + worker.m_stopping;
  }
}

int ReclaimableRoom::Tasks(WorkerIndex index, int limit) const {
  const WorkerEntry& worker = m_cluster.At(index);
  const int accelerators = m_request.m_task.m_accelerators;
  if (!worker.Usable()) return 0;
  if (worker.m_trial && m_request.m_kind != PlanKind::kCall) return 0;
  int own = 0;
  Resources room = RoomWithoutStops(worker);
  for (const JobIndex victim : worker.m_jobs) {
    if (!MayStop(victim, index)) continue;
    const Resources taken = TakenOn(m_cluster.Job(victim), index);
    room += taken;
    if (m_cluster.Job(victim).m_account == m_job.m_account) own += taken.m_accelerators;
  }
  int tasks = TasksThatFit(room, m_request.m_task, limit);
  if (accelerators == 0) return tasks;
  if (m_request.m_kind == PlanKind::kCall) {
    const int idle = m_certificate.Certified(index, m_job.m_account) - worker.AcceleratorsUsedBy(m_job.m_account) + own;
    tasks = std::min(tasks, std::max(0, idle) / accelerators);
  }
  if (m_request.m_kind != PlanKind::kCall) {
    const int forbidden = m_request.m_borrowing.Excluded(m_cluster, m_certificate, index);
    tasks = std::min(tasks, std::max(0, room.m_accelerators - forbidden) / accelerators);
  }
  if (m_job.m_pinned) tasks = std::min(tasks, m_certificate.RoomForPin(index, m_job.m_account) / accelerators);
  return tasks;
}

double ReclaimableRoom::StopCost(JobIndex index) const {
  const JobEntry& victim = m_cluster.Job(index);
  const AccountEntry& account = m_cluster.Account(victim.m_account);
  const ClassOfWork& work = m_cluster.Class(victim.m_class).m_work;
  const int accelerators = std::max(1, victim.Accelerators());
  double lost_s = 0.0;
  if (victim.m_phase == Phase::kRunning) {
    const double ran_s = static_cast<double>((m_request.m_now - victim.m_started).count()) / 1000.0;
    lost_s = work.m_checkpointable ? std::min(ran_s, kCheckpointSeconds) : ran_s;
  }
  const double cost = kStopBaseCost + accelerators * (lost_s + kStopSeconds);
  return account.m_held <= account.m_guaranteed ? cost * kWithinGuaranteeFactor : cost;
}

// Accelerator-seconds until running jobs that end have freed this much.
double ReclaimableRoom::WaitCost(WorkerIndex index, const Resources& need) const {
  const WorkerEntry& worker = m_cluster.At(index);
  std::vector<std::pair<Millis, JobIndex>> ends;
  for (const JobIndex job : worker.m_jobs) {
    ends.emplace_back(m_estimator.ExpectedRemaining(m_cluster.Job(job), m_request.m_now), job);
  }
  std::sort(ends.begin(), ends.end());
  Resources left = need - worker.Available();
  double cost = 0.0;
  for (const auto& [remaining, job] : ends) {
    if (IsMet(left)) break;
    const Resources freed = TakenOn(m_cluster.Job(job), index);
    cost += static_cast<double>(remaining.count()) / 1000.0 * std::max(1, freed.m_accelerators);
    left -= freed;
  }
  return cost;
}

double ReclaimableRoom::Cost(WorkerIndex worker, int tasks) const {
  const Resources need = m_request.m_task * tasks;
  if (m_request.m_kind == PlanKind::kHeadReservation) return WaitCost(worker, need);
  Victims victims;
  AddVictims(worker, need, &victims);
  return victims.m_cost;
}

// Adds borrowers until the worker has this room, cheapest per accelerator first; then removes those that turned out
// not to be needed.
void ReclaimableRoom::AddVictims(WorkerIndex index, Resources need, Victims* victims) const {
  const WorkerEntry& worker = m_cluster.At(index);
  need -= RoomWithoutStops(worker);
  for (const JobIndex chosen : victims->m_jobs) need -= TakenOn(m_cluster.Job(chosen), index);
  std::vector<JobIndex> open;
  for (const JobIndex job : worker.m_jobs) {
    const bool chosen = std::find(victims->m_jobs.begin(), victims->m_jobs.end(), job) != victims->m_jobs.end();
    if (!chosen && MayStop(job, index)) open.push_back(job);
  }
  std::vector<JobIndex> added;
  while (!IsMet(need)) {
    auto best = open.end();
    double best_cost = std::numeric_limits<double>::max();
    for (auto at = open.begin(); at != open.end(); ++at) {
      const double useful = UsefulAmount(TakenOn(m_cluster.Job(*at), index), need);
      if (useful <= 0.0) continue;
      const double cost = StopCost(*at) / useful;
      if (cost < best_cost) {
        best = at;
        best_cost = cost;
      }
    }
    if (best == open.end()) {
      victims->m_sufficient = false;
      return;
    }
    need -= TakenOn(m_cluster.Job(*best), index);
    added.push_back(*best);
    open.erase(best);
  }
  for (auto at = added.begin(); at != added.end();) {
    const Resources without = need + TakenOn(m_cluster.Job(*at), index);
    const bool unneeded = IsMet(without);
    if (unneeded) need = without;
    at = unneeded ? added.erase(at) : at + 1;
  }
  for (const JobIndex job : added) {
    victims->m_jobs.push_back(job);
    victims->m_cost += StopCost(job);
  }
}

Victims ReclaimableRoom::ChooseVictims(const GangPlacement& place) const {
  Victims victims;
  victims.m_sufficient = true;
  if (m_request.m_kind == PlanKind::kHeadReservation) return victims;
  for (const WorkerTasks& part : place) AddVictims(part.m_worker, m_request.m_task * part.m_tasks, &victims);
  return victims;
}

}  // namespace hickoryquay::policy
