// PeerService: heartbeats and gossip of configuration between entry instances.
//
// Every period an instance sends a heartbeat to each peer of its failure domain and to a few random peers of other
// domains. Heartbeats carry a digest of the configuration; where digests differ, the sender pulls the newer documents.
// A change thus reaches all instances within a few periods, even while the platform can't be reached. Large documents
// are sent compressed: over a small link that is far quicker than reading them from the store.
#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

#include "hickoryquay/base/timer_service.h"
#include "hickoryquay/inner/message.h"
#include "hickoryquay/peers/membership.h"

namespace hickoryquay::peers {

struct PeerSettings {
  InstanceId m_self;
  DomainId m_domain;
  net::Endpoint m_inner;               // Address at which peers reach this instance.
  std::vector<net::Endpoint> m_seeds;  // Peers to contact while few or no others are known.
  Millis m_heartbeat_period{1'000};
  Millis m_call_timeout{900};
  int m_other_domain_fanout = 2;  // Heartbeats per period to other failure domains.
  MembershipSettings m_membership;
  std::uint64_t m_random_seed = 1;
};

// Access to the configuration that peers exchange. Thread-safe. Offer() applies a document only if it is newer.
class ConfigurationExchange {
 public:
  virtual ~ConfigurationExchange() = default;
  virtual std::int64_t Digest() const = 0;
  virtual std::map<std::string, std::int64_t> Versions() const = 0;
  virtual std::vector<inner::wire::MarketDocument> NewerThan(
      const std::map<std::string, std::int64_t>& versions) const = 0;
  virtual void Offer(const inner::wire::MarketDocument& document) = 0;
};

// The placer of a failure domain, as last known to this instance.
struct PlacerView {
  std::int64_t m_epoch = 0;
  std::string m_holder;
  std::string m_address;
};

// Sends a message to a peer; calls back with the answer, or with nullptr if none arrives within `timeout`.
using SendMessage = std::function<void(const net::Endpoint& peer, inner::Message message, Millis timeout,
                                       std::function<void(const inner::Message*)> callback)>;

// Thread-safe. `clock` and `exchange` must outlive it.
class PeerService : public std::enable_shared_from_this<PeerService> {
 public:
  PeerService(const PeerSettings& settings, const Clock* clock, ConfigurationExchange* exchange, SendMessage send);

  void Start(TimerService* timers);

  // Answers heartbeats and configuration pulls of peers. Returns false for any other message.
  bool Handle(const inner::Message& message, const std::function<void(inner::Message)>& answer);

  void ApplyList(const std::vector<PeerInfo>& listed);
  void SetLeaving();                           // Announced in heartbeats, the first sent at once.
  void SetPlacerView(const PlacerView& view);  // From the table; ignored unless its epoch is higher.
  PlacerView Placer() const;
  int LiveCount(const DomainId& domain) const;
  std::vector<Peer> Peers() const;
  boost::json::object Dump() const;

  // Updates the membership and sends one period's heartbeats. Called by the timer.
  void Beat();

 private:
  inner::wire::Heartbeat OwnHeartbeat();
  void ApplyHeartbeat(const inner::wire::Heartbeat& heartbeat);
  void AddHints(const inner::wire::Heartbeat& answer);
  void SendHeartbeat(const net::Endpoint& to);
  void PullFrom(const net::Endpoint& peer);
  inner::wire::ConfigurationDocuments DocumentsFor(const inner::wire::ConfigurationPull& pull);
  void CompressDocument(inner::wire::MarketDocument* document);
  std::vector<net::Endpoint> ChooseTargets();
  void UpdatePlacerView(const PlacerView& view);
  net::Endpoint AddressOf(const inner::wire::Heartbeat& heartbeat) const;

  PeerSettings m_settings;
  const Clock* m_clock;
  ConfigurationExchange* m_exchange;
  SendMessage m_send;

  mutable std::mutex m_mutex;
  Membership m_membership;  // This and the members below: guarded by m_mutex.
  PlacerView m_placer;
  std::mt19937_64 m_random;
  std::int64_t m_sequence = 0;
  bool m_leaving = false;
  bool m_pulling = false;
  std::map<std::string, inner::wire::MarketDocument> m_compressed;  // The last one sent of each market.
  std::uint64_t m_pulls = 0;
  Subscription m_heartbeat_timer;
};

}  // namespace hickoryquay::peers
