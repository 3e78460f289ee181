// Evacuation of failure domains without a network: which set an instance believes, what the scheduler withdraws, and
// how workers return.

#include "hickoryquay/jobs/evacuation.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>

#include "hickoryquay/jobs/scheduler.h"
#include "hickoryquay/store/row_store.h"
#include "tests/property.h"

namespace hickoryquay::jobs {
namespace {

const DomainId kNorth{"north"};
const DomainId kSouth{"south"};
const PoolName kPool{"pool"};
constexpr int kAccelerators = 8;

Now At(std::int64_t ms) {
  return {Instant{1'000'000 + ms}, Instant{1'000'000 + ms}};
}

EvacuationNews Whole(std::uint64_t version, const std::set<DomainId>& domains) {
  EvacuationNews news{Version{version}, true, {}};
  for (const DomainId& domain : domains) news.m_domains[domain] = true;
  return news;
}

class EvacuationSetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EvacuationSetTest);
  CPPUNIT_TEST(ScanWithoutTheRowLiftsOverStalePeers);
  CPPUNIT_TEST(EmptyStoreIsKnownToo);
  CPPUNIT_TEST(FeedOlderThanAPeerChangesNothing);
  CPPUNIT_TEST(ReadersAndPeersAgreeWithTheStore);
  CPPUNIT_TEST_SUITE_END();

 public:
  // With the version of the row as that of the set, the peer's older set would count as newer than the empty scan.
  void ScanWithoutTheRowLiftsOverStalePeers() {
    EvacuationSet set;
    set.Merge(Whole(10, {kNorth}));
    const auto change = set.Merge(Whole(20, {}));
    CPPUNIT_ASSERT(change && change->m_lifted == std::set<DomainId>{kNorth});
    CPPUNIT_ASSERT(!set.Merge(Whole(15, {kNorth})));
    CPPUNIT_ASSERT(set.Domains().empty() && set.StoreVersion() == Version{20});
  }

  void EmptyStoreIsKnownToo() {
    EvacuationSet set;
    CPPUNIT_ASSERT(!set.Known());
    CPPUNIT_ASSERT(set.Merge(Whole(0, {})) && set.Known());
    CPPUNIT_ASSERT(!set.Merge(Whole(0, {kNorth})));
  }

  void FeedOlderThanAPeerChangesNothing() {
    EvacuationSet set;
    set.Merge(Whole(10, {}));
    set.Merge(Whole(30, {kSouth}));  // From a peer.
    CPPUNIT_ASSERT(!set.Merge({Version{20}, false, {{kNorth, true}}}));
    CPPUNIT_ASSERT(set.Domains() == std::set<DomainId>{kSouth});
    const auto change = set.Merge({Version{40}, false, {{kNorth, true}, {kSouth, false}}});
    CPPUNIT_ASSERT(change && change->m_added == std::set<DomainId>{kNorth});
    CPPUNIT_ASSERT(change->m_lifted == std::set<DomainId>{kSouth});
  }

  // Instances scan, follow the feed from where they were, miss the store for a while and hear of each other at random.
  // Each set must be that of the store at the version that it claims.
  void ReadersAndPeersAgreeWithTheStore() {
    test::CheckProperty("sets are those of the store", [](std::uint32_t seed) {
      std::mt19937 random(seed);
      const auto up_to = [&](int most) { return std::uniform_int_distribution<>(0, most)(random); };
      std::vector<std::set<DomainId>> store{{}};  // By version.
      std::vector<EvacuationSet> sets(4);
      std::vector<std::size_t> read_to(sets.size());  // 0: not read yet.
      for (int step = 0; step < 200; ++step) {
        const auto at = static_cast<std::size_t>(up_to(3));
        const std::size_t latest = store.size() - 1;
        switch (up_to(3)) {
          case 0: {
            store.push_back(store.back());
            const DomainId domain{std::string(1, static_cast<char>('a' + up_to(3)))};
            if (!store.back().erase(domain)) store.back().insert(domain);
            break;
          }
          case 1:
            sets[at].Merge(Whole(latest, store.back()));
            read_to[at] = latest;
            break;
          case 2: {
            if (read_to[at] == 0) break;
            EvacuationNews news{Version{latest}, false, {}};
            for (std::size_t v = read_to[at]; v < latest; ++v) {
              for (const DomainId& domain : store[v]) news.m_domains[domain] = store[latest].contains(domain);
              for (const DomainId& domain : store[v + 1]) news.m_domains[domain] = store[latest].contains(domain);
            }
            sets[at].Merge(news);
            read_to[at] = latest;
            break;
          }
          default: {
            const EvacuationSet& peer = sets[static_cast<std::size_t>(up_to(3))];
            if (peer.Known()) sets[at].Merge(Whole(static_cast<std::uint64_t>(peer.StoreVersion()), peer.Domains()));
          }
        }
        const auto claimed = static_cast<std::size_t>(sets[at].StoreVersion());
        RC_ASSERT(sets[at].Domains() == store[claimed]);
      }
    });
  }
};

// Two domains of four workers each.
class EvacuationSchedulerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EvacuationSchedulerTest);
  CPPUNIT_TEST(NothingIsPlacedInAnEvacuatedDomain);
  CPPUNIT_TEST(PlannedRunIsWithdrawnAndPlacedElsewhere);
  CPPUNIT_TEST(GangWithOneMemberThereIsWithdrawn);
  CPPUNIT_TEST(UnansweredStartIsNotSentAgain);
  CPPUNIT_TEST(ResendInTheQueueIsWithheld);
  CPPUNIT_TEST(StartToAWorkerThatMovedIsPlacedElsewhere);
  CPPUNIT_TEST(RunningWorkGoesOn);
  CPPUNIT_TEST(UrgentWorkPlansItsPreemptionElsewhere);
  CPPUNIT_TEST(WorkersReturnInSteps);
  CPPUNIT_TEST(ColdWorkersReturnLast);
  CPPUNIT_TEST(WarmWorkersAreTakenFirst);
  CPPUNIT_TEST(RepeatedRowDoesNotKeepAWorkerCold);
  CPPUNIT_TEST(RepeatedRowDoesNotPostponeTheLeaveOfAWorker);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_scheduler = std::make_unique<Scheduler>(SchedulerSettings{});
    m_next_job = 1;
    for (const DomainId& domain : {kNorth, kSouth}) {
      for (int i = 0; i < 4; ++i) List(domain, i);
    }
  }

  void NothingIsPlacedInAnEvacuatedDomain() {
    m_scheduler->SetEvacuated({kNorth}, At(0));
    for (int i = 0; i < 8; ++i) Submit(1, kAccelerators, 0);
    const auto starts = Decide(At(0));
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, starts.size());
    for (const StartCommand& start : starts) CPPUNIT_ASSERT(IsIn(start, kSouth));
    m_scheduler->SetEvacuated({kNorth, kSouth}, At(10));
    Submit(1, 1, 0);
    CPPUNIT_ASSERT(Decide(At(10)).empty());  // Jobs wait.
  }

  void PlannedRunIsWithdrawnAndPlacedElsewhere() {
    for (int i = 0; i < 4; ++i) Submit(1, kAccelerators, 0);
    const auto planned = Decide(At(0));
    m_scheduler->SetEvacuated({kNorth}, At(10));
    int withdrawn = 0;
    for (const StartCommand& start : planned) {
      const bool north = IsIn(start, kNorth);
      withdrawn += north ? 1 : 0;
      CPPUNIT_ASSERT_EQUAL(!north, m_scheduler->MaySend(start));
      if (north) m_scheduler->OnStartWithheld(start, At(10));
    }
    CPPUNIT_ASSERT(withdrawn > 0);
    const auto again = Decide(At(20));
    CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(withdrawn), again.size());
    for (const StartCommand& start : again) CPPUNIT_ASSERT(IsIn(start, kSouth) && start.m_run == RunNumber{2});
  }

  // Each domain has room for one member: only then does a gang span them.
  void GangWithOneMemberThereIsWithdrawn() {
    std::vector<StartCommand> running;
    std::int64_t ms = 0;
    for (const DomainId& evacuated : {kSouth, kNorth}) {
      m_scheduler->SetEvacuated({evacuated}, At(ms));
      for (int i = 0; i < 3; ++i) Submit(1, kAccelerators, 0);
      const auto starts = Decide(At(ms + 5'000));
      CPPUNIT_ASSERT_EQUAL(std::size_t{3}, starts.size());
      for (const StartCommand& start : starts) Confirm(start, At(ms + 5'010));
      running.insert(running.end(), starts.begin(), starts.end());
      ms += 6'000;
    }
    m_scheduler->SetEvacuated({}, At(ms));
    Submit(2, kAccelerators, 0, true);
    const auto gang = Decide(At(ms + 5'000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, gang.size());
    CPPUNIT_ASSERT(IsIn(gang.front(), kNorth) != IsIn(gang.back(), kNorth));
    m_scheduler->SetEvacuated({kNorth}, At(ms + 5'010));
    for (const StartCommand& start : gang) CPPUNIT_ASSERT(!m_scheduler->MaySend(start));
    CPPUNIT_ASSERT_EQUAL(3, m_scheduler->EvacuatedDomains().at(kNorth).m_runs);  // Those that run there.
    CPPUNIT_ASSERT(Decide(At(ms + 5'020)).empty());
    for (const StartCommand& start : running) {
      if (!IsIn(start, kSouth)) continue;
      PollReply reply;
      reply.m_ended = {{1, start.m_task, start.m_run, EndKind::kDone, ""}};
      m_scheduler->OnPollReply(start.m_worker, reply, At(ms + 5'030).m_steady, At(ms + 5'030));
    }
    const auto again = Decide(At(ms + 5'040));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, again.size());
    for (const StartCommand& start : again) CPPUNIT_ASSERT(IsIn(start, kSouth));
  }

  void UnansweredStartIsNotSentAgain() {
    const StartCommand start = SendOne(kNorth);
    m_scheduler->OnStartAnswer(start, StartOutcome::kUnknown, At(100));
    m_scheduler->SetEvacuated({kNorth}, At(110));
    CPPUNIT_ASSERT(m_scheduler->TakeResends(At(120).m_steady).empty());
    CheckSettlesAfterStop(start);
  }

  void ResendInTheQueueIsWithheld() {
    const StartCommand start = SendOne(kNorth);
    m_scheduler->OnStartAnswer(start, StartOutcome::kUnknown, At(100));
    const auto resends = m_scheduler->TakeResends(At(105).m_steady);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, resends.size());
    m_scheduler->SetEvacuated({kNorth}, At(110));
    CPPUNIT_ASSERT(!m_scheduler->MaySend(resends.front()));
    m_scheduler->OnStartWithheld(resends.front(), At(120));
    CheckSettlesAfterStop(start);
  }

  // The worker's row names another domain after the run was placed: the planned run would hold its room forever.
  void StartToAWorkerThatMovedIsPlacedElsewhere() {
    m_scheduler->SetEvacuated({kNorth}, At(0));
    Submit(1, kAccelerators, 0);
    const StartCommand start = Decide(At(0)).front();
    WorkerEntry moved = Entry(kSouth, 0);
    moved.m_id = start.m_worker;
    moved.m_domain = kNorth;
    m_scheduler->OnWorkerListed(moved, At(10));
    CPPUNIT_ASSERT(!m_scheduler->MaySend(start));
    m_scheduler->OnStartWithheld(start, At(10));
    const auto again = Decide(At(20));
    CPPUNIT_ASSERT(again.size() == 1 && again.front().m_worker != start.m_worker);
  }

  void RunningWorkGoesOn() {
    const StartCommand start = SendOne(kNorth);
    m_scheduler->OnStartAnswer(start, StartOutcome::kAccepted, At(10));
    m_scheduler->SetEvacuated({kNorth}, At(20));
    Decide(At(30));
    CPPUNIT_ASSERT(m_scheduler->TakeStops(At(30)).empty());
    const EvacuatedDomain north = m_scheduler->EvacuatedDomains().at(kNorth);
    CPPUNIT_ASSERT_EQUAL(1, north.m_runs);
    CPPUNIT_ASSERT_EQUAL(0, north.m_unanswered);
  }

  // Reserved workers of the domain would keep the unit waiting until its reservation is over.
  void UrgentWorkPlansItsPreemptionElsewhere() {
    for (const int priority : {1, 0}) {  // Some room is kept free of work of priority 1.
      const int free = 8 - m_scheduler->Counts().m_used_accelerators / kAccelerators;
      for (int i = 0; i < free; ++i) Submit(1, kAccelerators, 0, false, priority);
      for (const StartCommand& start : Decide(At(1))) Confirm(start, At(1));
      if (priority == 1) CPPUNIT_ASSERT(m_scheduler->Counts().m_used_accelerators > 4 * kAccelerators);
    }
    CPPUNIT_ASSERT_EQUAL(8 * kAccelerators, m_scheduler->Counts().m_used_accelerators);
    Submit(1, kAccelerators, 10'000);  // Its objective is met after a preemption, which is worth it only then.
    Decide(At(100));
    const auto stops = m_scheduler->TakeStops(At(100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stops.size());
    const DomainId domain = DomainOf(stops.front().m_worker);
    m_scheduler->SetEvacuated({domain}, At(110));
    Decide(At(120));
    const auto again = m_scheduler->TakeStops(At(120));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, again.size());
    CPPUNIT_ASSERT(DomainOf(again.front().m_worker) != domain);
  }

  // Hundreds of jobs wait; a domain that returns whole takes them all at once, on workers that have just started.
  void WorkersReturnInSteps() {
    m_scheduler->SetEvacuated({kNorth, kSouth}, At(0));
    for (int i = 0; i < 300; ++i) Submit(1, kAccelerators, 0);
    CPPUNIT_ASSERT(Decide(At(0)).empty());
    m_scheduler->SetEvacuated({kSouth}, At(1'000));
    std::size_t placed = 0;
    for (int step = 0; step < 4; ++step) {
      placed += Decide(At(1'000 + 500 * step)).size();
      CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(step + 1), placed);
      CPPUNIT_ASSERT(Decide(At(1'499 + 500 * step)).empty());
    }
    m_scheduler->SetEvacuated({kNorth, kSouth}, At(5'000));  // Evacuated again.
    CPPUNIT_ASSERT(Decide(At(9'000)).empty());
  }

  void ColdWorkersReturnLast() {
    const auto delays =
        PlanReturn({{WorkerId{"a"}, true}, {WorkerId{"b"}, false}, {WorkerId{"c"}, false}, {WorkerId{"d"}, true}}, {});
    CPPUNIT_ASSERT(delays.at(WorkerId{"b"}) == Millis{0} && delays.at(WorkerId{"c"}) == Millis{500});
    CPPUNIT_ASSERT(delays.at(WorkerId{"a"}) == Millis{1'000} && delays.at(WorkerId{"d"}) == Millis{1'500});
    CPPUNIT_ASSERT(PlanReturn({}, {}).empty());
    CPPUNIT_ASSERT(PlanReturn({{WorkerId{"a"}, true}}, {}).at(WorkerId{"a"}) == Millis{0});
  }

  void WarmWorkersAreTakenFirst() {
    for (int i = 0; i < 3; ++i) List(kNorth, i, Millis{60'000});
    m_scheduler->SetEvacuated({kSouth}, At(0));
    // A cold worker that is partly used would be preferred, were it warm.
    for (const int priority : {0, 1}) {
      Submit(1, 1, 0, false, priority);
      const auto starts = Decide(At(0));
      CPPUNIT_ASSERT(starts.size() == 1 && starts.front().m_worker == Entry(kNorth, 3).m_id);
    }
    for (int i = 0; i < 3; ++i) Submit(1, kAccelerators, 0);  // No warm worker has room for them.
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, Decide(At(10)).size());
  }

  // All workers are listed again whenever a row changes; a value that is repeated then is an old one.
  void RepeatedRowDoesNotKeepAWorkerCold() {
    m_scheduler->SetEvacuated({kSouth}, At(0));
    for (int i = 0; i < 4; ++i) List(kNorth, i, Millis{1'000});
    m_scheduler->OnWorkerListed(ColdEntry(0, Millis{1'000}), At(900));
    for (int i = 1; i < 4; ++i) m_scheduler->OnWorkerListed(ColdEntry(i, Millis{5'000}), At(900));
    Submit(1, 1, 0);
    const auto starts = Decide(At(1'100));
    CPPUNIT_ASSERT(starts.size() == 1 && starts.front().m_worker == Entry(kNorth, 0).m_id);
  }

  // The same for a worker that drains: a leave that is postponed with every row of others comes without a save.
  void RepeatedRowDoesNotPostponeTheLeaveOfAWorker() {
    m_scheduler->SetEvacuated({kSouth}, At(0));
    Submit(1, 1, 60'000, false, 0, true);
    const auto starts = Decide(At(0));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, starts.size());
    Confirm(starts.front(), At(0));
    WorkerEntry worker = Entry(kNorth, 0);
    CPPUNIT_ASSERT(starts.front().m_worker == worker.m_id);
    worker.m_draining = true;
    worker.m_remaining = Millis{4'000};
    for (int ms = 100; ms <= 3'000; ms += 100) {
      m_scheduler->OnWorkerListed(worker, At(ms));
      Decide(At(ms));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_scheduler->TakeStops(At(3'000)).size());
  }

 private:
  static WorkerEntry Entry(const DomainId& domain, int index) {
    WorkerEntry worker;
    worker.m_id = WorkerId{domain.m_value + "-" + std::to_string(index)};
    worker.m_pool = kPool;
    worker.m_domain = domain;
    worker.m_rack = domain.m_value;
    worker.m_address = "10.100.200.1:8524";
    worker.m_capacity = Resources{kAccelerators, 64'000, 64'000};
    return worker;
  }
  static WorkerEntry ColdEntry(int index, Millis cold) {
    WorkerEntry worker = Entry(kNorth, index);
    worker.m_cold_left = cold;
    return worker;
  }

  void List(const DomainId& domain, int index, std::optional<Millis> cold = std::nullopt) {
    WorkerEntry worker = Entry(domain, index);
    worker.m_cold_left = cold;
    m_scheduler->OnWorkerListed(worker, At(0));
    m_scheduler->SetWorkerUsable(worker.m_id, true);
  }

  JobId Submit(int tasks, int accelerators, int objective_ms, bool gang = false, int priority = 0,
               bool checkpoints = false) {
    AcceptedJob job;
    job.m_id = JobId{m_next_job++};
    job.m_pool = kPool;
    job.m_priority = priority;
    job.m_accepted = At(0).m_wall;
    job.m_objective = Millis{objective_ms};
    job.m_request.m_payload = "payload";
    StepSpec step;
    step.m_tasks = tasks;
    step.m_gang = gang;
    step.m_checkpoints = checkpoints;
    step.m_task = Resources{accelerators, 1, 1};
    step.m_estimate = Millis{1'000};
    job.m_request.m_steps = {step};
    m_scheduler->OnJob(job, At(0));
    return job.m_id;
  }

  std::vector<StartCommand> Decide(Now now) {
    m_scheduler->Decide(now);
    return m_scheduler->TakeBatch(store::kMaxTransactionRows, store::kMaxTransactionBytes).m_starts;
  }

  void Confirm(const StartCommand& start, Now now) {
    m_scheduler->OnStartSent(start, now);
    m_scheduler->OnStartAnswer(start, StartOutcome::kAccepted, now);
  }

  // Places one task in the domain and marks its start as sent.
  StartCommand SendOne(const DomainId& domain) {
    m_scheduler->SetEvacuated({domain == kNorth ? kSouth : kNorth}, At(0));
    Submit(1, 1, 0);
    const auto starts = Decide(At(0));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, starts.size());
    m_scheduler->SetEvacuated({}, At(0));
    m_scheduler->OnStartSent(starts.front(), At(0));
    return starts.front();
  }

  // The run may exist, so its room is free only after a stop was acknowledged and a later poll does not list it.
  void CheckSettlesAfterStop(const StartCommand& start) {
    CPPUNIT_ASSERT_EQUAL(1, m_scheduler->EvacuatedDomains().at(kNorth).m_unanswered);
    m_scheduler->OnPollReply(start.m_worker, PollReply{}, At(200).m_steady, At(210));
    const auto stops = m_scheduler->TakeStops(At(220));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stops.size());
    CPPUNIT_ASSERT_EQUAL(1, m_scheduler->EvacuatedDomains().at(kNorth).m_runs);
    m_scheduler->OnStopAnswer(stops.front(), StopOutcome::kStopping, At(230));
    m_scheduler->OnPollReply(start.m_worker, PollReply{}, At(240).m_steady, At(250));
    CPPUNIT_ASSERT_EQUAL(0, m_scheduler->EvacuatedDomains().at(kNorth).m_runs);
    const auto again = Decide(At(260));
    CPPUNIT_ASSERT(again.size() == 1 && IsIn(again.front(), kSouth));
  }

  static DomainId DomainOf(const WorkerId& worker) { return worker.m_value.starts_with("north") ? kNorth : kSouth; }
  static bool IsIn(const StartCommand& start, const DomainId& domain) { return DomainOf(start.m_worker) == domain; }

  std::unique_ptr<Scheduler> m_scheduler;
  std::uint64_t m_next_job = 1;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EvacuationSetTest);
CPPUNIT_TEST_SUITE_REGISTRATION(EvacuationSchedulerTest);

}  // namespace
}  // namespace hickoryquay::jobs
