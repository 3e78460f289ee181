// Ids: strong types for everything that is named or numbered, so that one can't pass for another.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace hickoryquay {

// A name given by operators or by the platform. Compares and hashes as its text.
template <typename Tag>
struct Name {
  std::string m_value;

  Name() = default;
  explicit Name(std::string value) : m_value(std::move(value)) {}

  bool Empty() const { return m_value.empty(); }
  auto operator<=>(const Name&) const = default;
};

template <typename Tag>
std::ostream& operator<<(std::ostream& out, const Name<Tag>& name) {
  return out << name.m_value;
}

using MarketId = Name<struct MarketTag>;      // A town of halls, a region of shops.
using AccountId = Name<struct AccountTag>;    // A client account, unique within its market.
using ClassId = Name<struct ClassTag>;        // A class of work, unique within its market.
using DomainId = Name<struct DomainTag>;      // A failure domain.
using RackId = Name<struct RackTag>;          // Unique within its failure domain.
using WorkerId = Name<struct WorkerTag>;      // Unique everywhere.
using BackendId = Name<struct BackendTag>;    // A backend server, unique everywhere.
using InstanceId = Name<struct InstanceTag>;  // An entry instance; a new one after every restart.

enum class JobId : std::uint64_t {};  // Unique everywhere; derived from account and idempotency key where one is given.
enum class Epoch : std::uint64_t {};  // Fencing token of a placer: rises with each holder of a domain's placer lease.
enum class Attempt : std::uint32_t {};  // Counts the starts of one job, from 1.
enum class Version : std::uint64_t {};  // Version of a table row or of a configuration document; 0 means absent.

template <typename T>
requires std::is_enum_v<T>
constexpr auto Raw(T value) {
  return static_cast<std::underlying_type_t<T>>(value);
}

// Jobs are written as sixteen hexadecimal digits behind "j-".
std::string ToString(JobId job);

// Reads what ToString wrote. Returns false, and leaves `job` alone, on anything else.
bool ParseJobId(const std::string& text, JobId* job);

}  // namespace hickoryquay

template <typename Tag>
struct std::hash<hickoryquay::Name<Tag>> {
  std::size_t operator()(const hickoryquay::Name<Tag>& name) const noexcept {
    return std::hash<std::string>{}(name.m_value);
  }
};
