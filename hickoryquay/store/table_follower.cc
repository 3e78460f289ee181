#include "hickoryquay/store/table_follower.h"

#include <algorithm>
#include <bit>
#include <iterator>
#include <tuple>
#include <utility>

namespace hickoryquay::store {

namespace {

constexpr log::Part kLog{"follower"};
constexpr int kPageCut = 4;  // After a page that did not arrive, the next one has this part of its rows.
constexpr std::size_t kFeedRest = 512 * 1024;  // Bytes that any feed may bring beside versions of the largest row.
constexpr int kPageGrowth = 4;                 // A page has at most this many times the rows of the last one.

std::string TextOf(Millis time) {
  return std::to_string(time.count());
}

bool IsEarlier(const KnownUpTo& a, const KnownUpTo& b) {
  return std::tie(a.m_version, a.m_at) < std::tie(b.m_version, b.m_at);
}

KnownUpTo Later(const KnownUpTo& a, const KnownUpTo& b) {
  return IsEarlier(a, b) ? b : a;
}

}  // namespace

TableFollower::TableFollower(RowStore* store, TimerService* timers, const Clock* clock,
                             const FollowerSettings& settings, OnRows on_rows, OnReachable on_reachable)
    : m_store(store),
      m_timers(timers),
      m_clock(clock),
      m_settings(settings),
      m_on_rows(std::move(on_rows)),
      m_on_reachable(std::move(on_reachable)) {
  for (const std::string& name : settings.m_parts) m_parts.emplace_back().m_name = name;
}

void TableFollower::Start() {
  m_stopped = false;
  ScanAnew();
}

void TableFollower::Stop() {
  m_stopped = true;
  m_feed_retry.Cancel();
  m_scan_retry.Cancel();
  m_next.Cancel();
}

std::size_t TableFollower::Scanned() const {
  std::size_t rows = 0;
  for (const Part& part : m_parts) rows += part.m_scan.Rows();
  return rows;
}

KnownUpTo TableFollower::KnownOf(const Part& part) const {
  return part.m_followed ? Later(part.m_known, {m_at, m_complete_at}) : part.m_known;
}

KnownUpTo TableFollower::KnownOf(const std::string& name) const {
  const auto part = std::find_if(m_parts.begin(), m_parts.end(), [&name](const Part& p) { return p.m_name == name; });
  return part == m_parts.end() ? KnownUpTo{} : KnownOf(*part);
}

KnownUpTo TableFollower::KnownOfAll() const {
  KnownUpTo least = KnownOf(m_parts.front());
  for (const Part& part : m_parts) least = std::min(least, KnownOf(part), &IsEarlier);
  return least;
}

//-------------------------------------------------------------------------------------------------
// Scans
//-------------------------------------------------------------------------------------------------

void TableFollower::ScanAnew() {
  for (Part& part : m_parts) {
    part.m_known = KnownOf(part);
    part.m_followed = part.m_read = part.m_wanted = false;
    part.m_scan = PartScan();
    part.m_page_rows = 0;
    part.m_most_rows = m_settings.m_max_page_rows;
    part.m_failed_pages = 0;
  }
  m_following = false;
  m_by_part = m_synced && m_parts.size() > 1;
  m_scan_part = 0;
  m_scan_has_version = false;
  m_call_time = Millis{0};
  m_scan_began = m_clock->Now();
  m_scan_retry.Cancel();
  ++m_scan;
  m_by_part ? ScanAllParts() : Scan();
}

ReadCallback TableFollower::InScan(std::function<void(Result<RowPage, ReadError>)> then) {
  return [weak = weak_from_this(), scan = m_scan, then = std::move(then)](Result<RowPage, ReadError> result) {
    const auto self = weak.lock();
    if (self && !self->m_stopped && self->m_scan == scan) then(std::move(result));
  };
}

void TableFollower::ScanAllParts() {
  m_reading = true;
  m_first_pages = m_parts.size();
  for (std::size_t index = 0; index < m_parts.size(); ++index) {
    m_parts[index].m_scan.Begin();
    m_store->Read({m_settings.m_table, m_parts[index].m_name, "", ""}, m_settings.m_max_page_rows, m_settings.m_timeout,
                  InScan([this, index, sent = m_clock->Now()](Result<RowPage, ReadError> page) {
                    OnFirstPage(&m_parts[index], sent, std::move(page));
                  }));
  }
}

void TableFollower::OnFirstPage(Part* part, Instant sent, Result<RowPage, ReadError> result) {
  if (Ok(result)) {
    RowPage page = TakeValue(std::move(result));
    const bool more = page.m_more;
    AddPage(part, std::move(page), sent);
    if (!more) FinishPart(part);
  } else {
    part->m_scan = PartScan();
  }
  if (m_stopped || --m_first_pages > 0) return;
  const bool any = std::any_of(m_parts.begin(), m_parts.end(), [](const Part& p) { return p.m_followed; });
  if (any) BeginFeed();
  ScanNextPart();
}

// Goes on with the next part that is to be read, from m_scan_part on.
void TableFollower::ScanNextPart() {
  m_reading = false;
  for (std::size_t i = 0; i < m_parts.size(); ++i, m_scan_part = (m_scan_part + 1) % m_parts.size()) {
    if (m_parts[m_scan_part].m_wanted || !m_parts[m_scan_part].m_read) return Scan();
  }
  if (!m_following) FinishScan();
}

void TableFollower::Scan() {
  m_reading = true;
  Part& part = m_parts[m_scan_part];
  if (m_page_rows == 0) m_page_rows = m_settings.m_first_page_rows;
  const int limit = part.m_page_rows > 0 ? part.m_page_rows : m_page_rows;
  part.m_scan.Begin();
  m_store->Read({m_settings.m_table, part.m_name, part.m_scan.From(), ""}, limit, m_settings.m_timeout,
                InScan([this, sent = m_clock->Now(), limit](Result<RowPage, ReadError> page) {
                  OnPage(sent, limit, std::move(page));
                }));
}

void TableFollower::OnPage(Instant sent, int limit, Result<RowPage, ReadError> result) {
  Part* part = &m_parts[m_scan_part];
  if (!Ok(result)) return OnPageFailed(part, limit, ErrorOf(result));
  RowPage page = TakeValue(std::move(result));
  if (page.m_more && page.m_rows.empty() && page.m_unreadable > 0) return ScanPastUnreadable(part, limit);
  m_failed_pages = part->m_failed_pages = 0;
  m_scan_delay = Millis{0};
  SizePages(part, limit, static_cast<int>(page.m_rows.size()), m_clock->Now() - sent);
  const bool more = page.m_more && !page.m_rows.empty();
  AddPage(part, std::move(page), sent);
  if (more) return Scan();
  FinishPart(part);
  if (m_stopped) return;
  if (m_by_part && !m_following) BeginFeed();
  // Whoever asks for a part again as soon as it has its rows is not answered at once, again and again.
  part->m_wanted ? RetryScan() : ScanNextPart();
}

// Others are read before the part is asked again: it may be silent for long.
void TableFollower::OnPageFailed(Part* part, int limit, const ReadError& error) {
  part->m_page_rows = std::max(1, limit / kPageCut);
  if (part->m_failed_pages == 0) part->m_most_rows = std::max(1, limit / 2);  // Others may fail for want of a store.
  ++part->m_failed_pages;
  if (std::has_single_bit(static_cast<unsigned>(part->m_failed_pages))) {
    log::Info(kLog, "Page did not arrive, asking for fewer rows",
              {{"table", m_settings.m_table},
               {"table_part", part->m_name},
               {"why", ToString(error)},
               {"failed", std::to_string(part->m_failed_pages)},
               {"rows", std::to_string(part->m_page_rows)},
               {"read", std::to_string(part->m_scan.Rows())},
               {"first_page_ms_ago", part->m_scan.HasPage() ? AgeOf(*part) : "none"}});
  }
  // Its changes would be kept for as long as it is silent.
  if (m_following && part->m_failed_pages > m_settings.m_tolerated_pages) part->m_scan = PartScan();
  if (!m_following && ++m_failed_pages > m_settings.m_tolerated_pages) MarkUnreachable("scan", error);
  m_scan_part = (m_scan_part + 1) % m_parts.size();
  RetryScan();
}

// Keys that can't be read say nothing on where the next page begins: a larger one reaches the rows behind them.
void TableFollower::ScanPastUnreadable(Part* part, int limit) {
  if (limit < m_settings.m_max_page_rows) {
    part->m_page_rows = std::min(kPageGrowth * limit, m_settings.m_max_page_rows);
    return Scan();
  }
  if (!m_following) MarkUnreachable("scan", Unreachable{"no row of the largest page can be read"});
  m_scan_part = (m_scan_part + 1) % m_parts.size();
  RetryScan();
}

void TableFollower::AddPage(Part* part, RowPage page, Instant sent) {
  Reached();
  const Instant answered = m_store_clock.AnsweredAt(page.m_answered, sent, m_clock->Now());
  const bool first = !std::exchange(m_scan_has_version, true);
  m_scan_version = first ? page.m_version : std::min(m_scan_version, page.m_version);
  m_scan_complete_at = first ? answered : std::min(m_scan_complete_at, answered);
  part->m_scan.Add(std::move(page), answered);
}

// All pages of the part have arrived. Its rows are passed on, unless the first scan of the table is under way.
void TableFollower::FinishPart(Part* part) {
  part->m_read = true;
  if (!m_by_part && !m_following) return;
  part->m_known = Later(KnownOf(*part), {part->m_scan.AtVersion(), part->m_scan.CompleteAt()});
  part->m_wanted = false;
  const bool again = std::exchange(part->m_followed, true);
  const bool all = std::all_of(m_parts.begin(), m_parts.end(), [](const Part& p) { return p.m_followed; });
  if (all && !again) ++m_scans;
  const std::vector<StoredRow> rows = part->m_scan.Take();
  CountRows(rows);
  if (m_following) {
    log::Info(kLog, "Part of a table is read",
              {{"table", m_settings.m_table},
               {"table_part", part->m_name},
               {"rows", std::to_string(rows.size())},
               {"first_page_ms_ago", AgeOf(*part)},
               {"ms", TextOf(m_clock->Now() - m_scan_began)}});
  }
  part->m_scan = PartScan();
  if (!rows.empty()) m_on_rows(rows, false);
}

void TableFollower::FinishScan() {
  std::vector<StoredRow> rows;
  for (Part& part : m_parts) {
    std::vector<StoredRow> of_part = part.m_scan.Take();
    std::move(of_part.begin(), of_part.end(), std::back_inserter(rows));
    part.m_known = {part.m_scan.AtVersion(), part.m_scan.CompleteAt()};
    part.m_followed = true;
    part.m_scan = PartScan();
  }
  m_synced = true;
  ++m_scans;
  m_largest_row = 0;
  CountRows(rows);
  m_complete_at = m_scan_complete_at;
  log::Info(kLog, "Table is read",
            {{"table", m_settings.m_table},
             {"rows", std::to_string(rows.size())},
             {"first_page_ms_ago", TextOf(m_clock->Now() - m_scan_complete_at)},
             {"ms", TextOf(m_clock->Now() - m_scan_began)}});
  m_at = m_scan_version;
  m_current_at = m_clock->Now();
  m_following = true;
  m_on_rows(rows, true);
  if (!m_stopped) Follow();
}

// Some parts of the table are read: changes of all are followed from the earliest page on.
void TableFollower::BeginFeed() {
  const auto read = std::count_if(m_parts.begin(), m_parts.end(), [](const Part& part) { return part.m_followed; });
  log::Info(kLog, "Table is read",
            {{"table", m_settings.m_table},
             {"parts", std::to_string(read)},
             {"of", std::to_string(m_parts.size())},
             {"first_page_ms_ago", TextOf(m_clock->Now() - m_scan_complete_at)},
             {"ms", TextOf(m_clock->Now() - m_scan_began)}});
  m_at = m_scan_version;
  m_current_at = m_clock->Now();
  m_following = true;
  Follow();
}

void TableFollower::ReadAgain(const std::string& name) {
  const auto part = std::find_if(m_parts.begin(), m_parts.end(), [&name](const Part& p) { return p.m_name == name; });
  if (m_stopped || !m_synced || part == m_parts.end()) return;
  part->m_wanted = true;
  if (m_following && !m_reading) ScanNextPart();
}

std::string TableFollower::AgeOf(const Part& part) const {
  return TextOf(m_clock->Now() - part.m_scan.CompleteAt());
}

// Sizes the next page by the rate at which the rows of the last one, of at most `limit`, arrived.
void TableFollower::SizePages(Part* part, int limit, int rows, Millis took) {
  m_call_time = m_call_time.count() == 0 ? took : std::min(m_call_time, took);
  if (rows == 0) return;
  const auto on_link = std::max<std::int64_t>(1, (took - m_call_time).count());
  const auto in_time = rows * m_settings.m_page_time.count() / on_link;
  const auto most = std::min(kPageGrowth * limit, part->m_most_rows);
  m_page_rows = part->m_page_rows = static_cast<int>(std::clamp<std::int64_t>(in_time, 1, most));
}

//-------------------------------------------------------------------------------------------------
// The feed
//-------------------------------------------------------------------------------------------------

void TableFollower::Follow() {
  const Millis wait = m_reachable ? m_settings.m_wait : Millis{0};
  const Millis timeout = m_reachable ? m_settings.m_wait + m_settings.m_timeout : m_settings.m_probe;
  m_store->Feed(
      {m_settings.m_table, m_at, wait, MostFeedBytes()}, timeout,
      InScan([this, sent = m_clock->Now()](Result<RowPage, ReadError> page) { OnFeed(sent, std::move(page)); }));
}

void TableFollower::CountRows(const std::vector<StoredRow>& rows) {
  m_rows_read += rows.size();
  for (const StoredRow& row : rows) m_largest_row = std::max(m_largest_row, row.m_value.size());
}

std::size_t TableFollower::MostFeedBytes() const {
  if (m_settings.m_most_versions == 0) return 0;
  return kFeedRest + static_cast<std::size_t>(m_settings.m_most_versions) * m_largest_row;
}

void TableFollower::OnFeed(Instant sent, Result<RowPage, ReadError> result) {
  if (!Ok(result)) {
    const ReadError& error = ErrorOf(result);
    if (std::holds_alternative<Unreachable>(error)) {
      MarkUnreachable("feed", error);
      return RetryFeed();
    }
    log::Warn(kLog, "Changes can't be read, reading the table anew",
              {{"table", m_settings.m_table}, {"why", ToString(error)}});
    return ScanAnew();
  }
  RowPage page = TakeValue(std::move(result));
  StampFeed(&page);
  Reached();
  m_feed_delay = Millis{0};
  m_at = std::max(m_at, page.m_version);
  m_current_at = m_clock->Now();
  // A full page was cut off: more changes may be there.
  const auto rows_of_page = static_cast<int>(page.m_rows.size() + page.m_unreadable);
  const bool cut = page.m_more || rows_of_page >= m_settings.m_max_page_rows;
  const Instant answered = m_store_clock.AnsweredAt(page.m_answered, sent, m_current_at);
  if (!cut) m_complete_at = answered;
  CountRows(page.m_rows);
  std::vector<StoredRow> rows;
  for (const StoredRow& row : page.m_rows) {
    const auto part =
        std::find_if(m_parts.begin(), m_parts.end(), [&row](const Part& p) { return p.m_name == row.m_key.m_part; });
    if (part == m_parts.end()) continue;
    part->m_scan.OnChange(row);
    rows.push_back(row);
  }
  if (!rows.empty()) m_on_rows(rows, false);
  if (m_stopped) return;
  page.m_rows.empty() || cut ? Follow() : FollowLater(sent);
}

void TableFollower::FollowLater(Instant sent) {
  const Millis left = m_settings.m_pause - (m_clock->Now() - sent);
  if (left.count() <= 0) return Follow();
  m_next = m_timers->After(left, [weak = weak_from_this()] {
    if (const auto self = weak.lock(); self && !self->m_stopped) self->Follow();
  });
}

void TableFollower::MarkUnreachable(const char* call, const ReadError& error) {
  if (!std::exchange(m_reachable, false)) return;
  log::Warn(kLog, "Store is not reachable", {{"table", m_settings.m_table}, {"call", call}, {"why", ToString(error)}});
  if (m_on_reachable) m_on_reachable(false);
}

void TableFollower::RetryFeed() {
  m_feed_delay = NextDelay(m_feed_delay);
  m_feed_retry = m_timers->After(m_feed_delay, [weak = weak_from_this(), scan = m_scan] {
    if (const auto self = weak.lock(); self && !self->m_stopped && self->m_scan == scan) self->Follow();
  });
}

void TableFollower::RetryScan() {
  m_scan_delay = NextDelay(m_scan_delay);
  m_scan_retry = m_timers->After(m_scan_delay, [weak = weak_from_this(), scan = m_scan] {
    if (const auto self = weak.lock(); self && !self->m_stopped && self->m_scan == scan) self->ScanNextPart();
  });
}

Millis TableFollower::NextDelay(Millis last) const {
  return last.count() == 0 ? m_settings.m_retry_base : std::min(2 * last, m_settings.m_retry_cap);
}

void TableFollower::Reached() {
  if (std::exchange(m_reachable, true)) return;
  log::Info(kLog, "Store is reachable again", {{"table", m_settings.m_table}});
  if (m_on_reachable) m_on_reachable(true);
}

}  // namespace hickoryquay::store
