// DaemonSettings: what an entry instance (hickoryquayd) reads from its settings file. docs/operating.md lists the keys.
//
// Index of this file:
//   [SECTION] Sections
//   [SECTION] The whole file
#pragma once

#include <cstddef>
#include <istream>
#include <string>
#include <vector>

#include "hickoryquay/base/clock.h"
#include "hickoryquay/base/ids.h"
#include "hickoryquay/base/log.h"
#include "hickoryquay/net/http.h"
#include "hickoryquay/settings/ini_file.h"

namespace hickoryquay::settings {

//-------------------------------------------------------------------------------------------------
// [SECTION] Sections
//-------------------------------------------------------------------------------------------------

// [instance]
struct InstanceSettings {
  InstanceId m_id;          // Empty: the daemon makes one at start.
  DomainId m_domain;        // Its failure domain; required.
  net::Endpoint m_callers;  // Where callers and the balancer come in; required.
  net::Endpoint m_inner;    // The inner protocol, for other entry instances; required.
  net::Endpoint m_admin;    // Admin API; required.
  int m_threads = 2;        // Threads of the I/O context.
  Millis m_drain{30'000};   // A planned stop waits this long for requests in flight.
};

// [platform]
struct PlatformSettings {
  net::Endpoint m_table;       // Required.
  net::Endpoint m_objects;     // Required.
  net::Endpoint m_list;        // Required.
  Millis m_timeout{2000};      // Of one call.
  Millis m_list_poll{1000};    // Between two readings of the list of instances.
  Millis m_config_poll{1000};  // Between two readings of the configuration's versions.
};

enum class Role { kViewer, kOperator };

struct AdminToken {
  std::string m_name;  // For the audit log.
  Role m_role = Role::kViewer;
  std::string m_secret;
};

// [admin]
struct AdminSettings {
  std::vector<AdminToken> m_tokens;  // "token.NAME = ROLE:SECRET"; none: the admin API refuses all but health.
  std::string m_tls_certificate;     // File with the certificate chain in PEM; empty: no TLS.
  std::string m_tls_key;             // File with its private key in PEM.
};

// [placer]
struct PlacerSettings {
  Millis m_lease{3000};                      // Of the placer role.
  Millis m_worker_lease{15'000};             // Of what runs on a worker.
  Millis m_worker_sync{1000};                // Between two exchanges with a worker.
  Millis m_tick{500};                        // Between two looks at timeouts and reclaim limits.
  int m_max_failures = 3;                    // Starts that may fail on healthy workers before a job is refused.
  int m_quarantine_after = 3;                // Failures of different jobs in a row that quarantine a worker.
  Millis m_quarantine_for{10 * 60 * 1000};   // Then the worker gets one job as a trial.
  Millis m_reclaim_limit{30'000};            // Between the call on a guarantee and the start.
  Millis m_head_reservation{5 * 60 * 1000};  // How long a gang at the head waits before backfill must not delay it.
};

// [requests]
struct RequestSettings {
  int m_queue_length = 256;                        // Requests that wait at one time for one market.
  Millis m_default_deadline{10'000};               // Of a request that brings none.
  Millis m_max_deadline{60'000};                   // A longer one is cut down to this.
  std::size_t m_max_body_bytes = 8 * 1024 * 1024;  // Of a request and of its answer.
  int m_max_connections = 4096;                    // Of callers, at one time.
  int m_retry_percent = 10;                        // Retries at most, as a share of requests.
};

// [peers]
struct PeerSettings {
  Millis m_heartbeat{1000};            // Between two messages to a peer; bytes fall with it, see docs/CAPACITY.md.
  Millis m_suspect_after{3000};        // Silence after which a peer counts as gone.
  std::vector<net::Endpoint> m_seeds;  // Inner addresses to ask first when the platform's list is away.
};

//-------------------------------------------------------------------------------------------------
// [SECTION] The whole file
//-------------------------------------------------------------------------------------------------

struct DaemonSettings {
  InstanceSettings m_instance;
  PlatformSettings m_platform;
  log::Settings m_log;
  AdminSettings m_admin;
  PlacerSettings m_placer;
  RequestSettings m_requests;
  PeerSettings m_peers;
};

// Reads and checks the file. Unknown sections and keys are errors, so that a misspelt one does not pass in silence.
Settled<DaemonSettings> ParseDaemonSettings(const std::string& path);
Settled<DaemonSettings> ParseDaemonSettings(const std::string& name, std::istream& text);

// Every section and key that ParseDaemonSettings knows, as "[section] key", for the reference in the docs.
std::vector<std::string> KnownDaemonKeys();

const char* ToString(Role role);  // "viewer", "operator".

}  // namespace hickoryquay::settings
