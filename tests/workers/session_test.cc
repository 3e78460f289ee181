#include <cppunit/extensions/HelperMacros.h>

#include "hickoryquay/workers/worker_session.h"
#include "tests/property.h"

namespace hickoryquay::workers {
namespace {

constexpr Millis kStep{100};
const WorkerSession::MayRenew kAlwaysRenew = [](JobId, Attempt) { return true; };

class SessionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SessionTest);
  CPPUNIT_TEST(LeasesOfAnsweringIdleWorkerDoNotExpire);
  CPPUNIT_TEST(LeasesOfUnansweringWorkerExpire);
  CPPUNIT_TEST_SUITE_END();

 public:
  void LeasesOfAnsweringIdleWorkerDoNotExpire() {
    test::CheckProperty("an idle worker under any term", [] {
      SessionSettings settings;
      settings.m_max_partial_run = Millis{*rc::gen::inRange(2'000, 60'000)};
      Instant now{1'000'000};
      WorkerSession session(settings, now);
      const Instant until = now + 3 * settings.m_max_partial_run;
      for (; now < until; now = now + kStep) {
        RC_ASSERT(!session.AllLeasesExpired(now));
        if (session.NextMessage(now, kAlwaysRenew)) session.OnAnswer(SyncAnswer{}, now);
      }
    });
  }

  void LeasesOfUnansweringWorkerExpire() {
    const SessionSettings settings;
    Instant now{1'000'000};
    WorkerSession session(settings, now);
    const Instant until = now + 2 * settings.m_max_partial_run;
    for (; now < until; now = now + kStep) {
      if (session.NextMessage(now, kAlwaysRenew)) session.OnNoAnswer(now);
    }
    CPPUNIT_ASSERT(session.AllLeasesExpired(now));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SessionTest);

}  // namespace
}  // namespace hickoryquay::workers
