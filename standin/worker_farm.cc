#include "standin/worker_farm.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

namespace hickoryquay::standin {

namespace json = boost::json;

namespace {

constexpr Millis kTickEvery{20};
constexpr char kSync[] = "/sync";

net::ServerSettings FarmSettings() {
  net::ServerSettings settings;
  settings.m_max_connections = 4096;
  return settings;
}

}  // namespace

WorkerFarm::WorkerFarm(boost::asio::io_context* io, TimerService* timers, const Clock* clock, RunLog* log)
    : m_clock(clock),
      m_log(log),
      m_server(io, FarmSettings(), [this](net::HttpRequest request, const net::Responder& respond) {
        Handle(std::move(request), respond);
      }) {
  m_tick = timers->Every(kTickEvery, [this] { Tick(); });
}

void WorkerFarm::Add(const Worker& worker) {
  const std::scoped_lock lock(m_mutex);
  m_slots[PathOf(worker.m_id) + kSync].m_model = std::make_unique<WorkerModel>(worker, m_log);
}

bool WorkerFarm::SetMode(const std::string& worker, Mode mode) {
  const std::scoped_lock lock(m_mutex);
  const auto found = m_slots.find(PathOf(WorkerId(worker)) + kSync);
  if (found == m_slots.end()) return false;
  Slot& slot = found->second;
  slot.m_mode = mode;
  slot.m_model->SetFailsEverything(mode == Mode::kFailsAll);
  if (mode == Mode::kDead) slot.m_model->Restart(m_clock->Wall());
  const std::vector<Waiting> waiting = std::exchange(slot.m_waiting, {});
  if (mode == Mode::kHealthy) {
    for (const Waiting& call : waiting) Run(&slot, call.m_request, call.m_respond);
  }
  return true;
}

void WorkerFarm::Handle(net::HttpRequest request, const net::Responder& respond) {
  const std::scoped_lock lock(m_mutex);
  const auto found = m_slots.find(net::ParseTarget(request.m_target).m_path);
  if (found == m_slots.end()) return respond(net::JsonError(404, "unknown_worker", "no such worker"));
  Slot& slot = found->second;
  if (slot.m_mode == Mode::kDead) return;  // Dropping the responder closes the connection.
  if (slot.m_mode == Mode::kPaused) {
    slot.m_waiting.push_back({std::move(request), respond});
    return;
  }
  Run(&slot, request, respond);
}

void WorkerFarm::Run(Slot* slot, const net::HttpRequest& request, const net::Responder& respond) {
  boost::system::error_code error;
  const json::value body = json::parse(request.m_body, error);
  if (error || !body.is_object()) return respond(net::JsonError(400, "malformed", "expected a JSON object"));
  SyncAnswer answer = slot->m_model->Sync(body.get_object(), m_clock->Wall());
  if (slot->m_mode == Mode::kBlackHole) return;
  respond(net::JsonResponse(answer.m_status, json::serialize(answer.m_body)));
}

void WorkerFarm::Tick() {
  const std::scoped_lock lock(m_mutex);
  for (auto& [path, slot] : m_slots) {
    if (slot.m_mode != Mode::kPaused && slot.m_mode != Mode::kDead) slot.m_model->Tick(m_clock->Wall());
  }
}

}  // namespace hickoryquay::standin
