// Tokens: who a bearer token belongs to.
#pragma once

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "hickoryquay/settings/daemon_settings.h"

namespace hickoryquay::operators {

struct Identity {
  std::string m_name;
  settings::Role m_role = settings::Role::kViewer;
};

// Keeps digests only. Thread-safe once built.
class TokenTable {
 public:
  explicit TokenTable(const std::vector<settings::AdminToken>& tokens);

  // Compares with every token, in time that depends on neither the tokens nor the place of a difference.
  std::optional<Identity> Find(std::string_view secret) const;

 private:
  static constexpr std::size_t kDigestBytes = 32;  // SHA-256.
  using Digest = std::array<unsigned char, kDigestBytes>;

  static Digest DigestOf(std::string_view secret);

  struct Entry {
    Identity m_identity;
    Digest m_digest{};
  };
  std::vector<Entry> m_entries;
};

}  // namespace hickoryquay::operators
