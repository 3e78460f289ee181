// StoreRelay: calls to the platform's store, through another instance where the store turns this one away.
//
// A call that the store refused, or that provably was not sent, is passed to a peer at once. A read without an answer
// is asked again through a peer; a write without an answer is reported as such, since it may have been done. Peers pass
// calls on only to the store itself, never to a third instance, and only so many at a time.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "hickoryquay/base/clock.h"
#include "hickoryquay/base/metrics.h"
#include "hickoryquay/inner/message.h"
#include "hickoryquay/peers/peer_service.h"
#include "hickoryquay/store/http_send.h"

namespace hickoryquay::service {

struct RelaySettings {
  Millis m_direct_interval{500};  // While the store turns this instance away, beside calls through peers.
  int m_failure_threshold = 2;    // Direct calls in a row without success after which peers are asked first.
  int m_peers_per_call = 2;       // Peers that one call tries.
  int m_max_relayed = 64;         // Calls of others under way at a time; further ones are turned away.
};

// One thread.
class StoreRelay : public std::enable_shared_from_this<StoreRelay> {
 public:
  using Peers = std::function<std::vector<net::Endpoint>()>;

  StoreRelay(store::HttpSend direct, net::Endpoint store, const Clock* clock, Metrics* metrics,
             const RelaySettings& settings);

  // Until then calls go to the store only.
  void Connect(peers::SendMessage send, Peers peers);

  store::HttpSend Send();

  // A call of a peer.
  void Handle(const inner::wire::StoreCall& call, const std::function<void(inner::Message)>& answer);

 private:
  struct Call;

  void Begin(const std::shared_ptr<Call>& call);
  void ProbeStore(const Call& like);
  void MarkReachable();
  void SendDirect(const std::shared_ptr<Call>& call);
  void OnDirectAnswer(const std::shared_ptr<Call>& call, Result<net::HttpResponse, net::NetError> result);
  void SendThroughPeer(const std::shared_ptr<Call>& call);
  void OnPeerAnswer(const std::shared_ptr<Call>& call, const inner::Message* answer);
  bool StoreUnreachable() const { return m_direct_failures >= m_settings.m_failure_threshold; }

  store::HttpSend m_direct;
  net::Endpoint m_store;
  const Clock* m_clock;
  RelaySettings m_settings;
  peers::SendMessage m_send;
  Peers m_peers;
  int m_direct_failures = 0;  // Direct calls in a row.
  Instant m_last_direct;
  bool m_probing = false;  // A try is under way that no caller waits for.
  std::size_t m_next_peer = 0;
  int m_relayed = 0;  // For others, under way.
  Counter* m_through_peers;
};

}  // namespace hickoryquay::service
