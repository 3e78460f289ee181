#include "hickoryquay/routing/outcome.h"

#include <array>

namespace hickoryquay::routing {

namespace {

constexpr int kRetrySoonS = 1;
constexpr int kRetryLaterS = 5;

// In the order of Reason.
constexpr std::array kReasons{
    ReasonText{Reason::kNone, Outcome::kDone, 200, "", "", 0},
    ReasonText{Reason::kMalformed, Outcome::kNotRun, 400, "malformed", "the request is not valid HTTP/1.1", 0},
    ReasonText{Reason::kHeaderTooLarge, Outcome::kNotRun, 431, "header-too-large", "the header is over the limit", 0},
    ReasonText{Reason::kBodyTooLarge, Outcome::kNotRun, 413, "body-too-large", "the body is over the limit", 0},
    ReasonText{Reason::kRequestTooSlow, Outcome::kNotRun, 408, "request-too-slow", "the request did not arrive in time",
               0},
    ReasonText{Reason::kUnknownMarket, Outcome::kNotRun, 404, "unknown-market", "HQ-Market names no market", 0},
    ReasonText{Reason::kUnknownAccount, Outcome::kNotRun, 404, "unknown-account",
               "HQ-Account names no client account of the market", 0},
    ReasonText{Reason::kUnknownClass, Outcome::kNotRun, 404, "unknown-class",
               "HQ-Class names no class of work of the market", 0},
    ReasonText{Reason::kBadDeadline, Outcome::kNotRun, 400, "bad-deadline",
               "HQ-Deadline-Ms must be a whole number from 1 to 600000", 0},
    ReasonText{Reason::kKeyRequired, Outcome::kNotRun, 400, "key-required",
               "a request that runs at most once needs an Idempotency-Key", 0},
    ReasonText{Reason::kBadKey, Outcome::kNotRun, 400, "bad-key",
               "Idempotency-Key must be 1 to 200 printable characters without spaces", 0},
    ReasonText{Reason::kKeyReused, Outcome::kNotRun, 422, "key-reused",
               "the Idempotency-Key belongs to a different request", 0},
    ReasonText{Reason::kNoBackend, Outcome::kNotRun, 503, "no-backend", "the market has no backend server to send to",
               kRetryLaterS},
    ReasonText{Reason::kOverloaded, Outcome::kNotRun, 503, "overloaded", "no slot can be free before the deadline",
               kRetrySoonS},
    ReasonText{Reason::kShed, Outcome::kNotRun, 503, "shed", "more urgent requests took the place in the queue",
               kRetryLaterS},
    ReasonText{Reason::kDeadline, Outcome::kNotRun, 504, "deadline", "the deadline passed before the request was sent",
               kRetrySoonS},
    ReasonText{Reason::kRefusedByBackend, Outcome::kNotRun, 503, "refused-by-backend",
               "the backend servers tried had no slot free", kRetrySoonS},
    ReasonText{Reason::kUnreachable, Outcome::kNotRun, 503, "unreachable", "no backend server tried could be reached",
               kRetrySoonS},
    ReasonText{Reason::kOutOfMemory, Outcome::kNotRun, 503, "out-of-memory",
               "the bodies in flight fill the memory set aside for them", kRetrySoonS},
    ReasonText{Reason::kTableAway, Outcome::kNotRun, 503, "table-away",
               "the claim of a request that runs at most once cannot be recorded", kRetryLaterS},
    ReasonText{Reason::kClaimInDoubt, Outcome::kNotRun, 503, "claim-in-doubt",
               "whether the claim was recorded is not known, so the request was not sent", kRetryLaterS},
    ReasonText{Reason::kCut, Outcome::kUnknown, 502, "cut", "the connection ended before the whole answer came", 0},
    ReasonText{Reason::kLate, Outcome::kUnknown, 504, "late", "the deadline passed before the whole answer came", 0},
    ReasonText{Reason::kCrossed, Outcome::kUnknown, 502, "crossed", "the answer belonged to another request", 0},
    ReasonText{Reason::kBadAnswer, Outcome::kUnknown, 502, "bad-answer", "the answer broke the protocol", 0},
    ReasonText{Reason::kAnswerTooLarge, Outcome::kUnknown, 502, "answer-too-large", "the answer is over the limit", 0},
    ReasonText{Reason::kInProgress, Outcome::kUnknown, 409, "in-progress",
               "the first request of this key has not finished, or its outcome was not recorded", kRetrySoonS},
    ReasonText{Reason::kFirstUnknown, Outcome::kUnknown, 409, "first-unknown",
               "whether the first request of this key ran is not known; it is not run again", 0},
    ReasonText{Reason::kAnswerNotKept, Outcome::kAlreadyRun, 409, "already-run",
               "the first request of this key ran; its answer is not kept", 0},
};

}  // namespace

const ReasonText& Describe(Reason reason) {
  return kReasons.at(static_cast<std::size_t>(reason));
}

std::string_view ToString(Outcome outcome) {
  constexpr std::array<std::string_view, 4> kNames{"done", "not-run", "unknown", "already-run"};
  return kNames.at(static_cast<std::size_t>(outcome));
}

}  // namespace hickoryquay::routing
