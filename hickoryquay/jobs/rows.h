// Rows of jobs in the platform's table service. docs/design/platform.md lists their keys and formats.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "hickoryquay/base/result.h"
#include "hickoryquay/jobs/job.h"
#include "hickoryquay/model/json.h"

namespace hickoryquay::jobs {

struct RowChange {
  std::string m_key;
  std::optional<std::string> m_value;  // Empty: the row is deleted.
};

struct PlacedMember {
  WorkerId m_worker;
  std::string m_address;
  bool m_settled = false;
};

// A unit that has been started at least once.
struct UnitRow {
  int m_first = 0;  // Index of its first task.
  RunNumber m_run{};
  bool m_done = false;
  std::vector<RunNumber> m_failed_runs;
  std::string m_checkpoint;
  std::vector<PlacedMember> m_members;  // Empty: no member runs.
};

struct StepRow {
  StepKey m_key;
  std::vector<UnitRow> m_units;
};

struct PhaseRow {
  JobPhase m_phase = JobPhase::kQueued;
  Instant m_since;  // Wall time.
};

std::string Write(const AcceptedJob& job);
std::string Write(const StepRow& row);  // The key is not part of the text.
std::string Write(const PhaseRow& row);

Parsed<AcceptedJob> ReadAcceptedJob(JobId id, std::string_view text);
Parsed<StepRow> ReadStepRow(const StepKey& key, std::string_view text);
Parsed<PhaseRow> ReadPhaseRow(std::string_view text);

}  // namespace hickoryquay::jobs
