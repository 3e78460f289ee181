// Checks that the policy keeps every rule, including those on guarantees, under random sequences of events.
#include <cppunit/extensions/HelperMacros.h>

#include "hickoryquay/policy/policy.h"
#include "tests/policy/fuzz.h"

namespace hickoryquay::test {
namespace {

class PolicyFuzzTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PolicyFuzzTest);
  CPPUNIT_TEST(KeepsEveryRule);
  CPPUNIT_TEST_SUITE_END();

 public:
  void KeepsEveryRule() {
    const auto make = [](const DomainId& domain) {
      policy::PolicySettings settings;
      settings.m_domain = domain;
      return policy::MakePolicy(settings);
    };
    Fuzz("hickoryquay", make, true);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PolicyFuzzTest);

}  // namespace
}  // namespace hickoryquay::test
