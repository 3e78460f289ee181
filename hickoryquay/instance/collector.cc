// Index of this file:
//   [SECTION] Frame
//   [SECTION] Jobs
//   [SECTION] Workers, backend servers, instances
//   [SECTION] Configuration
#include "hickoryquay/instance/collector.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <map>
#include <set>
#include <utility>

#include "hickoryquay/instance/state_names.h"
#include "hickoryquay/model/field_reader.h"
#include "hickoryquay/model/json.h"

namespace hickoryquay::instance {

namespace json = boost::json;
using Need = FieldReader::Need;

namespace {

constexpr int kPageRows = 500;
constexpr std::size_t kMaxExplainedAtOnce = 500;
constexpr char kJobRows[] = "job/";
constexpr char kAuditRows[] = "audit/";
constexpr char kMarketRows[] = "config/market/";

std::string Quoted(const DomainId& domain) {
  return "placer of " + domain.m_value;
}

}  // namespace

//-------------------------------------------------------------------------------------------------
// [SECTION] Frame
//-------------------------------------------------------------------------------------------------

class Collector::Pending {
 public:
  explicit Pending(std::shared_ptr<Collector> collector) : m_collector(std::move(collector)) {}
  ~Pending() { m_collector->m_callback(std::move(m_collector->m_collected)); }

 private:
  std::shared_ptr<Collector> m_collector;
};

Collector::Collector(CollectorParts parts, operators::CollectCallback callback)
    : m_parts(std::move(parts)), m_callback(std::move(callback)) {}

void Collector::Run(const operators::Wanted& wanted) {
  const auto pending = std::make_shared<Pending>(shared_from_this());
  m_collected.m_now = m_parts.m_clock->Wall();
  if (wanted.m_instances) CollectInstances();
  if (wanted.m_backends) CollectBackends();
  if (wanted.m_jobs || wanted.m_workers) ScanJobs("", pending);
  if (wanted.m_workers) CollectWorkers(pending);
  if (wanted.m_versions) CollectVersions(pending);
  if (wanted.m_guarantees) CollectBroken(pending);
  if (wanted.m_changes) ScanChanges("", pending);
  if (wanted.m_requests) Missing("requests: only their counts are kept, see the state dump");
}

std::set<DomainId> Collector::Domains() const {
  std::set<DomainId> domains = {m_parts.m_domain};
  for (const auto& [id, market] : m_parts.m_configuration->Current()->m_markets) {
    domains.insert(market->m_domains.begin(), market->m_domains.end());
  }
  return domains;
}

void Collector::Missing(const std::string& who) {
  const std::scoped_lock lock(m_mutex);
  m_collected.m_missing.push_back(who);
}

//-------------------------------------------------------------------------------------------------
// [SECTION] Jobs
//-------------------------------------------------------------------------------------------------

void Collector::ScanJobs(const std::string& after, const PendingPtr& pending) {
  m_parts.m_table->Scan(kJobRows, after, kPageRows,
                        [self = shared_from_this(), pending](const Result<store::Page, store::TableError>& result) {
                          if (!Ok(result)) {
                            self->Missing("table: " + store::ToString(ErrorOf(result)));
                            return self->ExplainJobs(pending);
                          }
                          const store::Page& page = ValueOf(result);
                          self->TakeJobs(page);
                          if (!page.m_more || page.m_rows.empty()) return self->ExplainJobs(pending);
                          self->ScanJobs(page.m_rows.back().m_key, pending);
                        });
}

void Collector::TakeJobs(const store::Page& page) {
  const std::scoped_lock lock(m_mutex);
  for (const store::Row& row : page.m_rows) {
    const auto parsed = ParseJson(row.m_value);
    if (!Ok(parsed)) continue;
    auto job = ParseJob(ValueOf(parsed));
    if (Ok(job)) m_collected.m_jobs.push_back({TakeValue(std::move(job)), ""});
  }
}

void Collector::ExplainJobs(const PendingPtr& pending) {
  std::map<DomainId, std::vector<std::string>> by_domain;
  {
    const std::scoped_lock lock(m_mutex);
    for (const operators::JobRow& row : m_collected.m_jobs) {
      auto& ids = by_domain[row.m_job.m_domain];
      if (!Ended(row.m_job.m_state) && ids.size() < kMaxExplainedAtOnce) ids.push_back(ToString(row.m_job.m_id));
    }
  }
  for (const auto& entry : by_domain) {
    const DomainId& domain = entry.first;
    const std::vector<std::string>& ids = entry.second;
    if (ids.empty()) continue;
    std::string argument;
    for (const std::string& id : ids) argument += (argument.empty() ? "" : ",") + id;
    m_parts.m_queries->AskPlacer(
        domain, kExplainJobs, argument, [self = shared_from_this(), pending, domain](const auto& state) {
          if (!state || !state->is_object()) return self->Missing(Quoted(domain));
          const std::scoped_lock lock(self->m_mutex);
          for (operators::JobRow& row : self->m_collected.m_jobs) {
            const json::value* explained = state->get_object().if_contains(ToString(row.m_job.m_id));
            if (explained == nullptr) continue;
            FieldReader reader(*explained);
            reader.Read("why", &row.m_why, Need::kOptional);
          }
        });
  }
}

//-------------------------------------------------------------------------------------------------
// [SECTION] Workers, backend servers, instances
//-------------------------------------------------------------------------------------------------

void Collector::CollectWorkers(const PendingPtr& pending) {
  for (const DomainId& domain : Domains()) {
    m_parts.m_queries->AskPlacer(domain, kPlacerState, "",
                                 [self = shared_from_this(), pending, domain](const auto& state) {
                                   if (!state) return self->Missing(Quoted(domain));
                                   self->TakeWorkers(domain, *state);
                                 });
  }
}

void Collector::TakeWorkers(const DomainId& domain, const json::value& state) {
  const json::object* placer = state.if_object();
  const json::value* pool = placer != nullptr ? placer->if_contains("pool") : nullptr;
  if (pool == nullptr) return Missing(Quoted(domain));
  FieldReader reader(*pool);
  for (const json::value& element : reader.Array("workers", Need::kOptional)) {
    operators::WorkerRow row;
    FieldReader nested(element);
    bool leaving = false;
    bool lost = false;
    nested.Read("leaving", &leaving, Need::kOptional);
    nested.Read("lost", &lost, Need::kOptional);
    nested.Read("quarantined", &row.m_why, Need::kOptional);
    auto worker = ParseWorker(element);
    if (Ok(worker)) row.m_worker = TakeValue(std::move(worker));
    row.m_state = lost ? "lost" : leaving ? "leaving" : row.m_why.empty() ? "live" : "quarantined";
    const std::scoped_lock lock(m_mutex);
    m_collected.m_workers.push_back(std::move(row));
  }
}

void Collector::CollectBackends() {
  const auto listed = m_parts.m_backends->Latest();
  if (!listed) return Missing("list of instances");
  std::map<std::string, json::object> known;
  const json::value dump = json::parse(m_parts.m_requests_dump());
  FieldReader reader(dump);
  for (const json::value& element : reader.Array("backends", Need::kOptional)) {
    if (element.is_object()) known[std::string(element.at("id").as_string())] = element.get_object();
  }
  for (const store::ListedInstance& instance : *listed) {
    operators::BackendRow row;
    row.m_id = BackendId(instance.m_id);
    row.m_market = instance.m_market;
    row.m_domain = instance.m_domain;
    row.m_slots = instance.m_slots;
    row.m_state = instance.m_leaving ? "leaving" : "live";
    const auto found = known.find(instance.m_id);
    if (found != known.end()) {
      FieldReader nested(found->second);
      bool ejected = false;
      nested.Read("ejected", &ejected, Need::kOptional);
      nested.ReadInteger("in_flight", &row.m_busy, 0, kPageRows, Need::kOptional);
      nested.ReadInteger("connections", &row.m_connections, 0, kPageRows, Need::kOptional);
      if (ejected) row.m_state = "failing";
    }
    m_collected.m_backends.push_back(std::move(row));
  }
}

void Collector::CollectInstances() {
  const Instant now = m_parts.m_clock->Now();
  const peers::PlacerView placer = m_parts.m_peers->Placer();
  const auto add = [&](const InstanceId& id, const DomainId& domain, const std::string& state, Millis silent) {
    operators::InstanceRow row;
    row.m_id = id;
    row.m_domain = domain;
    row.m_state = state;
    row.m_silent = silent;
    row.m_placer = domain == m_parts.m_domain && placer.m_holder == id.m_value;
    if (row.m_placer) row.m_epoch = Epoch{static_cast<std::uint64_t>(placer.m_epoch)};
    m_collected.m_instances.push_back(std::move(row));
  };
  add(m_parts.m_self, m_parts.m_domain, "live", Millis{0});
  for (const peers::Peer& peer : m_parts.m_peers->Peers()) {
    const bool silent = peer.m_state == peers::PeerState::kSuspect;
    const bool leaving = peer.m_state == peers::PeerState::kLeaving;
    const Millis silence = peer.m_last_heard.m_ms > 0 ? now - peer.m_last_heard : Millis{0};
    add(peer.m_id, peer.m_domain, silent ? "silent" : leaving ? "draining" : "live", silence);
    m_collected.m_instances.back().m_address = net::ToString(peer.m_inner);
  }
}

//-------------------------------------------------------------------------------------------------
// [SECTION] Configuration
//-------------------------------------------------------------------------------------------------

void Collector::CollectVersions(const PendingPtr& pending) {
  json::object own;
  for (const store::DocumentVersion& document : m_parts.m_configuration->Versions()) {
    own[document.m_key] = Raw(document.m_version);
  }
  TakeVersions(m_parts.m_self, own);
  for (const peers::Peer& peer : m_parts.m_peers->Peers()) {
    m_parts.m_queries->AskInstance(peer.m_inner, kVersions, "",
                                   [self = shared_from_this(), pending, id = peer.m_id](const auto& versions) {
                                     if (!versions) return self->Missing(id.m_value);
                                     self->TakeVersions(id, *versions);
                                   });
  }
}

void Collector::TakeVersions(const InstanceId& instance, const json::value& versions) {
  if (!versions.is_object()) return;
  const std::scoped_lock lock(m_mutex);
  for (const auto& [key, value] : versions.get_object()) {
    const std::string_view name(key.data(), key.size());
    boost::system::error_code error;
    const auto version = value.to_number<std::uint64_t>(error);
    if (error || !name.starts_with(kMarketRows)) continue;
    const MarketId market(std::string(name.substr(sizeof(kMarketRows) - 1)));
    m_collected.m_versions.push_back({market, instance, Version{version}});
  }
}

void Collector::CollectBroken(const PendingPtr& pending) {
  for (const auto& [id, market] : m_parts.m_configuration->Current()->m_markets) {
    const std::string document = json::serialize(ToJson(*market));
    for (const DomainId& domain : market->m_domains) {
      m_parts.m_queries->AskPlacer(domain, kCheckMarket, document,
                                   [self = shared_from_this(), pending, domain, id = id](const auto& checked) {
                                     if (!checked) return self->Missing(Quoted(domain));
                                     operators::BrokenGuarantee broken;
                                     bool honoured = true;
                                     std::string account;
                                     FieldReader reader(*checked);
                                     reader.Read("ok", &honoured);
                                     reader.Read("account", &account, Need::kOptional);
                                     reader.Read("shape", &broken.m_shape, Need::kOptional);
                                     reader.Read("why", &broken.m_why, Need::kOptional);
                                     if (honoured) return;
                                     broken.m_market = id;
                                     broken.m_account = AccountId(account);
                                     broken.m_why = domain.m_value + ": " + broken.m_why;
                                     const std::scoped_lock lock(self->m_mutex);
                                     self->m_collected.m_broken.push_back(std::move(broken));
                                   });
    }
  }
}

void Collector::ScanChanges(const std::string& after, const PendingPtr& pending) {
  m_parts.m_table->Scan(kAuditRows, after, kPageRows,
                        [self = shared_from_this(), pending](const Result<store::Page, store::TableError>& result) {
                          if (!Ok(result)) return self->Missing("table: " + store::ToString(ErrorOf(result)));
                          const store::Page& page = ValueOf(result);
                          self->TakeChanges(page);
                          if (page.m_more && !page.m_rows.empty()) self->ScanChanges(page.m_rows.back().m_key, pending);
                        });
}

void Collector::TakeChanges(const store::Page& page) {
  const std::scoped_lock lock(m_mutex);
  for (const store::Row& row : page.m_rows) {
    const auto parsed = ParseJson(row.m_value);
    if (!Ok(parsed)) continue;
    operators::ChangeRow change;
    FieldReader reader(ValueOf(parsed));
    std::string market;
    reader.ReadInstant("at_ms", &change.m_at, Need::kOptional);
    reader.Read("by", &change.m_who, Need::kOptional);
    reader.Read("what", &change.m_statement, Need::kOptional);
    reader.Read("market", &market, Need::kOptional);
    reader.ReadInteger("from_version", &change.m_from, 0, std::numeric_limits<std::int64_t>::max(), Need::kOptional);
    change.m_market = MarketId(market);
    change.m_to = row.m_version;
    m_collected.m_changes.push_back(std::move(change));
  }
}

}  // namespace hickoryquay::instance
