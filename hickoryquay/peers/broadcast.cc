#include "hickoryquay/peers/broadcast.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace hickoryquay::peers {

std::vector<BroadcastGroup> PlanBroadcast(const std::vector<Peer>& peers,
                                          const std::function<bool(const Peer&)>& may_head,
                                          const BroadcastSettings& settings, std::mt19937_64* random) {
  std::vector<BroadcastGroup> groups;
  if (peers.size() <= settings.m_max_direct) {
    for (const Peer& peer : peers) groups.push_back({peer.m_inner, {}});
    return groups;
  }
  struct Domain {
    std::vector<net::Endpoint> m_heads;   // Those that may be heads.
    std::vector<net::Endpoint> m_others;  // Those that may not.
  };
  std::map<DomainId, Domain> domains;
  for (const Peer& peer : peers) {
    Domain& domain = domains[peer.m_domain];
    (may_head(peer) ? domain.m_heads : domain.m_others).push_back(peer.m_inner);
  }
  const auto group_size = static_cast<std::size_t>(std::ceil(std::sqrt(static_cast<double>(peers.size()))));
  for (auto& [id, domain] : domains) {
    std::shuffle(domain.m_heads.begin(), domain.m_heads.end(), *random);
    const std::size_t members = domain.m_heads.size() + domain.m_others.size();
    const std::size_t count = std::min(domain.m_heads.size(), (members + group_size - 1) / group_size);
    if (count == 0) {
      for (const net::Endpoint& peer : domain.m_others) groups.push_back({peer, {}});
      continue;
    }
    const std::size_t first = groups.size();
    for (std::size_t i = 0; i < count; ++i) groups.push_back({domain.m_heads[i], {}});
    std::vector<net::Endpoint> rest(domain.m_heads.begin() + static_cast<std::ptrdiff_t>(count), domain.m_heads.end());
    rest.insert(rest.end(), domain.m_others.begin(), domain.m_others.end());
    for (std::size_t i = 0; i < rest.size(); ++i) groups[first + i % count].m_others.push_back(rest[i]);
  }
  return groups;
}

}  // namespace hickoryquay::peers
