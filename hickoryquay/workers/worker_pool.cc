#include "hickoryquay/workers/worker_pool.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <utility>

#include "hickoryquay/base/log.h"
#include "hickoryquay/model/json.h"

namespace hickoryquay::workers {

namespace {

namespace json = boost::json;

constexpr log::Part kLog{"workers"};

}  // namespace

WorkerPool::WorkerPool(PoolParts parts, const PoolSettings& settings, Epoch epoch, InstanceId placer,
                       std::weak_ptr<PoolListener> listener)
    : m_parts(std::move(parts)),
      m_settings(settings),
      m_epoch(epoch),
      m_placer(std::move(placer)),
      m_listener(std::move(listener)),
      m_syncs(m_parts.m_metrics->GetCounter("hq_worker_syncs_total")),
      m_unanswered_syncs(m_parts.m_metrics->GetCounter("hq_worker_syncs_unanswered_total")),
      m_bytes_out(m_parts.m_metrics->GetCounter("hq_worker_body_bytes_total", {{"direction", "out"}})),
      m_bytes_in(m_parts.m_metrics->GetCounter("hq_worker_body_bytes_total", {{"direction", "in"}})) {}

void WorkerPool::Start() {
  m_timer = m_parts.m_timers->Every(m_settings.m_tick_every, [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self) self->m_parts.m_executor([self] { self->Tick(); });
  });
}

void WorkerPool::Stop() {
  m_stopped = true;
  m_timer.Cancel();
}

void WorkerPool::SetWorkers(const store::Instances& instances) {
  const auto listener = m_listener.lock();
  if (m_stopped || !listener) return;
  const Instant now = m_parts.m_clock->Now();
  std::set<WorkerId> listed;
  for (const store::ListedInstance& instance : instances) {
    if (instance.m_kind != store::InstanceKind::kWorker) continue;
    const WorkerId& id = instance.m_worker.m_id;
    listed.insert(id);
    const Link new_link{instance.m_worker, instance.m_address, instance.m_path,
                        WorkerSession(m_settings.m_session, now)};
    Link& link = m_links.emplace(id, new_link).first->second;
    link.m_address = instance.m_address;
    link.m_path = instance.m_path;
    const bool starts_leaving = instance.m_leaving && !link.m_leaving;
    link.m_leaving = instance.m_leaving;
    if (starts_leaving) listener->OnLeaving(id);
  }
  for (auto& [id, link] : m_links) link.m_listed = listed.contains(id);
  PostFlush();
}

void WorkerPool::Queue(const WorkerId& worker, const Command& command) {
  const auto found = m_links.find(worker);
  if (found == m_links.end()) return;
  found->second.m_session.Queue(command);
  PostFlush();
}

void WorkerPool::Track(const WorkerId& worker, JobId job, Attempt attempt, Instant granted) {
  const auto found = m_links.find(worker);
  if (found == m_links.end()) return;
  found->second.m_session.Track(job, attempt, granted, m_parts.m_clock->Now());
  m_tracked[{job, attempt}].insert(worker);
}

void WorkerPool::Untrack(const WorkerId& worker, JobId job, Attempt attempt) {
  const auto found = m_links.find(worker);
  if (found != m_links.end()) found->second.m_session.Untrack(job, attempt);
  const auto parts = m_tracked.find({job, attempt});
  if (parts == m_tracked.end()) return;
  parts->second.erase(worker);
  if (parts->second.empty()) m_tracked.erase(parts);
}

bool WorkerPool::MayRenew(JobId job, Attempt attempt, Instant now) const {
  const auto parts = m_tracked.find({job, attempt});
  if (parts == m_tracked.end()) return false;
  if (parts->second.size() == 1) return true;  // The only part left: there are no others, or they finished.
  return std::all_of(parts->second.begin(), parts->second.end(), [&](const WorkerId& worker) {
    const auto link = m_links.find(worker);
    return link != m_links.end() && link->second.m_session.RecentlyConfirmed(job, attempt, now);
  });
}

void WorkerPool::PostFlush() {
  if (m_flush_posted || m_stopped) return;
  m_flush_posted = true;
  m_parts.m_executor([self = shared_from_this()] { self->Flush(); });
}

void WorkerPool::Flush() {
  m_flush_posted = false;
  if (m_stopped) return;
  const Instant now = m_parts.m_clock->Now();
  const auto may_renew = [this, now](JobId job, Attempt attempt) { return MayRenew(job, attempt, now); };
  for (auto& [id, link] : m_links) {
    if (auto commands = link.m_session.NextMessage(now, may_renew)) Send(&link, std::move(*commands));
  }
}

void WorkerPool::Tick() {
  const auto listener = m_listener.lock();
  if (m_stopped || !listener) return;
  const Instant now = m_parts.m_clock->Now();
  std::vector<WorkerId> lost;
  for (auto& [id, link] : m_links) {
    if (!link.m_lost && link.m_session.AllLeasesExpired(now)) lost.push_back(id);
  }
  for (const WorkerId& id : lost) {
    Link& link = m_links.at(id);
    log::Warn(kLog, "Worker is silent for longer than its lease", {{"worker", id.m_value}});
    link.m_lost = true;
    link.m_session.Reset();
    listener->OnLost(id);
  }
  std::erase_if(m_links, [](const auto& entry) { return entry.second.m_lost && !entry.second.m_listed; });
  Flush();
}

void WorkerPool::Send(Link* link, std::vector<Command> commands) {
  const SyncRequest request{m_epoch, m_placer, m_settings.m_session.Lease(), std::move(commands)};
  std::string body = EncodeSync(request);
  m_syncs.Add();
  m_bytes_out.Add(body.size());
  net::HttpRequest http{"POST", link->m_path + "/sync", {{"Content-Type", "application/json"}}, std::move(body)};
  m_parts.m_send(link->m_address, std::move(http), m_settings.m_session.m_answer_timeout,
                 [self = shared_from_this(), id = link->m_worker.m_id](auto result) {
                   self->m_parts.m_executor([self, id, result = std::move(result)] { self->OnAnswer(id, result); });
                 });
}

void WorkerPool::OnAnswer(const WorkerId& worker, const Result<net::HttpResponse, net::NetError>& result) {
  const auto listener = m_listener.lock();
  const auto found = m_links.find(worker);
  if (m_stopped || !listener || found == m_links.end()) return;
  Link& link = found->second;
  const Instant now = m_parts.m_clock->Now();
  if (!Ok(result)) {
    m_unanswered_syncs.Add();
    return link.m_session.OnNoAnswer(now);
  }
  m_bytes_in.Add(ValueOf(result).m_body.size());
  const auto answer = DecodeAnswer(ValueOf(result).m_status, ValueOf(result).m_body);
  if (Ok(answer)) {
    link.m_session.OnAnswer(ValueOf(answer), now);
    link.m_lost = false;
    listener->OnSyncAnswer(link.m_worker, ValueOf(answer));
    return PostFlush();
  }
  link.m_session.OnNoAnswer(now);
  m_unanswered_syncs.Add();
  if (const auto* fenced = std::get_if<Fenced>(&ErrorOf(answer))) listener->OnHigherEpoch(fenced->m_epoch);
}

bool WorkerPool::HasAnswered(const WorkerId& worker) const {
  const auto found = m_links.find(worker);
  return found != m_links.end() && found->second.m_session.HasAnswered();
}

Instant WorkerPool::LastAnswerTime(const WorkerId& worker) const {
  const auto found = m_links.find(worker);
  return found == m_links.end() ? Instant{} : found->second.m_session.LastAnswerTime();
}

bool WorkerPool::AllAnswered() const {
  return std::all_of(m_links.begin(), m_links.end(),
                     [](const auto& entry) { return entry.second.m_session.HasAnswered(); });
}

std::vector<Worker> WorkerPool::Workers() const {
  std::vector<Worker> workers;
  for (const auto& [id, link] : m_links) workers.push_back(link.m_worker);
  return workers;
}

boost::json::value WorkerPool::Dump() const {
  const Instant now = m_parts.m_clock->Now();
  json::array workers;
  for (const auto& [id, link] : m_links) {
    boost::json::object worker = ToJson(link.m_worker).as_object();
    worker["heard"] = link.m_session.HasAnswered();
    worker["silent_ms"] = (now - link.m_session.LastAnswerTime()).count();
    worker["leaving"] = link.m_leaving;
    worker["lost"] = link.m_lost;
    worker["tracked"] = link.m_session.Tracked();
    worker["pending"] = link.m_session.Pending();
    workers.push_back(std::move(worker));
  }
  return json::object{{"epoch", Raw(m_epoch)}, {"workers", std::move(workers)}};
}

}  // namespace hickoryquay::workers
