#include "hickoryquay/routing/claims.h"

#include <algorithm>
#include <utility>

namespace hickoryquay::routing {

using store::Committed;
using store::Conflict;
using store::Row;
using store::TableError;
using store::Unavailable;

namespace {

constexpr int kCommitTries = 2;                // A second one where reading back finds no row.
constexpr int kOrphanChecks = 5;               // A lost commit may land after the first look.
constexpr Millis kLongestRun{15 * 60 * 1000};  // An older claim belongs to an instance that died with it.

}  // namespace

// One Begin().
struct Claims::Attempt {
  std::string m_row_key;
  std::string m_digest;
  ClaimCallback m_callback;
  std::vector<std::string> m_tokens;  // Of every commit tried.

  bool Wrote(const Row& row) const {
    return std::find(m_tokens.begin(), m_tokens.end(), row.m_token) != m_tokens.end();
  }
};

// One Finish(), until it is recorded.
struct Claims::Ending {
  ClaimHold m_hold;
  ClaimEnd m_end;
  int m_tries_left = 0;
  std::shared_ptr<Attempt> m_orphan;  // Set where the claim may stand unseen; m_hold has no version then.
};

Claims::Claims(store::Table* table, TimerService* timers, const Clock* clock, std::string instance,
               const ClaimSettings& settings)
    : m_table(table), m_timers(timers), m_clock(clock), m_instance(std::move(instance)), m_settings(settings) {}

Claims::~Claims() = default;

std::string Claims::NewToken() {
  return "claim-" + m_instance + "-" + std::to_string(m_tokens.fetch_add(1));
}

std::size_t Claims::UnrecordedEnds() const {
  return m_ends.load();
}

void Claims::Begin(const std::string& row_key, const std::string& digest, ClaimCallback callback) {
  auto attempt = std::make_shared<Attempt>();
  attempt->m_row_key = row_key;
  attempt->m_digest = digest;
  attempt->m_callback = std::move(callback);
  Submit(attempt);
}

void Claims::Submit(const std::shared_ptr<Attempt>& attempt) {
  attempt->m_tokens.push_back(NewToken());
  const ClaimRow row{ClaimState::kClaimed, attempt->m_digest, m_clock->Wall(), std::nullopt};
  store::Commit commit;
  commit.m_token = attempt->m_tokens.back();
  commit.m_checks.push_back({attempt->m_row_key, Version{0}});
  commit.m_writes.push_back({attempt->m_row_key, ToText(row)});
  m_table->Submit(std::move(commit), [self = shared_from_this(), attempt](const Result<Committed, TableError>& result) {
    self->OnCommit(attempt, result);
  });
}

void Claims::OnCommit(const std::shared_ptr<Attempt>& attempt, const Result<Committed, TableError>& result) {
  if (Ok(result)) {
    return attempt->m_callback(ClaimHold{attempt->m_row_key, attempt->m_digest, ValueOf(result).m_version});
  }
  const TableError& error = ErrorOf(result);
  if (const auto* conflict = std::get_if<Conflict>(&error)) {
    if (!conflict->m_rows.empty()) return OnRow(attempt, conflict->m_rows.front());
    return ReadBack(attempt);
  }
  const bool first = attempt->m_tokens.size() == 1;
  if (std::holds_alternative<Unavailable>(error) && first) return attempt->m_callback(TableAway{});
  ReadBack(attempt);
}

void Claims::ReadBack(const std::shared_ptr<Attempt>& attempt) {
  m_table->Get(attempt->m_row_key, [self = shared_from_this(), attempt](const Result<Row, TableError>& result) {
    Ok(result) ? self->OnRow(attempt, ValueOf(result)) : self->GiveUp(attempt);
  });
}

void Claims::OnRow(const std::shared_ptr<Attempt>& attempt, const Row& row) {
  if (row.m_version == Version{0}) {
    const bool may_try = static_cast<int>(attempt->m_tokens.size()) < kCommitTries;
    return may_try ? Submit(attempt) : GiveUp(attempt);
  }
  if (attempt->Wrote(row)) {
    return attempt->m_callback(ClaimHold{attempt->m_row_key, attempt->m_digest, row.m_version});
  }
  const std::optional<ClaimRow> claim = ParseClaimRow(row.m_value);
  if (!claim) return attempt->m_callback(FirstUnknown{});
  if (claim->m_digest != attempt->m_digest) return attempt->m_callback(KeyReused{});
  if (claim->m_state == ClaimState::kDone) return attempt->m_callback(AlreadyDone{claim->m_answer});
  const bool abandoned = m_clock->Wall() - claim->m_at > kLongestRun;
  if (claim->m_state == ClaimState::kUnknown || abandoned) return attempt->m_callback(FirstUnknown{});
  attempt->m_callback(InProgress{});
}

// Nothing will be sent, so a claim that stands nevertheless is to be taken away.
void Claims::GiveUp(const std::shared_ptr<Attempt>& attempt) {
  auto ending = std::make_shared<Ending>();
  ending->m_hold = ClaimHold{attempt->m_row_key, attempt->m_digest, Version{0}};
  ending->m_end = DidNotRun{};
  ending->m_tries_left = kOrphanChecks;
  ending->m_orphan = attempt;
  ++m_ends;
  attempt->m_callback(ClaimInDoubt{});
  Retry(ending);
}

void Claims::Finish(const ClaimHold& hold, ClaimEnd end) {
  if (m_ends.load() >= m_settings.m_max_ends) return;
  auto ending = std::make_shared<Ending>();
  ending->m_hold = hold;
  ending->m_end = std::move(end);
  ending->m_tries_left = m_settings.m_end_tries;
  if (auto* ran = std::get_if<RanWith>(&ending->m_end)) {
    const bool too_large = ran->m_answer && ran->m_answer->m_body.size() > m_settings.m_max_kept_body;
    if (too_large) ran->m_answer.reset();
  }
  ++m_ends;
  Record(ending);
}

// Checked by the version of the claim, so that a repeat of it that arrives late changes nothing.
void Claims::Record(const std::shared_ptr<Ending>& ending) {
  const ClaimHold& hold = ending->m_hold;
  ClaimRow row{ClaimState::kUnknown, hold.m_digest, m_clock->Wall(), std::nullopt};
  if (const auto* ran = std::get_if<RanWith>(&ending->m_end)) {
    row.m_state = ClaimState::kDone;
    row.m_answer = ran->m_answer;
  }
  const bool frees_key = std::holds_alternative<DidNotRun>(ending->m_end);
  store::Commit commit;
  commit.m_token = NewToken();
  commit.m_checks.push_back({hold.m_row_key, hold.m_version});
  commit.m_writes.push_back({hold.m_row_key, frees_key ? std::nullopt : std::optional(ToText(row))});
  m_table->Submit(std::move(commit), [self = shared_from_this(), ending](const Result<Committed, TableError>& result) {
    self->OnRecorded(ending, result);
  });
}

void Claims::OnRecorded(const std::shared_ptr<Ending>& ending, const Result<Committed, TableError>& result) {
  // A conflict means that an earlier try of this very end took effect: nobody else changes a claim.
  const bool settled = Ok(result) || std::holds_alternative<Conflict>(ErrorOf(result));
  settled ? void(--m_ends) : Retry(ending);
}

void Claims::Retry(const std::shared_ptr<Ending>& ending) {
  if (ending->m_tries_left-- <= 0) {
    --m_ends;
    return;
  }
  m_timers
      ->After(
          m_settings.m_retry_end_after,
          [self = shared_from_this(), ending] { ending->m_orphan ? self->RemoveOrphan(ending) : self->Record(ending); })
      .Detach();
}

// Looks for the row of a claim in doubt, a few times, and removes it where it is ours.
void Claims::RemoveOrphan(const std::shared_ptr<Ending>& ending) {
  m_table->Get(ending->m_hold.m_row_key, [self = shared_from_this(), ending](const Result<Row, TableError>& result) {
    const bool ours = Ok(result) && ending->m_orphan->Wrote(ValueOf(result));
    if (!ours) return self->Retry(ending);
    ending->m_hold.m_version = ValueOf(result).m_version;
    ending->m_orphan.reset();
    self->Record(ending);
  });
}

}  // namespace hickoryquay::routing
