#include "hickoryquay/placer/rows.h"

#include <openssl/evp.h>
#include <openssl/rand.h>

#include <array>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <limits>
#include <stdexcept>

#include "hickoryquay/model/field_reader.h"

namespace hickoryquay::placer {

namespace {

namespace json = boost::json;

constexpr std::size_t kIdBytes = 8;

JobId ToJobId(const unsigned char* bytes) {
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < kIdBytes; ++i) value = (value << 8) | bytes[i];
  return JobId{value};
}

// Prefixes each part with its length, so that different lists of parts never give the same text.
std::string LengthPrefixed(std::initializer_list<std::string_view> parts) {
  std::string text;
  for (const std::string_view part : parts) {
    text += std::to_string(part.size()) + ":";
    text += part;
  }
  return text;
}

}  // namespace

std::string JobPrefix(const DomainId& domain) {
  return "job/" + domain.m_value + "/";
}
std::string CancelPrefix(const DomainId& domain) {
  return "cancel/" + domain.m_value + "/";
}
std::string JobKey(const DomainId& domain, JobId job) {
  return JobPrefix(domain) + ToString(job);
}
std::string CancelKey(const DomainId& domain, JobId job) {
  return CancelPrefix(domain) + ToString(job);
}
std::string PlacerKey(const DomainId& domain) {
  return "placer/" + domain.m_value;
}

bool ParseJobKey(std::string_view key, JobId* job) {
  const std::size_t slash = key.rfind('/');
  return slash != std::string_view::npos && ParseJobId(std::string(key.substr(slash + 1)), job);
}

std::string JobValue(const Job& job) {
  return json::serialize(ToJson(job));
}

Parsed<Job> ParseJobValue(std::string_view value) {
  const auto parsed = ParseJson(value);
  if (!Ok(parsed)) return ErrorOf(parsed);
  return ParseJob(ValueOf(parsed));
}

std::string CancelValue(const std::string& by, Instant wall) {
  return json::serialize(json::object{{"by", by}, {"at_ms", wall.m_ms}});
}

Instant CancelledAt(std::string_view value) {
  Instant at;
  const auto parsed = ParseJson(value);
  if (!Ok(parsed)) return at;
  FieldReader reader(ValueOf(parsed));
  if (!reader.Failed()) reader.ReadInstant("at_ms", &at);
  return at;
}

std::string LeaseValue(const LeaseRow& lease) {
  return json::serialize(json::object{{"holder", lease.m_holder.m_value},
                                      {"address", lease.m_address},
                                      {"epoch", Raw(lease.m_epoch)},
                                      {"expires_ms", lease.m_expires.m_ms}});
}

Parsed<LeaseRow> ParseLeaseValue(std::string_view value) {
  const auto parsed = ParseJson(value);
  if (!Ok(parsed)) return ErrorOf(parsed);
  LeaseRow lease;
  FieldReader reader(ValueOf(parsed));
  reader.Read("holder", &lease.m_holder.m_value);
  reader.Read("address", &lease.m_address);
  reader.ReadInteger("epoch", &lease.m_epoch, 0, std::numeric_limits<std::int64_t>::max());
  reader.ReadInstant("expires_ms", &lease.m_expires);
  if (reader.Failed()) return reader.Error();
  return lease;
}

JobId DeriveJobId(const MarketId& market, const AccountId& account, const std::string& key) {
  const std::string text = LengthPrefixed({market.m_value, account.m_value, key});
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  if (EVP_Digest(text.data(), text.size(), digest.data(), nullptr, EVP_sha256(), nullptr) != 1) {
    throw std::runtime_error("SHA-256 is not available");
  }
  return ToJobId(digest.data());
}

JobId RandomJobId() {
  std::array<unsigned char, kIdBytes> bytes{};
  if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) throw std::runtime_error("RAND_bytes failed");
  return ToJobId(bytes.data());
}

}  // namespace hickoryquay::placer
