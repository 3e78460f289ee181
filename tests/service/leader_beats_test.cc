// Pattern: many jobs end each second in a deployment of many instances. The leader's heartbeats must reach all of them
// soon, and cost the leader little. Virtual time, no network.

#include "hickoryquay/service/leader_beats.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>

namespace hickoryquay::service {
namespace {

namespace wire = inner::wire;
using jobs::JobPhase;
using jobs::PhaseChange;

constexpr Millis kLatency{1};
constexpr Millis kSecond{1'000};
constexpr int kDomains = 5;

// Instances that exchange heartbeats. The first one leads.
class Instances {
 public:
  explicit Instances(int count) {
    m_clock.Set(Instant{1'000'000});
    for (int i = 0; i < count; ++i) {
      peers::Peer peer;
      peer.m_id = InstanceId{"instance-" + std::to_string(i)};
      peer.m_domain = DomainId{"domain-" + std::to_string(i % kDomains)};
      peer.m_inner = {"10.0.0.1", static_cast<std::uint16_t>(1'000 + i)};
      peer.m_state = peers::PeerState::kAlive;
      m_peers.push_back(peer);
    }
    m_calls.resize(m_peers.size());
    m_heard.resize(m_peers.size());
    m_dead.resize(m_peers.size());
    for (std::size_t i = 0; i < m_peers.size(); ++i) {
      m_caches.push_back(std::make_unique<PhaseCache>(Millis{120'000}));
      m_all.push_back(std::make_shared<LeaderBeats>(MakeParts(i), BeatSettings{}));
    }
    m_all.front()->Start();
    m_all.front()->Begin();
  }

  void Run(Millis time) { m_timers.Advance(time); }
  void End(JobId job) { m_all.front()->AddPhases({PhaseChange{job, JobPhase::kCompleted, 0, {}}}); }
  void Release() { m_all.front()->SendReleased(Epoch{7}); }
  int Released() const { return m_released; }  // Instances that know of the release.
  void Kill(std::size_t index) { m_dead[index] = true; }
  std::size_t Count() const { return m_peers.size(); }
  std::int64_t CallsOf(std::size_t index) const { return m_calls[index]; }
  Millis SilenceAt(std::size_t index) const { return m_clock.Now() - m_heard[index]; }
  bool Alive(std::size_t index) const { return !m_dead[index]; }
  void SetEarlierRows(bool may_have) { m_may_have_earlier_rows = may_have; }
  // Instances that have to look for jobs of an earlier version.
  int LookForEarlierRows() const {
    return static_cast<int>(std::count_if(m_caches.begin(), m_caches.end(), [this](const auto& cache) {
      return cache->MayHaveEarlierRows(m_clock.Now());
    }));
  }

  // Number of living instances that don't know yet that the job has completed.
  int Unaware(JobId job) const {
    int unaware = 0;
    for (std::size_t i = 0; i < m_peers.size(); ++i) {
      if (Alive(i) && m_caches[i]->Find(job, m_clock.Now()) != JobPhase::kCompleted) ++unaware;
    }
    return unaware;
  }

 private:
  BeatParts MakeParts(std::size_t index) {
    BeatParts parts;
    parts.m_self = m_peers[index].m_id;
    parts.m_timers = &m_timers;
    parts.m_clock = &m_clock;
    parts.m_metrics = &m_metrics;
    parts.m_phases = m_caches[index].get();
    parts.m_random_seed = index;
    parts.m_peers = [this, index] {
      std::vector<peers::Peer> others = m_peers;
      others.erase(others.begin() + static_cast<std::ptrdiff_t>(index));
      return others;
    };
    parts.m_status = [this, index]() -> std::optional<LeaderStatus> {
      if (index != 0) return std::nullopt;
      return LeaderStatus{Epoch{7}, std::map<jobs::QueueName, int>{}, m_may_have_earlier_rows};
    };
    parts.m_on_leader = [this, index](Epoch) { m_heard[index] = m_clock.Now(); };
    parts.m_on_released = [this](Epoch) { ++m_released; };
    parts.m_send = [this, index](const net::Endpoint& to, inner::Message message, Millis timeout,
                                 std::function<void(const inner::Message*)> callback) {
      ++m_calls[index];
      const auto target = static_cast<std::size_t>(to.m_port - 1'000);
      if (m_dead[target]) {
        m_timers.After(timeout, [callback] { callback(nullptr); }).Detach();
        return;
      }
      m_timers
          .After(kLatency,
                 [this, target, message = std::move(message), callback] {
                   m_all[target]->Receive(std::get<wire::LeaderBeat>(message));
                   const inner::Message answer = wire::Acknowledged{};
                   callback(&answer);
                 })
          .Detach();
    };
    return parts;
  }

  ManualClock m_clock;
  ManualTimerService m_timers{&m_clock};
  Metrics m_metrics;
  bool m_may_have_earlier_rows = true;
  std::vector<peers::Peer> m_peers;
  std::vector<std::unique_ptr<PhaseCache>> m_caches;
  std::vector<std::shared_ptr<LeaderBeats>> m_all;
  std::vector<std::int64_t> m_calls;
  std::vector<Instant> m_heard;
  std::vector<bool> m_dead;
  int m_released = 0;
};

class LeaderBeatsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LeaderBeatsTest);
  CPPUNIT_TEST(EndsReachAllInstancesSoon);
  CPPUNIT_TEST(FewInstancesAreToldAtOnce);
  CPPUNIT_TEST(ManyEndsCostTheLeaderLittle);
  CPPUNIT_TEST(DeadInstancesSilenceNoOthers);
  CPPUNIT_TEST(ReleaseReachesAllInstancesSoon);
  CPPUNIT_TEST(OvertakenHeartbeatBringsOnlyEnds);
  CPPUNIT_TEST(GapDropsUnfinishedPhases);
  CPPUNIT_TEST(GroupsCoverEveryPeerOnce);
  CPPUNIT_TEST(InstancesLookForJobsOfAnEarlierVersionUntilToldOtherwise);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against an instance that accepts such a job again, since it trusts what it was told long ago or never.
  void InstancesLookForJobsOfAnEarlierVersionUntilToldOtherwise() {
    constexpr int kCount = 40;
    Instances instances(kCount);
    instances.Run(Millis{1'000});
    CPPUNIT_ASSERT_EQUAL(kCount, instances.LookForEarlierRows());
    instances.SetEarlierRows(false);
    instances.Run(Millis{1'000});
    CPPUNIT_ASSERT_EQUAL(0, instances.LookForEarlierRows());
    instances.SetEarlierRows(true);
    instances.Run(Millis{1'000});
    CPPUNIT_ASSERT_EQUAL(kCount, instances.LookForEarlierRows());
    instances.SetEarlierRows(false);
    instances.Run(Millis{1'000});
    instances.Release();  // And nobody takes over.
    for (std::size_t i = 0; i < instances.Count(); ++i) instances.Kill(i);
    instances.Run(Millis{60'000});
    CPPUNIT_ASSERT(instances.LookForEarlierRows() >= kCount - 1);
  }

  void EndsReachAllInstancesSoon() {
    Instances instances(147);
    instances.Run(kSecond);
    for (int i = 1; i <= 20; ++i) {
      const JobId job{static_cast<std::uint64_t>(i)};
      instances.End(job);
      instances.Run(Millis{110});
      CPPUNIT_ASSERT_EQUAL(0, instances.Unaware(job));
    }
  }

  void FewInstancesAreToldAtOnce() {
    Instances instances(8);
    instances.Run(Millis{1'050});
    instances.End(JobId{1});
    instances.Run(Millis{5});
    CPPUNIT_ASSERT_EQUAL(0, instances.Unaware(JobId{1}));
  }

  // Each end was sent to each instance: at 147 instances and 25 ends a second a leader made over 4,000 calls a second.
  // Now no instance may make more than fifteen rounds a second of twice the square root of their number.
  void ManyEndsCostTheLeaderLittle() {
    for (const int count : {36, 147, 1'106}) {
      Instances instances(count);
      constexpr int kSeconds = 5;
      for (int i = 0; i < kSeconds * 25; ++i) {
        instances.End(JobId{static_cast<std::uint64_t>(i + 1)});
        instances.Run(Millis{40});
      }
      const double bound = kSeconds * 15 * 2 * std::sqrt(count);
      for (std::size_t i = 0; i < instances.Count(); ++i) {
        CPPUNIT_ASSERT_MESSAGE(std::to_string(count) + " instances, " + std::to_string(instances.CallsOf(i)) + " calls",
                               static_cast<double>(instances.CallsOf(i)) <= bound);
      }
    }
  }

  // A tenth of the instances dies at once. The others may miss single heartbeats, but never so many that they would
  // take the leader for dead.
  void DeadInstancesSilenceNoOthers() {
    Instances instances(147);
    instances.Run(kSecond);
    for (std::size_t i = 5; i < instances.Count(); i += 10) instances.Kill(i);
    for (int round = 0; round < 200; ++round) {
      instances.Run(Millis{50});
      for (std::size_t i = 1; i < instances.Count(); ++i) {
        if (!instances.Alive(i)) continue;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(i), instances.SilenceAt(i) < Millis{1'000});
      }
    }
  }

  void ReleaseReachesAllInstancesSoon() {
    Instances instances(147);
    instances.Run(kSecond);
    instances.Release();
    instances.Run(Millis{10});
    CPPUNIT_ASSERT_EQUAL(146, instances.Released());
  }

  void OvertakenHeartbeatBringsOnlyEnds() {
    Receiver receiver;
    receiver.Take(1, {});
    receiver.Take(3, {{JobId{1}, JobPhase::kRunning, 0, {}}});
    receiver.Take(2, {{JobId{1}, JobPhase::kQueued, 0, {}}, {JobId{2}, JobPhase::kCompleted, 0, {}}});
    CPPUNIT_ASSERT(receiver.PhaseOf(JobId{1}) == JobPhase::kRunning);
    CPPUNIT_ASSERT(receiver.PhaseOf(JobId{2}) == JobPhase::kCompleted);
    receiver.Take(4, {});  // No gap: the third was the newest.
    CPPUNIT_ASSERT(receiver.PhaseOf(JobId{1}) == JobPhase::kRunning);
  }

  void GapDropsUnfinishedPhases() {
    Receiver receiver;
    receiver.Take(1, {{JobId{1}, JobPhase::kRunning, 0, {}}, {JobId{2}, JobPhase::kFailed, 0, {}}});
    receiver.Take(3, {});
    CPPUNIT_ASSERT(!receiver.PhaseOf(JobId{1}));
    CPPUNIT_ASSERT(receiver.PhaseOf(JobId{2}) == JobPhase::kFailed);
  }

  void GroupsCoverEveryPeerOnce() {
    std::mt19937_64 random(1);
    for (const std::size_t count : {0U, 1U, 12U, 13U, 60U, 147U, 500U}) {
      std::vector<peers::Peer> all;
      for (std::size_t i = 0; i < count; ++i) {
        peers::Peer peer;
        peer.m_domain = DomainId{"domain-" + std::to_string(i % kDomains)};
        peer.m_inner = {"10.0.0.1", static_cast<std::uint16_t>(1'000 + i)};
        all.push_back(peer);
      }
      // No peer of domain 3 may be a head, and only a third of the others.
      const auto may_head = [](const peers::Peer& peer) {
        return peer.m_domain.m_value != "domain-3" && peer.m_inner.m_port % 3 == 0;
      };
      std::vector<net::Endpoint> reached;
      for (const auto& group : PlanBroadcast(all, may_head, peers::BroadcastSettings{}, &random)) {
        reached.push_back(group.m_head);
        reached.insert(reached.end(), group.m_others.begin(), group.m_others.end());
        if (!group.m_others.empty()) CPPUNIT_ASSERT_EQUAL(0, group.m_head.m_port % 3);
      }
      std::sort(reached.begin(), reached.end());
      CPPUNIT_ASSERT_EQUAL(count, reached.size());
      CPPUNIT_ASSERT(std::adjacent_find(reached.begin(), reached.end()) == reached.end());
    }
  }

 private:
  // One instance that gets heartbeats.
  struct Receiver {
    Receiver() {
      m_clock.Set(Instant{1'000'000});
      BeatParts parts;
      parts.m_timers = &m_timers;
      parts.m_clock = &m_clock;
      parts.m_metrics = &m_metrics;
      parts.m_phases = &m_cache;
      parts.m_on_leader = [](Epoch) {};
      m_beats = std::make_shared<LeaderBeats>(std::move(parts), BeatSettings{});
    }
    void Take(std::int64_t sequence, const std::vector<PhaseChange>& phases) {
      wire::LeaderBeat beat;
      beat.__set_epoch(7);
      beat.__set_sequence(sequence);
      std::vector<wire::PhaseChange> changes;
      for (const PhaseChange& change : phases) {
        wire::PhaseChange& phase = changes.emplace_back();
        phase.__set_job(static_cast<std::int64_t>(Raw(change.m_job)));
        phase.__set_phase(static_cast<std::int32_t>(change.m_phase));
      }
      beat.__set_phases(changes);
      m_beats->Receive(beat);
    }
    std::optional<JobPhase> PhaseOf(JobId job) const { return m_cache.Find(job, m_clock.Now()); }

    ManualClock m_clock;
    ManualTimerService m_timers{&m_clock};
    Metrics m_metrics;
    PhaseCache m_cache{Millis{120'000}};
    std::shared_ptr<LeaderBeats> m_beats;
  };
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaderBeatsTest);

}  // namespace
}  // namespace hickoryquay::service
