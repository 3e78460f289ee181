#include "hickoryquay/peers/membership.h"

#include <algorithm>
#include <set>
#include <utility>

namespace hickoryquay::peers {

const char* ToString(PeerState state) {
  switch (state) {
    case PeerState::kUnconfirmed:
      return "unconfirmed";
    case PeerState::kAlive:
      return "alive";
    case PeerState::kLeaving:
      return "leaving";
    case PeerState::kSuspect:
      return "suspect";
  }
  return "?";
}

void Membership::ApplyList(const std::vector<PeerInfo>& listed) {
  std::set<InstanceId> listed_ids;
  for (const PeerInfo& info : listed) {
    if (info.m_id == m_self) continue;
    listed_ids.insert(info.m_id);
    Peer& peer = m_peers[info.m_id];
    peer.m_id = info.m_id;
    peer.m_domain = info.m_domain;
    peer.m_inner = info.m_inner;
    peer.m_listed = true;
    peer.m_fitness = info.m_fitness;
    peer.m_leaving = peer.m_leaving || info.m_leaving;
    if (peer.m_leaving) peer.m_state = PeerState::kLeaving;
  }
  for (auto& [id, peer] : m_peers) peer.m_listed = listed_ids.contains(id);
  std::erase_if(m_peers, [](const auto& entry) {
    const Peer& peer = entry.second;
    const bool has_timeout = peer.m_last_heard.m_ms > 0;
    return !peer.m_listed && (!has_timeout || peer.m_state == PeerState::kSuspect);
  });
}

bool Membership::MayAdd(const PeerInfo& unlisted) const {
  constexpr std::size_t kLongestName = 200;
  if (unlisted.m_id.m_value.size() > kLongestName || unlisted.m_domain.m_value.size() > kLongestName) return false;
  const auto count =
      std::count_if(m_peers.begin(), m_peers.end(), [](const auto& entry) { return !entry.second.m_listed; });
  return count < m_settings.m_most_unlisted;
}

void Membership::AddHint(const PeerInfo& hint, Instant now) {
  if (hint.m_id == m_self || m_peers.contains(hint.m_id) || !MayAdd(hint)) return;
  Peer peer;
  peer.m_id = hint.m_id;
  peer.m_domain = hint.m_domain;
  peer.m_inner = hint.m_inner;
  peer.m_last_heard = now;  // Starts the timeout: an unconfirmed hint is removed after m_dead_after.
  m_peers.emplace(hint.m_id, std::move(peer));
}

void Membership::OnHeartbeat(const PeerInfo& from, std::int64_t sequence, Instant now) {
  if (from.m_id == m_self || from.m_id.Empty()) return;
  if (!m_peers.contains(from.m_id) && !MayAdd(from)) return;
  Peer& peer = m_peers[from.m_id];
  if (sequence <= peer.m_sequence) return;
  peer.m_id = from.m_id;
  peer.m_domain = from.m_domain;
  if (!peer.m_listed)
    peer.m_inner = from.m_inner;  // The listed address is reachable from here; the peer's own view of it may not be.
  peer.m_sequence = sequence;
  peer.m_last_heard = now;
  peer.m_leaving = peer.m_leaving || from.m_leaving;  // A leaving peer does not become alive again.
  peer.m_state = peer.m_leaving ? PeerState::kLeaving : PeerState::kAlive;
}

void Membership::ForgivePause(Millis pause, Instant now) {
  for (auto& [id, peer] : m_peers) {
    if (peer.m_last_heard.m_ms > 0) peer.m_last_heard = std::min(now, peer.m_last_heard + pause);
  }
}

void Membership::Tick(Instant now) {
  const Instant last = std::exchange(m_last_tick, now);
  const Millis beyond = now - last - m_settings.m_usual_step;
  if (last != Instant{} && beyond > Millis{0}) ForgivePause(beyond, now);
  const auto silent_for = [now](const Peer& peer, Millis span) {
    return peer.m_last_heard.m_ms > 0 && now - peer.m_last_heard >= span;
  };
  std::erase_if(m_peers, [&](const auto& entry) {
    return !entry.second.m_listed && silent_for(entry.second, m_settings.m_dead_after);
  });
  for (auto& [id, peer] : m_peers) {
    if (silent_for(peer, m_settings.m_suspect_after)) peer.m_state = PeerState::kSuspect;
  }
}

int Membership::LiveCount(const DomainId& domain) const {
  int count = domain == m_domain ? 1 : 0;
  for (const auto& [id, peer] : m_peers) {
    const bool takes_work = peer.m_state == PeerState::kAlive || peer.m_state == PeerState::kUnconfirmed;
    if (takes_work && peer.m_domain == domain) ++count;
  }
  return count;
}

}  // namespace hickoryquay::peers
