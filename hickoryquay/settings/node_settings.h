// NodeSettings: what an instance reads that schedules jobs of steps from the platform's store (docs/operating.md lists
// the keys). Durations that the platform promises stand in [terms]; those of our own have defaults.
//
// Index of this file:
//   [SECTION] Sections
//   [SECTION] The whole file
#pragma once

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

// [node]
struct NodeSection {
  std::string m_name;                  // Of the machine; the same in each life of the process. Required.
  DomainId m_domain;                   // Its failure domain; required.
  net::Endpoint m_callers;             // Required.
  net::Endpoint m_ready;               // Where the platform asks whether to send callers here; required.
  net::Endpoint m_inner;               // The inner protocol, for other instances; required.
  net::Endpoint m_metrics;             // Port 0: any free one.
  std::vector<net::Endpoint> m_seeds;  // Inner addresses of some instances; they may be down.
  Millis m_grace{6'000};               // Between SIGTERM and SIGKILL.
};

// [store]
struct StoreSection {
  net::Endpoint m_address;  // Required.
};

// [capacity]: what the machine has, so that an able one leads and none takes more than there is.
struct CapacitySection {
  double m_processor_share = 1.0;  // Of a core.
  double m_link_mbit_s = 1'000.0;  // Of its network link.
  int m_memory_mb = 128;           // The process is killed beyond it.
  int m_descriptors = 3'072;       // Most that the process may have open.
};

// [machines]
struct MachinesSection {
  net::Endpoint m_address;  // Where the platform lists its machines; without it only leases prove a worker clear.
};

// [terms]: what the platform promises of its workers.
struct TermsSection {
  Millis m_longest_lease{6'000};  // A longer lease of a worker is cut to this.
  Millis m_stop_timeout{1'000};   // A stopped task has ended by then.
  Millis m_reclaim{2'700};        // Work within its account's guarantee has begun by then.
  Millis m_restore{250};          // What a start from a checkpoint costs.
  Millis m_keep_ended{120'000};   // The state of an ended job can be asked for this long.
  Millis m_evacuate{0};           // No task is started in an evacuated failure domain after this; 0: none is evacuated.
  Millis m_cancel{3'000};         // Nothing of a cancelled job is started later than this.
  Millis m_drain{2'000};          // Nothing is started later than this on a worker that has announced its leaving.
  std::size_t m_row_bytes = 65'536;  // The store takes no larger rows.
  double m_remote_factor = 3.0;      // Slowdown of work away from its data, and of gangs across racks.
};

//-------------------------------------------------------------------------------------------------
// [SECTION] The whole file
//-------------------------------------------------------------------------------------------------

struct NodeSettings {
  NodeSection m_node;
  StoreSection m_store;
  CapacitySection m_capacity;
  MachinesSection m_machines;
  TermsSection m_terms;
  log::Settings m_log;
  std::vector<std::string> m_ignored;  // "[section] key" of the platform's facts that this version doesn't know.
};

// Reads and checks the file. Unknown sections and keys are errors, but for keys in the sections of the platform's facts
// ([capacity], [machines], [terms]): a file made for a later version must not stop this one.
Settled<NodeSettings> ParseNodeSettings(const std::string& path);
Settled<NodeSettings> ParseNodeSettings(const std::string& name, std::istream& text);

// Every section and key that ParseNodeSettings knows, as "[section] key", for the reference in the docs.
std::vector<std::string> KnownNodeKeys();

}  // namespace hickoryquay::settings
