// Claims: a request not to be repeated runs at most once, over repeats, lost answers, outages and crashes.
//
// The rule: a request is sent only by the one who wrote the row claim/<market>/<account>/<key> into its absence, and
// only after reading or hearing that the row is there. No claim is ever taken over. docs/design/at-most-once.md has
// the argument.
//
// Index of this file:
//   [SECTION] Rows
//   [SECTION] What a claim comes to
//   [SECTION] Protocol
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "hickoryquay/base/clock.h"
#include "hickoryquay/base/ids.h"
#include "hickoryquay/base/timer_service.h"
#include "hickoryquay/store/table.h"

namespace hickoryquay::routing {

//-------------------------------------------------------------------------------------------------
// [SECTION] Rows
//-------------------------------------------------------------------------------------------------

enum class ClaimState {
  kClaimed,  // May be running, or its instance died: nobody can say.
  kDone,     // Ran; the answer may be kept.
  kUnknown,  // Sent, and no whole answer came.
};

// An answer small enough to be kept for repeats.
struct KeptAnswer {
  int m_status = 200;
  std::string m_content_type;
  std::string m_body;

  bool operator==(const KeptAnswer&) const = default;
};

struct ClaimRow {
  ClaimState m_state = ClaimState::kClaimed;
  std::string m_digest;  // Of method, target and body: the same key may not stand for two requests.
  Instant m_at;          // Wall time of the last change.
  std::optional<KeptAnswer> m_answer;
};

std::string ToText(const ClaimRow& row);
std::optional<ClaimRow> ParseClaimRow(const std::string& text);

std::string ClaimKey(const MarketId& market, const AccountId& account, std::string_view key);
std::string DigestOf(std::string_view method, std::string_view target, std::string_view body);

//-------------------------------------------------------------------------------------------------
// [SECTION] What a claim comes to
//-------------------------------------------------------------------------------------------------

// The request may be sent, once. To be given back by Finish().
struct ClaimHold {
  std::string m_row_key;
  std::string m_digest;
  Version m_version{};
};
struct AlreadyDone {
  std::optional<KeptAnswer> m_answer;
};
struct InProgress {};    // Another one holds the claim, or died with it.
struct FirstUnknown {};  // The first one was sent and its outcome is not known.
struct KeyReused {};     // The key belongs to a different request.
struct TableAway {};     // Nothing was claimed; not run.
struct ClaimInDoubt {};  // The claim may stand, but the request was not and will not be sent.

using ClaimResult = std::variant<ClaimHold, AlreadyDone, InProgress, FirstUnknown, KeyReused, TableAway, ClaimInDoubt>;
using ClaimCallback = std::function<void(ClaimResult)>;

// What became of a request whose claim was held.
struct RanWith {
  std::optional<KeptAnswer> m_answer;
};
struct RanUnknown {};
struct DidNotRun {};  // The key is free again.
using ClaimEnd = std::variant<RanWith, RanUnknown, DidNotRun>;

//-------------------------------------------------------------------------------------------------
// [SECTION] Protocol
//-------------------------------------------------------------------------------------------------

struct ClaimSettings {
  std::size_t m_max_kept_body = 4 * 1024;  // Larger answers are not kept.
  std::size_t m_max_ends = 1024;           // Ends not yet recorded; further ones stay claimed in the table.
  Millis m_retry_end_after{1'000};
  int m_end_tries = 60;
};

// Thread-safe. Callbacks come on the table's threads.
class Claims : public std::enable_shared_from_this<Claims> {
 public:
  Claims(store::Table* table, TimerService* timers, const Clock* clock, std::string instance,
         const ClaimSettings& settings);
  ~Claims();

  // One commit where all is well; calls back exactly once.
  void Begin(const std::string& row_key, const std::string& digest, ClaimCallback callback);

  // Records the end in the background, again and again while the table is away. Until then repeats are told that the
  // request is in progress.
  void Finish(const ClaimHold& hold, ClaimEnd end);

  std::size_t UnrecordedEnds() const;

 private:
  struct Attempt;
  struct Ending;

  std::string NewToken();
  void Submit(const std::shared_ptr<Attempt>& attempt);
  void OnCommit(const std::shared_ptr<Attempt>& attempt, const Result<store::Committed, store::TableError>& result);
  void ReadBack(const std::shared_ptr<Attempt>& attempt);
  void OnRow(const std::shared_ptr<Attempt>& attempt, const store::Row& row);
  void GiveUp(const std::shared_ptr<Attempt>& attempt);
  void Record(const std::shared_ptr<Ending>& ending);
  void OnRecorded(const std::shared_ptr<Ending>& ending, const Result<store::Committed, store::TableError>& result);
  void Retry(const std::shared_ptr<Ending>& ending);
  void RemoveOrphan(const std::shared_ptr<Ending>& ending);

  store::Table* m_table;
  TimerService* m_timers;
  const Clock* m_clock;
  const std::string m_instance;
  const ClaimSettings m_settings;
  std::atomic<std::uint64_t> m_tokens{0};
  std::atomic<std::size_t> m_ends{0};
};

}  // namespace hickoryquay::routing
