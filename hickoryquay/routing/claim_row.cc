// Rows of claims: JSON text and keys.

#include <openssl/evp.h>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>

#include "hickoryquay/model/field_reader.h"
#include "hickoryquay/model/json.h"
#include "hickoryquay/net/http.h"
#include "hickoryquay/routing/claims.h"

namespace hickoryquay::routing {

namespace json = boost::json;

namespace {

constexpr std::size_t kDigestBytes = 16;  // Of SHA-256's 32.

const char* ToString(ClaimState state) {
  if (state == ClaimState::kClaimed) return "claimed";
  return state == ClaimState::kDone ? "done" : "unknown";
}

bool ParseState(const std::string& text, ClaimState* state) {
  for (const ClaimState candidate : {ClaimState::kClaimed, ClaimState::kDone, ClaimState::kUnknown}) {
    if (text != ToString(candidate)) continue;
    *state = candidate;
    return true;
  }
  return false;
}

// Bytes of any kind as JSON text.
std::string ToHex(std::string_view bytes) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string hex;
  hex.reserve(bytes.size() * 2);
  for (const char c : bytes) {
    const auto byte = static_cast<unsigned char>(c);
    hex += kDigits[byte >> 4U];
    hex += kDigits[byte & 15U];
  }
  return hex;
}

std::optional<std::string> FromHex(std::string_view hex) {
  if (hex.size() % 2 != 0) return std::nullopt;
  std::string bytes;
  for (std::size_t i = 0; i < hex.size(); i += 2) {
    unsigned value = 0;
    const char* end = hex.data() + i + 2;
    if (std::from_chars(hex.data() + i, end, value, 16).ptr != end) return std::nullopt;
    bytes += static_cast<char>(value);
  }
  return bytes;
}

std::optional<KeptAnswer> ParseAnswer(const json::value& value) {
  KeptAnswer answer;
  std::string body;
  FieldReader reader(value);
  reader.ReadInteger("status", &answer.m_status, 100, 599);
  reader.Read("type", &answer.m_content_type, FieldReader::Need::kOptional);
  reader.Read("body_hex", &body, FieldReader::Need::kOptional);
  const std::optional<std::string> bytes = FromHex(body);
  if (reader.Failed() || !bytes) return std::nullopt;
  answer.m_body = *bytes;
  return answer;
}

}  // namespace

std::string ToText(const ClaimRow& row) {
  json::object object;
  object["state"] = ToString(row.m_state);
  object["digest"] = row.m_digest;
  object["at_ms"] = row.m_at.m_ms;
  if (row.m_answer) {
    object["answer"] = json::object{{"status", row.m_answer->m_status},
                                    {"type", row.m_answer->m_content_type},
                                    {"body_hex", ToHex(row.m_answer->m_body)}};
  }
  return json::serialize(object);
}

std::optional<ClaimRow> ParseClaimRow(const std::string& text) {
  const auto parsed = ParseJson(text);
  if (!Ok(parsed)) return std::nullopt;
  ClaimRow row;
  std::string state;
  FieldReader reader(ValueOf(parsed));
  reader.Read("state", &state);
  reader.Read("digest", &row.m_digest);
  reader.ReadInstant("at_ms", &row.m_at);
  const json::value* answer = reader.Find("answer", FieldReader::Need::kOptional);
  if (reader.Failed() || !ParseState(state, &row.m_state)) return std::nullopt;
  if (answer != nullptr) row.m_answer = ParseAnswer(*answer);
  return row;
}

std::string ClaimKey(const MarketId& market, const AccountId& account, std::string_view key) {
  return "claim/" + market.m_value + "/" + account.m_value + "/" + net::PercentEncode(key);
}

std::string DigestOf(std::string_view method, std::string_view target, std::string_view body) {
  std::string text;
  text.append(method).append(" ").append(target).append("\n").append(body);
  unsigned char digest[EVP_MAX_MD_SIZE];
  unsigned size = 0;
  EVP_Digest(text.data(), text.size(), digest, &size, EVP_sha256(), nullptr);
  return ToHex({reinterpret_cast<const char*>(digest), kDigestBytes});
}

}  // namespace hickoryquay::routing
