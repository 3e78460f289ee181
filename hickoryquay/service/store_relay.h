// StoreRelay: sends calls to the platform's store, through a peer instance if the store is unavailable to this one.
//
// A call that the store refused (status 429 or 503), or that was certainly not sent, goes to a peer at once. A read
// without an answer is repeated through a peer. A write without an answer fails, since it may have taken effect. Peers
// relay calls only to the store itself, never to a third instance, and only a limited number at a time.
//
// A read that takes much longer than calls usually do is sent through a peer as well, and the first answer counts:
// where the store serves others, an instance that is cut off in silence goes on within a fraction of a second. The
// silence of a read or write also sends all reads that wait for news through peers. An answer that is arriving is left
// to arrive, however long it takes, also that of a probe: a second copy would share the link with it.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "hickoryquay/base/clock.h"
#include "hickoryquay/base/metrics.h"
#include "hickoryquay/base/timer_service.h"
#include "hickoryquay/inner/message.h"
#include "hickoryquay/peers/peer_service.h"
#include "hickoryquay/store/adaptive_store.h"
#include "hickoryquay/store/http_send.h"

namespace hickoryquay::service {

struct RelaySettings {
  Millis m_direct_interval{500};  // Between direct probes of the store while it is unreachable.
  int m_failure_threshold = 2;    // Consecutive failed direct calls after which peers are tried first.
  int m_peers_per_call = 2;       // Upper limit.
  int m_max_relayed = 64;         // Calls relayed for peers at a time; further ones are refused.
  // How long a call may be silent: at least m_least, and m_spread times what calls took lately plus m_slack.
  store::AdaptiveSettings m_silence{Millis{100}, 2.0, Millis{50}, 0.1};
  Millis m_longest_silence{1'000};
};

// Not thread-safe.
class StoreRelay : public std::enable_shared_from_this<StoreRelay> {
 public:
  using Peers = std::function<std::vector<net::Endpoint>()>;

  StoreRelay(store::HttpSend direct, net::Endpoint store, TimerService* timers, const Clock* clock, Metrics* metrics,
             const RelaySettings& settings);

  // Enables calls through peers. Before this, all calls are direct.
  void Connect(peers::SendMessage send, Peers peers);

  store::HttpSend Send();

  // Relays a call of a peer to the store. An answer that is too large for a frame, or that takes longer than the peer
  // waits, is broken off: the peer has no use for it, and it would keep this instance's own calls from the link.
  void Handle(const inner::wire::StoreCall& call, const std::function<void(inner::Message)>& answer);

 private:
  struct Call;

  void Begin(const std::shared_ptr<Call>& call);
  void ProbeStore(const std::shared_ptr<Call>& call);
  void OnProbeAnswer(const std::shared_ptr<Call>& call, Result<net::HttpResponse, net::NetError> result);
  void MarkReachable();
  void CountFailure(const Call& call, const std::string& why);
  void CountDiscarded(const Result<net::HttpResponse, net::NetError>& result);
  void OnSilence(const std::shared_ptr<Call>& call);
  void Hedge(const std::shared_ptr<Call>& call);
  static void Finish(const std::shared_ptr<Call>& call, Result<net::HttpResponse, net::NetError> result);
  void SendDirect(const std::shared_ptr<Call>& call);
  void OnProgress(const std::shared_ptr<Call>& call, int status);
  void OnDirectAnswer(const std::shared_ptr<Call>& call, Result<net::HttpResponse, net::NetError> result);
  void SendThroughPeer(const std::shared_ptr<Call>& call);
  void OnPeerAnswer(const std::shared_ptr<Call>& call, const inner::Message* answer);
  bool StoreUnreachable() const { return m_direct_failures >= m_settings.m_failure_threshold; }

  store::HttpSend m_direct;
  net::Endpoint m_store;
  TimerService* m_timers;
  const Clock* m_clock;
  RelaySettings m_settings;
  store::CallTime m_call_time;                 // Of direct calls.
  std::vector<std::weak_ptr<Call>> m_waiting;  // Direct reads that wait for news.
  peers::SendMessage m_send;
  Peers m_peers;
  int m_direct_failures = 0;  // Consecutive.
  Instant m_last_direct;
  bool m_probing = false;  // A probe of the store is in flight.
  std::size_t m_next_peer = 0;
  int m_relayed = 0;  // Calls of peers in flight.
  Counter* m_through_peers;
  Counter* m_hedged;
  Counter* m_discarded;  // Bytes of direct answers that did not arrive whole.
};

}  // namespace hickoryquay::service
