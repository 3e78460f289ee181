// Tables of the service and the parts in which their rows are stored. See docs/design/platform.md.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "hickoryquay/base/ids.h"

namespace hickoryquay::service {

// The store does the transactions of one part one after another, so accepted jobs are spread over several.
constexpr std::uint64_t kIntakeParts = 16;

struct TableNames {
  std::string m_intake = "hq-intake";    // Accepted jobs and cancels, written by all instances.
  std::string m_ended = "hq-ended";      // Ended jobs with their last phase, written by the leader.
  std::string m_whole_part = "intake";   // Of both tables in earlier versions; its rows are still read.
  std::string m_state = "hq-state";      // State of jobs and steps, written by the leader.
  std::string m_leader_part = "leader";  // Holds the leader's row too, so that one transaction covers both.

  // Of both the accepted and the ended job, so that one transaction moves it: "intake-0" to "intake-15".
  std::string IntakePart(JobId job) const { return PartName(Raw(job) % kIntakeParts); }
  std::vector<std::string> AllIntakeParts() const {
    std::vector<std::string> parts{m_whole_part};
    for (std::uint64_t part = 0; part < kIntakeParts; ++part) parts.push_back(PartName(part));
    return parts;
  }

 private:
  std::string PartName(std::uint64_t part) const { return m_whole_part + "-" + std::to_string(part); }
};

// Keys of the intake table.
std::string JobRowKey(JobId job);     // "j/HEX"
std::string CancelRowKey(JobId job);  // "c/HEX"

}  // namespace hickoryquay::service
