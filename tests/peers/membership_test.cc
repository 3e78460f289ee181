#include "hickoryquay/peers/membership.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hickoryquay::peers {
namespace {

constexpr Millis kSecond{1000};

class MembershipTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MembershipTest);
  CPPUNIT_TEST(SilentPeerIsSuspectThenGone);
  CPPUNIT_TEST(HeardPeerSurvivesTheListLosingIt);
  CPPUNIT_TEST(LateHeartbeatDoesNotRevive);
  CPPUNIT_TEST(LeavingIsForGood);
  CPPUNIT_TEST(HintIsDroppedUnlessHeard);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SilentPeerIsSuspectThenGone() {
    m_membership.Heard(Sighting("b"), 1, m_now);
    CPPUNIT_ASSERT_EQUAL(2, m_membership.LiveCount(m_domain));
    Pass(3 * kSecond);
    CPPUNIT_ASSERT_EQUAL(1, m_membership.LiveCount(m_domain));
    CPPUNIT_ASSERT(StateOf("b") == PeerState::kSuspect);
    Pass(8 * kSecond);
    CPPUNIT_ASSERT(m_membership.Peers().empty());
  }

  void HeardPeerSurvivesTheListLosingIt() {
    m_membership.ApplyList({Sighting("b"), Sighting("c")});
    m_membership.Heard(Sighting("b"), 1, m_now);
    m_membership.ApplyList({});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_membership.Peers().size());
    CPPUNIT_ASSERT(StateOf("b") == PeerState::kAlive);
  }

  void LateHeartbeatDoesNotRevive() {
    m_membership.Heard(Sighting("b"), 5, m_now);
    Pass(4 * kSecond);
    m_membership.Heard(Sighting("b"), 4, m_now);
    CPPUNIT_ASSERT(StateOf("b") == PeerState::kSuspect);
    m_membership.Heard(Sighting("b"), 6, m_now);
    CPPUNIT_ASSERT(StateOf("b") == PeerState::kAlive);
  }

  void LeavingIsForGood() {
    PeerInfo leaving = Sighting("b");
    leaving.m_leaving = true;
    m_membership.Heard(leaving, 1, m_now);
    m_membership.Heard(Sighting("b"), 2, m_now);
    CPPUNIT_ASSERT(StateOf("b") == PeerState::kLeaving);
    CPPUNIT_ASSERT_EQUAL(1, m_membership.LiveCount(m_domain));
  }

  void HintIsDroppedUnlessHeard() {
    m_membership.AddHint(Sighting("b"), m_now);
    m_membership.AddHint(Sighting("c"), m_now);
    Pass(5 * kSecond);
    m_membership.Heard(Sighting("c"), 1, m_now);
    Pass(6 * kSecond);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_membership.Peers().size());
    CPPUNIT_ASSERT(m_membership.Peers().contains(InstanceId("c")));
  }

 private:
  PeerInfo Sighting(const std::string& id) const { return {InstanceId(id), m_domain, {"127.0.0.1", 1}, false}; }

  void Pass(Millis time) {
    m_now = m_now + time;
    m_membership.Tick(m_now);
  }

  PeerState StateOf(const std::string& id) const { return m_membership.Peers().at(InstanceId(id)).m_state; }

  DomainId m_domain{"derby"};
  Instant m_now{1'000'000};
  Membership m_membership{InstanceId("a"), m_domain, MembershipSettings{}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipTest);

}  // namespace
}  // namespace hickoryquay::peers
