#include "hickoryquay/placer/row_writer.h"

#include <algorithm>
#include <utility>

#include "hickoryquay/base/log.h"

namespace hickoryquay::placer {

namespace {

constexpr log::Part kLog{"placer"};

}  // namespace

RowWriter::RowWriter(RowWriterParts parts, const RowWriterSettings& settings, std::weak_ptr<RowOwner> owner)
    : m_parts(std::move(parts)),
      m_settings(settings),
      m_owner(std::move(owner)),
      m_rows_written(m_parts.m_metrics->GetCounter("hq_placer_rows_written_total")),
      m_commits(m_parts.m_metrics->GetCounter("hq_placer_commits_total")),
      m_conflicts(m_parts.m_metrics->GetCounter("hq_placer_conflicts_total")),
      m_changes(m_parts.m_metrics->GetCounter("hq_placer_row_changes_total")),
      m_dirty_rows(m_parts.m_metrics->GetGauge("hq_placer_dirty_rows")) {}

void RowWriter::SetVersion(const std::string& key, Version version) {
  m_versions[key] = version;
}

void RowWriter::Forget(const std::string& key) {
  m_versions.erase(key);
  m_dirty.erase(key);
}

void RowWriter::MarkDirty(const std::string& key, Millis delay) {
  m_changes.Add();
  const Instant due = m_parts.m_clock->Now() + (m_settings.m_coalesce ? delay : Millis{0});
  const auto [entry, inserted] = m_dirty.emplace(key, due);
  entry->second = std::min(entry->second, due);
  m_dirty_rows.Set(static_cast<double>(m_dirty.size()));
  if (!m_writing.contains(key)) ScheduleFlushAt(entry->second);
}

void RowWriter::ScheduleFlushAt(Instant due) {
  if (m_stopped || m_in_flight >= m_settings.m_max_commits_in_flight) return;
  if (m_timer.Active() && m_flush_due <= due) return;
  m_flush_due = due;
  const Millis delay = std::max(due - m_parts.m_clock->Now(), Millis{0});
  m_timer = m_parts.m_timers->After(delay, [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self) self->m_parts.m_executor([self] { self->Flush(); });
  });
}

// Skips rows that are being written: OnResult flushes again.
void RowWriter::ScheduleFlush() {
  m_dirty_rows.Set(static_cast<double>(m_dirty.size()));
  std::optional<Instant> due;
  for (const auto& [key, at] : m_dirty) {
    if (!m_writing.contains(key)) due = due ? std::min(*due, at) : at;
  }
  if (due) ScheduleFlushAt(*due);
}

void RowWriter::Flush() {
  m_timer.Cancel();
  while (!m_stopped && m_in_flight < m_settings.m_max_commits_in_flight) {
    const std::vector<std::string> keys = TakeDueKeys();
    if (keys.empty()) break;
    SendCommit(keys);
  }
  ScheduleFlush();
}

// Skips rows that are being written: the next write needs the version that the result brings.
std::vector<std::string> RowWriter::TakeDueKeys() {
  const Instant now = m_parts.m_clock->Now();
  std::vector<std::string> keys;
  for (const auto& [key, due] : m_dirty) {
    if (keys.size() == m_settings.m_max_rows) break;
    if (due <= now && !m_writing.contains(key)) keys.push_back(key);
  }
  for (const std::string& key : keys) m_dirty.erase(key);
  return keys;
}

void RowWriter::SendCommit(const std::vector<std::string>& keys) {
  const auto owner = m_owner.lock();
  if (!owner) return;
  auto in_flight = std::make_shared<InFlightCommit>();
  store::Commit commit;
  commit.m_checks.push_back(owner->Fence());
  for (const std::string& key : keys) {
    auto update = owner->MakeUpdate(key);
    if (!update) continue;
    commit.m_checks.push_back({key, m_versions[key]});
    commit.m_writes.push_back({key, update->m_value});
    for (const std::string& deleted : update->m_deletes) commit.m_writes.push_back({deleted, std::nullopt});
    m_writing[key] = true;
    in_flight->m_rows.emplace_back(key, std::move(update->m_value));
  }
  if (in_flight->m_rows.empty()) return;
  ++m_in_flight;
  m_commits.Add();
  m_parts.m_table->Submit(std::move(commit), [self = shared_from_this(), in_flight](const auto& result) {
    self->m_parts.m_executor([self, in_flight, result] { self->OnResult(in_flight, result); });
  });
}

void RowWriter::OnResult(const InFlightCommitPtr& in_flight,
                         const Result<store::Committed, store::TableError>& result) {
  --m_in_flight;
  const auto owner = m_owner.lock();
  if (!owner || m_stopped) return;
  for (const auto& [key, value] : in_flight->m_rows) m_writing.erase(key);
  if (Ok(result)) {
    m_rows_written.Add(in_flight->m_rows.size());
    for (const auto& [key, value] : in_flight->m_rows) m_versions[key] = ValueOf(result).m_version;
    for (const auto& [key, value] : in_flight->m_rows) owner->OnWritten(key, value);
    return Flush();
  }
  std::visit(Overloaded{[&](const store::Conflict& conflict) { OnConflict(in_flight, conflict); },
                        [&](const store::Unavailable&) { Retry(in_flight, m_settings.m_retry_after); },
                        [&](const store::InDoubt&) {
                          for (const auto& [key, value] : in_flight->m_rows) ReadBack(key);
                        }},
             ErrorOf(result));
  Flush();
}

void RowWriter::Retry(const InFlightCommitPtr& in_flight, Millis delay) {
  const Instant due = m_parts.m_clock->Now() + delay;
  for (const auto& [key, value] : in_flight->m_rows) m_dirty[key] = due;
}

// While the fence check succeeds, only this placer writes the row. So a different version comes from an own write whose
// answer was lost, or from a write before this placer read the row.
void RowWriter::OnConflict(const InFlightCommitPtr& in_flight, const store::Conflict& conflict) {
  const auto owner = m_owner.lock();
  m_conflicts.Add();
  Retry(in_flight, Millis{0});
  const std::string fence = owner->Fence().m_key;
  for (const store::Row& row : conflict.m_rows) {
    if (row.m_key == fence) {
      owner->OnFenceConflict(row);
    } else if (row.m_version == Version{0}) {
      log::Info(kLog, "Row was deleted or moved by another process", {{"key", row.m_key}});
      Forget(row.m_key);
      owner->OnRowRemoved(row.m_key);
    } else {
      m_versions[row.m_key] = row.m_version;
    }
  }
}

void RowWriter::ReadBack(const std::string& key) {
  m_writing[key] = true;
  m_parts.m_table->Get(key, [self = shared_from_this(), key](const auto& result) {
    self->m_parts.m_executor([self, key, result] { self->OnReadBack(key, result); });
  });
}

void RowWriter::OnReadBack(const std::string& key, const Result<store::Row, store::TableError>& result) {
  const auto owner = m_owner.lock();
  if (!owner || m_stopped) return;
  if (!Ok(result)) {
    m_parts.m_timers
        ->After(m_settings.m_retry_after,
                [self = shared_from_this(), key] {
                  self->m_parts.m_executor([self, key] {
                    if (!self->m_stopped) self->ReadBack(key);
                  });
                })
        .Detach();
    return;
  }
  m_writing.erase(key);
  if (ValueOf(result).m_version == Version{0} && m_versions[key] != Version{0}) {
    Forget(key);
    return owner->OnRowRemoved(key);
  }
  m_versions[key] = ValueOf(result).m_version;
  MarkDirty(key, Millis{0});
}

}  // namespace hickoryquay::placer
