#include "hickoryquay/placer/placer_term.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include "hickoryquay/base/log.h"

namespace hickoryquay::placer {

namespace {

namespace json = boost::json;

constexpr log::Part kLog{"placer"};

}  // namespace

Placer::Term::Term(PlacerParts parts, PlacerSettings settings, Epoch epoch)
    : m_parts(std::move(parts)),
      m_settings(std::move(settings)),
      m_epoch(epoch),
      m_scheduler(m_parts.m_make_scheduler()),
      m_began_at(m_parts.m_clock->Now()),
      m_began_wall(m_parts.m_clock->Wall()),
      m_configuration(std::make_shared<const Configuration>()),
      m_live_gauge(m_parts.m_metrics->GetGauge("hq_placer_live")),
      m_rebuild_s(m_parts.m_metrics->GetDistribution("hq_placer_rebuild_seconds")),
      m_start_s(m_parts.m_metrics->GetDistribution("hq_gang_start_seconds")),
      m_starts(m_parts.m_metrics->GetCounter("hq_gang_starts_total")),
      m_start_failures(m_parts.m_metrics->GetCounter("hq_gang_start_failures_total")),
      m_finishes(m_parts.m_metrics->GetCounter("hq_gang_finishes_total")) {}

void Placer::Term::Begin() {
  const RowWriterParts writer{m_parts.m_table, m_parts.m_executor, m_parts.m_timers, m_parts.m_clock,
                              m_parts.m_metrics};
  m_writer = std::make_shared<RowWriter>(writer, m_settings.m_writer, weak_from_this());
  const workers::PoolParts pool{m_parts.m_send, m_parts.m_executor, m_parts.m_timers, m_parts.m_clock,
                                m_parts.m_metrics};
  m_pool = std::make_shared<workers::WorkerPool>(pool, m_settings.m_pool, m_epoch, m_settings.m_self, weak_from_this());
  m_pool->Start();
  InstancesChanged();
  ReadRows("");
  RunEvery(m_settings.m_tick_every, &Term::Tick, &m_tick);
}

void Placer::Term::End() {
  m_ended = true;
  m_live_gauge.Set(0.0);
  m_tick.Cancel();
  m_cancels_timer.Cancel();
  m_sweep_timer.Cancel();
  m_pool->Stop();
  m_writer->Stop();
}

void Placer::Term::RunEvery(Millis period, void (Term::*task)(), Subscription* subscription) {
  *subscription = m_parts.m_timers->Every(period, [weak = weak_from_this(), task] {
    const auto self = weak.lock();
    if (!self) return;
    self->m_parts.m_executor([self, task] {
      if (!self->m_ended) ((*self).*task)();
    });
  });
}

void Placer::Term::Tick() {
  if (!m_live) return GoLiveWhenReady();
  CheckMissingWorkers();
  CheckStartTimeouts();
  std::vector<policy::StartGang> held;
  if (m_parts.m_lease->MayStartWork()) held.swap(m_held_starts);
  for (const policy::StartGang& start : held) Execute(start);
  ApplyEvent(policy::Tick{});
}

Instant Placer::Term::DecisionTime() const {
  return m_began_wall + (m_parts.m_clock->Now() - m_began_at);
}

Placer::Term::JobRecord* Placer::Term::FindJob(JobId job) {
  const auto found = m_jobs.find(job);
  return found == m_jobs.end() ? nullptr : &found->second;
}

Placer::Term::AttemptRecord* Placer::Term::FindAttempt(const AttemptKey& key) {
  const auto found = m_attempts.find(key);
  return found == m_attempts.end() ? nullptr : &found->second;
}

//-------------------------------------------------------------------------------------------------
// [SECTION] Workers
//-------------------------------------------------------------------------------------------------

void Placer::Term::InstancesChanged() {
  const auto instances = m_parts.m_instances();
  if (instances) m_pool->SetWorkers(*instances);
}

void Placer::Term::OnSyncAnswer(const Worker& worker, const workers::SyncAnswer& answer) {
  if (m_ended) return;
  if (m_live) return HandleReport(worker, answer);
  m_early_reports[worker.m_id] = {worker, answer};
  GoLiveWhenReady();
}

void Placer::Term::OnLeaving(const WorkerId& worker) {
  if (m_live && m_joined_workers.contains(worker)) ApplyEvent(policy::WorkerLeaving{worker});
}

void Placer::Term::OnLost(const WorkerId& worker) {
  if (m_ended || !m_live) return;
  const std::set<AttemptKey> attempts = m_attempts_by_worker[worker];
  for (const AttemptKey& key : attempts) {
    if (AttemptRecord* attempt = FindAttempt(key)) HandleOutputs(key, attempt->m_gang.OnWorkerLost(worker));
  }
  m_joined_workers.erase(worker);
  ApplyEvent(policy::WorkerLost{worker});
  for (const AttemptKey& key : attempts) {
    AttemptRecord* attempt = FindAttempt(key);
    if (attempt == nullptr || attempt->m_gang.CurrentPhase() != Gang::Phase::kRunning) continue;
    HandleOutputs(key, attempt->m_gang.OnStop(false));
  }
}

void Placer::Term::OnHigherEpoch(Epoch higher) {
  log::Warn(kLog, "Lost the placer role: a worker has seen a higher epoch", {{"epoch", std::to_string(Raw(higher))}});
  m_parts.m_lease->OnHigherEpoch(higher);
}

void Placer::Term::SetQuarantine(const WorkerId& worker, bool on) {
  if (m_live) ApplyEvent(policy::WorkerQuarantineSet{worker, on});
}

//-------------------------------------------------------------------------------------------------
// [SECTION] Configuration and dump
//-------------------------------------------------------------------------------------------------

void Placer::Term::ConfigurationChanged() {
  if (!m_live) return;
  const auto next = m_parts.m_configuration();
  const auto last = std::exchange(m_configuration, next);
  for (const auto& [id, market] : next->m_markets) {
    const Market* known = last->FindMarket(id);
    if (known == nullptr || known->m_version < market->m_version) ApplyEvent(policy::MarketChanged{market});
  }
  for (const auto& [id, market] : last->m_markets) {
    if (next->FindMarket(id) == nullptr) ApplyEvent(policy::MarketDropped{id});
  }
  FetchDeferred();
}

boost::json::value Placer::Term::Dump() const {
  json::array jobs;
  for (const auto& [id, record] : m_jobs) {
    jobs.push_back(json::object{{"id", ToString(id)},
                                {"state", ToString(record.m_job.m_state)},
                                {"attempt", Raw(record.m_job.m_attempt)},
                                {"written", ToString(record.m_durable_state)},
                                {"cancelled", record.m_cancelled}});
  }
  json::array attempts;
  for (const auto& [key, attempt] : m_attempts) {
    attempts.push_back(json::object{
        {"job", ToString(key.first)}, {"attempt", Raw(key.second)}, {"phase", attempt.m_gang.PhaseName()}});
  }
  const policy::SchedulerStats stats = m_scheduler->CollectStats();
  return json::object{{"holds_role", true},
                      {"epoch", Raw(m_epoch)},
                      {"live", m_live},
                      {"rows_read", m_rows_read},
                      {"jobs", std::move(jobs)},
                      {"attempts", std::move(attempts)},
                      {"dirty_rows", m_writer->Dirty()},
                      {"held_starts", m_held_starts.size()},
                      {"measures", json::object{{"accelerators", stats.m_accelerators},
                                                {"free", stats.m_free},
                                                {"waiting_jobs", stats.m_waiting_jobs},
                                                {"running_jobs", stats.m_running_jobs},
                                                {"fragmentation", stats.m_fragmentation},
                                                {"largest_gang_share", stats.m_largest_gang_share},
                                                {"broken_guarantees", stats.m_broken_guarantees},
                                                {"quarantined_workers", stats.m_quarantined_workers}}},
                      {"pool", m_pool->Dump()}};
}

}  // namespace hickoryquay::placer
