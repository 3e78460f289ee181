#include "hickoryquay/jobs/worker_api.h"

namespace hickoryquay::jobs {

const char* ToString(EndKind kind) {
  switch (kind) {
    case EndKind::kDone:
      return "done";
    case EndKind::kFailed:
      return "failed";
    case EndKind::kStopped:
      return "stopped";
    case EndKind::kLapsed:
      return "lapsed";
    case EndKind::kBroken:
      return "broken";
    case EndKind::kAlone:
      return "alone";
  }
  return "unknown";
}

}  // namespace hickoryquay::jobs
