// Which incarnation of a worker a message is from, and what becomes of the runs of an earlier one.

#include "hickoryquay/jobs/incarnation.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hickoryquay::jobs {
namespace {

constexpr Instant kEarlier{1'000'000};
constexpr Instant kLater{1'060'000};
constexpr Instant kHeard{500};
constexpr Instant kBeforeHeard{400};
constexpr Instant kAfterHeard{600};

class IncarnationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(IncarnationTest);
  CPPUNIT_TEST(RepliesAreCompared);
  CPPUNIT_TEST(RowsAreCompared);
  CPPUNIT_TEST(RunsThatCannotStartAreClear);
  CPPUNIT_TEST(RunsThatMayStartAreStopped);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RepliesAreCompared() {
    const KnownIncarnation none;
    CPPUNIT_ASSERT(Compare(none, std::nullopt, kAfterHeard) == ReportedIncarnation::kSame);
    CPPUNIT_ASSERT(Compare(none, kEarlier, kAfterHeard) == ReportedIncarnation::kFirst);
    const KnownIncarnation known{kLater, kHeard};
    CPPUNIT_ASSERT(Compare(known, kLater, kAfterHeard) == ReportedIncarnation::kSame);
    CPPUNIT_ASSERT(Compare({kEarlier, kHeard}, kLater, kBeforeHeard) == ReportedIncarnation::kNewer);
    // A reply sent before the restart that arrives after it would clear the runs of the new incarnation.
    CPPUNIT_ASSERT(Compare(known, kEarlier, kBeforeHeard) == ReportedIncarnation::kStale);
    // A worker whose clock was set back before it restarted would never be used again.
    CPPUNIT_ASSERT(Compare(known, kEarlier, kAfterHeard) == ReportedIncarnation::kNewer);
    CPPUNIT_ASSERT(Compare(known, std::nullopt, kAfterHeard) == ReportedIncarnation::kUnidentified);
  }

  // A row of another incarnation may name another capacity, pool or rack at the same address.
  void RowsAreCompared() {
    CPPUNIT_ASSERT(CompareRow(kLater, kLater) == RowIncarnation::kCurrent);
    CPPUNIT_ASSERT(CompareRow(kLater, std::nullopt) == RowIncarnation::kCurrent);
    CPPUNIT_ASSERT(CompareRow(Instant{}, kLater) == RowIncarnation::kCurrent);
    CPPUNIT_ASSERT(CompareRow(kEarlier, kLater) == RowIncarnation::kNewer);
    CPPUNIT_ASSERT(CompareRow(kLater, kEarlier) == RowIncarnation::kLagging);
  }

  void RunsThatCannotStartAreClear() {
    RunBeforeRestart planned;
    planned.m_sent = false;
    CPPUNIT_ASSERT(Resolve(planned, kHeard) == AfterRestart::kWithdraw);
    CPPUNIT_ASSERT(Resolve(Confirmed(kBeforeHeard), kHeard) == AfterRestart::kClear);
    RunBeforeRestart restored;
    restored.m_earlier_epoch = true;
    CPPUNIT_ASSERT(Resolve(restored, kHeard) == AfterRestart::kClear);
  }

  // Each of these would be placed elsewhere while it runs, or may start, on the new incarnation.
  void RunsThatMayStartAreStopped() {
    CPPUNIT_ASSERT(Resolve(RunBeforeRestart{}, kHeard) == AfterRestart::kStop);
    CPPUNIT_ASSERT(Resolve(Confirmed(kAfterHeard), kHeard) == AfterRestart::kStop);
    RunBeforeRestart sent_again = Confirmed(kBeforeHeard);
    sent_again.m_sent_again = true;
    CPPUNIT_ASSERT(Resolve(sent_again, kHeard) == AfterRestart::kStop);
    RunBeforeRestart listed = Confirmed(kBeforeHeard);
    listed.m_listed = true;
    CPPUNIT_ASSERT(Resolve(listed, kHeard) == AfterRestart::kStop);
    listed.m_earlier_epoch = true;
    CPPUNIT_ASSERT(Resolve(listed, kHeard) == AfterRestart::kStop);
  }

 private:
  static RunBeforeRestart Confirmed(Instant at) {
    RunBeforeRestart run;
    run.m_confirmed = true;
    run.m_confirmed_at = at;
    return run;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(IncarnationTest);

}  // namespace
}  // namespace hickoryquay::jobs
