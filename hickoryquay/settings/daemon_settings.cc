#include "hickoryquay/settings/daemon_settings.h"

#include <string_view>
#include <utility>

#include "hickoryquay/settings/keys.h"

namespace hickoryquay::settings {

namespace {

constexpr std::size_t kMinSecretLength = 8;
constexpr std::string_view kTokenPrefix = "token.";

using All = DaemonSettings;

std::vector<Key<All>> InstanceKeys() {
  using S = InstanceSettings;
  constexpr auto kSection = &All::m_instance;
  return {{"instance", "id", Need::kOptional, NameOf(kSection, &S::m_id)},
          {"instance", "domain", Need::kRequired, NameOf(kSection, &S::m_domain)},
          {"instance", "callers", Need::kRequired, Address(kSection, &S::m_callers)},
          {"instance", "inner", Need::kRequired, Address(kSection, &S::m_inner)},
          {"instance", "admin", Need::kRequired, Address(kSection, &S::m_admin)},
          {"instance", "threads", Need::kOptional, Count(kSection, &S::m_threads, 1, 64)},
          {"instance", "drain", Need::kOptional, Duration(kSection, &S::m_drain, Millis{0})}};
}

std::vector<Key<All>> PlatformKeys() {
  using S = PlatformSettings;
  constexpr auto kSection = &All::m_platform;
  return {{"platform", "table", Need::kRequired, Address(kSection, &S::m_table)},
          {"platform", "objects", Need::kRequired, Address(kSection, &S::m_objects)},
          {"platform", "list", Need::kRequired, Address(kSection, &S::m_list)},
          {"platform", "timeout", Need::kOptional, Duration(kSection, &S::m_timeout, Millis{10})},
          {"platform", "list_poll", Need::kOptional, Duration(kSection, &S::m_list_poll, Millis{10})},
          {"platform", "config_poll", Need::kOptional, Duration(kSection, &S::m_config_poll, Millis{10})}};
}

std::vector<Key<All>> DaemonLogKeys() {
  return LogKeys(&All::m_log);
}

// "ROLE:SECRET".
std::string ReadToken(const std::string& text, AdminToken* token) {
  const std::size_t colon = text.find(':');
  const std::string role = text.substr(0, colon);
  if (colon == std::string::npos || (role != "viewer" && role != "operator")) {
    return "expected viewer:SECRET or operator:SECRET";
  }
  token->m_role = role == "viewer" ? Role::kViewer : Role::kOperator;
  token->m_secret = text.substr(colon + 1);
  if (token->m_secret.size() >= kMinSecretLength) return "";
  return "the secret is shorter than " + std::to_string(kMinSecretLength) + " characters";
}

std::vector<Key<All>> AdminKeys() {
  using S = AdminSettings;
  const auto add_token = [](const std::string& text, All* all) {
    AdminToken token;
    std::string wrong = ReadToken(text, &token);
    if (wrong.empty()) all->m_admin.m_tokens.push_back(std::move(token));
    return wrong;
  };
  return {{"admin", "token.", Need::kOptional, add_token},
          {"admin", "tls_certificate", Need::kOptional, Path(&All::m_admin, &S::m_tls_certificate)},
          {"admin", "tls_key", Need::kOptional, Path(&All::m_admin, &S::m_tls_key)}};
}

std::vector<Key<All>> PlacerKeys() {
  using S = PlacerSettings;
  constexpr auto kSection = &All::m_placer;
  constexpr Millis kShortest{100};
  return {{"placer", "worker_lease", Need::kOptional, Duration(kSection, &S::m_worker_lease, kShortest)},
          {"placer", "max_failures", Need::kOptional, Count(kSection, &S::m_max_failures, 1, 100)},
          {"placer", "quarantine_after", Need::kOptional, Count(kSection, &S::m_quarantine_after, 1, 100)},
          {"placer", "quarantine_for", Need::kOptional, Duration(kSection, &S::m_quarantine_for, kShortest)},
          {"placer", "reclaim_limit", Need::kOptional, Duration(kSection, &S::m_reclaim_limit, kShortest)},
          {"placer", "head_reservation", Need::kOptional, Duration(kSection, &S::m_head_reservation, kShortest)}};
}

std::vector<Key<All>> RequestKeys() {
  using S = RequestSettings;
  constexpr auto kSection = &All::m_requests;
  return {{"requests", "queue_length", Need::kOptional, Count(kSection, &S::m_queue_length, 1, 1'000'000)},
          {"requests", "default_deadline", Need::kOptional, Duration(kSection, &S::m_default_deadline, Millis{10})},
          {"requests", "max_body", Need::kOptional, Bytes(kSection, &S::m_max_body_bytes, 1024)},
          {"requests", "max_connections", Need::kOptional, Count(kSection, &S::m_max_connections, 1, 1'000'000)}};
}

std::vector<Key<All>> PeerKeys() {
  using S = PeerSettings;
  constexpr auto kSection = &All::m_peers;
  return {{"peers", "heartbeat", Need::kOptional, Duration(kSection, &S::m_heartbeat, Millis{10})},
          {"peers", "suspect_after", Need::kOptional, Duration(kSection, &S::m_suspect_after, Millis{20})},
          {"peers", "seeds", Need::kOptional, Addresses(kSection, &S::m_seeds)}};
}

std::vector<Key<All>> MakeKeys() {
  std::vector<Key<All>> all;
  for (auto part : {&InstanceKeys, &PlatformKeys, &DaemonLogKeys, &AdminKeys, &PlacerKeys, &RequestKeys, &PeerKeys}) {
    for (Key<All>& key : part()) all.push_back(std::move(key));
  }
  return all;
}

const std::vector<Key<All>>& Keys() {
  static const std::vector<Key<All>> keys = MakeKeys();
  return keys;
}

// Values that fit one by one but not together.
std::string CheckTogether(const DaemonSettings& all, IniEntry* where) {
  if (all.m_admin.m_tls_certificate.empty() != all.m_admin.m_tls_key.empty()) {
    *where = {"admin", all.m_admin.m_tls_key.empty() ? "tls_key" : "tls_certificate", ""};
    return "is missing: a certificate and its key go together";
  }
  if (all.m_peers.m_suspect_after < 2 * all.m_peers.m_heartbeat) {
    *where = {"peers", "suspect_after", ""};
    return "must be at least twice the heartbeat";
  }
  return "";
}

Settled<DaemonSettings> Fill(const IniFile& file) {
  auto filled = FillByKeys<All>(file, Keys(), [](const IniEntry& entry, All* all) {
    if (entry.m_key.starts_with(kTokenPrefix)) {
      all->m_admin.m_tokens.back().m_name = entry.m_key.substr(kTokenPrefix.size());
    }
  });
  if (!Ok(filled)) return filled;
  const DaemonSettings& all = ValueOf(filled);
  IniEntry where;
  std::string wrong = CheckTogether(all, &where);
  if (!wrong.empty()) return SettingsError{file.m_name, where.m_section, where.m_key, std::move(wrong)};
  return filled;
}

}  // namespace

Settled<DaemonSettings> ParseDaemonSettings(const std::string& path) {
  const auto file = ReadIniFile(path);
  if (!Ok(file)) return ErrorOf(file);
  return Fill(ValueOf(file));
}

Settled<DaemonSettings> ParseDaemonSettings(const std::string& name, std::istream& text) {
  const auto file = ReadIni(name, text);
  if (!Ok(file)) return ErrorOf(file);
  return Fill(ValueOf(file));
}

std::vector<std::string> KnownDaemonKeys() {
  return NamesOf(Keys());
}

const char* ToString(Role role) {
  return role == Role::kViewer ? "viewer" : "operator";
}

}  // namespace hickoryquay::settings
