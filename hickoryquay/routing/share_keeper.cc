#include "hickoryquay/routing/share_keeper.h"

#include <algorithm>
#include <utility>

#include "hickoryquay/routing/shares.h"

namespace hickoryquay::routing {

namespace {

constexpr int kNewcomers = 2;  // Entry instances at work that a list may not name yet.

}  // namespace

void ShareKeeper::OnList(std::vector<InstanceId> instances, Instant now) {
  std::sort(instances.begin(), instances.end());
  if (m_lists.empty() || m_lists.back().m_instances != instances) {
    m_lists.push_back({std::move(instances), now});
  }
  m_lists.back().m_last_seen = now;
  while (m_lists.size() > 1 && now - m_lists.front().m_last_seen > m_list_lag) m_lists.pop_front();
}

ServerShare ShareKeeper::ShareOf(const BackendServer& server, Instant now) const {
  ServerShare share{{server.m_slots, server.m_slots}, server.m_connections};
  for (const List& list : m_lists) {
    const bool in_force = &list == &m_lists.back();
    if (!in_force && now - list.m_last_seen > m_list_lag) continue;
    const int slots = ExactShare(server.m_slots, list.m_instances, m_self, server.m_id.m_value);
    const int listed = static_cast<int>(list.m_instances.size());
    int connections = EvenShare(server.m_connections, listed, kNewcomers);
    // Too few for a reserve: newcomers go without until they are listed.
    if (connections == 0) connections = ExactShare(server.m_connections, list.m_instances, m_self, server.m_id.m_value);
    share.m_limit.m_share = std::min(share.m_limit.m_share, slots);
    share.m_connections = std::min(share.m_connections, connections);
  }
  if (!m_beyond_share) share.m_limit.m_most = share.m_limit.m_share;
  share.m_limit.m_most = std::min(share.m_limit.m_most, share.m_connections);
  return share;
}

}  // namespace hickoryquay::routing
