#include "hickoryquay/service/leadership.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

#include "hickoryquay/base/log.h"
#include "hickoryquay/model/field_reader.h"

namespace hickoryquay::service {

namespace {

constexpr log::Part kLog{"leadership"};
constexpr Millis kStaleWriteAge{200};    // A write in flight this long may be lost; fifty times its usual duration.
constexpr Millis kLongestDoubt{20'000};  // A call without an answer may still be done this much later.
constexpr int kRejectionsToDrop = 3;     // A peer that passes calls on may have rejected one for reasons of its own.
constexpr Millis kTickInterval{50};      // Short compared to m_watch_interval and m_renew_interval.

std::string Text(Epoch epoch) {
  return std::to_string(Raw(epoch));
}

}  // namespace

std::string Write(const LeaderRow& row) {
  boost::json::object object{{"epoch", Raw(row.m_epoch)},
                             {"node", row.m_node},
                             {"holder", row.m_holder.m_value},
                             {"address", row.m_address},
                             {"write", row.m_write}};
  if (row.m_released) object["released"] = true;
  return boost::json::serialize(object);
}

Parsed<LeaderRow> ReadLeaderRow(std::string_view text) {
  const auto value = ParseJson(text);
  if (!Ok(value)) return ErrorOf(value);
  FieldReader reader(ValueOf(value));
  LeaderRow row;
  reader.ReadInteger("epoch", &row.m_epoch, 0, std::numeric_limits<std::int64_t>::max());
  reader.Read("node", &row.m_node);
  reader.Read("holder", &row.m_holder.m_value);
  reader.Read("address", &row.m_address);
  reader.ReadInteger("write", &row.m_write, 0, std::numeric_limits<std::int64_t>::max());
  reader.Read("released", &row.m_released, FieldReader::Need::kOptional);
  if (reader.Failed()) return reader.Error();
  return row;
}

Leadership::Leadership(store::RowStore* store, TimerService* timers, const Clock* clock,
                       const LeadershipSettings& settings, Events events)
    : m_store(store),
      m_timers(timers),
      m_clock(clock),
      m_settings(settings),
      m_events(std::move(events)),
      m_write_time(settings.m_silence) {}

void Leadership::Start() {
  m_stopped = false;
  m_tick = m_timers->Every(kTickInterval, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->Tick();
  });
  Watch();
}

void Leadership::Stop() {
  m_stopped = true;
  m_tick.Cancel();
  m_verify.Cancel();
  m_retry.Cancel();
}

bool Leadership::MayGrant() const {
  return m_leading && m_clock->Now() - m_last_renewal < m_settings.m_grant_window;
}

void Leadership::OnHeartbeat(Epoch epoch) {
  if (epoch < m_heartbeat_epoch) return;
  m_heartbeat_epoch = epoch;
  m_last_heartbeat = m_clock->Now();
  if (m_leading && epoch > m_epoch) Depose("an instance with epoch " + Text(epoch) + " leads");
}

void Leadership::Tick() {
  const Instant now = m_clock->Now();
  if (m_leading) {
    if (m_pending.empty() && now - m_last_renewal >= m_settings.m_renew_interval) Store({}, nullptr);
    return;
  }
  const bool leader_alive = m_last_heartbeat.m_ms > 0 && now - m_last_heartbeat < m_settings.m_heartbeat_valid;
  if (!leader_alive && !m_call_pending && now >= m_next_watch) Watch();
}

void Leadership::OnReleased(Epoch epoch) {
  if (m_leading || epoch < m_heartbeat_epoch) return;
  m_heartbeat_epoch = epoch;
  m_last_heartbeat = Instant{};
  m_release_heard = m_clock->Now();
  m_released_epoch = epoch;
  m_next_watch = m_release_heard + RankDelay();
  m_retry = m_timers->After(RankDelay(), [weak = weak_from_this()] {
    if (const auto self = weak.lock(); self && !self->m_stopped) self->Tick();
  });
}

Millis Leadership::RankDelay() const {
  return std::min(m_rank(), m_settings.m_max_rank) * m_settings.m_rank_delay;
}

//-------------------------------------------------------------------------------------------------
// Watching and taking over
//-------------------------------------------------------------------------------------------------

void Leadership::ReadRow(std::function<void(Result<std::optional<store::StoredRow>, store::ReadError>)> callback) {
  m_call_pending = true;
  const store::RowKey& key = m_settings.m_row;
  m_store->Read(
      {key.m_table, key.m_part, key.m_key, key.m_key + '\0'}, 1, m_settings.m_call_timeout,
      [weak = weak_from_this(), callback = std::move(callback)](Result<store::RowPage, store::ReadError> page) {
        const auto self = weak.lock();
        if (!self || self->m_stopped) return;
        self->m_call_pending = false;
        if (!Ok(page)) return callback(ErrorOf(page));
        const auto& rows = ValueOf(page).m_rows;
        callback(rows.empty() ? std::nullopt : std::optional(rows.front()));
      });
}

void Leadership::Watch() {
  ReadRow([this](Result<std::optional<store::StoredRow>, store::ReadError> result) {
    if (m_leading) return;
    if (Ok(result)) return OnRowRead(ValueOf(result));
    // Restarts the takeover timer: the row may have changed while it could not be read.
    m_watching = false;
    m_next_watch = m_clock->Now() + m_settings.m_watch_interval;
  });
}

void Leadership::OnRowRead(const std::optional<store::StoredRow>& row) {
  const Instant now = m_clock->Now();
  if (!row) return TakeOver(Version{}, Epoch{});
  const auto parsed = ReadLeaderRow(row->m_value);
  if (!Ok(parsed)) {
    log::Error(kLog, "Leader's row can't be read", {{"field", ErrorOf(parsed).m_field}});
    return;
  }
  const LeaderRow& leader = ValueOf(parsed);
  if (!m_watching || row->m_version != m_watched_version) {
    m_watching = true;
    m_watched_version = row->m_version;
    m_watched_since = now;
  }
  m_epoch = std::max(m_epoch, leader.m_epoch);
  // Held by an earlier run of this process, which is dead: no need to wait.
  const bool previous_run = leader.m_node == m_settings.m_node && leader.m_holder != m_settings.m_self;
  const bool release_heard = leader.m_released && leader.m_epoch == m_released_epoch;
  const Instant since = release_heard ? std::min(m_release_heard, m_watched_since) : m_watched_since;
  const Instant due = since + (leader.m_released ? Millis{0} : m_settings.m_takeover_after) + RankDelay();
  if (previous_run || now >= due) return TakeOver(row->m_version, leader.m_epoch);
  m_next_watch = std::min(due, now + m_settings.m_watch_interval);
}

void Leadership::TakeOver(Version expected, Epoch last) {
  const LeaderRow row{Epoch{Raw(last) + 1}, m_settings.m_node, m_settings.m_self, m_settings.m_address, 0, false};
  store::Transaction transaction;
  transaction.m_checks.push_back({m_settings.m_row, expected});
  transaction.m_puts.push_back({m_settings.m_row, Write(row)});
  m_call_pending = true;
  m_write_sent = m_clock->Now();
  m_store->Transact(transaction, m_settings.m_call_timeout,
                    [weak = weak_from_this(), row](Result<Version, store::TransactError> result) {
                      const auto self = weak.lock();
                      if (!self || self->m_stopped) return;
                      self->m_call_pending = false;
                      self->OnTakenOver(std::move(result), row);
                    });
}

void Leadership::OnTakenOver(Result<Version, store::TransactError> result, const LeaderRow& row) {
  if (m_leading) return;
  if (!Ok(result)) {
    log::Info(kLog, "Takeover failed", {{"epoch", Text(row.m_epoch)}, {"why", ToString(ErrorOf(result))}});
    m_watching = false;
    m_next_watch = m_clock->Now() + m_settings.m_watch_interval;
    if (!std::holds_alternative<store::StoreSilent>(ErrorOf(result))) return;
    // The write may have taken effect; the row shows it.
    return ReadRow([this, row](Result<std::optional<store::StoredRow>, store::ReadError> read) {
      if (m_leading || !Ok(read) || !ValueOf(read)) return;
      const auto parsed = ReadLeaderRow(ValueOf(read)->m_value);
      if (!Ok(parsed)) return;
      const LeaderRow& now = ValueOf(parsed);
      if (now.m_holder == m_settings.m_self && now.m_epoch == row.m_epoch && !now.m_released) {
        OnTakenOver(ValueOf(read)->m_version, row);
      }
    });
  }
  m_leading = true;
  m_epoch = row.m_epoch;
  m_version = ValueOf(result);
  m_writes = {};
  m_writes.Add(m_version, m_write_sent, m_clock->Now());
  m_write_count = 0;
  m_last_renewal = m_write_sent;
  m_copy_in_doubt = false;
  m_refusals = 0;
  m_rejections = 0;
  m_pending.clear();
  m_writing = false;
  m_watching = false;
  log::Info(kLog, "Became leader", {{"epoch", Text(m_epoch)}});
  m_events.m_elected(m_epoch);
}

//-------------------------------------------------------------------------------------------------
// Writing
//-------------------------------------------------------------------------------------------------

void Leadership::Store(LeaderWrite write, std::function<void()> stored,
                       std::function<void(const std::string& why)> rejected) {
  if (!m_leading) return;
  m_pending.push_back({std::move(write), std::move(stored), std::move(rejected), false});
  if (!m_writing) SendNext();
}

void Leadership::Release(Millis timeout, std::function<void()> done) {
  if (!m_leading) return done();
  auto once = std::make_shared<std::function<void()>>(std::move(done));
  const auto finish = [once] {
    if (*once) std::exchange(*once, nullptr)();
  };
  m_pending.push_back({{}, finish, {}, true});
  m_timers->After(timeout, finish).Detach();
  if (!m_writing) SendNext();
}

void Leadership::SendNext() {
  if (!m_leading || m_stopped || m_pending.empty()) return;
  if (!std::exchange(m_writing, true)) m_write_started = m_clock->Now();
  const Pending& next = m_pending.front();
  const LeaderRow row{m_epoch,           m_settings.m_node, m_settings.m_self, m_settings.m_address,
                      m_write_count + 1, next.m_release};
  store::Transaction transaction;
  transaction.m_checks.push_back({m_settings.m_row, m_version});
  transaction.m_puts = next.m_write.m_puts;
  transaction.m_puts.push_back({m_settings.m_row, Write(row)});
  transaction.m_removals = next.m_write.m_removals;
  m_write_sent = m_clock->Now();
  if (!m_copy_in_doubt) m_applied_after = m_write_sent;
  // A read may be answered through a peer while the write waits for a connection that went silent.
  const Millis allowed = m_write_time.Allow(m_settings.m_call_timeout);
  m_verify = m_timers->After(allowed, [weak = weak_from_this(), allowed] {
    const auto self = weak.lock();
    if (!self || !self->m_leading || !self->m_writing) return;
    self->VerifyWrite(allowed);
  });
  m_store->Transact(transaction, m_settings.m_call_timeout,
                    [weak = weak_from_this(), epoch = m_epoch, write = row.m_write, call = ++m_call_number,
                     sent = m_write_sent](Result<Version, store::TransactError> result) {
                      const auto self = weak.lock();
                      if (!self || self->m_stopped || !self->m_leading || self->m_epoch != epoch) return;
                      if (Ok(result)) {  // Also of an earlier copy.
                        self->m_write_time.Answered(self->m_clock->Now() - sent);
                        if (self->m_writing && self->m_write_count + 1 == write) self->CompleteWrite(ValueOf(result));
                      } else if (self->m_call_number == call) {
                        self->OnWriteFailure(ErrorOf(result));
                      }
                    });
}

void Leadership::OnWriteFailure(const store::TransactError& error) {
  m_verify.Cancel();
  if (const auto* rejected = std::get_if<store::StoreRejected>(&error)) {
    const bool in_doubt = m_copy_in_doubt && m_clock->Now() - m_doubt_since < kLongestDoubt;
    const bool drops = ++m_rejections >= kRejectionsToDrop && m_pending.front().m_rejected && !in_doubt;
    return drops ? DropRejected(rejected->m_why) : SendAgainLater();
  }
  std::holds_alternative<store::StoreRefused>(error) ? SendAgainLater() : VerifyWrite(Millis{0});
}

// Further copies would only wait behind what the store is refusing this one for.
void Leadership::SendAgainLater() {
  const Millis delay = std::min(m_settings.m_retry_delay * (1 << std::min(m_refusals, 8)), m_settings.m_longest_retry);
  ++m_refusals;
  m_retry = m_timers->After(delay, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->SendNext();
  });
}

// The next write takes the number of this one, of which no copy may be stored any more.
void Leadership::DropRejected(const std::string& why) {
  m_refusals = 0;
  m_rejections = 0;
  m_copy_in_doubt = false;
  m_writing = false;
  const Pending rejected = std::move(m_pending.front());
  m_pending.pop_front();
  rejected.m_rejected(why);
  if (m_leading && !m_writing) SendNext();
}

// Reads the row to learn whether the write in flight was stored. Sends it again if not, which is always safe. `silence`
// is how long its answer was waited for in vain; 0: it failed otherwise. Writes get more time only if the store is slow
// or silent, not if it has stored the write and the answer is lost.
void Leadership::VerifyWrite(Millis silence) {
  m_copy_in_doubt = true;
  m_doubt_since = m_write_sent;
  ReadRow([this, epoch = m_epoch, call = ++m_call_number, silence,
           sent = m_clock->Now()](Result<std::optional<store::StoredRow>, store::ReadError> read) {
    if (!m_leading || m_epoch != epoch || m_call_number != call) return;
    if (!Ok(read)) {
      if (silence > Millis{0}) m_write_time.TimedOut(silence);
      m_events.m_silent(sent);
      m_retry = m_timers->After(m_settings.m_retry_delay, [weak = weak_from_this()] {
        if (const auto self = weak.lock(); self && self->m_leading) self->VerifyWrite(Millis{0});
      });
      return;
    }
    const auto& row = ValueOf(read);
    const auto parsed = row ? ReadLeaderRow(row->m_value) : Parsed<LeaderRow>(FieldError{"", "absent"});
    if (!Ok(parsed)) return Depose("the leader's row can't be read");
    const LeaderRow& leader = ValueOf(parsed);
    if (leader.m_holder != m_settings.m_self || leader.m_epoch != m_epoch) {
      return Depose("instance " + leader.m_holder.m_value + " took over with epoch " + Text(leader.m_epoch));
    }
    if (leader.m_write == m_write_count + 1) return CompleteWrite(row->m_version);
    if (silence > Millis{0}) m_write_time.TimedOut(silence);
    m_applied_after = sent;
    SendNext();
  });
}

void Leadership::OnStoreAvailable() {
  const bool stale = m_leading && m_writing && m_clock->Now() - m_write_started >= kStaleWriteAge;
  if (!stale) return;
  m_retry.Cancel();
  VerifyWrite(Millis{0});
}

void Leadership::CompleteWrite(Version version) {
  m_verify.Cancel();
  m_retry.Cancel();
  ++m_call_number;  // Failures of its copies, and reads that look for it, change nothing any more.
  m_copy_in_doubt = false;
  m_refusals = 0;
  m_rejections = 0;
  m_version = version;
  m_writes.Add(version, m_applied_after, m_clock->Now());
  ++m_write_count;
  m_last_renewal = m_applied_after;
  m_writing = false;
  Pending written = std::move(m_pending.front());
  m_pending.pop_front();
  if (written.m_release) {
    m_leading = false;
    m_pending.clear();
    m_last_heartbeat = m_clock->Now();  // Delays the own takeover, so that another instance takes over first.
    log::Info(kLog, "Released leadership", {{"epoch", Text(m_epoch)}});
    m_events.m_deposed("released");
    m_events.m_released(m_epoch);
  }
  if (written.m_stored) written.m_stored();
  if (m_leading && !m_writing) SendNext();
}

void Leadership::Depose(const std::string& why) {
  if (!m_leading) return;
  m_leading = false;
  m_writing = false;
  m_pending.clear();
  m_retry.Cancel();
  m_verify.Cancel();
  m_watching = false;
  m_next_watch = m_clock->Now() + m_settings.m_watch_interval;
  log::Warn(kLog, "Lost leadership", {{"epoch", Text(m_epoch)}, {"why", why}});
  m_events.m_deposed(why);
}

}  // namespace hickoryquay::service
