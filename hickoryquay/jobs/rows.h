// Rows of jobs in the platform's table service. docs/design/platform.md lists their keys and formats.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "hickoryquay/base/result.h"
#include "hickoryquay/jobs/job.h"
#include "hickoryquay/jobs/units.h"
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
  Instant m_born;  // Wall time of the start of the worker's incarnation; 0: not known.
};

// A unit that has been started at least once.
struct UnitRow {
  int m_first = 0;  // Index of its first task.
  RunNumber m_run{};
  bool m_done = false;
  std::vector<RunNumber> m_failed_runs;
  std::vector<CrashedRun> m_crashes;
  std::string m_checkpoint;
  std::vector<PlacedMember> m_members;  // Empty: no member runs.
};

// The tasks of a wide step are spread over several rows, so that the end of one task rewrites little.
constexpr int kUnitsPerRow = 32;

// Names one row of a step: that of the units from m_index * kUnitsPerRow on.
struct StepRowKey {
  StepKey m_step;
  int m_index = 0;

  bool operator==(const StepRowKey&) const = default;
  // Later rows of a step first. The first row has the key under which earlier versions wrote the whole step; it is
  // overwritten only after the other rows are stored.
  bool operator<(const StepRowKey& other) const {
    return m_step != other.m_step ? m_step < other.m_step : m_index > other.m_index;
  }
};
std::string ToText(const StepRowKey& key);  // "JOB.OCCURRENCE.STEP", with "/INDEX" behind it for all but the first.
std::optional<StepRowKey> ParseStepRowKey(std::string_view text);

struct StepRow {
  StepKey m_key;
  std::vector<UnitRow> m_units;
  int m_index = 0;  // See StepRowKey. A row of an earlier version has the index 0 and holds all units.
};

struct PhaseRow {
  JobPhase m_phase = JobPhase::kQueued;
  Instant m_since;           // Wall time.
  bool m_tombstone = false;  // Left by the cancel of a job that is not accepted. Earlier versions read kCancelled.
};

std::string Write(const AcceptedJob& job);
std::string Write(const StepRow& row);  // Key and index are not in the text.
std::string Write(const PhaseRow& row);

Parsed<AcceptedJob> ReadAcceptedJob(JobId id, std::string_view text);
Parsed<StepRow> ReadStepRow(const StepRowKey& key, std::string_view text);
Parsed<PhaseRow> ReadPhaseRow(std::string_view text);

}  // namespace hickoryquay::jobs
