// The size of each row of jobs at the bounds that docs/design/platform.md states.

#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <limits>
#include <string>
#include <utility>
#include <vector>

#include "hickoryquay/jobs/rows.h"
#include "hickoryquay/jobs/scheduler_settings.h"

namespace hickoryquay::jobs {
namespace {

constexpr std::size_t kMostBytes = 65'536;  // That a store takes.
constexpr int kMostAttempts = 50;           // Failed runs of a task.
constexpr std::size_t kLongestName = 200;   // Of a worker; longer ones name none.
constexpr int kMostMembers = 140;           // Of a gang, on workers with the longest names.
constexpr std::size_t kUsualName = 30;
constexpr int kMostUsualMembers = 500;  // As kMostMembers, with usual names.
constexpr std::size_t kLongestCheckpoint = 500;
constexpr RunNumber kLastRun{std::numeric_limits<std::int32_t>::max()};
constexpr Instant kLate{9'999'999'999'999};

std::string Name(std::size_t length, int number) {
  const std::string digits = std::to_string(number);
  return std::string(length - digits.size(), 'w') + digits;
}

class RowSizeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RowSizeTest);
  CPPUNIT_TEST(RowOfSingleTasksFitsTheStore);
  CPPUNIT_TEST(RowOfAGangFitsTheStore);
  CPPUNIT_TEST(CrashesAreBoundedByTheVerdict);
  CPPUNIT_TEST(PhaseFitsTheStore);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against steps that the store rejects after many failures, crashes and checkpoints (review/1).
  void RowOfSingleTasksFitsTheStore() {
    StepRow row;
    for (int i = 0; i < kUnitsPerRow; ++i) row.m_units.push_back(FullUnit(i, 1, kLongestName));
    CheckFits(row);
  }

  // Guards against gangs that can't be started because their placement does not fit.
  void RowOfAGangFitsTheStore() {
    for (const auto& [members, name] : {std::pair{kMostMembers, kLongestName}, {kMostUsualMembers, kUsualName}}) {
      StepRow row;
      row.m_units.push_back(FullUnit(0, members, name));
      CheckFits(row);
    }
  }

  // Guards against a list of crashes that grows with each further start.
  void CrashesAreBoundedByTheVerdict() {
    const CrashSettings settings;
    std::vector<CrashedRun> crashes;
    std::uint32_t run = 0;
    while (Judge(crashes, RunNumber{run}, settings) != CrashVerdict::kGiveUp) {
      crashes.push_back({RunNumber{++run}, 0, false, Millis{4'000}});
      CPPUNIT_ASSERT(static_cast<int>(crashes.size()) <= kMostCrashes);
    }
  }

  void PhaseFitsTheStore() { CPPUNIT_ASSERT(Write(PhaseRow{JobPhase::kCancelled, kLate}).size() <= kMostBytes); }

 private:
  static constexpr int kMostCrashes = 6;

  static UnitRow FullUnit(int first, int members, std::size_t name) {
    UnitRow unit;
    unit.m_first = first * members;
    unit.m_run = kLastRun;
    for (int i = 0; i < kMostAttempts; ++i) unit.m_failed_runs.push_back(RunNumber{Raw(kLastRun) - i});
    for (int i = 0; i < kMostCrashes; ++i) {
      unit.m_crashes.push_back({RunNumber{Raw(kLastRun) - i}, members - 1, true, Millis{15'000}});
    }
    unit.m_checkpoint = std::string(kLongestCheckpoint, 'c');
    for (int i = 0; i < members; ++i) {
      unit.m_members.push_back({WorkerId{Name(name, i)}, "255.255.255.255:65535", false, kLate});
    }
    return unit;
  }

  static void CheckFits(const StepRow& row) {
    const std::string text = Write(row);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(text.size()), text.size() <= kMostBytes);
    const auto read = ReadStepRow(StepRowKey{}, text);
    CPPUNIT_ASSERT(std::holds_alternative<StepRow>(read));
    CPPUNIT_ASSERT_EQUAL(row.m_units.size(), std::get<StepRow>(read).m_units.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RowSizeTest);

}  // namespace
}  // namespace hickoryquay::jobs
