#include "hickoryquay/peers/peer_service.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <utility>

#include "hickoryquay/base/log.h"
#include "hickoryquay/peers/compression.h"

namespace hickoryquay::peers {

namespace wire = inner::wire;

namespace {

constexpr log::Part kLog{"peers"};
constexpr std::size_t kMinPeers = 2;              // With fewer, asks peers for more and contacts the seeds.
constexpr std::size_t kMaxPeersSent = 32;         // Limit on peer addresses in the answer to a joining instance.
constexpr std::size_t kLargeDocument = 4 * 1024;  // Bytes from which a document is compressed.
constexpr std::size_t kMaxDocumentBytes = 16UL * 1024 * 1024;  // Of an uncompressed document from a peer.

// Puts the text of a compressed document in its place. False, with a log line, if it can't be unpacked.
bool Unpack(wire::MarketDocument* document) {
  if (document->compressed.empty()) return true;
  auto text = Decompress(document->compressed, kMaxDocumentBytes);
  if (!Ok(text)) {
    log::Error(kLog, "Compressed document can't be read", {{"market", document->market}, {"why", ErrorOf(text)}});
    return false;
  }
  document->json = TakeValue(std::move(text));
  document->compressed.clear();
  return true;
}

}  // namespace

PeerService::PeerService(const PeerSettings& settings, const Clock* clock, ConfigurationExchange* exchange,
                         SendMessage send)
    : m_settings(settings),
      m_clock(clock),
      m_exchange(exchange),
      m_send(std::move(send)),
      m_membership(settings.m_self, settings.m_domain, settings.m_membership),
      m_random(settings.m_random_seed) {}

void PeerService::Start(TimerService* timers) {
  m_heartbeat_timer = timers->Every(m_settings.m_heartbeat_period, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->Beat();
  });
}

void PeerService::Beat() {
  std::vector<net::Endpoint> targets;
  {
    const std::scoped_lock lock(m_mutex);
    m_membership.Tick(m_clock->Now());
    targets = ChooseTargets();
  }
  for (const net::Endpoint& target : targets) SendHeartbeat(target);
}

std::vector<net::Endpoint> PeerService::ChooseTargets() {
  std::vector<net::Endpoint> targets;
  std::vector<net::Endpoint> other_domains;
  for (const auto& [id, peer] : m_membership.Peers()) {
    (peer.m_domain == m_settings.m_domain ? targets : other_domains).push_back(peer.m_inner);
  }
  std::shuffle(other_domains.begin(), other_domains.end(), m_random);
  const std::size_t count = std::min(other_domains.size(), static_cast<std::size_t>(m_settings.m_other_domain_fanout));
  targets.insert(targets.end(), other_domains.begin(), other_domains.begin() + static_cast<std::ptrdiff_t>(count));
  if (m_membership.Peers().size() < kMinPeers) {
    for (const net::Endpoint& seed : m_settings.m_seeds) {
      const bool known = std::find(targets.begin(), targets.end(), seed) != targets.end();
      if (!known && seed != m_settings.m_inner) targets.push_back(seed);
    }
  }
  return targets;
}

wire::Heartbeat PeerService::OwnHeartbeat() {
  wire::Heartbeat heartbeat;
  heartbeat.__set_configuration_digest(m_exchange->Digest());
  const std::scoped_lock lock(m_mutex);
  heartbeat.__set_instance(m_settings.m_self.m_value);
  heartbeat.__set_domain(m_settings.m_domain.m_value);
  heartbeat.__set_inner_address(net::ToString(m_settings.m_inner));
  heartbeat.__set_sequence(++m_sequence);
  heartbeat.__set_leaving(m_leaving);
  heartbeat.__set_placer_epoch(m_placer.m_epoch);
  heartbeat.__set_placer_holder(m_placer.m_holder);
  heartbeat.__set_placer_address(m_placer.m_address);
  heartbeat.__set_joining(m_membership.Peers().size() < kMinPeers);
  return heartbeat;
}

void PeerService::SendHeartbeat(const net::Endpoint& to) {
  m_send(to, OwnHeartbeat(), m_settings.m_call_timeout, [weak = weak_from_this(), to](const inner::Message* answer) {
    const auto self = weak.lock();
    if (!self || answer == nullptr) return;
    const auto* heartbeat = std::get_if<wire::Heartbeat>(answer);
    if (heartbeat == nullptr) return;
    self->ApplyHeartbeat(*heartbeat);
    self->AddHints(*heartbeat);
    if (heartbeat->configuration_digest != self->m_exchange->Digest()) self->PullFrom(to);
  });
}

net::Endpoint PeerService::AddressOf(const wire::Heartbeat& heartbeat) const {
  const auto parsed = net::ParseEndpoint(heartbeat.inner_address);
  return Ok(parsed) ? ValueOf(parsed) : net::Endpoint{};
}

void PeerService::ApplyHeartbeat(const wire::Heartbeat& heartbeat) {
  const Instant now = m_clock->Now();
  const PeerInfo info{InstanceId(heartbeat.instance), DomainId(heartbeat.domain), AddressOf(heartbeat),
                      heartbeat.leaving};
  const std::scoped_lock lock(m_mutex);
  m_membership.OnHeartbeat(info, heartbeat.sequence, now);
  const bool same_domain = heartbeat.domain == m_settings.m_domain.m_value;
  if (same_domain) UpdatePlacerView({heartbeat.placer_epoch, heartbeat.placer_holder, heartbeat.placer_address});
}

void PeerService::AddHints(const wire::Heartbeat& answer) {
  const Instant now = m_clock->Now();
  const std::size_t count = std::min(answer.known.size(), kMaxPeersSent);
  const std::scoped_lock lock(m_mutex);
  for (std::size_t i = 0; i < count; ++i) {
    const wire::PeerAddress& known = answer.known[i];
    const auto address = net::ParseEndpoint(known.inner_address);
    if (!Ok(address)) continue;
    m_membership.AddHint({InstanceId(known.instance), DomainId(known.domain), ValueOf(address), false}, now);
  }
}

bool PeerService::Handle(const inner::Message& message, const std::function<void(inner::Message)>& answer) {
  if (const auto* heartbeat = std::get_if<wire::Heartbeat>(&message)) {
    ApplyHeartbeat(*heartbeat);
    wire::Heartbeat own = OwnHeartbeat();
    if (heartbeat->joining) {
      std::vector<wire::PeerAddress> known;
      for (const Peer& peer : Peers()) {
        if (known.size() == kMaxPeersSent || peer.m_id.m_value == heartbeat->instance) continue;
        wire::PeerAddress address;
        address.__set_instance(peer.m_id.m_value);
        address.__set_domain(peer.m_domain.m_value);
        address.__set_inner_address(net::ToString(peer.m_inner));
        known.push_back(std::move(address));
      }
      own.__set_known(known);
    }
    answer(own);
    return true;
  }
  if (const auto* pull = std::get_if<wire::ConfigurationPull>(&message)) {
    answer(DocumentsFor(*pull));
    return true;
  }
  return false;
}

wire::ConfigurationDocuments PeerService::DocumentsFor(const wire::ConfigurationPull& pull) {
  std::vector<wire::MarketDocument> newer = m_exchange->NewerThan(pull.versions);
  if (pull.accepts_compressed) {
    for (wire::MarketDocument& document : newer) {
      if (document.json.size() >= kLargeDocument) CompressDocument(&document);
    }
  }
  wire::ConfigurationDocuments documents;
  documents.__set_documents(newer);
  return documents;
}

// Many peers ask for the same document after a change, so its compressed form is kept.
void PeerService::CompressDocument(wire::MarketDocument* document) {
  const std::scoped_lock lock(m_mutex);
  wire::MarketDocument& kept = m_compressed[document->market];
  if (kept.version != document->version || kept.compressed.empty()) {
    kept = *document;
    kept.json.clear();
    kept.__set_compressed(Compress(document->json));
  }
  if (!kept.compressed.empty()) *document = kept;
}

void PeerService::PullFrom(const net::Endpoint& peer) {
  {
    const std::scoped_lock lock(m_mutex);
    if (m_pulling) return;  // One pull at a time bounds the traffic; the next heartbeat retries.
    m_pulling = true;
    ++m_pulls;
  }
  wire::ConfigurationPull pull;
  pull.__set_versions(m_exchange->Versions());
  pull.__set_accepts_compressed(true);
  m_send(peer, pull, m_settings.m_call_timeout, [weak = weak_from_this()](const inner::Message* answer) {
    const auto self = weak.lock();
    if (!self) return;
    {
      const std::scoped_lock lock(self->m_mutex);
      self->m_pulling = false;
    }
    if (answer == nullptr) return;
    const auto* documents = std::get_if<wire::ConfigurationDocuments>(answer);
    if (documents == nullptr) return;
    for (wire::MarketDocument document : documents->documents) {
      if (Unpack(&document)) self->m_exchange->Offer(document);
    }
  });
}

void PeerService::ApplyList(const std::vector<PeerInfo>& listed) {
  const std::scoped_lock lock(m_mutex);
  m_membership.ApplyList(listed);
}

void PeerService::SetLeaving() {
  {
    const std::scoped_lock lock(m_mutex);
    m_leaving = true;
  }
  log::Info(kLog, "Telling peers that this instance is leaving");
  Beat();
}

void PeerService::UpdatePlacerView(const PlacerView& view) {
  if (view.m_epoch > m_placer.m_epoch) m_placer = view;
}

void PeerService::SetPlacerView(const PlacerView& view) {
  const std::scoped_lock lock(m_mutex);
  UpdatePlacerView(view);
}

PlacerView PeerService::Placer() const {
  const std::scoped_lock lock(m_mutex);
  return m_placer;
}

int PeerService::LiveCount(const DomainId& domain) const {
  const std::scoped_lock lock(m_mutex);
  return m_membership.LiveCount(domain);
}

std::vector<Peer> PeerService::Peers() const {
  const std::scoped_lock lock(m_mutex);
  std::vector<Peer> peers;
  for (const auto& [id, peer] : m_membership.Peers()) peers.push_back(peer);
  return peers;
}

boost::json::object PeerService::Dump() const {
  boost::json::array peers;
  for (const Peer& peer : Peers()) {
    peers.push_back(boost::json::object{{"instance", peer.m_id.m_value},
                                        {"domain", peer.m_domain.m_value},
                                        {"inner", net::ToString(peer.m_inner)},
                                        {"state", ToString(peer.m_state)},
                                        {"listed", peer.m_listed}});
  }
  const std::scoped_lock lock(m_mutex);
  return {{"instance", m_settings.m_self.m_value},
          {"domain", m_settings.m_domain.m_value},
          {"leaving", m_leaving},
          {"configuration_pulls", m_pulls},
          {"placer",
           boost::json::object{
               {"epoch", m_placer.m_epoch}, {"holder", m_placer.m_holder}, {"address", m_placer.m_address}}},
          {"peers", std::move(peers)}};
}

}  // namespace hickoryquay::peers
