// Outcome: what became of a caller's request, and the reason in a form that programs read.
#pragma once

#include <string_view>

namespace hickoryquay::routing {

enum class Outcome {
  kDone,        // The whole answer to this very request.
  kNotRun,      // Provably not run: no byte was sent to a backend server, or the backend server said so.
  kUnknown,     // May have run; nobody can say.
  kAlreadyRun,  // An earlier request of the same idempotency key ran; its answer is not kept.
};

// Why a request was not answered by a backend server. Each reason belongs to one outcome, see Describe().
enum class Reason {
  kNone,
  // Not run.
  kMalformed,
  kHeaderTooLarge,
  kBodyTooLarge,
  kRequestTooSlow,
  kUnknownMarket,
  kUnknownAccount,
  kUnknownClass,
  kBadDeadline,
  kKeyRequired,
  kBadKey,
  kKeyReused,
  kNoBackend,
  kOverloaded,
  kShed,
  kDeadline,
  kRefusedByBackend,
  kUnreachable,
  kOutOfMemory,
  kTableAway,
  kClaimInDoubt,
  // Unknown.
  kCut,
  kLate,
  kCrossed,
  kBadAnswer,
  kAnswerTooLarge,
  kInProgress,
  kFirstUnknown,
  // Already run.
  kAnswerNotKept,
};

struct ReasonText {
  Reason m_reason = Reason::kNone;
  Outcome m_outcome = Outcome::kDone;
  int m_status = 200;
  std::string_view m_code;     // Value of HQ-Reason.
  std::string_view m_message;  // For people.
  int m_retry_after_s = 0;     // 0: no Retry-After.
};

const ReasonText& Describe(Reason reason);
std::string_view ToString(Outcome outcome);  // Value of HQ-Outcome: "done", "not-run", "unknown", "already-run".

}  // namespace hickoryquay::routing
