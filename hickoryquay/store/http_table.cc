#include "hickoryquay/store/http_table.h"

#include <algorithm>
#include <atomic>
#include <boost/json/object.hpp>
#include <deque>
#include <random>
#include <utility>

#include "hickoryquay/base/log.h"
#include "hickoryquay/store/commit_batch.h"
#include "hickoryquay/store/table_codec.h"

namespace hickoryquay::store {

namespace {

constexpr log::Part kLog{"store"};
constexpr int kHttpOk = 200;
constexpr int kHttpNotFound = 404;
constexpr int kHttpConflict = 409;
constexpr int kHttpUnavailable = 503;

bool IsClientError(int status) {
  return status >= 400 && status < 500;
}

// One Get or Scan with its retries. Give returns an error where the answer can't be read.
struct Read {
  net::HttpRequest m_request;
  Instant m_deadline;
  int m_tries = 0;
  std::function<bool(const net::HttpResponse&)> m_give;  // False: not an answer to this call.
  std::function<void(TableError)> m_fail;
};

struct Meters {
  explicit Meters(Metrics* metrics)
      : m_reads(metrics->GetCounter("hq_table_calls_total", {{"call", "read"}})),
        m_commits(metrics->GetCounter("hq_table_calls_total", {{"call", "commit"}})),
        m_rows(metrics->GetCounter("hq_table_rows_written_total")),
        m_retries(metrics->GetCounter("hq_table_retries_total")),
        m_doubts(metrics->GetCounter("hq_table_lost_answers_total")),
        m_in_doubt(metrics->GetCounter("hq_table_in_doubt_total")),
        m_refused(metrics->GetCounter("hq_table_refused_total")),
        m_open(metrics->GetGauge("hq_table_circuit_open")) {}

  Counter& m_reads;
  Counter& m_commits;
  Counter& m_rows;
  Counter& m_retries;
  Counter& m_doubts;
  Counter& m_in_doubt;
  Counter& m_refused;
  Gauge& m_open;
};

}  // namespace

// All state belongs to the executor.
class HttpTable::Impl : public std::enable_shared_from_this<HttpTable::Impl> {
 public:
  Impl(HttpTableParts parts, HttpTableSettings settings)
      : m_parts(std::move(parts)),
        m_settings(std::move(settings)),
        m_meters(m_parts.m_metrics),
        m_circuit(m_settings.m_circuit),
        m_random(std::random_device{}()) {
    if (m_settings.m_token_prefix.empty()) m_settings.m_token_prefix = std::to_string(m_random());
  }

  void StartRead(net::HttpRequest request, std::function<bool(const net::HttpResponse&)> give,
                 std::function<void(TableError)> fail);
  void Submit(Commit commit, CommitCallback callback);

  bool Degraded() const { return m_degraded.load(std::memory_order_relaxed); }
  boost::json::value Dump() const;

 private:
  using ReadPtr = std::shared_ptr<Read>;
  using BatchPtr = std::shared_ptr<CommitBatch>;

  void Post(std::function<void()> task) { m_parts.m_executor(std::move(task)); }
  void After(Millis delay, std::function<void()> task);
  Instant Now() const { return m_parts.m_clock->Now(); }
  Millis Backoff(int tries);
  Millis Timeout(Instant deadline) const { return std::min(m_settings.m_attempt_timeout, deadline - Now()); }
  void Send(net::HttpRequest request, Millis timeout, net::ResponseCallback callback);
  void Note(bool success);

  void SendRead(const ReadPtr& read);
  void OnRead(const ReadPtr& read, const Result<net::HttpResponse, net::NetError>& result);
  void RetryRead(const ReadPtr& read, const std::string& why);

  void Pump();
  void RefuseQueue(const std::string& why);
  BatchPtr NextBatch();
  void SendBatch(const BatchPtr& batch);
  void OnBatch(const BatchPtr& batch, const Result<net::HttpResponse, net::NetError>& result);
  void OnConflict(const BatchPtr& batch, const Conflict& conflict);
  void NotDone(const BatchPtr& batch, const std::string& why);
  void LostAnswer(const BatchPtr& batch, const std::string& why);
  void SettleLater(const BatchPtr& batch);
  void ReadBack(const BatchPtr& batch);
  void OnReadBack(const BatchPtr& batch, const Result<net::HttpResponse, net::NetError>& result);
  void Finish(const BatchPtr& batch, const Result<Committed, TableError>& result);
  void Release();

  const HttpTableParts m_parts;
  HttpTableSettings m_settings;
  Meters m_meters;
  Circuit m_circuit;
  std::mt19937_64 m_random;
  std::deque<PendingCommit> m_queue;
  int m_in_flight = 0;  // Batches sent or being settled.
  std::uint64_t m_next_token = 0;
  std::atomic<bool> m_degraded{false};
  std::atomic<std::size_t> m_queued{0};
};

void HttpTable::Impl::After(Millis delay, std::function<void()> task) {
  m_parts.m_timers
      ->After(delay, [self = shared_from_this(), task = std::move(task)]() mutable { self->Post(std::move(task)); })
      .Detach();
}

// Full jitter: any time up to the doubled delay, so that instances do not come back in step.
Millis HttpTable::Impl::Backoff(int tries) {
  const std::int64_t doubled = m_settings.m_retry_base.count() << std::min(tries, 16);
  const std::int64_t limit = std::min<std::int64_t>(doubled, m_settings.m_retry_cap.count());
  return Millis{std::uniform_int_distribution<std::int64_t>(1, limit)(m_random)};
}

void HttpTable::Impl::Send(net::HttpRequest request, Millis timeout, net::ResponseCallback callback) {
  m_parts.m_send(m_settings.m_endpoint, std::move(request), std::max(timeout, Millis{1}),
                 [self = shared_from_this(), callback = std::move(callback)](auto result) {
                   self->Post([callback, result = std::move(result)] { callback(result); });
                 });
}

void HttpTable::Impl::Note(bool success) {
  const bool was_open = m_circuit.Open();
  success ? m_circuit.Succeeded() : m_circuit.Failed(Now());
  const bool open = m_circuit.Open();
  m_degraded.store(open, std::memory_order_relaxed);
  m_meters.m_open.Set(open ? 1.0 : 0.0);
  if (open && !was_open) {
    log::Warn(kLog, "Table is away, calls are refused until it answers",
              {{"failures", std::to_string(m_circuit.Failures())}});
    RefuseQueue("the table service does not answer");
  }
  if (!open && was_open) log::Info(kLog, "Table answers again");
}

//-------------------------------------------------------------------------------------------------
// [SECTION] Reads
//-------------------------------------------------------------------------------------------------

void HttpTable::Impl::StartRead(net::HttpRequest request, std::function<bool(const net::HttpResponse&)> give,
                                std::function<void(TableError)> fail) {
  auto read = std::make_shared<Read>();
  read->m_request = std::move(request);
  read->m_give = std::move(give);
  read->m_fail = std::move(fail);
  read->m_deadline = Now() + m_settings.m_read_deadline;
  Post([self = shared_from_this(), read] { self->SendRead(read); });
}

void HttpTable::Impl::SendRead(const ReadPtr& read) {
  if (!m_circuit.MaySend(Now())) {
    m_meters.m_refused.Add();
    return read->m_fail(Unavailable{"the table service does not answer"});
  }
  ++read->m_tries;
  m_meters.m_reads.Add();
  Send(read->m_request, Timeout(read->m_deadline),
       [self = shared_from_this(), read](const auto& result) { self->OnRead(read, result); });
}

void HttpTable::Impl::OnRead(const ReadPtr& read, const Result<net::HttpResponse, net::NetError>& result) {
  if (!Ok(result)) {
    Note(false);
    return RetryRead(read, net::ToString(ErrorOf(result)));
  }
  const net::HttpResponse& response = ValueOf(result);
  if (read->m_give(response)) return Note(true);
  if (IsClientError(response.m_status)) {
    Note(true);
    return read->m_fail(Unavailable{"the table service refused the read: " + std::to_string(response.m_status)});
  }
  Note(false);
  RetryRead(read, "the table service answered " + std::to_string(response.m_status));
}

void HttpTable::Impl::RetryRead(const ReadPtr& read, const std::string& why) {
  const Millis delay = Backoff(read->m_tries);
  const bool late = Now() + delay >= read->m_deadline;
  if (late || m_circuit.Open() || !m_circuit.TakeRetry()) return read->m_fail(Unavailable{why});
  m_meters.m_retries.Add();
  After(delay, [self = shared_from_this(), read] { self->SendRead(read); });
}

//-------------------------------------------------------------------------------------------------
// [SECTION] Commits
//-------------------------------------------------------------------------------------------------

void HttpTable::Impl::Submit(Commit commit, CommitCallback callback) {
  PendingCommit pending{std::move(commit), std::move(callback), Now() + m_settings.m_commit_deadline};
  Post([self = shared_from_this(), pending = std::move(pending)]() mutable {
    if (static_cast<int>(self->m_queue.size()) >= self->m_settings.m_max_queued_commits) {
      self->m_meters.m_refused.Add();
      return pending.m_callback(TableError{Unavailable{"too many commits wait for the table service"}});
    }
    self->m_queue.push_back(std::move(pending));
    self->Pump();
  });
}

void HttpTable::Impl::Pump() {
  while (!m_queue.empty() && m_in_flight < m_settings.m_max_commits_in_flight) {
    if (!m_circuit.MaySend(Now())) {
      RefuseQueue("the table service does not answer");
      break;
    }
    const BatchPtr batch = NextBatch();
    ++m_in_flight;
    SendBatch(batch);
  }
  m_queued.store(m_queue.size(), std::memory_order_relaxed);
}

void HttpTable::Impl::RefuseQueue(const std::string& why) {
  std::deque<PendingCommit> refused;
  refused.swap(m_queue);
  m_meters.m_refused.Add(refused.size());
  for (const PendingCommit& pending : refused) pending.m_callback(TableError{Unavailable{why}});
}

HttpTable::Impl::BatchPtr HttpTable::Impl::NextBatch() {
  const std::string token = m_settings.m_token_prefix + "-" + std::to_string(++m_next_token);
  auto batch = std::make_shared<CommitBatch>(token, std::move(m_queue.front()));
  m_queue.pop_front();
  while (!m_queue.empty() && batch->TryAdd(&m_queue.front(), m_settings.m_max_batch_rows)) m_queue.pop_front();
  return batch;
}

void HttpTable::Impl::SendBatch(const BatchPtr& batch) {
  ++batch->m_tries;
  m_meters.m_commits.Add();
  Send(CommitRequest(batch->Merged()), Timeout(batch->Deadline()),
       [self = shared_from_this(), batch](const auto& result) { self->OnBatch(batch, result); });
}

void HttpTable::Impl::OnBatch(const BatchPtr& batch, const Result<net::HttpResponse, net::NetError>& result) {
  if (!Ok(result)) {
    Note(false);
    const std::string why = net::ToString(ErrorOf(result));
    return net::MaybeSent(ErrorOf(result)) ? LostAnswer(batch, why) : NotDone(batch, why);
  }
  const net::HttpResponse& response = ValueOf(result);
  const std::string status = "the table service answered " + std::to_string(response.m_status);
  if (response.m_status == kHttpOk) {
    const auto committed = ParseCommitted(response.m_body);
    Note(Ok(committed));
    if (!Ok(committed)) return LostAnswer(batch, ErrorOf(committed).m_why);
    m_meters.m_rows.Add(batch->Merged().m_writes.size());
    return Finish(batch, ValueOf(committed));
  }
  if (response.m_status == kHttpConflict) {
    const auto conflict = ParseConflict(response.m_body);
    Note(Ok(conflict));
    return Ok(conflict) ? OnConflict(batch, ValueOf(conflict)) : LostAnswer(batch, ErrorOf(conflict).m_why);
  }
  if (response.m_status == kHttpUnavailable) {
    Note(false);
    return NotDone(batch, status);
  }
  if (!IsClientError(response.m_status)) {
    Note(false);
    return LostAnswer(batch, status);
  }
  Note(true);
  if (batch->m_maybe_applied) return Finish(batch, TableError{InDoubt{status}});
  Finish(batch, TableError{Unavailable{status}});
}

void HttpTable::Impl::OnConflict(const BatchPtr& batch, const Conflict& conflict) {
  std::vector<MemberOutcome> outcomes = batch->OnConflict(conflict, batch->m_maybe_applied);
  std::vector<PendingCommit> again;
  for (std::size_t i = 0; i < outcomes.size(); ++i) {
    PendingCommit& member = batch->Members()[i];
    std::visit(Overloaded{[&](const Committed& committed) { member.m_callback(committed); },
                          [&](const Conflict& part) { member.m_callback(TableError{part}); },
                          [&](const InDoubt& doubt) {
                            m_meters.m_in_doubt.Add();
                            member.m_callback(TableError{doubt});
                          },
                          [&](const SendAgain&) { again.push_back(std::move(member)); }},
               outcomes[i]);
  }
  for (auto member = again.rbegin(); member != again.rend(); ++member) m_queue.push_front(std::move(*member));
  Release();
}

// This try provably did nothing; an earlier one may have.
void HttpTable::Impl::NotDone(const BatchPtr& batch, const std::string& why) {
  if (batch->m_maybe_applied) return SettleLater(batch);
  const Millis delay = Backoff(batch->m_tries);
  const bool late = Now() + delay >= batch->Deadline();
  if (late || m_circuit.Open() || !m_circuit.TakeRetry()) return Finish(batch, TableError{Unavailable{why}});
  m_meters.m_retries.Add();
  After(delay, [self = shared_from_this(), batch] { self->SendBatch(batch); });
}

void HttpTable::Impl::LostAnswer(const BatchPtr& batch, const std::string& why) {
  log::Debug(kLog, "Answer to a commit was lost", {{"token", batch->Merged().m_token}, {"why", why}});
  m_meters.m_doubts.Add();
  batch->m_maybe_applied = true;
  SettleLater(batch);
}

// Settling goes on until the deadline, also while the circuit is open: its result is worth a probe.
void HttpTable::Impl::SettleLater(const BatchPtr& batch) {
  const Millis delay = Backoff(batch->m_tries);
  if (Now() + delay >= batch->Deadline()) {
    return Finish(batch, TableError{InDoubt{"the answer was lost and the table service does not answer"}});
  }
  After(delay, [self = shared_from_this(), batch] { self->ReadBack(batch); });
}

void HttpTable::Impl::ReadBack(const BatchPtr& batch) {
  const std::string key = batch->ReadBackKey();
  ++batch->m_tries;
  m_meters.m_retries.Add();
  if (key.empty()) {
    if (batch->Guarded()) return SendBatch(batch);
    return Finish(batch, TableError{InDoubt{"the answer was lost and a deletion can't be told from another's"}});
  }
  m_meters.m_reads.Add();
  Send(GetRequest(key), Timeout(batch->Deadline()),
       [self = shared_from_this(), batch](const auto& result) { self->OnReadBack(batch, result); });
}

void HttpTable::Impl::OnReadBack(const BatchPtr& batch, const Result<net::HttpResponse, net::NetError>& result) {
  const bool answered =
      Ok(result) && (ValueOf(result).m_status == kHttpOk || ValueOf(result).m_status == kHttpNotFound);
  Note(answered);
  if (!answered) return SettleLater(batch);
  if (ValueOf(result).m_status == kHttpOk) {
    const auto row = ParseRow(ValueOf(result).m_body);
    if (!Ok(row)) return SettleLater(batch);
    if (ValueOf(row).m_token == batch->Merged().m_token) return Finish(batch, Committed{ValueOf(row).m_version});
  }
  // Not there: it may never have been done, have been overwritten, or still be under way.
  if (batch->Guarded()) return SendBatch(batch);
  Finish(batch, TableError{InDoubt{"the answer was lost and the row bears another commit's token"}});
}

void HttpTable::Impl::Finish(const BatchPtr& batch, const Result<Committed, TableError>& result) {
  if (!Ok(result) && std::holds_alternative<InDoubt>(ErrorOf(result))) m_meters.m_in_doubt.Add();
  for (const PendingCommit& member : batch->Members()) member.m_callback(result);
  Release();
}

void HttpTable::Impl::Release() {
  --m_in_flight;
  Pump();
}

boost::json::value HttpTable::Impl::Dump() const {
  return boost::json::object{{"endpoint", net::ToString(m_settings.m_endpoint)},
                             {"degraded", Degraded()},
                             {"queued_commits", m_queued.load(std::memory_order_relaxed)},
                             {"reads", m_meters.m_reads.Value()},
                             {"commits", m_meters.m_commits.Value()},
                             {"rows_written", m_meters.m_rows.Value()},
                             {"retries", m_meters.m_retries.Value()},
                             {"lost_answers", m_meters.m_doubts.Value()},
                             {"in_doubt", m_meters.m_in_doubt.Value()},
                             {"refused", m_meters.m_refused.Value()}};
}

//-------------------------------------------------------------------------------------------------
// [SECTION] Interface
//-------------------------------------------------------------------------------------------------

HttpTable::HttpTable(HttpTableParts parts, const HttpTableSettings& settings)
    : m_impl(std::make_shared<Impl>(std::move(parts), settings)) {}

HttpTable::~HttpTable() = default;

void HttpTable::Get(const std::string& key, RowCallback callback) {
  auto give = [key, callback](const net::HttpResponse& response) {
    if (response.m_status == kHttpNotFound) {
      callback(Row{key, "", Version{0}, ""});
      return true;
    }
    if (response.m_status != kHttpOk) return false;
    const auto row = ParseRow(response.m_body);
    if (!Ok(row) || ValueOf(row).m_key != key) return false;
    callback(ValueOf(row));
    return true;
  };
  m_impl->StartRead(GetRequest(key), std::move(give), std::move(callback));
}

void HttpTable::Scan(const std::string& prefix, const std::string& after, int limit, PageCallback callback) {
  auto give = [callback](const net::HttpResponse& response) {
    if (response.m_status != kHttpOk) return false;
    const auto page = ParsePage(response.m_body);
    if (!Ok(page)) return false;
    callback(ValueOf(page));
    return true;
  };
  m_impl->StartRead(ScanRequest(prefix, after, limit), std::move(give), std::move(callback));
}

void HttpTable::Submit(Commit commit, CommitCallback callback) {
  m_impl->Submit(std::move(commit), std::move(callback));
}

bool HttpTable::Degraded() const {
  return m_impl->Degraded();
}

boost::json::value HttpTable::Dump() const {
  return m_impl->Dump();
}

}  // namespace hickoryquay::store
