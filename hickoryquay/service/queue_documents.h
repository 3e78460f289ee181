// QueueDocuments: holds the queue configuration. Instances read its document from the store and from each other.
// Only higher versions are applied: an instance never goes back to an older one.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "hickoryquay/jobs/job.h"
#include "hickoryquay/peers/peer_service.h"

namespace hickoryquay::service {

// Parses the operators' document; the string is an error message.
using ReadConfiguration = std::function<std::variant<jobs::QueueConfiguration, std::string>(std::string_view)>;

// Not thread-safe.
class QueueDocuments final : public peers::ConfigurationExchange {
 public:
  using OnNewer = std::function<void(std::shared_ptr<const jobs::QueueConfiguration>)>;

  QueueDocuments(ReadConfiguration read, OnNewer on_newer) : m_read(std::move(read)), m_on_newer(std::move(on_newer)) {}

  // Applies a document if its version is higher. Keeps the current one if it can't be parsed. `source` is for the log.
  void Take(const std::string& text, const char* source);

  std::int64_t Digest() const override { return m_current ? m_current->m_version : 0; }
  std::map<std::string, std::int64_t> Versions() const override;
  std::vector<inner::wire::MarketDocument> NewerThan(
      const std::map<std::string, std::int64_t>& versions) const override;
  void Offer(const inner::wire::MarketDocument& document) override;

 private:
  ReadConfiguration m_read;
  OnNewer m_on_newer;
  std::string m_text;
  std::shared_ptr<const jobs::QueueConfiguration> m_current;
};

}  // namespace hickoryquay::service
