#include "hickoryquay/jobs/evacuation.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace hickoryquay::jobs {

std::optional<EvacuationChange> EvacuationSet::Merge(const EvacuationNews& news) {
  const bool first = news.m_whole && !m_known;
  if (news.m_version <= m_version && !first) return std::nullopt;
  std::set<DomainId> domains;
  if (!news.m_whole) domains = m_domains;
  for (const auto& [domain, evacuated] : news.m_domains) {
    if (evacuated) {
      domains.insert(domain);
    } else {
      domains.erase(domain);
    }
  }
  EvacuationChange change;
  std::set_difference(domains.begin(), domains.end(), m_domains.begin(), m_domains.end(),
                      std::inserter(change.m_added, change.m_added.end()));
  std::set_difference(m_domains.begin(), m_domains.end(), domains.begin(), domains.end(),
                      std::inserter(change.m_lifted, change.m_lifted.end()));
  m_domains = std::move(domains);
  m_version = std::max(m_version, news.m_version);
  m_known = m_known || news.m_whole;
  return change;
}

std::map<WorkerId, Millis> PlanReturn(std::vector<ReturningWorker> workers, const ReturnSettings& settings) {
  std::stable_sort(workers.begin(), workers.end(),
                   [](const ReturningWorker& a, const ReturningWorker& b) { return !a.m_cold && b.m_cold; });
  std::map<WorkerId, Millis> delays;
  const std::size_t steps = static_cast<std::size_t>(std::max(1, settings.m_steps));
  for (std::size_t i = 0; i < workers.size(); ++i) {
    const std::size_t step = i * steps / workers.size();
    delays[workers[i].m_id] = static_cast<std::int64_t>(step) * settings.m_step;
  }
  return delays;
}

}  // namespace hickoryquay::jobs
