#include "hickoryquay/routing/shares.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace hickoryquay::routing {

namespace {

// FNV-1a: the same in every process, unlike std::hash.
std::uint64_t StableHash(const std::string& text, std::uint64_t seed) {
  constexpr std::uint64_t kPrime = 1099511628211ULL;
  std::uint64_t hash = seed;
  for (const char c : text) hash = (hash ^ static_cast<unsigned char>(c)) * kPrime;
  hash ^= hash >> 32;
  return hash * kPrime;
}

std::pair<std::uint64_t, std::string> RankOf(const InstanceId& instance, const std::string& salt) {
  constexpr std::uint64_t kOffset = 14695981039346656037ULL;
  return {StableHash(instance.m_value, StableHash(salt, kOffset)), instance.m_value};
}

}  // namespace

int ExactShare(int total, const std::vector<InstanceId>& instances, const InstanceId& self, const std::string& salt) {
  if (std::find(instances.begin(), instances.end(), self) == instances.end()) return 0;
  const int count = static_cast<int>(instances.size());
  const auto mine = RankOf(self, salt);
  const auto ahead = std::count_if(instances.begin(), instances.end(),
                                   [&](const InstanceId& other) { return RankOf(other, salt) > mine; });
  return total / count + (ahead < total % count ? 1 : 0);
}

int EvenShare(int total, int instances, int newcomers) {
  return total / std::max(1, instances + newcomers);
}

}  // namespace hickoryquay::routing
