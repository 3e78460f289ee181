#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "hickoryquay/service/domain_contact.h"

namespace hickoryquay::service {
namespace {

class DomainPauseTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DomainPauseTest);
  CPPUNIT_TEST(PauseOfThisProcessIsNoSilence);
  CPPUNIT_TEST(SilenceAfterThePauseCounts);
  CPPUNIT_TEST(CallsThatEndSlightlyLateCount);
  CPPUNIT_TEST(LongCallsAreNotLateBeforeTheirLimit);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a process that paused taking the answers that it has not read yet for silence.
  void PauseOfThisProcessIsNoSilence() {
    m_contact.OnAnswer(m_domain, Instant{1'000});
    for (const char* worker : {"a", "b", "c"}) CPPUNIT_ASSERT(!Silence(worker, 1'010, kLimit, 5'000));
    CPPUNIT_ASSERT(!m_contact.IsLost(m_domain));
  }

  // Guards against a pause hiding a cut that goes on.
  void SilenceAfterThePauseCounts() {
    m_contact.OnAnswer(m_domain, Instant{1'000});
    for (const char* worker : {"a", "b", "c"}) Silence(worker, 1'010, kLimit, 5'000);
    CPPUNIT_ASSERT(!Silence("a", 5'001, kLimit, 5'351) && !Silence("b", 5'001, kLimit, 5'351));
    CPPUNIT_ASSERT(Silence("c", 5'001, kLimit, 5'351) && m_contact.IsLost(m_domain));
  }

  // Guards against a leader that is always a little late never learning of a cut.
  void CallsThatEndSlightlyLateCount() {
    m_contact.OnAnswer(m_domain, Instant{1'000});
    const std::int64_t end = 1'010 + kLimit.count() + DomainContactSettings{}.m_longest_late.count();
    Silence("a", 1'010, kLimit, end);
    Silence("b", 1'010, kLimit, end);
    CPPUNIT_ASSERT(!Silence("c", 1'010, kLimit, end + 1));
    CPPUNIT_ASSERT(Silence("c", 1'010, kLimit, end));
  }

  // Guards against polls, which are given longer than starts, being judged by the limit of these.
  void LongCallsAreNotLateBeforeTheirLimit() {
    m_contact.OnAnswer(m_domain, Instant{1'000});
    Silence("a", 1'010, Millis{2'200}, 3'210);
    Silence("b", 1'010, Millis{2'200}, 3'210);
    CPPUNIT_ASSERT(Silence("c", 1'010, Millis{2'200}, 3'210));
  }

 private:
  static constexpr Millis kLimit{350};

  bool Silence(const std::string& worker, std::int64_t sent, Millis limit, std::int64_t end) {
    return m_contact.OnSilence(m_domain, {WorkerId{worker}, Instant{sent}, limit}, Instant{end});
  }

  const DomainId m_domain{"domain"};
  DomainContact m_contact{DomainContactSettings{}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(DomainPauseTest);

}  // namespace
}  // namespace hickoryquay::service
