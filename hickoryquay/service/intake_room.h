// What the room that a leader has for jobs means for a submission: its refusal, and what its answer says of the job.
#pragma once

#include "hickoryquay/service/intake.h"
#include "hickoryquay/service/job_room.h"

namespace hickoryquay::service {

constexpr Millis kNoRoomRetry{5'000};

inline IntakeError RefusalOf(JobRoom::Answer room) {
  switch (room) {
    case JobRoom::Answer::kOverPart:
    case JobRoom::Answer::kNever:
      return JobTooLarge{"the job has too many tasks"};
    case JobRoom::Answer::kAccountFull:
      return TryLater{kNoRoomRetry, "the account's jobs take too much already"};
    default:
      return TryLater{kNoRoomRetry, "too much work is held already"};
  }
}

inline JobRoom::Outcome OutcomeOf(const Result<Done, IntakeError>& result) {
  if (Ok(result)) return JobRoom::Outcome::kStored;
  const bool unknown = std::holds_alternative<OutcomeUnknown>(ErrorOf(result));
  return unknown ? JobRoom::Outcome::kUnknown : JobRoom::Outcome::kRefused;
}

}  // namespace hickoryquay::service
