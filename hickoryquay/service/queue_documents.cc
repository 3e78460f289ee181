#include "hickoryquay/service/queue_documents.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

#include "hickoryquay/base/log.h"
#include "hickoryquay/model/json.h"

namespace hickoryquay::service {

namespace {

constexpr log::Part kLog{"configuration"};
constexpr const char* kName = "queues";
constexpr const char* kEvacuations = "evacuations";  // A list of domains; its version is one of the store.
constexpr std::uint64_t kDigestFactor = 1'000'003;   // Odd, so that no two versions of one document collide.

std::string WriteDomains(const std::set<DomainId>& domains) {
  boost::json::array list;
  for (const DomainId& domain : domains) list.emplace_back(domain.m_value);
  return boost::json::serialize(list);
}

std::optional<std::map<DomainId, bool>> ReadDomains(const std::string& text) {
  const auto json = ParseJson(text);
  if (!Ok(json) || !ValueOf(json).is_array()) return std::nullopt;
  std::map<DomainId, bool> domains;
  for (const boost::json::value& name : ValueOf(json).get_array()) {
    if (!name.is_string()) return std::nullopt;
    domains[DomainId{std::string(name.get_string())}] = true;
  }
  return domains;
}

std::string Join(const std::set<DomainId>& domains) {
  std::string names;
  for (const DomainId& domain : domains) names += (names.empty() ? "" : " ") + domain.m_value;
  return names;
}

}  // namespace

jobs::EvacuationNews ReadEvacuationRows(const std::vector<store::StoredRow>& rows, bool whole, Version version,
                                        const std::string& prefix) {
  jobs::EvacuationNews news{version, whole, {}};
  for (const store::StoredRow& row : rows) {
    const std::string& key = row.m_key.m_key;
    if (!key.starts_with(prefix) || key.size() == prefix.size()) continue;
    news.m_domains[DomainId{key.substr(prefix.size())}] = !row.m_removed;  // The last row of a key counts.
  }
  return news;
}

void QueueDocuments::Take(const std::string& text, const char* source) {
  if (text == m_text) return;
  auto read = m_read(text);
  if (!Ok(read)) {
    return log::Error(kLog, "Configuration can't be read, keeping the current one",
                      {{"from", source}, {"why", ErrorOf(read)}});
  }
  if (ValueOf(read).m_version <= ConfigurationVersion()) return;
  log::Info(kLog, "Configuration applied",
            {{"version", std::to_string(ValueOf(read).m_version)},
             {"before", std::to_string(ConfigurationVersion())},
             {"from", source}});
  m_text = text;
  m_current = std::make_shared<const jobs::QueueConfiguration>(TakeValue(std::move(read)));
  m_on_newer(m_current);
}

void QueueDocuments::TakeEvacuations(const jobs::EvacuationNews& news, const char* source) {
  // Other rows of the table change too; the version need not rise for them.
  if (!news.m_whole && news.m_domains.empty()) return;
  const bool known = m_evacuations.Known();
  const auto change = m_evacuations.Merge(news);
  if (!change || (change->Empty() && known)) return;
  if (!change->Empty()) {
    log::Info(kLog, "Evacuated failure domains have changed",
              {{"added", Join(change->m_added)},
               {"lifted", Join(change->m_lifted)},
               {"version", std::to_string(EvacuationVersion())},
               {"from", source}});
  }
  m_on_evacuated(m_evacuations.Domains());
}

std::int64_t QueueDocuments::Digest() const {
  return static_cast<std::int64_t>(static_cast<std::uint64_t>(ConfigurationVersion()) +
                                   kDigestFactor * static_cast<std::uint64_t>(EvacuationVersion()));
}

std::map<std::string, std::int64_t> QueueDocuments::Versions() const {
  return {{kName, ConfigurationVersion()}, {kEvacuations, EvacuationVersion()}};
}

std::vector<inner::wire::MarketDocument> QueueDocuments::NewerThan(
    const std::map<std::string, std::int64_t>& versions) const {
  std::vector<inner::wire::MarketDocument> newer;
  const auto add = [&](const char* name, std::int64_t version, const std::string& text) {
    const auto known = versions.find(name);
    if (version <= (known == versions.end() ? 0 : known->second)) return;
    inner::wire::MarketDocument& document = newer.emplace_back();
    document.__set_market(name);
    document.__set_version(version);
    document.__set_json(text);
  };
  add(kName, ConfigurationVersion(), m_text);
  if (m_evacuations.Known()) add(kEvacuations, EvacuationVersion(), WriteDomains(m_evacuations.Domains()));
  return newer;
}

void QueueDocuments::Offer(const inner::wire::MarketDocument& document) {
  if (document.market == kName && document.version > ConfigurationVersion()) Take(document.json, "peer");
  if (document.market != kEvacuations || document.version <= 0) return;
  auto domains = ReadDomains(document.json);
  if (!domains) return log::Error(kLog, "List of evacuated failure domains can't be read", {{"from", "peer"}});
  TakeEvacuations({Version{static_cast<std::uint64_t>(document.version)}, true, std::move(*domains)}, "peer");
}

}  // namespace hickoryquay::service
