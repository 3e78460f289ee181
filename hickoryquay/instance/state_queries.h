// StateQueries: asks the placer of any failure domain, or any entry instance, for a part of its state.
//
// What is asked of a failure domain goes to its placer: directly within the own one, by way of any live peer there for
// another. A relayed question is not relayed again.
#pragma once

#include <boost/json/value.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "hickoryquay/inner/channel.h"
#include "hickoryquay/peers/peer_service.h"

namespace hickoryquay::instance {

// Empty: nobody answered in time, or the answerer doesn't know the question.
using StateCallback = std::function<void(std::optional<boost::json::value>)>;

// Answers one kind of question; `argument` is the question's own text.
using StateSource = std::function<void(const std::string& argument, StateCallback callback)>;

// Thread-safe once all sources are registered.
class StateQueries : public std::enable_shared_from_this<StateQueries> {
 public:
  StateQueries(DomainId domain, std::shared_ptr<peers::PeerService> peers, inner::InnerClient* client)
      : m_domain(std::move(domain)), m_peers(std::move(peers)), m_client(client) {}

  // A question answered by whoever holds the placer role; `holding` tells whether that is this instance.
  void AddPlacerSource(const std::string& what, StateSource source);
  void SetHolding(std::function<bool()> holding) { m_holding = std::move(holding); }

  // A question answered by every instance for itself.
  void AddOwnSource(const std::string& what, StateSource source);

  void AskPlacer(const DomainId& domain, const std::string& what, const std::string& argument, StateCallback callback);
  void AskInstance(const net::Endpoint& peer, const std::string& what, const std::string& argument,
                   StateCallback callback);

  // A question from a peer.
  void Answer(const inner::wire::StateQuery& query, const inner::Answer& answer);

 private:
  void AskOwnPlacer(const std::string& what, const std::string& argument, const StateCallback& callback);

  DomainId m_domain;
  std::shared_ptr<peers::PeerService> m_peers;
  inner::InnerClient* m_client;
  std::function<bool()> m_holding = [] { return false; };
  std::map<std::string, StateSource> m_placer_sources;
  std::map<std::string, StateSource> m_own_sources;
};

}  // namespace hickoryquay::instance
