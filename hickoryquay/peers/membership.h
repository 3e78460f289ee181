// Membership: which entry instances are alive, from the platform's lagging list and from heartbeats. Pure.
//
// The list alone lags by seconds and may be away; heartbeats alone miss instances nobody has told of. An instance
// counts as alive while it is heard, listed or not; a listed one that was never heard is unconfirmed until the grace is
// over.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "hickoryquay/base/clock.h"
#include "hickoryquay/base/ids.h"
#include "hickoryquay/net/http.h"

namespace hickoryquay::peers {

struct MembershipSettings {
  Millis m_suspect_after{3'000};  // Without a heartbeat.
  Millis m_dead_after{10'000};    // Without a heartbeat; then it is dropped unless the list still names it.
};

enum class PeerState {
  kUnconfirmed,  // Listed, never heard.
  kAlive,
  kLeaving,  // Says so itself, or the list does.
  kSuspect,  // Not heard for m_suspect_after.
};
const char* ToString(PeerState state);

struct Peer {
  InstanceId m_id;
  DomainId m_domain;
  net::Endpoint m_inner;
  PeerState m_state = PeerState::kUnconfirmed;
  Instant m_last_heard;  // 0: never.
  std::int64_t m_sequence = 0;
  bool m_listed = false;
};

// What the list, or another peer, tells of an instance.
struct PeerInfo {
  InstanceId m_id;
  DomainId m_domain;
  net::Endpoint m_inner;
  bool m_leaving = false;
};

// Not thread-safe.
class Membership {
 public:
  Membership(InstanceId self, DomainId domain, const MembershipSettings& settings)
      : m_self(std::move(self)), m_domain(std::move(domain)), m_settings(settings) {}

  // The list as a whole: instances that it no longer names stay while they are heard.
  void ApplyList(const std::vector<PeerInfo>& listed);

  // Another peer told of this instance; it stays unconfirmed until heard.
  void AddHint(const PeerInfo& hint, Instant now);

  // A heartbeat. An older sequence than one seen is late and is ignored.
  void OnHeartbeat(const PeerInfo& from, std::int64_t sequence, Instant now);

  // Moves states on; drops the dead.
  void Tick(Instant now);

  // Entry instances that take work in a failure domain, this one included where it is its own.
  int LiveCount(const DomainId& domain) const;

  const std::map<InstanceId, Peer>& Peers() const { return m_peers; }
  const InstanceId& Self() const { return m_self; }
  const DomainId& OwnDomain() const { return m_domain; }

 private:
  InstanceId m_self;
  DomainId m_domain;
  MembershipSettings m_settings;
  std::map<InstanceId, Peer> m_peers;
};

}  // namespace hickoryquay::peers
