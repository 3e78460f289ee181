// RowWriter: writes changed job rows to the table asynchronously (write-behind).
//
// The queue holds keys instead of values, and each key at most once: a row that changes again before it is written
// costs one write, and the queue never exceeds the number of live jobs, even if the table is unavailable for long. The
// value is requested from the owner when the row is written. Several due rows share one commit, which also checks the
// version of the placer's lease row (the fence).
//
// Not thread-safe: everything runs on the placer's executor.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "hickoryquay/base/metrics.h"
#include "hickoryquay/base/timer_service.h"
#include "hickoryquay/store/serial_executor.h"
#include "hickoryquay/store/table.h"

namespace hickoryquay::placer {

struct RowWriterSettings {
  std::size_t m_max_rows = 64;  // Per commit.
  int m_max_commits_in_flight = 4;
  Millis m_retry_after{500};  // After a commit while the table was unavailable.
  bool m_coalesce = true;     // False: every change is due at once, for measurements.
};

// Dependencies of RowWriter.
struct RowWriterParts {
  store::Table* m_table = nullptr;
  store::SerialExecutor m_executor;
  TimerService* m_timers = nullptr;
  const Clock* m_clock = nullptr;
  Metrics* m_metrics = nullptr;
};

// The row's current value. The rows of `m_deletes` are deleted in the same commit, without a version check.
struct RowUpdate {
  std::string m_value;
  std::vector<std::string> m_deletes;
};

// Supplies the values of the rows and is notified of the results.
class RowOwner {
 public:
  virtual ~RowOwner() = default;
  virtual store::Check Fence() const = 0;  // The lease row at its last seen version.
  virtual void OnFenceConflict(const store::Row& row) = 0;
  virtual std::optional<RowUpdate> MakeUpdate(const std::string& key) = 0;  // Empty: nothing to write.
  virtual void OnWritten(const std::string& key, const std::string& value) = 0;
  virtual void OnRowRemoved(const std::string& key) = 0;  // Another process deleted or moved it.
};

class RowWriter : public std::enable_shared_from_this<RowWriter> {
 public:
  RowWriter(RowWriterParts parts, const RowWriterSettings& settings, std::weak_ptr<RowOwner> owner);

  // Sets the version of a row that was read from the table.
  void SetVersion(const std::string& key, Version version);
  void Forget(const std::string& key);

  // Queues the row to be written after `delay`, or earlier if it is already due earlier.
  void MarkDirty(const std::string& key, Millis delay);

  void Stop() { m_stopped = true; }

  std::size_t Dirty() const { return m_dirty.size(); }
  std::size_t Writing() const { return m_writing.size(); }

 private:
  struct InFlightCommit {
    std::vector<std::pair<std::string, std::string>> m_rows;  // Key and value.
  };
  using InFlightCommitPtr = std::shared_ptr<InFlightCommit>;

  void ScheduleFlush();
  void ScheduleFlushAt(Instant due);
  void Flush();
  std::vector<std::string> TakeDueKeys();
  void SendCommit(const std::vector<std::string>& keys);
  void OnResult(const InFlightCommitPtr& in_flight, const Result<store::Committed, store::TableError>& result);
  void OnConflict(const InFlightCommitPtr& in_flight, const store::Conflict& conflict);
  void Retry(const InFlightCommitPtr& in_flight, Millis delay);
  void ReadBack(const std::string& key);
  void OnReadBack(const std::string& key, const Result<store::Row, store::TableError>& result);

  const RowWriterParts m_parts;
  const RowWriterSettings m_settings;
  const std::weak_ptr<RowOwner> m_owner;
  Counter& m_rows_written;
  Counter& m_commits;
  Counter& m_conflicts;
  Counter& m_changes;
  Gauge& m_dirty_rows;
  std::map<std::string, Instant> m_dirty;  // Key -> due time.
  std::map<std::string, Version> m_versions;
  std::map<std::string, bool> m_writing;  // Keys with a write or a read-back in flight.
  int m_in_flight = 0;
  bool m_stopped = false;
  Instant m_flush_due;
  Subscription m_timer;
};

}  // namespace hickoryquay::placer
