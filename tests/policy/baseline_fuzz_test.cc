// Checks that the baselines of the bench keep every rule but those on guarantees, under random sequences of events.
#include <cppunit/extensions/HelperMacros.h>

#include "bench/policy/baseline.h"
#include "tests/policy/fuzz.h"

namespace hickoryquay::test {
namespace {

class BaselineFuzzTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BaselineFuzzTest);
  CPPUNIT_TEST(FirstFitKeepsTheSharedRules);
  CPPUNIT_TEST(BestFitKeepsTheSharedRules);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FirstFitKeepsTheSharedRules() { Fuzz("first-fit", &bench::MakeFirstFit, false); }
  void BestFitKeepsTheSharedRules() { Fuzz("best-fit", &bench::MakeBestFit, false); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BaselineFuzzTest);

}  // namespace
}  // namespace hickoryquay::test
