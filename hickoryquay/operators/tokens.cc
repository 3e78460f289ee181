#include "hickoryquay/operators/tokens.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace hickoryquay::operators {

TokenTable::TokenTable(const std::vector<settings::AdminToken>& tokens) {
  for (const settings::AdminToken& token : tokens) {
    m_entries.push_back({{token.m_name, token.m_role}, DigestOf(token.m_secret)});
  }
}

std::optional<Identity> TokenTable::Find(std::string_view secret) const {
  const Digest digest = DigestOf(secret);
  const Entry* found = nullptr;
  for (const Entry& entry : m_entries) {
    const bool same = CRYPTO_memcmp(entry.m_digest.data(), digest.data(), digest.size()) == 0;
    found = same ? &entry : found;
  }
  if (found == nullptr) return std::nullopt;
  return found->m_identity;
}

TokenTable::Digest TokenTable::DigestOf(std::string_view secret) {
  static_assert(kDigestBytes == SHA256_DIGEST_LENGTH);
  Digest digest{};
  SHA256(reinterpret_cast<const unsigned char*>(secret.data()), secret.size(), digest.data());
  return digest;
}

}  // namespace hickoryquay::operators
