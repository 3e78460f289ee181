// QueueDocuments: holds the queue configuration and the set of evacuated failure domains. Instances read both from the
// store and from each other, so that an instance that the store turns away learns them too. Only higher versions are
// applied: an instance never goes back to an older one.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "hickoryquay/jobs/evacuation.h"
#include "hickoryquay/jobs/job.h"
#include "hickoryquay/peers/peer_service.h"
#include "hickoryquay/store/row_store.h"

namespace hickoryquay::service {

// Parses the operators' document; the string is an error message.
using ReadConfiguration = std::function<std::variant<jobs::QueueConfiguration, std::string>(std::string_view)>;

// Reads the rows of the operators' table whose key is `prefix` and the name of a failure domain; their values may be
// anything. `version` is that of the store when it answered.
jobs::EvacuationNews ReadEvacuationRows(const std::vector<store::StoredRow>& rows, bool whole, Version version,
                                        const std::string& prefix);

// Not thread-safe.
class QueueDocuments final : public peers::ConfigurationExchange {
 public:
  using OnNewer = std::function<void(std::shared_ptr<const jobs::QueueConfiguration>)>;
  using OnEvacuated = std::function<void(const std::set<DomainId>&)>;

  // `on_evacuated` is called when the set changes, and when it becomes known.
  QueueDocuments(ReadConfiguration read, OnNewer on_newer, OnEvacuated on_evacuated)
      : m_read(std::move(read)), m_on_newer(std::move(on_newer)), m_on_evacuated(std::move(on_evacuated)) {}

  // Applies a document if its version is higher. Keeps the current one if it can't be parsed. `source` is for the log.
  void Take(const std::string& text, const char* source);
  void TakeEvacuations(const jobs::EvacuationNews& news, const char* source);
  const jobs::EvacuationSet& Evacuations() const { return m_evacuations; }

  // Differs between instances that hold different versions of any document.
  std::int64_t Digest() const override;
  std::map<std::string, std::int64_t> Versions() const override;
  std::vector<inner::wire::MarketDocument> NewerThan(
      const std::map<std::string, std::int64_t>& versions) const override;
  void Offer(const inner::wire::MarketDocument& document) override;

 private:
  std::int64_t ConfigurationVersion() const { return m_current ? m_current->m_version : 0; }
  std::int64_t EvacuationVersion() const { return static_cast<std::int64_t>(m_evacuations.StoreVersion()); }

  ReadConfiguration m_read;
  OnNewer m_on_newer;
  OnEvacuated m_on_evacuated;
  std::string m_text;
  std::shared_ptr<const jobs::QueueConfiguration> m_current;
  jobs::EvacuationSet m_evacuations;
};

}  // namespace hickoryquay::service
