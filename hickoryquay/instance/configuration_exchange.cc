#include "hickoryquay/instance/configuration_exchange.h"

#include <boost/container_hash/hash.hpp>

namespace hickoryquay::instance {

namespace wire = inner::wire;

std::int64_t StoreExchange::Digest() const {
  std::size_t digest = 0;
  for (const store::DocumentVersion& document : m_store->Versions()) {
    boost::hash_combine(digest, document.m_key);
    boost::hash_combine(digest, Raw(document.m_version));
  }
  return static_cast<std::int64_t>(digest);
}

std::map<std::string, std::int64_t> StoreExchange::Versions() const {
  std::map<std::string, std::int64_t> versions;
  for (const store::DocumentVersion& document : m_store->Versions()) {
    versions[document.m_key] = static_cast<std::int64_t>(Raw(document.m_version));
  }
  return versions;
}

std::vector<wire::MarketDocument> StoreExchange::NewerThan(const std::map<std::string, std::int64_t>& versions) const {
  std::vector<wire::MarketDocument> newer;
  for (const store::ConfigurationDocument& document : m_store->Documents()) {
    const auto version = static_cast<std::int64_t>(Raw(document.m_version));
    const auto known = versions.find(document.m_key);
    if (known != versions.end() && known->second >= version) continue;
    wire::MarketDocument sent;
    sent.__set_market(document.m_key);
    sent.__set_version(version);
    sent.__set_json(document.m_value);
    newer.push_back(std::move(sent));
  }
  return newer;
}

void StoreExchange::Offer(const wire::MarketDocument& document) {
  if (document.version <= 0) return;
  m_store->Offer({document.market, document.json, Version{static_cast<std::uint64_t>(document.version)}});
}

}  // namespace hickoryquay::instance
