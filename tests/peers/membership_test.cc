#include "hickoryquay/peers/membership.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hickoryquay::peers {
namespace {

constexpr Millis kSecond{1000};

class MembershipTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MembershipTest);
  CPPUNIT_TEST(SilentPeerIsSuspectThenRemoved);
  CPPUNIT_TEST(AlivePeerSurvivesRemovalFromList);
  CPPUNIT_TEST(StaleHeartbeatIsIgnored);
  CPPUNIT_TEST(LeavingIsPermanent);
  CPPUNIT_TEST(HintIsDroppedWithoutHeartbeat);
  CPPUNIT_TEST(ListedLeaverWithoutHeartbeatIsRemovedWithItsRow);
  CPPUNIT_TEST(SilentLeaverDoesNotBecomeAliveAgain);
  CPPUNIT_TEST(HintSurvivesAListThatLacksIt);
  CPPUNIT_TEST(PauseOfThisProcessIsNoSilenceOfOthers);
  CPPUNIT_TEST(HeartbeatsAloneAddFewPeers);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SilentPeerIsSuspectThenRemoved() {
    m_membership.OnHeartbeat(MakePeerInfo("b"), 1, m_now);
    CPPUNIT_ASSERT_EQUAL(2, m_membership.LiveCount(m_domain));
    AdvanceTime(3 * kSecond);
    CPPUNIT_ASSERT_EQUAL(1, m_membership.LiveCount(m_domain));
    CPPUNIT_ASSERT(StateOf("b") == PeerState::kSuspect);
    AdvanceTime(8 * kSecond);
    CPPUNIT_ASSERT(m_membership.Peers().empty());
  }

  void AlivePeerSurvivesRemovalFromList() {
    m_membership.ApplyList({MakePeerInfo("b"), MakePeerInfo("c")});
    m_membership.OnHeartbeat(MakePeerInfo("b"), 1, m_now);
    m_membership.ApplyList({});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_membership.Peers().size());
    CPPUNIT_ASSERT(StateOf("b") == PeerState::kAlive);
  }

  void StaleHeartbeatIsIgnored() {
    m_membership.OnHeartbeat(MakePeerInfo("b"), 5, m_now);
    AdvanceTime(4 * kSecond);
    m_membership.OnHeartbeat(MakePeerInfo("b"), 4, m_now);
    CPPUNIT_ASSERT(StateOf("b") == PeerState::kSuspect);
    m_membership.OnHeartbeat(MakePeerInfo("b"), 6, m_now);
    CPPUNIT_ASSERT(StateOf("b") == PeerState::kAlive);
  }

  void LeavingIsPermanent() {
    PeerInfo leaving = MakePeerInfo("b");
    leaving.m_leaving = true;
    m_membership.OnHeartbeat(leaving, 1, m_now);
    m_membership.OnHeartbeat(MakePeerInfo("b"), 2, m_now);
    CPPUNIT_ASSERT(StateOf("b") == PeerState::kLeaving);
    CPPUNIT_ASSERT_EQUAL(1, m_membership.LiveCount(m_domain));
  }

  // Guards against strangers that connect and name peers without end, in heartbeats of their own or as those of others.
  void HeartbeatsAloneAddFewPeers() {
    const int most = MembershipSettings{}.m_most_unlisted;
    m_membership.AddHint(MakePeerInfo(std::string(1'000, 'x')), m_now);
    m_membership.OnHeartbeat(MakePeerInfo(std::string(1'000, 'y')), 1, m_now);
    CPPUNIT_ASSERT(m_membership.Peers().empty());
    for (int i = 0; i < most; ++i) {
      m_membership.OnHeartbeat(MakePeerInfo("b" + std::to_string(i)), 1, m_now);
      m_membership.AddHint(MakePeerInfo("h" + std::to_string(i)), m_now);
    }
    CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(most), m_membership.Peers().size());
    m_membership.OnHeartbeat(MakePeerInfo("b0"), 2, m_now + kSecond);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{2}, m_membership.Peers().at(InstanceId("b0")).m_sequence);
    m_membership.ApplyList({MakePeerInfo("listed")});
    CPPUNIT_ASSERT(m_membership.Peers().contains(InstanceId("listed")));
  }

  void HintIsDroppedWithoutHeartbeat() {
    m_membership.AddHint(MakePeerInfo("b"), m_now);
    m_membership.AddHint(MakePeerInfo("c"), m_now);
    AdvanceTime(5 * kSecond);
    m_membership.OnHeartbeat(MakePeerInfo("c"), 1, m_now);
    AdvanceTime(6 * kSecond);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_membership.Peers().size());
    CPPUNIT_ASSERT(m_membership.Peers().contains(InstanceId("c")));
  }

  // Such a peer stayed for good, since only a heartbeat starts its timeout.
  void ListedLeaverWithoutHeartbeatIsRemovedWithItsRow() {
    PeerInfo leaving = MakePeerInfo("b");
    leaving.m_leaving = true;
    m_membership.ApplyList({leaving});
    CPPUNIT_ASSERT(StateOf("b") == PeerState::kLeaving);
    m_membership.ApplyList({});
    CPPUNIT_ASSERT(m_membership.Peers().empty());
  }

  // A leaving peer that fell silent became suspect, and a late heartbeat made it alive.
  void SilentLeaverDoesNotBecomeAliveAgain() {
    PeerInfo leaving = MakePeerInfo("b");
    leaving.m_leaving = true;
    m_membership.OnHeartbeat(leaving, 1, m_now);
    AdvanceTime(4 * kSecond);
    CPPUNIT_ASSERT(StateOf("b") == PeerState::kSuspect);
    m_membership.OnHeartbeat(MakePeerInfo("b"), 2, m_now);
    CPPUNIT_ASSERT(StateOf("b") == PeerState::kLeaving);
    CPPUNIT_ASSERT_EQUAL(1, m_membership.LiveCount(m_domain));
  }

  // The list lags by seconds, so a peer that another one has just named is not on it yet.
  void HintSurvivesAListThatLacksIt() {
    m_membership.AddHint(MakePeerInfo("b"), m_now);
    m_membership.ApplyList({});
    CPPUNIT_ASSERT(m_membership.Peers().contains(InstanceId("b")));
    AdvanceTime(11 * kSecond);
    CPPUNIT_ASSERT(m_membership.Peers().empty());
  }

  // Guards against peers, and the hints of them, given up by a process that was paused and has not read their
  // heartbeats.
  void PauseOfThisProcessIsNoSilenceOfOthers() {
    AdvanceTime(1 * kSecond);
    m_membership.OnHeartbeat(MakePeerInfo("b"), 1, m_now);
    AdvanceTime(1 * kSecond);
    for (const Millis pause : {2 * kSecond, 12 * kSecond}) {
      m_membership.OnHeartbeat(MakePeerInfo("b"), pause.count(), m_now);
      AdvanceTime(1 * kSecond);
      m_now = m_now + pause;
      m_membership.Tick(m_now);
      CPPUNIT_ASSERT(StateOf("b") == PeerState::kAlive);
    }
    AdvanceTime(3 * kSecond);
    CPPUNIT_ASSERT(StateOf("b") == PeerState::kSuspect);
    AdvanceTime(8 * kSecond);
    CPPUNIT_ASSERT(m_membership.Peers().empty());
  }

 private:
  PeerInfo MakePeerInfo(const std::string& id) const { return {InstanceId(id), m_domain, {"127.0.0.1", 1}, false}; }

  void AdvanceTime(Millis time) {
    for (; time > Millis{0}; time = time - kSecond) {
      m_now = m_now + kSecond;
      m_membership.Tick(m_now);
    }
  }

  PeerState StateOf(const std::string& id) const { return m_membership.Peers().at(InstanceId(id)).m_state; }

  DomainId m_domain{"derby"};
  Instant m_now{1'000'000};
  Membership m_membership{InstanceId("a"), m_domain, MembershipSettings{}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipTest);

}  // namespace
}  // namespace hickoryquay::peers
