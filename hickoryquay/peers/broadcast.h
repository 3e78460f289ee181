// Broadcast: plans how a message reaches all peers while no instance sends it to more than about the square root of
// their number. The sender calls the head of each group, which passes the message on to the others. Pure: no I/O.
#pragma once

#include <cstddef>
#include <functional>
#include <random>
#include <vector>

#include "hickoryquay/peers/membership.h"

namespace hickoryquay::peers {

struct BroadcastGroup {
  net::Endpoint m_head;
  std::vector<net::Endpoint> m_others;  // The head passes the message on to them.
};

struct BroadcastSettings {
  std::size_t m_max_direct = 12;  // Up to this many peers are called directly.
};

// Groups lie within a failure domain, so a message crosses to each domain a few times only. Heads are drawn anew for
// each message, from the peers of which `may_head` is true: one that does not pass messages on harms no group for long.
// Where no peer of a domain may be a head, its peers are called directly.
std::vector<BroadcastGroup> PlanBroadcast(const std::vector<Peer>& peers,
                                          const std::function<bool(const Peer&)>& may_head,
                                          const BroadcastSettings& settings, std::mt19937_64* random);

}  // namespace hickoryquay::peers
