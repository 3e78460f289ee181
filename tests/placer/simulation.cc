#include "tests/placer/simulation.h"

#include <algorithm>

#include "tests/fakes/simple_scheduler.h"

namespace hickoryquay::test {

namespace {

const DomainId kDomain("leicester");
constexpr int kAcceleratorsEach = 8;
constexpr int kMaxDelayMs = static_cast<int>(kLongestDelay.count());
constexpr Millis kStep{50};

}  // namespace

Simulation::Simulation(int workers, unsigned seed) : m_random(seed) {
  m_settings.m_domain = kDomain;
  m_settings.m_keep_ended = m_settings.m_keep_keyed;  // Violations reads the rows of ended jobs.
  auto instances = std::make_shared<store::Instances>();
  for (int i = 0; i < workers; ++i) {
    store::ListedInstance instance;
    instance.m_id = "w-" + std::to_string(i);
    instance.m_kind = store::InstanceKind::kWorker;
    instance.m_domain = kDomain;
    instance.m_address = net::Endpoint{"127.0.0.1", static_cast<std::uint16_t>(i + 1)};
    instance.m_worker = Worker{WorkerId(instance.m_id), kDomain, RackId("r"), 0, Resources{kAcceleratorsEach, 0, 0}};
    instances->push_back(instance);
    m_workers.emplace(instance.m_worker.m_id, FakeWorker(instance.m_worker.m_id, kAcceleratorsEach, &m_log));
  }
  m_instances = instances;
  auto market = std::make_shared<Market>();
  market->m_id = MarketId("trentmere");
  market->m_domains = {kDomain};
  market->m_accounts[AccountId("halls")].m_id = AccountId("halls");
  market->m_classes[ClassId("rota")].m_id = ClassId("rota");
  auto configuration = std::make_shared<Configuration>();
  configuration->m_markets[market->m_id] = market;
  m_configuration = configuration;
}

Simulation::ProcessPtr Simulation::StartProcess() {
  auto process = std::make_shared<Process>();
  process->m_id = InstanceId("entry-" + std::to_string(++m_next_process));
  store::SerialExecutor executor = [weak = std::weak_ptr(process)](std::function<void()> task) {
    const auto alive = weak.lock();
    if (alive && alive->m_alive) alive->m_tasks.push_back(std::move(task));
  };
  const placer::LeaseParts lease_parts{&m_table, executor, &m_timers, &m_clock, &process->m_metrics};
  process->m_lease = std::make_shared<placer::PlacerLease>(
      lease_parts, placer::LeaseSettings{}, placer::LeaseIdentity{kDomain, process->m_id, "127.0.0.1:1"});
  placer::PlacerParts parts;
  parts.m_table = &m_table;
  parts.m_executor = executor;
  parts.m_send = SendOf(process);
  parts.m_timers = &m_timers;
  parts.m_clock = &m_clock;
  parts.m_metrics = &process->m_metrics;
  parts.m_lease = process->m_lease;
  parts.m_make_scheduler = [] { return std::make_unique<SimpleScheduler>(); };
  parts.m_configuration = [this] { return m_configuration; };
  parts.m_instances = [this] { return m_instances; };
  placer::PlacerSettings settings = m_settings;
  settings.m_self = process->m_id;
  process->m_placer = std::make_shared<placer::Placer>(parts, settings);
  placer::IntakeParts intake{&m_table, &m_clock, &process->m_metrics, parts.m_configuration, [this](JobId job) {
                               for (const ProcessPtr& each : m_processes) each->m_placer->Notify(job);
                             }};
  process->m_intake = std::make_shared<placer::JobIntake>(intake, kDomain);
  const std::weak_ptr<placer::Placer> placer = process->m_placer;
  process->m_lease->Start({[placer](Epoch epoch) {
                             if (const auto alive = placer.lock()) alive->Start(epoch);
                           },
                           [placer](Epoch, const std::string&) {
                             if (const auto alive = placer.lock()) alive->Stop();
                           }});
  m_processes.push_back(process);
  return process;
}

void Simulation::Crash(const ProcessPtr& process) {
  process->m_alive = false;
  process->m_tasks.clear();
  process->m_lease->Stop();
  m_crashed.push_back(process);  // Callbacks of answers in flight still refer to it.
  std::erase(m_processes, process);
}

bool Simulation::Chance(int percent) {
  return static_cast<int>(m_random() % 100) < percent;
}

store::HttpSend Simulation::SendOf(const ProcessPtr& process) {
  return [this, weak = std::weak_ptr(process)](const net::Endpoint& to, const net::HttpRequest& request, Millis timeout,
                                               net::ResponseCallback callback) {
    auto answered = std::make_shared<bool>(false);
    auto once = [answered, callback, weak](Result<net::HttpResponse, net::NetError> result) {
      if (std::exchange(*answered, true)) return;
      const auto alive = weak.lock();
      if (alive && alive->m_alive) callback(std::move(result));
    };
    m_timers.After(timeout, [once] { once(net::NetError{net::TimedOut{true}}); }).Detach();
    SendMessage(to, request.m_body, once);
  };
}

void Simulation::SendMessage(const net::Endpoint& to, const std::string& body, net::ResponseCallback callback) {
  const WorkerId worker("w-" + std::to_string(to.m_port - 1));
  if (Chance(m_faults.m_lose_request)) return;
  const bool lose_answer = Chance(m_faults.m_lose_answer);
  const Millis delay{Chance(m_faults.m_delay) ? static_cast<int>(m_random() % kMaxDelayMs) : 0};
  m_messages.push_back({m_clock.Now() + delay,
                        [this, worker, body, callback, lose_answer] { Deliver(worker, body, callback, lose_answer); }});
  if (!Chance(m_faults.m_duplicate)) return;
  const Millis later{static_cast<int>(m_random() % kMaxDelayMs)};
  m_messages.push_back({m_clock.Now() + later, [this, worker, body] { Deliver(worker, body, nullptr, true); }});
}

void Simulation::Deliver(const WorkerId& worker, const std::string& body, const net::ResponseCallback& callback,
                         bool lose) {
  if (m_unreachable.contains(worker)) return;
  net::HttpResponse response;
  response.m_body = m_workers.at(worker).Sync(body, m_clock.Now(), &response.m_status);
  if (!lose) callback(response);
}

bool Simulation::RunTasks() {
  for (const ProcessPtr& process : m_processes) {
    if (process->m_paused || process->m_tasks.empty()) continue;
    const auto task = std::move(process->m_tasks.front());
    process->m_tasks.pop_front();
    task();
    return true;
  }
  return false;
}

bool Simulation::DeliverDue() {
  const auto due = std::find_if(m_messages.begin(), m_messages.end(),
                                [&](const Message& message) { return message.m_at <= m_clock.Now(); });
  if (due == m_messages.end()) return false;
  const auto deliver = std::move(due->m_deliver);
  m_messages.erase(due);
  deliver();
  return true;
}

bool Simulation::StepOnce() {
  return RunTasks() || m_table.PumpOne() || DeliverDue();
}

void Simulation::Advance(Millis by) {
  for (Millis done{0}; done < by; done += kStep) {
    m_timers.Advance(std::min(kStep, by - done));
    for (auto& [id, worker] : m_workers) worker.Advance(m_clock.Now());
    while (StepOnce()) {
    }
  }
}

JobSpec Simulation::Spec(int tasks, bool once, const std::string& key) const {
  JobSpec spec;
  spec.m_market = MarketId("trentmere");
  spec.m_account = AccountId("halls");
  spec.m_class = ClassId("rota");
  spec.m_shape.m_tasks = tasks;
  spec.m_shape.m_task.m_accelerators = 4;
  spec.m_once = once;
  spec.m_key = key;
  return spec;
}

void Simulation::Submit(const ProcessPtr& process, const JobSpec& spec) {
  process->m_intake->Submit(spec, [this](const Result<placer::Accepted, placer::IntakeError>& result) {
    if (Ok(result)) m_accepted[ValueOf(result).m_job.m_id] = ValueOf(result).m_job.m_spec;
  });
}

Job Simulation::RowOf(JobId job) {
  const store::Row row = m_table.Engine().Get(placer::JobKey(kDomain, job));
  const auto parsed = placer::ParseJobValue(row.m_value);
  return Ok(parsed) ? ValueOf(parsed) : Job{};
}

Simulation::ProcessPtr Simulation::Holder() const {
  const auto found = std::find_if(m_processes.begin(), m_processes.end(),
                                  [](const ProcessPtr& process) { return process->m_lease->Holding(); });
  return found == m_processes.end() ? nullptr : *found;
}

std::string Simulation::Unfinished() {
  std::string unfinished;
  for (const auto& [id, spec] : m_accepted) {
    const Job row = RowOf(id);
    if (row.m_id != id)
      unfinished += ToString(id) + " is lost; ";
    else if (!Ended(row.m_state))
      unfinished += ToString(id) + " is " + ToString(row.m_state) + "; ";
  }
  return unfinished;
}

std::string Simulation::Violations(Millis lease) {
  struct AttemptLog {
    int m_running = 0;
    int m_finished = 0;
    Instant m_partial_since;
    bool m_partial = false;
  };
  std::string violations;
  std::map<std::pair<JobId, Attempt>, AttemptLog> attempts;
  std::map<JobId, std::set<Attempt>> ran;
  std::set<std::tuple<JobId, Attempt, WorkerId>> started_parts;
  const auto check_partial = [&](const std::pair<JobId, Attempt>& key, AttemptLog* attempt, Instant now) {
    const auto spec = m_accepted.find(key.first);
    const int required_tasks = spec == m_accepted.end() ? 1 : spec->second.m_shape.m_tasks;
    const bool partial = attempt->m_running > 0 && attempt->m_running + attempt->m_finished < required_tasks;
    const bool too_long = attempt->m_partial && now - attempt->m_partial_since > lease + kStep;
    if (too_long) violations += "part of " + ToString(key.first) + " ran alone for longer than a lease; ";
    if (partial && !attempt->m_partial) attempt->m_partial_since = now;
    attempt->m_partial = partial;
  };
  std::vector<RunEvent> log = m_log;
  std::stable_sort(log.begin(), log.end(), [](const RunEvent& a, const RunEvent& b) { return a.m_at < b.m_at; });
  for (const RunEvent& event : log) {
    const std::pair key{event.m_job, event.m_attempt};
    AttemptLog& attempt = attempts[key];
    if (event.m_what == RunEvent::What::kStarted) {
      ran[event.m_job].insert(event.m_attempt);
      const bool restarted = !started_parts.emplace(event.m_job, event.m_attempt, event.m_worker).second;
      const auto spec = m_accepted.find(event.m_job);
      const bool once = spec != m_accepted.end() && spec->second.m_once;
      if (once && (restarted || ran[event.m_job].size() > 1)) violations += ToString(event.m_job) + " ran twice; ";
      attempt.m_running += event.m_tasks;
    } else {
      attempt.m_running -= event.m_tasks;
      if (event.m_what == RunEvent::What::kFinished) attempt.m_finished += event.m_tasks;
    }
    check_partial(key, &attempt, event.m_at);
  }
  for (auto& [key, attempt] : attempts) check_partial(key, &attempt, m_clock.Now());
  for (const auto& [id, spec] : m_accepted) {
    const Job row = RowOf(id);
    const bool reported_not_run = row.m_state == JobState::kRefused && row.m_why.starts_with("not run");
    if (reported_not_run && ran.contains(id)) violations += ToString(id) + " was called not run and ran; ";
    if (row.m_state != JobState::kDone) continue;
    const bool all_finished =
        std::any_of(ran[id].begin(), ran[id].end(), [&, job = id, tasks = spec.m_shape.m_tasks](Attempt a) {
          return attempts[{job, a}].m_finished >= tasks;
        });
    if (!all_finished) violations += ToString(id) + " was called done and did not finish; ";
  }
  return violations;
}

}  // namespace hickoryquay::test
