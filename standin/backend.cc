#include "standin/backend.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace hickoryquay::standin {

namespace {

constexpr Millis kLateBy{1500};
constexpr Millis kHangFor{30'000};
constexpr int kMaxWorkMs = 60'000;
constexpr char kRequestId[] = "HQ-Request-Id";

std::string HeaderOr(const net::HttpRequest& request, const char* name, const std::string& fallback) {
  const std::string* value = net::FindHeader(request.m_headers, name);
  return value == nullptr ? fallback : *value;
}

Millis WorkOf(const net::HttpRequest& request) {
  const std::string text = net::QueryValue(net::ParseTarget(request.m_target), "work_ms");
  return Millis{std::clamp(std::atoi(text.c_str()), 0, kMaxWorkMs)};
}

net::ServerSettings SettingsFor(int connections) {
  net::ServerSettings settings;
  settings.m_max_connections = connections;
  return settings;
}

}  // namespace

Backend::Backend(boost::asio::io_context* io, TimerService* timers, const Clock* clock, RunLog* log, std::string id,
                 int slots, int connections)
    : m_timers(timers),
      m_clock(clock),
      m_log(log),
      m_id(std::move(id)),
      m_slots(slots),
      m_server(io, SettingsFor(connections),
               [this](const net::HttpRequest& request, const net::Responder& respond) { Handle(request, respond); }) {}

void Backend::Handle(const net::HttpRequest& request, const net::Responder& respond) {
  if (m_mode == Mode::kRefuse) return respond(NotRun(request));
  if (m_busy.fetch_add(1) >= m_slots) {
    --m_busy;
    m_log->Add(RunRecord{m_clock->Wall(), "over_slots", m_id, HeaderOr(request, kRequestId, ""), 0, 0, ""});
    return respond(NotRun(request));
  }
  const std::string once = HeaderOr(request, "HQ-Once", "");
  m_log->Add(RunRecord{m_clock->Wall(), "request", m_id,
                       HeaderOr(request, "Idempotency-Key", HeaderOr(request, kRequestId, "")), 0, 0,
                       once.empty() ? "" : "once"});
  Millis work = WorkOf(request);
  if (m_mode == Mode::kLate) work += kLateBy;
  if (m_mode == Mode::kHang) work = kHangFor;
  m_timers->After(work, [this, request, respond] { Finish(request, respond); }).Detach();
}

void Backend::Finish(const net::HttpRequest& request, const net::Responder& respond) {
  --m_busy;
  if (m_mode == Mode::kCut || m_mode == Mode::kHang) return;  // Dropping the responder closes the connection.
  respond(Answer(request));
}

net::HttpResponse Backend::Answer(const net::HttpRequest& request) const {
  const std::string id = HeaderOr(request, kRequestId, "");
  net::HttpResponse response;
  response.m_headers = {{kRequestId, m_mode == Mode::kCrossed ? id + "-another" : id}, {"HQ-Backend", m_id}};
  if (m_mode == Mode::kLeaving) response.m_headers.push_back({"HQ-Leaving", "1"});
  response.m_body = request.m_body;
  return response;
}

net::HttpResponse Backend::NotRun(const net::HttpRequest& request) const {
  net::HttpResponse response = net::JsonError(503, "busy", "no slot is free");
  response.m_headers.push_back({kRequestId, HeaderOr(request, kRequestId, "")});
  response.m_headers.push_back({"HQ-Not-Run", "1"});
  return response;
}

}  // namespace hickoryquay::standin
