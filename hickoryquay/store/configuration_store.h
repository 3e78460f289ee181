// ConfigurationStore: the configuration in force at this instance, and the way to change it.
//
// Each document is a row with a version of its own. A document is applied only where its version is higher than that of
// the one in force, whether it comes from the table or from a peer, so the configuration never reverts. Documents in
// force stay through outages.
//
// A poll reads one small row, config/stamp, that every change writes; documents are read only after it moved.
//
// Index of this file:
//   [SECTION] Documents
//   [SECTION] Changes
//   [SECTION] ConfigurationStore
#pragma once

#include <boost/json/value.hpp>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "hickoryquay/base/metrics.h"
#include "hickoryquay/base/timer_service.h"
#include "hickoryquay/model/model.h"
#include "hickoryquay/store/serial_executor.h"
#include "hickoryquay/store/table.h"

namespace hickoryquay::store {

//-------------------------------------------------------------------------------------------------
// [SECTION] Documents
//-------------------------------------------------------------------------------------------------

// A row of the configuration as the table holds it; peers hand it on unchanged.
struct ConfigurationDocument {
  std::string m_key;  // "config/root" or "config/market/<market>".
  std::string m_value;
  Version m_version{};
};

struct DocumentVersion {
  std::string m_key;
  Version m_version{};

  bool operator==(const DocumentVersion&) const = default;
};

// The documents known and the configuration they make. Pure; not thread-safe.
class DocumentSet {
 public:
  enum class Outcome { kApplied, kOld, kUnreadable };

  // Applies only rising versions.
  Outcome Apply(const ConfigurationDocument& document);

  // The markets that the root lists and whose documents are known.
  std::shared_ptr<const Configuration> Build() const;

  std::vector<DocumentVersion> Versions() const;
  const ConfigurationDocument* Find(const std::string& key) const;  // nullptr where it is unknown.
  const std::vector<MarketId>& Listed() const { return m_listed; }

 private:
  bool ApplyRoot(const std::string& value);
  bool ApplyMarket(const ConfigurationDocument& document);

  std::map<std::string, ConfigurationDocument> m_documents;
  std::map<MarketId, std::shared_ptr<const Market>> m_markets;
  std::vector<MarketId> m_listed;  // By the root.
};

std::string MarketKey(const MarketId& market);
std::string RootValue(const std::vector<MarketId>& markets);
Result<std::vector<MarketId>, std::string> ParseRoot(const std::string& value);  // The error says what is wrong.

//-------------------------------------------------------------------------------------------------
// [SECTION] Changes
//-------------------------------------------------------------------------------------------------

// Who changes what, for the audit row.
struct Audit {
  std::string m_by;
  std::string m_what;
};

// One market of a change.
struct MarketEdit {
  MarketId m_market;
  Version m_expected{};              // 0: must be absent; the edit opens it.
  std::optional<Market> m_document;  // Empty: drops the market.
};

// Another change came first; nothing was done.
struct LostAgainst {
  MarketId m_market;
  Version m_expected{};
  Version m_version{};     // In force now; 0: the market is gone or never was.
  std::string m_document;  // As JSON, now; empty where it is gone.
};

// Nothing was done.
struct ChangeNotDone {
  std::string m_why;
};

// May have been done; the audit rows tell once the table answers.
struct ChangeUnsure {
  std::string m_why;
};

using ChangeError = std::variant<LostAgainst, ChangeNotDone, ChangeUnsure>;
std::string ToString(const ChangeError& error);
using ChangeCallback = std::function<void(Result<Version, ChangeError>)>;  // The version now in force.

//-------------------------------------------------------------------------------------------------
// [SECTION] ConfigurationStore
//-------------------------------------------------------------------------------------------------

struct ConfigurationSettings {
  Millis m_poll_every{1'000};       // Reads one small row.
  Millis m_read_all_every{30'000};  // Reads every document, in case a change did not write the stamp.
  std::string m_instance;           // Unique to the process; part of the keys of audit rows.
};

struct ConfigurationParts {
  Table* m_table = nullptr;
  SerialExecutor m_executor;
  TimerService* m_timers = nullptr;
  const Clock* m_clock = nullptr;
  Metrics* m_metrics = nullptr;
};

// Thread-safe. Subscribers and callbacks run on the executor.
class ConfigurationStore : public std::enable_shared_from_this<ConfigurationStore> {
 public:
  using Subscriber = std::function<void(const std::shared_ptr<const Configuration>&)>;

  ConfigurationStore(ConfigurationParts parts, ConfigurationSettings settings);

  void Start();
  void Stop();

  // Never nullptr; empty before the first document.
  std::shared_ptr<const Configuration> Current() const;

  // Called at once with the current configuration, then with each that follows.
  void Subscribe(Subscriber subscriber);

  // A document from a peer. Applied by the same rule as one from the table.
  void Offer(ConfigurationDocument document);

  // What is in force here, for gossip. Thread-safe copies.
  std::vector<DocumentVersion> Versions() const;
  std::vector<ConfigurationDocument> Documents() const;

  // Commits all edits or none by compare-and-set, with an audit row for each. The markets are taken as checked by the
  // caller. All documents of one change have the same version.
  void Change(std::vector<MarketEdit> edits, Audit audit, ChangeCallback callback);

  boost::json::value Dump() const;

 private:
  struct Edit;  // One change under way.
  using EditPtr = std::shared_ptr<Edit>;

  void Poll();
  void OnStamp(const Row& row);
  void ReadAll(const std::string& after, Version stamp);
  void OnPage(const Page& page, Version stamp);
  void Take(const ConfigurationDocument& document);
  void Publish();

  void StartEdit(EditPtr edit);
  void OnRoot(const EditPtr& edit, const Row& root);
  void SubmitEdit(const EditPtr& edit, const Row* root);
  void AddMarket(const MarketEdit& edit, const Audit& audit, Commit* commit);
  void OnCommitted(const EditPtr& edit, Version version);
  void OnEditFailed(const EditPtr& edit, const TableError& error);
  void OnEditConflict(const EditPtr& edit, const Conflict& conflict);

  const ConfigurationParts m_parts;
  const ConfigurationSettings m_settings;
  Counter& m_applied;
  Counter& m_conflicts;
  Gauge& m_age_s;

  mutable std::mutex m_mutex;
  std::shared_ptr<const Configuration> m_current;  // Guarded by m_mutex.
  DocumentSet m_documents;                         // Guarded by m_mutex.
  bool m_stale = false;                            // m_documents holds more than m_current. Guarded by m_mutex.

  std::vector<Subscriber> m_subscribers;  // Executor only, as all below.
  bool m_reading = false;
  Version m_stamp{};  // Of the last complete read of all documents.
  Instant m_read_all_at;
  Instant m_answered_at;
  bool m_read_once = false;
  std::uint64_t m_audits = 0;
  Subscription m_timer;
};

}  // namespace hickoryquay::store
