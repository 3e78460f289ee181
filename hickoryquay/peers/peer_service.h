// PeerService: heartbeats between entry instances, and the spread of configuration among them.
//
// Every period an instance sends a heartbeat to each peer of its failure domain and to a few of the others, chosen at
// random. Heartbeats carry a digest of the configuration; where digests differ, the documents that are newer are
// pulled. So a change reaches all instances in a few periods, also where the platform can't be reached.
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
  net::Endpoint m_inner;               // Where peers reach this instance.
  std::vector<net::Endpoint> m_seeds;  // Peers to ask first when the platform's list is away.
  Millis m_heartbeat_period{1'000};
  Millis m_call_timeout{900};
  int m_other_domain_fanout = 2;  // Peers of other failure domains a period.
  MembershipSettings m_membership;
  std::uint64_t m_random_seed = 1;
};

// The configuration as peers exchange it. Thread-safe; `Offer` takes a document only where it is newer.
class ConfigurationExchange {
 public:
  virtual ~ConfigurationExchange() = default;
  virtual std::int64_t Digest() const = 0;
  virtual std::map<std::string, std::int64_t> Versions() const = 0;
  virtual std::vector<inner::wire::MarketDocument> NewerThan(
      const std::map<std::string, std::int64_t>& versions) const = 0;
  virtual void Offer(const inner::wire::MarketDocument& document) = 0;
};

// The placer of a failure domain, as far as an instance knows.
struct PlacerView {
  std::int64_t m_epoch = 0;
  std::string m_holder;
  std::string m_address;
};

// Sends a message to a peer; calls back with its answer, or with nullptr where none came in time.
using SendMessage = std::function<void(const net::Endpoint& peer, inner::Message message, Millis timeout,
                                       std::function<void(const inner::Message*)> callback)>;

// Thread-safe. `exchange` and `clock` outlive it.
class PeerService : public std::enable_shared_from_this<PeerService> {
 public:
  PeerService(const PeerSettings& settings, const Clock* clock, ConfigurationExchange* exchange, SendMessage send);

  void Start(TimerService* timers);

  // Heartbeats and pulls of others. Returns false for any other message.
  bool Handle(const inner::Message& message, const std::function<void(inner::Message)>& answer);

  void ApplyList(const std::vector<PeerInfo>& listed);
  void SetLeaving();                           // From now on heartbeats say so; they go out at once.
  void SetPlacerView(const PlacerView& view);  // What this instance knows from the table; the higher epoch wins.
  PlacerView Placer() const;
  int LiveCount(const DomainId& domain) const;
  std::vector<Peer> Peers() const;
  boost::json::object Dump() const;

  // One period's work; the timer calls it.
  void Beat();

 private:
  inner::wire::Heartbeat OwnHeartbeat();
  void ApplyHeartbeat(const inner::wire::Heartbeat& heartbeat);
  void SendHeartbeat(const net::Endpoint& to);
  void PullFrom(const net::Endpoint& peer);
  std::vector<net::Endpoint> ChooseTargets();
  void UpdatePlacerView(const PlacerView& view);
  net::Endpoint AddressOf(const inner::wire::Heartbeat& heartbeat) const;

  PeerSettings m_settings;
  const Clock* m_clock;
  ConfigurationExchange* m_exchange;
  SendMessage m_send;

  mutable std::mutex m_mutex;
  Membership m_membership;  // Guarded by m_mutex, as all below.
  PlacerView m_placer;
  std::mt19937_64 m_random;
  std::int64_t m_sequence = 0;
  bool m_leaving = false;
  bool m_pulling = false;
  std::uint64_t m_pulls = 0;
  Subscription m_heartbeat_timer;
};

}  // namespace hickoryquay::peers
