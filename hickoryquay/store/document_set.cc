#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <string_view>
#include <utility>

#include "hickoryquay/model/json.h"
#include "hickoryquay/store/configuration_store.h"

namespace hickoryquay::store {

namespace {

namespace json = boost::json;

constexpr std::string_view kRootKey = "config/root";
constexpr std::string_view kMarketPrefix = "config/market/";

}  // namespace

std::string MarketKey(const MarketId& market) {
  return std::string(kMarketPrefix) + market.m_value;
}

std::string RootValue(const std::vector<MarketId>& markets) {
  json::array list;
  for (const MarketId& market : markets) list.emplace_back(market.m_value);
  return json::serialize(json::object{{"markets", std::move(list)}});
}

Result<std::vector<MarketId>, std::string> ParseRoot(const std::string& value) {
  const auto parsed = ParseJson(value);
  if (!Ok(parsed)) return ErrorOf(parsed).m_message;
  const json::object* object = ValueOf(parsed).if_object();
  const json::value* list = object == nullptr ? nullptr : object->if_contains("markets");
  if (list == nullptr || !list->is_array()) return std::string("markets: expected a list");
  std::vector<MarketId> markets;
  for (const json::value& element : list->get_array()) {
    if (!element.is_string()) return std::string("markets: expected names");
    markets.emplace_back(std::string(element.get_string()));
  }
  return markets;
}

DocumentSet::Outcome DocumentSet::Apply(const ConfigurationDocument& document) {
  const ConfigurationDocument* known = Find(document.m_key);
  const Version in_force = known == nullptr ? Version{0} : known->m_version;
  if (document.m_version <= in_force) return Outcome::kOld;
  const bool applied = document.m_key == kRootKey ? ApplyRoot(document.m_value) : ApplyMarket(document);
  if (!applied) return Outcome::kUnreadable;
  m_documents[document.m_key] = document;
  return Outcome::kApplied;
}

bool DocumentSet::ApplyRoot(const std::string& value) {
  auto parsed = ParseRoot(value);
  if (!Ok(parsed)) return false;
  m_listed = TakeValue(std::move(parsed));
  return true;
}

bool DocumentSet::ApplyMarket(const ConfigurationDocument& document) {
  if (!document.m_key.starts_with(kMarketPrefix)) return false;
  const auto parsed = ParseJson(document.m_value);
  if (!Ok(parsed)) return false;
  auto market = ParseMarket(ValueOf(parsed));
  if (!Ok(market) || MarketKey(ValueOf(market).m_id) != document.m_key) return false;
  auto applied = std::make_shared<Market>(TakeValue(std::move(market)));
  applied->m_version = document.m_version;
  m_markets[applied->m_id] = std::move(applied);
  return true;
}

std::shared_ptr<const Configuration> DocumentSet::Build() const {
  auto configuration = std::make_shared<Configuration>();
  for (const MarketId& id : m_listed) {
    const auto found = m_markets.find(id);
    if (found != m_markets.end()) configuration->m_markets.insert(*found);
  }
  return configuration;
}

std::vector<DocumentVersion> DocumentSet::Versions() const {
  std::vector<DocumentVersion> versions;
  for (const auto& [key, document] : m_documents) versions.push_back({key, document.m_version});
  return versions;
}

const ConfigurationDocument* DocumentSet::Find(const std::string& key) const {
  const auto found = m_documents.find(key);
  return found == m_documents.end() ? nullptr : &found->second;
}

}  // namespace hickoryquay::store
