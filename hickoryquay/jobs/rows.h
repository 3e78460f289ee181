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

// The tasks of a wide step are spread over several rows, so that the end of one task rewrites little.
constexpr int kUnitsPerRow = 32;

// Names one row of a step: the one of units from m_part * kUnitsPerRow on.
struct StepPart {
  StepKey m_step;
  int m_part = 0;

  bool operator==(const StepPart&) const = default;
  // Later parts of a step first. Part 0 has the key under which earlier versions wrote the whole step; it is
  // overwritten only after the other parts are stored.
  bool operator<(const StepPart& other) const {
    return m_step != other.m_step ? m_step < other.m_step : m_part > other.m_part;
  }
};
std::string ToText(const StepPart& part);  // "JOB.OCCURRENCE.STEP", with "/PART" behind it for all but part 0.
std::optional<StepPart> ParseStepPart(std::string_view text);

struct StepRow {
  StepKey m_key;
  std::vector<UnitRow> m_units;
  int m_part = 0;  // Rows of earlier versions hold the units of all parts in part 0.
};

struct PhaseRow {
  JobPhase m_phase = JobPhase::kQueued;
  Instant m_since;  // Wall time.
};

std::string Write(const AcceptedJob& job);
std::string Write(const StepRow& row);  // The key and the part are not in the text.
std::string Write(const PhaseRow& row);

Parsed<AcceptedJob> ReadAcceptedJob(JobId id, std::string_view text);
Parsed<StepRow> ReadStepRow(const StepPart& part, std::string_view text);
Parsed<PhaseRow> ReadPhaseRow(std::string_view text);

}  // namespace hickoryquay::jobs
