#include "hickoryquay/store/configuration_store.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <cstdio>
#include <utility>

#include "hickoryquay/base/log.h"
#include "hickoryquay/model/json.h"

namespace hickoryquay::store {

namespace {

namespace json = boost::json;

constexpr log::Part kLog{"config"};
constexpr char kPrefix[] = "config/";
constexpr char kRootKey[] = "config/root";
constexpr char kStampKey[] = "config/stamp";
constexpr int kPageRows = 50;
constexpr int kMaxEditTries = 8;  // Openings of other markets that one edit gives way to.

std::string AuditKey(Instant wall, const std::string& instance, std::uint64_t number) {
  char digits[24];
  std::snprintf(digits, sizeof digits, "%015lld", static_cast<long long>(wall.m_ms));
  return std::string("audit/") + digits + "-" + instance + "-" + std::to_string(number);
}

std::optional<std::string> DocumentText(const MarketEdit& edit) {
  if (!edit.m_document) return std::nullopt;
  return json::serialize(ToJson(*edit.m_document));
}

const Row* FindRow(const Conflict& conflict, const std::string& key) {
  const auto found =
      std::find_if(conflict.m_rows.begin(), conflict.m_rows.end(), [&](const Row& row) { return row.m_key == key; });
  return found == conflict.m_rows.end() ? nullptr : &*found;
}

}  // namespace

struct ConfigurationStore::Edit {
  std::vector<MarketEdit> m_markets;
  Audit m_audit;
  ChangeCallback m_callback;
  std::vector<MarketId> m_root_markets;  // What the commit makes of the root, where it writes it.
  int m_tries = 0;

  bool TouchesRoot() const {
    return std::any_of(m_markets.begin(), m_markets.end(),
                       [](const MarketEdit& edit) { return edit.m_expected == Version{0} || !edit.m_document; });
  }
};

std::string ToString(const ChangeError& error) {
  return std::visit(Overloaded{[](const LostAgainst& e) {
                                 return "another change came first, version " + std::to_string(Raw(e.m_version));
                               },
                               [](const ChangeNotDone& e) { return "not done: " + e.m_why; },
                               [](const ChangeUnsure& e) { return "may have been done: " + e.m_why; }},
                    error);
}

ConfigurationStore::ConfigurationStore(ConfigurationParts parts, ConfigurationSettings settings)
    : m_parts(std::move(parts)),
      m_settings(std::move(settings)),
      m_applied(m_parts.m_metrics->GetCounter("hq_configuration_applied_total")),
      m_conflicts(m_parts.m_metrics->GetCounter("hq_configuration_conflicts_total")),
      m_age_s(m_parts.m_metrics->GetGauge("hq_configuration_age_seconds")),
      m_current(std::make_shared<const Configuration>()) {}

void ConfigurationStore::Start() {
  const auto poll = [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self) self->m_parts.m_executor([self] { self->Poll(); });
  };
  m_timer = m_parts.m_timers->Every(m_settings.m_poll_every, poll);
  poll();
}

void ConfigurationStore::Stop() {
  m_timer.Cancel();
}

std::shared_ptr<const Configuration> ConfigurationStore::Current() const {
  const std::lock_guard lock(m_mutex);
  return m_current;
}

void ConfigurationStore::Subscribe(Subscriber subscriber) {
  m_parts.m_executor([self = shared_from_this(), subscriber = std::move(subscriber)] {
    subscriber(self->Current());
    self->m_subscribers.push_back(subscriber);
  });
}

std::vector<DocumentVersion> ConfigurationStore::Versions() const {
  const std::lock_guard lock(m_mutex);
  return m_documents.Versions();
}

std::vector<ConfigurationDocument> ConfigurationStore::Documents() const {
  const std::lock_guard lock(m_mutex);
  std::vector<ConfigurationDocument> documents;
  for (const DocumentVersion& known : m_documents.Versions()) documents.push_back(*m_documents.Find(known.m_key));
  return documents;
}

//-------------------------------------------------------------------------------------------------
// [SECTION] Reading
//-------------------------------------------------------------------------------------------------

void ConfigurationStore::Poll() {
  m_age_s.Set(static_cast<double>((m_parts.m_clock->Now() - m_answered_at).count()) / 1000.0);
  if (m_reading) return;
  m_reading = true;
  m_parts.m_table->Get(kStampKey, [self = shared_from_this()](const Result<Row, TableError>& result) {
    self->m_parts.m_executor([self, result] {
      if (!Ok(result)) {
        self->m_reading = false;
        return;
      }
      self->OnStamp(ValueOf(result));
    });
  });
}

void ConfigurationStore::OnStamp(const Row& row) {
  const Instant now = m_parts.m_clock->Now();
  m_answered_at = now;
  const bool moved = row.m_version > m_stamp;
  const bool due = !m_read_once || now - m_read_all_at >= m_settings.m_read_all_every;
  if (!moved && !due) {
    m_reading = false;
    return;
  }
  ReadAll(kPrefix, row.m_version);
}

// The stamp was read before the documents: a change in between moves it again and is read next time.
void ConfigurationStore::ReadAll(const std::string& after, Version stamp) {
  m_parts.m_table->Scan(kPrefix, after, kPageRows,
                        [self = shared_from_this(), stamp](const Result<Page, TableError>& result) {
                          self->m_parts.m_executor([self, stamp, result] {
                            if (!Ok(result)) {
                              self->m_reading = false;
                              return;
                            }
                            self->OnPage(ValueOf(result), stamp);
                          });
                        });
}

void ConfigurationStore::OnPage(const Page& page, Version stamp) {
  for (const Row& row : page.m_rows) {
    if (row.m_key != kStampKey) Take({row.m_key, row.m_value, row.m_version});
  }
  Publish();
  if (page.m_more && !page.m_rows.empty()) return ReadAll(page.m_rows.back().m_key, stamp);
  m_reading = false;
  m_read_once = true;
  m_stamp = std::max(m_stamp, stamp);
  m_read_all_at = m_parts.m_clock->Now();
}

void ConfigurationStore::Take(const ConfigurationDocument& document) {
  const std::lock_guard lock(m_mutex);
  const auto outcome = m_documents.Apply(document);
  if (outcome == DocumentSet::Outcome::kOld) return;
  const log::Fields fields = {{"key", document.m_key}, {"version", std::to_string(Raw(document.m_version))}};
  if (outcome == DocumentSet::Outcome::kUnreadable)
    return log::Warn(kLog, "Document can't be read, keeping the last", fields);
  m_applied.Add();
  m_stale = true;
  log::Info(kLog, "Document in force", fields);
}

void ConfigurationStore::Publish() {
  std::shared_ptr<const Configuration> published;
  {
    const std::lock_guard lock(m_mutex);
    if (!m_stale) return;
    m_stale = false;
    m_current = m_documents.Build();
    published = m_current;
  }
  for (const Subscriber& subscriber : m_subscribers) subscriber(published);
}

void ConfigurationStore::Offer(ConfigurationDocument document) {
  m_parts.m_executor([self = shared_from_this(), document = std::move(document)] {
    self->Take(document);
    self->Publish();
  });
}

//-------------------------------------------------------------------------------------------------
// [SECTION] Changing
//-------------------------------------------------------------------------------------------------

void ConfigurationStore::Change(std::vector<MarketEdit> edits, Audit audit, ChangeCallback callback) {
  auto edit = std::make_shared<Edit>();
  edit->m_markets = std::move(edits);
  edit->m_audit = std::move(audit);
  edit->m_callback = std::move(callback);
  m_parts.m_executor([self = shared_from_this(), edit = std::move(edit)] { self->StartEdit(edit); });
}

void ConfigurationStore::StartEdit(EditPtr edit) {
  ++edit->m_tries;
  if (!edit->TouchesRoot()) return SubmitEdit(edit, nullptr);
  m_parts.m_table->Get(kRootKey, [self = shared_from_this(), edit](const Result<Row, TableError>& result) {
    self->m_parts.m_executor([self, edit, result] {
      if (!Ok(result)) return self->OnEditFailed(edit, ErrorOf(result));
      self->OnRoot(edit, ValueOf(result));
    });
  });
}

void ConfigurationStore::OnRoot(const EditPtr& edit, const Row& root) {
  std::vector<MarketId> markets;
  if (root.m_version != Version{0}) {
    auto parsed = ParseRoot(root.m_value);
    if (!Ok(parsed)) return edit->m_callback(ChangeError{ChangeNotDone{"the root can't be read: " + ErrorOf(parsed)}});
    markets = TakeValue(std::move(parsed));
  }
  for (const MarketEdit& market : edit->m_markets) {
    std::erase(markets, market.m_market);
    if (market.m_document) markets.push_back(market.m_market);
  }
  edit->m_root_markets = std::move(markets);
  SubmitEdit(edit, &root);
}

void ConfigurationStore::SubmitEdit(const EditPtr& edit, const Row* root) {
  Commit commit;
  commit.m_writes.push_back({kStampKey, std::string("{}")});
  for (const MarketEdit& market : edit->m_markets) AddMarket(market, edit->m_audit, &commit);
  if (root != nullptr) {
    commit.m_checks.push_back({kRootKey, root->m_version});
    commit.m_writes.push_back({kRootKey, RootValue(edit->m_root_markets)});
  }
  m_parts.m_table->Submit(std::move(commit),
                          [self = shared_from_this(), edit](const Result<Committed, TableError>& result) {
                            self->m_parts.m_executor([self, edit, result] {
                              if (!Ok(result)) return self->OnEditFailed(edit, ErrorOf(result));
                              self->OnCommitted(edit, ValueOf(result).m_version);
                            });
                          });
}

void ConfigurationStore::AddMarket(const MarketEdit& edit, const Audit& audit, Commit* commit) {
  const Instant wall = m_parts.m_clock->Wall();
  const std::string audit_key = AuditKey(wall, m_settings.m_instance, ++m_audits);
  const json::object audit_row{{"by", audit.m_by},
                               {"at_ms", wall.m_ms},
                               {"what", audit.m_what},
                               {"market", edit.m_market.m_value},
                               {"from_version", Raw(edit.m_expected)}};
  commit->m_checks.push_back({MarketKey(edit.m_market), edit.m_expected});
  commit->m_checks.push_back({audit_key, Version{0}});
  commit->m_writes.push_back({audit_key, json::serialize(audit_row)});
  commit->m_writes.push_back({MarketKey(edit.m_market), DocumentText(edit)});
}

void ConfigurationStore::OnCommitted(const EditPtr& edit, Version version) {
  for (const MarketEdit& market : edit->m_markets) {
    if (market.m_document) Take({MarketKey(market.m_market), *DocumentText(market), version});
    log::Info(kLog, "Change accepted", {{"market", market.m_market.m_value}, {"by", edit->m_audit.m_by}});
  }
  if (edit->TouchesRoot()) Take({kRootKey, RootValue(edit->m_root_markets), version});
  Publish();
  edit->m_callback(version);
}

void ConfigurationStore::OnEditFailed(const EditPtr& edit, const TableError& error) {
  if (const auto* conflict = std::get_if<Conflict>(&error)) return OnEditConflict(edit, *conflict);
  if (std::holds_alternative<InDoubt>(error)) return edit->m_callback(ChangeError{ChangeUnsure{ToString(error)}});
  edit->m_callback(ChangeError{ChangeNotDone{ToString(error)}});
}

// A conflict on the root alone: another market was opened or dropped meanwhile, which is no quarrel with this one.
void ConfigurationStore::OnEditConflict(const EditPtr& edit, const Conflict& conflict) {
  const auto lost = std::find_if(edit->m_markets.begin(), edit->m_markets.end(), [&](const MarketEdit& market) {
    return FindRow(conflict, MarketKey(market.m_market)) != nullptr;
  });
  if (lost == edit->m_markets.end()) {
    if (edit->m_tries < kMaxEditTries) return StartEdit(edit);
    return edit->m_callback(ChangeError{ChangeNotDone{"other markets are opened or dropped all the time"}});
  }
  m_conflicts.Add();
  const Row& row = *FindRow(conflict, MarketKey(lost->m_market));
  if (row.m_version > Version{0}) {
    Take({row.m_key, row.m_value, row.m_version});
    Publish();
  }
  edit->m_callback(ChangeError{LostAgainst{lost->m_market, lost->m_expected, row.m_version, row.m_value}});
}

boost::json::value ConfigurationStore::Dump() const {
  json::array documents;
  for (const DocumentVersion& known : Versions()) {
    documents.push_back(json::object{{"key", known.m_key}, {"version", Raw(known.m_version)}});
  }
  return json::object{{"documents", std::move(documents)}, {"applied", m_applied.Value()}};
}

}  // namespace hickoryquay::store
