// A found case that is not mended, see KNOWN-RED.txt.

#include <cppunit/extensions/HelperMacros.h>

#include "hickoryquay/service/domain_contact.h"

namespace hickoryquay::service {
namespace {

class DomainPauseTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DomainPauseTest);
  CPPUNIT_TEST(PauseOfThisProcessIsNoSilence);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a process that paused taking the answers that it has not read yet for silence.
  void PauseOfThisProcessIsNoSilence() {
    const DomainId domain{"domain"};
    DomainContact contact{DomainContactSettings{}};
    contact.OnAnswer(domain, Instant{1'000});
    for (const char* worker : {"a", "b", "c"}) {
      CPPUNIT_ASSERT(!contact.OnSilence(domain, WorkerId{worker}, Instant{1'010}, Instant{5'000}));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DomainPauseTest);

}  // namespace
}  // namespace hickoryquay::service
