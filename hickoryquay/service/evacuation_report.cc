#include "hickoryquay/service/evacuation_report.h"

#include <string>

#include "hickoryquay/base/log.h"

namespace hickoryquay::service {

namespace {

constexpr log::Part kLog{"evacuation"};
constexpr const char* kDomains = "hq_evacuated_domains";

}  // namespace

EvacuationReport::~EvacuationReport() {
  if (m_reported.empty()) return;
  for (const auto& [domain, reported] : m_reported) RunsOf(domain).Set(0.0);
  m_metrics->GetGauge(kDomains).Set(0.0);
}

void EvacuationReport::Update(const std::map<DomainId, jobs::EvacuatedDomain>& domains) {
  if (domains.empty() && m_reported.empty()) return;
  for (const auto& [domain, state] : domains) {
    const auto [entry, added] = m_reported.try_emplace(domain);
    Reported& reported = entry->second;
    const log::Fields fields{{"domain", domain.m_value},
                             {"workers", std::to_string(state.m_workers)},
                             {"runs", std::to_string(state.m_runs)},
                             {"unanswered", std::to_string(state.m_unanswered)}};
    if (added) log::Info(kLog, "Evacuation requested", fields);
    if (added && state.m_workers == 0) log::Warn(kLog, "No worker is in the evacuated failure domain", fields);
    if (state.m_unanswered == 0 && !std::exchange(reported.m_in_force, true)) {
      log::Info(kLog, "Evacuation in force", fields);
    }
    reported.m_runs = state.m_runs;
    RunsOf(domain).Set(state.m_runs);
  }
  std::erase_if(m_reported, [&](const auto& entry) {
    if (domains.contains(entry.first)) return false;
    log::Info(kLog, "Evacuation lifted",
              {{"domain", entry.first.m_value}, {"runs", std::to_string(entry.second.m_runs)}});
    RunsOf(entry.first).Set(0.0);
    return true;
  });
  m_metrics->GetGauge(kDomains).Set(static_cast<double>(m_reported.size()));
}

Gauge& EvacuationReport::RunsOf(const DomainId& domain) {
  return m_metrics->GetGauge("hq_evacuated_runs", {{"domain", domain.m_value}});
}

}  // namespace hickoryquay::service
