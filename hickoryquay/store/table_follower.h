// TableFollower: keeps a copy of some parts of a table up to date, by one scan and then the feed of its changes.
//
// A scan asks for as many rows at a time as the link carries in m_page_time, so that other calls of the instance are
// not held up. What the store itself takes for a call does not count: smaller pages would arrive no sooner. After a
// page that did not arrive the scan goes on with the next part, and later behind the last row, with fewer rows a page.
//
// The first scan is passed on as a whole. When a table of several parts has to be read anew, each part stands alone: it
// is passed on when its last page has arrived, and a part that does not answer holds up neither the others nor the
// feed. Such a scan begins with one page of each part at once: the changes that were missed are few, and the view of a
// part ages until it is read.
//
// Index of this file:
//   [SECTION] Settings
//   [SECTION] TableFollower
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "hickoryquay/base/log.h"
#include "hickoryquay/base/timer_service.h"
#include "hickoryquay/store/part_scan.h"
#include "hickoryquay/store/row_store.h"
#include "hickoryquay/store/store_clock.h"

namespace hickoryquay::store {

//-------------------------------------------------------------------------------------------------
// [SECTION] Settings
//-------------------------------------------------------------------------------------------------

struct FollowerSettings {
  std::string m_table;
  std::vector<std::string> m_parts{""};
  Millis m_pause{0};          // From one feed call to the next if the first brought rows, so that more come at a time.
  Millis m_wait{2'000};       // Of one feed call. A connection that went silent is noticed this much later.
  Millis m_timeout{1'000};    // Of a call, beyond its wait.
  Millis m_probe{600};        // Of a feed call while the store is away, which does not wait: a slow store takes 300 ms.
  Millis m_retry_base{50};    // First delay after a failure; doubles.
  Millis m_retry_cap{400};    // Longest delay.
  int m_first_page_rows = 4;  // Few, so that its time tells what a call takes without rows.
  int m_max_page_rows = 500;  // The store's limit.
  Millis m_page_time{100};    // Of a page on the link.
  // Versions of the largest row that a feed may bring, and some bytes more. Where more were missed the table is read
  // anew, which brings the last version only. For tables of few, large rows. 0: any number.
  int m_most_versions = 0;
  int m_tolerated_pages = 2;  // So many pages in succession may fail before the store is reported as unreachable.
};

// Up to which all changes of a part are known.
struct KnownUpTo {
  Version m_version{};
  Instant m_at;  // Steady time; 0: never read.
};

//-------------------------------------------------------------------------------------------------
// [SECTION] TableFollower
//-------------------------------------------------------------------------------------------------

// Ends with its last owner; callbacks under way may still run. One thread.
class TableFollower : public std::enable_shared_from_this<TableFollower> {
 public:
  // `whole`: the rows are the whole table; otherwise those that changed, removed ones included, or all those of a part
  // that was read anew: rows of it that were removed while no feed was followed are not told. Rows of a scan may have
  // been read long ago (StoredRow::m_read_at): the feed tells what has changed since, after they are passed on.
  using OnRows = std::function<void(const std::vector<StoredRow>& rows, bool whole)>;
  using OnReachable = std::function<void(bool reachable)>;  // On each change only.

  TableFollower(RowStore* store, TimerService* timers, const Clock* clock, const FollowerSettings& settings,
                OnRows on_rows, OnReachable on_reachable = nullptr);

  void Start();
  void Stop();
  // Reads the part once more, since a row may have been missed. Ignored until the whole table was read.
  void ReadAgain(const std::string& part);

  std::size_t Scanned() const;              // Rows read by the scan that is under way.
  bool Synced() const { return m_synced; }  // The whole table was read at some time.
  // Steady time of the last answer up to which the rows are complete; a feed without changes counts. 0: not synced yet.
  Instant CurrentAt() const { return m_current_at; }
  // Steady time up to which all changes are known: when the store gave the last answer. 0: not synced yet.
  Instant CompleteAt() const { return KnownOfAll().m_at; }
  KnownUpTo KnownOf(const std::string& part) const;  // Nothing of a part that was not asked for.
  KnownUpTo KnownOfAll() const;                      // Of each part at least.
  bool Reachable() const { return m_reachable; }     // The last call was answered.
  std::uint64_t Scans() const { return m_scans; }    // Complete ones.
  std::uint64_t RowsRead() const { return m_rows_read; }
  Version At() const { return m_at; }  // Of the store that the rows passed on so far reflect, or a later one.

 private:
  struct Part {
    std::string m_name;
    bool m_read = false;      // All its pages have arrived in this scan.
    bool m_followed = false;  // Its rows are passed on, and the feed tells of all later changes.
    bool m_wanted = false;    // To be read once more, although it is followed.
    KnownUpTo m_known;        // While it is not followed, or before the feed has come so far.
    PartScan m_scan;          // Of the reading under way.
    int m_page_rows = 0;      // Of its next page; 0: as many as the other parts.
    int m_most_rows = 0;      // Of a page of this reading: half of one that failed behind one that arrived.
    int m_failed_pages = 0;   // In succession.
  };

  void ScanAnew();
  void ScanAllParts();
  void OnFirstPage(Part* part, Instant sent, Result<RowPage, ReadError> result);
  void ScanNextPart();
  void Scan();  // Reads the next page of m_scan_part.
  void OnPage(Instant sent, int limit, Result<RowPage, ReadError> result);
  void OnPageFailed(Part* part, int limit, const ReadError& error);
  void ScanPastUnreadable(Part* part, int limit);
  void AddPage(Part* part, RowPage page, Instant sent);
  void FinishPart(Part* part);
  void FinishScan();
  void BeginFeed();
  void SizePages(Part* part, int limit, int rows, Millis took);
  std::string AgeOf(const Part& part) const;  // Of its first page, in milliseconds.
  void Follow();
  void FollowLater(Instant sent);
  void CountRows(const std::vector<StoredRow>& rows);
  std::size_t MostFeedBytes() const;
  void OnFeed(Instant sent, Result<RowPage, ReadError> result);
  void RetryFeed();
  void RetryScan();
  Millis NextDelay(Millis last) const;
  void MarkUnreachable(const char* call, const ReadError& error);
  void Reached();
  KnownUpTo KnownOf(const Part& part) const;
  // Calls `then` with the result of a call, unless the follower has stopped or scans anew meanwhile.
  ReadCallback InScan(std::function<void(Result<RowPage, ReadError>)> then);

  RowStore* m_store;
  TimerService* m_timers;
  const Clock* m_clock;
  FollowerSettings m_settings;
  OnRows m_on_rows;
  OnReachable m_on_reachable;
  std::vector<Part> m_parts;
  int m_scan = 0;                 // Counts scans; answers to earlier ones are ignored.
  bool m_by_part = false;         // The scan passes each part on by itself.
  std::size_t m_first_pages = 0;  // Of ScanAllParts, still under way.
  bool m_reading = false;         // A page of m_scan_part is under way, or its retry.
  std::size_t m_scan_part = 0;    // Index of the part whose pages are read.
  bool m_scan_has_version = false;
  Version m_scan_version{};    // Of the earliest page of the scan: the feed goes on from there.
  Instant m_scan_complete_at;  // When the store gave it.
  int m_page_rows = 0;         // Of the next page of the scan.
  Millis m_call_time{0};       // Of the fastest page of the scan: what a call takes without rows. 0: not known yet.
  int m_failed_pages = 0;      // In succession, of all parts.
  Version m_at{};
  bool m_synced = false;
  Instant m_current_at;
  Instant m_complete_at;
  Instant m_scan_began;
  StoreClock m_store_clock;
  std::uint64_t m_scans = 0;
  std::uint64_t m_rows_read = 0;
  std::size_t m_largest_row = 0;  // Bytes of a value, since the last scan.
  bool m_following = false;       // The feed can go on from m_at.
  bool m_stopped = false;
  bool m_reachable = true;
  Millis m_feed_delay{0};
  Millis m_scan_delay{0};
  Subscription m_feed_retry;
  Subscription m_scan_retry;
  Subscription m_next;
};

}  // namespace hickoryquay::store
