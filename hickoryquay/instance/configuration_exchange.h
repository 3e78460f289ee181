// StoreExchange: the configuration store as peers exchange it.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "hickoryquay/peers/peer_service.h"
#include "hickoryquay/store/configuration_store.h"

namespace hickoryquay::instance {

// Thread-safe.
class StoreExchange final : public peers::ConfigurationExchange {
 public:
  explicit StoreExchange(std::shared_ptr<store::ConfigurationStore> store) : m_store(std::move(store)) {}

  std::int64_t Digest() const override;
  std::map<std::string, std::int64_t> Versions() const override;
  std::vector<inner::wire::MarketDocument> NewerThan(
      const std::map<std::string, std::int64_t>& versions) const override;
  void Offer(const inner::wire::MarketDocument& document) override;

 private:
  std::shared_ptr<store::ConfigurationStore> m_store;
};

}  // namespace hickoryquay::instance
