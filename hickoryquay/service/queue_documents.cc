#include "hickoryquay/service/queue_documents.h"

#include "hickoryquay/base/log.h"

namespace hickoryquay::service {

namespace {

constexpr log::Part kLog{"configuration"};
constexpr const char* kName = "queues";

}  // namespace

void QueueDocuments::Take(const std::string& text, const char* source) {
  if (text == m_text) return;
  auto read = m_read(text);
  if (!Ok(read)) {
    return log::Error(kLog, "Configuration can't be read, keeping the current one",
                      {{"from", source}, {"why", ErrorOf(read)}});
  }
  if (ValueOf(read).m_version <= Digest()) return;
  log::Info(
      kLog, "Configuration applied",
      {{"version", std::to_string(ValueOf(read).m_version)}, {"before", std::to_string(Digest())}, {"from", source}});
  m_text = text;
  m_current = std::make_shared<const jobs::QueueConfiguration>(TakeValue(std::move(read)));
  m_on_newer(m_current);
}

std::map<std::string, std::int64_t> QueueDocuments::Versions() const {
  return {{kName, Digest()}};
}

std::vector<inner::wire::MarketDocument> QueueDocuments::NewerThan(
    const std::map<std::string, std::int64_t>& versions) const {
  const auto known = versions.find(kName);
  if (Digest() <= (known == versions.end() ? 0 : known->second)) return {};
  inner::wire::MarketDocument document;
  document.__set_market(kName);
  document.__set_version(Digest());
  document.__set_json(m_text);
  return {document};
}

void QueueDocuments::Offer(const inner::wire::MarketDocument& document) {
  if (document.market == kName && document.version > Digest()) Take(document.json, "peer");
}

}  // namespace hickoryquay::service
