#include "hickoryquay/net/refusals.h"

#include <utility>

#include "hickoryquay/base/log.h"

namespace hickoryquay::net {

namespace {

constexpr log::Part kLog{"http"};
constexpr Millis kBetweenLines{1'000};
constexpr std::array<const char*, kRefusals> kNames{
    "malformed", "header_too_large", "body_too_large", "head", "no_room", "gave_way", "connection", "idle_connection"};

const char* NameOf(Refusal why) {
  return kNames.at(static_cast<std::size_t>(why));
}

}  // namespace

RefusalLog::RefusalLog(std::string server, Metrics* metrics) : m_server(std::move(server)) {
  if (metrics == nullptr) return;
  for (std::size_t i = 0; i < kRefusals; ++i) {
    const Labels labels{{"server", m_server}, {"why", kNames.at(i)}};
    m_counters.at(i) = &metrics->GetCounter("hq_http_refused_total", labels);
  }
}

void RefusalLog::Note(Refusal why) {
  if (Counter* counter = m_counters.at(static_cast<std::size_t>(why))) counter->Add();
  const Instant now = m_clock.Now();
  std::uint64_t refused = 0;
  {
    const std::lock_guard lock(m_mutex);
    ++m_unwritten;
    if (m_written != Instant{} && now - m_written < kBetweenLines) return;
    m_written = now;
    refused = std::exchange(m_unwritten, 0);
  }
  log::Warn(kLog, "Clients are turned away",
            {{"server", m_server}, {"last_cause", NameOf(why)}, {"since_last_line", std::to_string(refused)}});
}

}  // namespace hickoryquay::net
