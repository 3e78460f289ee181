// Membership: which entry instances are alive, from the platform's instance list and from heartbeats. Pure: no I/O.
//
// The list lags by seconds and may be unavailable; heartbeats alone miss instances that no peer has named. An
// instance is alive while its heartbeats arrive, listed or not. A listed instance that has never sent one stays
// unconfirmed while it is listed.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "hickoryquay/base/clock.h"
#include "hickoryquay/base/ids.h"
#include "hickoryquay/net/http.h"

namespace hickoryquay::peers {

struct MembershipSettings {
  Millis m_suspect_after{3'000};  // Time without a heartbeat.
  Millis m_dead_after{10'000};    // Time without a heartbeat; unlisted peers are then removed.
  Millis m_usual_step{1'000};     // From one Tick to the next. More means that this process was paused.
  int m_most_unlisted = 1'000;    // Peers that only heartbeats have told of; anybody who can connect may send them.
};

enum class PeerState {
  kUnconfirmed,  // Listed or named by a peer; no heartbeat yet.
  kAlive,
  kLeaving,  // Takes no more work, by its own heartbeat or by the list.
  kSuspect,  // No heartbeat for m_suspect_after.
};
const char* ToString(PeerState state);

struct Peer {
  InstanceId m_id;
  DomainId m_domain;
  net::Endpoint m_inner;
  PeerState m_state = PeerState::kUnconfirmed;
  Instant m_last_heard;  // Last heartbeat or, for a hint, when it came; 0: never.
  std::int64_t m_sequence = 0;
  bool m_listed = false;
  bool m_leaving = false;  // For good: it stays so while it is suspect.
  double m_fitness = 0.0;  // To lead, by the list: higher is better. 0: unknown.
};

// An instance as described by the list, its own heartbeat or another peer.
struct PeerInfo {
  InstanceId m_id;
  DomainId m_domain;
  net::Endpoint m_inner;
  bool m_leaving = false;
  double m_fitness = 0.0;  // See Peer.
};

// Not thread-safe.
class Membership {
 public:
  Membership(InstanceId self, DomainId domain, const MembershipSettings& settings)
      : m_self(std::move(self)), m_domain(std::move(domain)), m_settings(settings) {}

  // Applies the complete list. A peer that is no longer listed stays while its heartbeats arrive, a hint until its
  // timeout.
  void ApplyList(const std::vector<PeerInfo>& listed);

  // Adds an instance named by another peer, unconfirmed until its first heartbeat.
  void AddHint(const PeerInfo& hint, Instant now);

  // Applies a heartbeat. One whose sequence is not above the last seen is stale and ignored.
  void OnHeartbeat(const PeerInfo& from, std::int64_t sequence, Instant now);

  // Marks peers suspect and removes dead ones, by the time since their last heartbeat. A pause of this process doesn't
  // count: heartbeats that arrived meanwhile are not read yet.
  void Tick(Instant now);

  // Number of entry instances that take work in a failure domain, including this one if `domain` is its own.
  int LiveCount(const DomainId& domain) const;

  const std::map<InstanceId, Peer>& Peers() const { return m_peers; }
  const InstanceId& Self() const { return m_self; }
  const DomainId& OwnDomain() const { return m_domain; }

 private:
  bool MayAdd(const PeerInfo& unlisted) const;
  void ForgivePause(Millis pause, Instant now);

  InstanceId m_self;
  DomainId m_domain;
  MembershipSettings m_settings;
  std::map<InstanceId, Peer> m_peers;
  Instant m_last_tick;  // 0: none yet.
};

}  // namespace hickoryquay::peers
