#include "hickoryquay/service/job_archive.h"

#include <algorithm>
#include <utility>

#include "hickoryquay/base/log.h"
#include "hickoryquay/jobs/rows.h"

namespace hickoryquay::service {

namespace {

constexpr log::Part kLog{"archive"};
constexpr std::size_t kRowsOfMove = 3;  // The job, its cancel and the row in the archive.

}  // namespace

JobArchive::JobArchive(store::RowStore* store, TimerService* timers, const Clock* clock, Metrics* metrics,
                       const ArchiveSettings& settings, OnArchived on_archived)
    : m_store(store),
      m_timers(timers),
      m_clock(clock),
      m_settings(settings),
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
  m_retry.Cancel();
}

store::RowKey JobArchive::Key(JobId job) const {
  return {m_settings.m_tables.m_ended, m_settings.m_tables.m_intake_part, jobs::HexText(job)};
}

//-------------------------------------------------------------------------------------------------
// Moving
//-------------------------------------------------------------------------------------------------

void JobArchive::Add(const std::vector<jobs::SettledJob>& jobs) {
  m_waiting.insert(m_waiting.end(), jobs.begin(), jobs.end());
  SendNext();
}

void JobArchive::SendNext() {
  if (m_stopped || m_sending || m_waiting.empty()) return;
  m_sending = true;
  const std::size_t count = std::min(m_waiting.size(), store::kMaxTransactionRows / kRowsOfMove);
  const std::vector<jobs::SettledJob> moved(m_waiting.begin(), m_waiting.begin() + static_cast<std::ptrdiff_t>(count));
  store::Transaction transaction;
  for (const jobs::SettledJob& job : moved) {
    const auto intake_row = [this](std::string key) {
      return store::RowKey{m_settings.m_tables.m_intake, m_settings.m_tables.m_intake_part, std::move(key)};
    };
    transaction.m_removals.push_back(intake_row(JobRowKey(job.m_id)));
    transaction.m_removals.push_back(intake_row(CancelRowKey(job.m_id)));
    transaction.m_puts.push_back({Key(job.m_id), jobs::Write(job.m_end)});
  }
  m_store->Transact(transaction, m_settings.m_call_timeout,
                    [weak = weak_from_this(), moved](const Result<Version, store::TransactError>& result) {
                      if (const auto self = weak.lock(); self && !self->m_stopped) self->OnAnswer(moved, result);
                    });
}

// A transaction without an answer may have been done. Doing it again changes nothing.
void JobArchive::OnAnswer(const std::vector<jobs::SettledJob>& moved,
                          const Result<Version, store::TransactError>& result) {
  m_sending = false;
  if (!Ok(result)) {
    log::Warn(kLog, "Could not archive ended jobs, trying again",
              {{"jobs", std::to_string(moved.size())}, {"why", ToString(ErrorOf(result))}});
    m_retry = m_timers->After(m_settings.m_retry_delay, [weak = weak_from_this()] {
      if (const auto self = weak.lock()) self->SendNext();
    });
    return;
  }
  m_waiting.erase(m_waiting.begin(), m_waiting.begin() + static_cast<std::ptrdiff_t>(moved.size()));
  m_archived_total->Add(moved.size());
  std::vector<JobId> ids;
  for (const jobs::SettledJob& job : moved) {
    m_ended[job.m_id] = job.m_end.m_since;
    ids.push_back(job.m_id);
  }
  m_on_archived(ids);
  SendNext();
}

//-------------------------------------------------------------------------------------------------
// Deleting
//-------------------------------------------------------------------------------------------------

void JobArchive::DeleteExpired() {
  if (m_deleting) return;
  const Instant expired = m_clock->Wall() - (m_settings.m_keep + m_settings.m_keep_margin);
  std::vector<JobId> old;
  for (const auto& [job, ended] : m_ended) {
    if (ended <= expired && old.size() < store::kMaxTransactionRows) old.push_back(job);
  }
  if (old.empty()) return;
  store::Transaction transaction;
  for (const JobId job : old) transaction.m_removals.push_back(Key(job));
  m_deleting = true;
  m_store->Transact(transaction, m_settings.m_call_timeout,
                    [weak = weak_from_this(), old](const Result<Version, store::TransactError>& result) {
                      const auto self = weak.lock();
                      if (!self || self->m_stopped) return;
                      self->m_deleting = false;
                      if (!Ok(result)) {
                        log::Warn(kLog, "Could not delete expired jobs, trying again",
                                  {{"jobs", std::to_string(old.size())}, {"why", ToString(ErrorOf(result))}});
                        return;
                      }
                      for (const JobId job : old) self->m_ended.erase(job);
                    });
}

// Reads the next rows that earlier leaders left, so that they expire too.
void JobArchive::ScanNext() {
  if (m_scanned || m_scanning) return;
  m_scanning = true;
  const store::RowKey key = Key(JobId{});
  m_store->Read({key.m_table, key.m_part, m_scan_from, ""}, m_settings.m_scan_rows, m_settings.m_call_timeout,
                [weak = weak_from_this()](const Result<store::RowPage, store::ReadError>& page) {
                  if (const auto self = weak.lock(); self && !self->m_stopped) self->OnPage(page);
                });
}

void JobArchive::OnPage(const Result<store::RowPage, store::ReadError>& result) {
  m_scanning = false;
  if (!Ok(result)) return;  // The next tick tries again.
  const store::RowPage& page = ValueOf(result);
  for (const store::StoredRow& row : page.m_rows) {
    m_scan_from = row.m_key.m_key + '\0';
    const auto id = jobs::ParseHexJobId(row.m_key.m_key);
    const auto phase = jobs::ReadPhaseRow(row.m_value);
    if (id && Ok(phase)) {
      m_ended.try_emplace(*id, ValueOf(phase).m_since);
    } else {
      log::Error(kLog, "Row of an ended job can't be read, it is kept", {{"key", row.m_key.m_key}});
    }
  }
  m_scanned = !page.m_more;
}

}  // namespace hickoryquay::service
