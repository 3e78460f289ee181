#include "hickoryquay/instance/state_queries.h"

#include <boost/json/serialize.hpp>
#include <utility>

#include "hickoryquay/model/json.h"

namespace hickoryquay::instance {

namespace wire = inner::wire;

namespace {

constexpr Millis kAskTimeout{2'000};
constexpr char kRelay[] = "relay/";    // In front of a question to the placer that a peer is to pass on.
constexpr char kPlacer[] = "placer/";  // In front of a question to the placer itself.

void Reply(const inner::Answer& answer, const std::optional<boost::json::value>& state) {
  wire::StateAnswer reply;
  reply.__set_known(state.has_value());
  if (state) reply.__set_json(boost::json::serialize(*state));
  answer(reply);
}

}  // namespace

void StateQueries::AddPlacerSource(const std::string& what, StateSource source) {
  m_placer_sources[what] = std::move(source);
}

void StateQueries::AddOwnSource(const std::string& what, StateSource source) {
  m_own_sources[what] = std::move(source);
}

void StateQueries::AskInstance(const net::Endpoint& peer, const std::string& what, const std::string& argument,
                               StateCallback callback) {
  wire::StateQuery query;
  query.__set_what(what);
  query.__set_argument(argument);
  m_client->Call(peer, query, kAskTimeout, [callback = std::move(callback)](const auto& result) {
    if (!Ok(result)) return callback(std::nullopt);
    const auto* answer = std::get_if<wire::StateAnswer>(&ValueOf(result));
    if (answer == nullptr || !answer->known) return callback(std::nullopt);
    auto parsed = ParseJson(answer->json);
    if (!Ok(parsed)) return callback(std::nullopt);
    callback(TakeValue(std::move(parsed)));
  });
}

void StateQueries::AskPlacer(const DomainId& domain, const std::string& what, const std::string& argument,
                             StateCallback callback) {
  if (domain == m_domain) return AskOwnPlacer(what, argument, callback);
  for (const peers::Peer& peer : m_peers->Peers()) {
    if (peer.m_domain != domain || peer.m_state != peers::PeerState::kAlive) continue;
    return AskInstance(peer.m_inner, kRelay + what, argument, std::move(callback));
  }
  callback(std::nullopt);
}

void StateQueries::AskOwnPlacer(const std::string& what, const std::string& argument, const StateCallback& callback) {
  const auto source = m_placer_sources.find(what);
  if (source == m_placer_sources.end()) return callback(std::nullopt);
  if (m_holding()) return source->second(argument, callback);
  const auto address = net::ParseEndpoint(m_peers->Placer().m_address);
  if (!Ok(address)) return callback(std::nullopt);
  AskInstance(ValueOf(address), kPlacer + what, argument, callback);
}

void StateQueries::Answer(const wire::StateQuery& query, const inner::Answer& answer) {
  const StateCallback reply = [answer](const std::optional<boost::json::value>& state) { Reply(answer, state); };
  const std::string_view what = query.what;
  if (what.starts_with(kRelay)) return AskOwnPlacer(query.what.substr(sizeof(kRelay) - 1), query.argument, reply);
  const bool for_placer = what.starts_with(kPlacer);
  const auto& sources = for_placer ? m_placer_sources : m_own_sources;
  const auto source = sources.find(for_placer ? query.what.substr(sizeof(kPlacer) - 1) : query.what);
  if (source == sources.end() || (for_placer && !m_holding())) return reply(std::nullopt);
  source->second(query.argument, reply);
}

}  // namespace hickoryquay::instance
