// JobArchive: the rows of ended jobs, apart from those that a leader reads when it takes over.
//
// Once a job has ended, its phase is stored and nothing of it runs, one transaction replaces the rows of the job and of
// its cancel by one row in the table of ended jobs. A takeover thus reads only jobs that have not ended, however many
// are kept. The row is deleted when the job's phase no longer has to be known, unless it was written anew meanwhile.
//
// Instances write rows of their own into the table: tombstones of cancels, see intake.h. Earlier leaders leave theirs.
// The table is therefore read through again and again, so that no row stays for good.
//
// Parts that don't answer are passed over: the rows of the others are moved, read and deleted meanwhile.
//
// Order of writes: phase in the state table, then the archive, then the deletion of the job's rows in the state table.
// Whoever looks for a job in the state table, among the accepted jobs and in the archive, in this order, finds it.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "hickoryquay/base/metrics.h"
#include "hickoryquay/base/timer_service.h"
#include "hickoryquay/jobs/scheduler.h"
#include "hickoryquay/service/table_names.h"
#include "hickoryquay/store/row_store.h"

namespace hickoryquay::service {

struct ArchiveSettings {
  TableNames m_tables;
  Millis m_keep{120'000};        // Of a row, from the end of its job.
  Millis m_keep_margin{10'000};  // Added to that, since instances' clocks differ.
  Millis m_call_timeout{2'000};
  Millis m_retry_delay{500};        // Until a part whose call failed is called again.
  std::size_t m_moves_at_once = 4;  // Of different parts.
  Millis m_expiry_interval{1'000};  // Between deletions of expired rows.
  int m_scan_rows = 100;            // Of a page of a part.
  Millis m_scan_page{1'000};        // Between pages of a part, unless a scan would take longer than m_scan_time.
  Millis m_scan_page_least{100};    // Between pages of a part, however large the table is.
  Millis m_scan_time{50'000};       // With the rest less than m_keep: rows are known before they expire.
  Millis m_scan_rest{60'000};       // From the end of a scan of the table to the next.
};

// Not thread-safe. One object per term. `store`, `timers`, `clock` and `metrics` must outlive it.
class JobArchive : public std::enable_shared_from_this<JobArchive> {
 public:
  using PartsOf = std::function<std::vector<std::string>(JobId)>;  // Parts of the job's rows.
  // Their rows are in the archive from that version of the store on, and no others are left.
  using OnArchived = std::function<void(const std::vector<JobId>& jobs, Version moved)>;

  JobArchive(store::RowStore* store, TimerService* timers, const Clock* clock, Metrics* metrics,
             const ArchiveSettings& settings, PartsOf parts_of, OnArchived on_archived);

  void Start();
  void Stop();
  void Add(const std::vector<jobs::SettledJob>& jobs);
  // For a job that was accepted again by a version that does not find its end. Returns whether the end is known here.
  bool AddIfEnded(JobId job);
  // False once the part has been read through and no row is in it.
  bool MayHaveRows(const std::string& part) const;

 private:
  struct Row {
    Instant m_since;  // Wall time of the job's end.
    Version m_version{};
    jobs::JobPhase m_phase = jobs::JobPhase::kCancelled;
  };

  // Of one part.
  struct Moves {
    std::deque<jobs::SettledJob> m_waiting;
    bool m_sending = false;  // The first ones.
    Instant m_not_before;    // After a failure.
  };

  void SendNext();
  void Send(const std::string& part, Moves* moves);
  void OnAnswer(const std::string& part, const std::vector<jobs::SettledJob>& moved,
                const Result<Version, store::TransactError>& result);
  void DeleteExpired();
  void OnDeleted(const std::string& part, const std::vector<JobId>& jobs,
                 const Result<Version, store::TransactError>& result);
  void Know(const std::string& part, JobId job, const Row& row);
  std::vector<JobId> FindExpired(const std::string& part) const;
  void ScanNext();
  Millis PagePause() const;
  void OnPage(const Result<store::RowPage, store::ReadError>& page);
  store::RowKey Key(const std::string& part, JobId job) const;

  store::RowStore* m_store;
  TimerService* m_timers;
  const Clock* m_clock;
  ArchiveSettings m_settings;
  PartsOf m_parts_of;
  OnArchived m_on_archived;
  std::map<std::string, Moves> m_moves;       // By part.
  std::string m_last_sent;                    // The part whose rows were moved last.
  std::map<JobId, std::size_t> m_moves_left;  // Of jobs that wait, one for each of their parts.
  bool m_deleting = false;
  std::string m_last_deleted;  // The part whose rows were deleted last, or could not be.
  bool m_scanning = false;
  bool m_scanned = false;                               // The whole table, once.
  Instant m_next_scan;                                  // When the next scan may begin.
  int m_scan_pages = 0;                                 // Of this scan.
  int m_last_scan_pages = 0;                            // Of the one before.
  std::deque<std::string> m_scan_left;                  // Parts that are still to be read by this scan.
  std::string m_scan_from;                              // Key of the next page of the first of them.
  std::map<std::string, std::map<JobId, Row>> m_ended;  // Rows of the table, by part.
  bool m_stopped = false;
  Subscription m_retry;
  Subscription m_tick;
  Subscription m_next_page;
  Counter* m_archived_total;
};

}  // namespace hickoryquay::service
