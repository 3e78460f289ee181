// Tables of the service and the parts in which their rows are stored. See docs/design/platform.md.
#pragma once

#include <string>

#include "hickoryquay/base/ids.h"

namespace hickoryquay::service {

struct TableNames {
  std::string m_intake = "hq-intake";    // Accepted jobs and cancels, written by all instances.
  std::string m_ended = "hq-ended";      // Ended jobs with their last phase, written by the leader.
  std::string m_intake_part = "intake";  // Of both, so that one transaction moves a job.
  std::string m_state = "hq-state";      // State of jobs and steps, written by the leader.
  std::string m_leader_part = "leader";  // Holds the leader's row too, so that one transaction covers both.
};

// Keys of the intake table.
std::string JobRowKey(JobId job);     // "j/HEX"
std::string CancelRowKey(JobId job);  // "c/HEX"

}  // namespace hickoryquay::service
