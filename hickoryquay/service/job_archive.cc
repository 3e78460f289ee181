#include "hickoryquay/service/job_archive.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "hickoryquay/base/log.h"
#include "hickoryquay/jobs/rows.h"

namespace hickoryquay::service {

namespace {

constexpr log::Part kLog{"archive"};
constexpr std::size_t kRowsOfMove = 3;      // The job, its cancel and the row in the archive.
constexpr std::size_t kRowsOfDeletion = 2;  // Check and removal.

}  // namespace

JobArchive::JobArchive(store::RowStore* store, TimerService* timers, const Clock* clock, Metrics* metrics,
                       const ArchiveSettings& settings, PartsOf parts_of, OnArchived on_archived)
    : m_store(store),
      m_timers(timers),
      m_clock(clock),
      m_settings(settings),
      m_parts_of(std::move(parts_of)),
      m_on_archived(std::move(on_archived)),
      m_archived_total(&metrics->GetCounter("hq_jobs_archived_total")) {}

void JobArchive::Start() {
  m_tick = m_timers->Every(m_settings.m_expiry_interval, [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (!self) return;
    self->ScanNext();
    self->DeleteExpired();
  });
}

void JobArchive::Stop() {
  m_stopped = true;
  m_tick.Cancel();
  m_next_page.Cancel();
  m_retry.Cancel();
}

bool JobArchive::MayHaveRows(const std::string& part) const {
  const auto found = m_ended.find(part);
  return !m_scanned || (found != m_ended.end() && !found->second.empty());
}

store::RowKey JobArchive::Key(const std::string& part, JobId job) const {
  return {m_settings.m_tables.m_ended, part, jobs::HexText(job)};
}

//-------------------------------------------------------------------------------------------------
// Moving
//-------------------------------------------------------------------------------------------------

void JobArchive::Add(const std::vector<jobs::SettledJob>& jobs) {
  for (const jobs::SettledJob& job : jobs) {
    for (const std::string& part : m_parts_of(job.m_id)) {
      m_moves[part].m_waiting.push_back(job);
      ++m_moves_left[job.m_id];
    }
  }
  SendNext();
}

bool JobArchive::AddIfEnded(JobId job) {
  const auto& rows = m_ended[m_settings.m_tables.IntakePart(job)];
  const auto found = rows.find(job);
  if (found == rows.end()) return false;
  Add({{job, {found->second.m_phase, found->second.m_since}}});
  return true;
}

// Moves jobs of the parts that wait for it, in turn.
void JobArchive::SendNext() {
  if (m_stopped) return;
  const Instant now = m_clock->Now();
  std::size_t sending = 0;
  for (const auto& [part, moves] : m_moves) sending += moves.m_sending ? 1 : 0;
  std::optional<Instant> next;
  auto entry = m_moves.upper_bound(m_last_sent);
  for (std::size_t left = m_moves.size(); left > 0 && sending < m_settings.m_moves_at_once; --left, ++entry) {
    if (entry == m_moves.end()) entry = m_moves.begin();
    auto& [part, moves] = *entry;
    if (moves.m_sending) continue;
    if (now < moves.m_not_before) {
      next = std::min(next.value_or(moves.m_not_before), moves.m_not_before);
      continue;
    }
    Send(part, &moves);
    ++sending;
  }
  if (!next) return;
  m_retry = m_timers->After(*next - now, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->SendNext();
  });
}

// Moves the first jobs of the part.
void JobArchive::Send(const std::string& part, Moves* moves) {
  moves->m_sending = true;
  m_last_sent = part;
  const auto& waiting = moves->m_waiting;
  const std::size_t count = std::min(waiting.size(), store::kMaxTransactionRows / kRowsOfMove);
  const std::vector<jobs::SettledJob> moved(waiting.begin(), waiting.begin() + static_cast<std::ptrdiff_t>(count));
  store::Transaction transaction;
  for (const jobs::SettledJob& job : moved) {
    for (std::string key : {JobRowKey(job.m_id), CancelRowKey(job.m_id)}) {
      transaction.m_removals.push_back({m_settings.m_tables.m_intake, part, std::move(key)});
    }
    transaction.m_puts.push_back({Key(part, job.m_id), jobs::Write(job.m_end)});
  }
  m_store->Transact(transaction, m_settings.m_call_timeout,
                    [weak = weak_from_this(), part = part, moved](const Result<Version, store::TransactError>& result) {
                      if (const auto self = weak.lock(); self && !self->m_stopped) self->OnAnswer(part, moved, result);
                    });
}

// A transaction without an answer may have been done. Doing it again changes nothing.
void JobArchive::OnAnswer(const std::string& part, const std::vector<jobs::SettledJob>& moved,
                          const Result<Version, store::TransactError>& result) {
  Moves& moves = m_moves[part];
  moves.m_sending = false;
  if (!Ok(result)) {
    log::Warn(kLog, "Could not archive ended jobs, trying again",
              {{"table_part", part}, {"jobs", std::to_string(moved.size())}, {"why", ToString(ErrorOf(result))}});
    moves.m_not_before = m_clock->Now() + m_settings.m_retry_delay;
    return SendNext();
  }
  auto& waiting = moves.m_waiting;
  waiting.erase(waiting.begin(), waiting.begin() + static_cast<std::ptrdiff_t>(moved.size()));
  if (waiting.empty()) m_moves.erase(part);
  std::vector<JobId> ids;
  for (const jobs::SettledJob& job : moved) {
    Know(part, job.m_id, {job.m_end.m_since, ValueOf(result), job.m_end.m_phase});
    const auto left = m_moves_left.find(job.m_id);
    if (--left->second > 0) continue;
    m_moves_left.erase(left);
    ids.push_back(job.m_id);
  }
  m_archived_total->Add(ids.size());
  m_on_archived(ids, ValueOf(result));
  SendNext();
}

//-------------------------------------------------------------------------------------------------
// Deleting
//-------------------------------------------------------------------------------------------------

void JobArchive::Know(const std::string& part, JobId job, const Row& row) {
  Row& known = m_ended[part][job];
  if (known.m_version < row.m_version) known = row;
}

// Deletes expired rows, those of one part at a time. Not during a scan, whose page may name rows that are deleted
// meanwhile.
void JobArchive::DeleteExpired() {
  if (m_deleting || m_scanning) return;
  std::vector<JobId> old;
  auto next = m_ended.upper_bound(m_last_deleted);
  for (std::size_t left = m_ended.size(); left > 0 && old.empty(); --left) {
    if (next == m_ended.end()) next = m_ended.begin();
    old = FindExpired(next->first);
    if (old.empty()) ++next;
  }
  if (old.empty()) return;
  const std::string part = m_last_deleted = next->first;
  store::Transaction transaction;
  for (const JobId job : old) {
    transaction.m_checks.push_back({Key(part, job), m_ended[part][job].m_version});
    transaction.m_removals.push_back(Key(part, job));
  }
  m_deleting = true;
  m_store->Transact(transaction, m_settings.m_call_timeout,
                    [weak = weak_from_this(), part, old](const Result<Version, store::TransactError>& result) {
                      if (const auto self = weak.lock(); self && !self->m_stopped) self->OnDeleted(part, old, result);
                    });
}

// As many as fit in a transaction.
std::vector<JobId> JobArchive::FindExpired(const std::string& part) const {
  const Instant expired = m_clock->Wall() - (m_settings.m_keep + m_settings.m_keep_margin);
  std::vector<JobId> old;
  for (const auto& [job, row] : m_ended.at(part)) {
    if (row.m_since <= expired && old.size() < store::kMaxTransactionRows / kRowsOfDeletion) old.push_back(job);
  }
  return old;
}

void JobArchive::OnDeleted(const std::string& part, const std::vector<JobId>& jobs,
                           const Result<Version, store::TransactError>& result) {
  m_deleting = false;
  const bool differ = !Ok(result) && std::holds_alternative<store::RowsDiffer>(ErrorOf(result));
  if (!Ok(result)) {
    log::Warn(kLog, "Could not delete expired jobs, trying again",
              {{"table_part", part}, {"jobs", std::to_string(jobs.size())}, {"why", ToString(ErrorOf(result))}});
    if (!differ) return;
  }
  // Those that were written anew, or are gone, are not told from the others: the next scan finds what is left.
  for (const JobId job : jobs) m_ended[part].erase(job);
  DeleteExpired();
  ScanNext();  // It may have been due meanwhile.
}

// A scan that takes longer than rows are kept would find them long after they have expired.
Millis JobArchive::PagePause() const {
  const int pages = std::max({m_scan_pages, m_last_scan_pages, 1});
  return std::clamp(m_settings.m_scan_time / pages, m_settings.m_scan_page_least, m_settings.m_scan_page);
}

// Reads the next page of the table.
void JobArchive::ScanNext() {
  if (m_stopped || m_scanning || m_deleting || m_clock->Now() < m_next_scan) return;
  m_scanning = true;
  if (m_scan_left.empty()) {
    for (std::string& part : m_settings.m_tables.AllIntakeParts()) m_scan_left.push_back(std::move(part));
  }
  m_store->Read({m_settings.m_tables.m_ended, m_scan_left.front(), m_scan_from, ""}, m_settings.m_scan_rows,
                m_settings.m_call_timeout,
                [weak = weak_from_this()](const Result<store::RowPage, store::ReadError>& page) {
                  if (const auto self = weak.lock(); self && !self->m_stopped) self->OnPage(page);
                });
}

void JobArchive::OnPage(const Result<store::RowPage, store::ReadError>& result) {
  m_scanning = false;
  if (!Ok(result)) {  // The part is read from its first key again, after the others.
    m_scan_left.push_back(std::move(m_scan_left.front()));
    m_scan_left.pop_front();
    m_scan_from.clear();
    return DeleteExpired();
  }
  const store::RowPage& page = ValueOf(result);
  for (const store::StoredRow& row : page.m_rows) {
    m_scan_from = row.m_key.m_key + '\0';
    const auto id = jobs::ParseHexJobId(row.m_key.m_key);
    const auto phase = jobs::ReadPhaseRow(row.m_value);
    if (id && Ok(phase)) {
      Know(row.m_key.m_part, *id, {ValueOf(phase).m_since, row.m_version, ValueOf(phase).m_phase});
    } else {
      log::Error(kLog, "Row of an ended job can't be read, it is kept", {{"key", row.m_key.m_key}});
    }
  }
  ++m_scan_pages;
  if (page.m_more) {
    const Millis pause = PagePause();
    m_next_scan = m_clock->Now() + pause;
    m_next_page = m_timers->After(pause, [weak = weak_from_this()] {
      if (const auto self = weak.lock()) self->ScanNext();
    });
    return DeleteExpired();
  }
  m_scan_from.clear();
  m_scan_left.pop_front();
  if (!m_scan_left.empty()) return ScanNext();
  m_scanned = true;
  m_last_scan_pages = std::exchange(m_scan_pages, 0);
  m_next_scan = m_clock->Now() + m_settings.m_scan_rest;
  DeleteExpired();
}

}  // namespace hickoryquay::service
