// Jobs that wait again after their worker was lost.
#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <optional>
#include <variant>

#include "hickoryquay/policy/policy.h"

namespace hickoryquay::test {
namespace {

constexpr Millis kHour{3'600'000};
const DomainId kDomain{"d"};
const MarketId kMarket{"m"};
const AccountId kAccount{"a"};
const ClassId kBatch{"batch"};
const ClassId kUrgent{"urgent"};

class RequeueTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequeueTest);
  CPPUNIT_TEST(LostJobKeepsTheUrgencyOfItsAge);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a job that has waited for hours, loses its worker, and waits again as if it were new.
  void LostJobKeepsTheUrgencyOfItsAge() {
    policy::PolicySettings settings;
    settings.m_domain = kDomain;
    m_policy = policy::MakePolicy(settings);
    auto market = std::make_shared<Market>();
    market->m_id = kMarket;
    market->m_domains = {kDomain};
    market->m_accounts[kAccount].m_id = kAccount;
    for (const auto& [id, urgency] : {std::pair{kBatch, 8}, std::pair{kUrgent, 3}}) {
      market->m_classes[id].m_id = id;
      market->m_classes[id].m_urgency = urgency;
    }
    Apply(policy::MarketChanged{market});
    const Job old = MakeJob(JobId{1}, kBatch);
    Apply(policy::JobSubmitted{old});
    m_now = m_now + 5 * kHour;
    const auto start = JoinUntilStart();
    CPPUNIT_ASSERT(start && start->m_job == old.m_id);
    Apply(policy::GangStarted{start->m_job, start->m_attempt});
    m_now = m_now + Millis{1'000};
    Apply(policy::WorkerLost{WorkerId{"w"}});
    Apply(policy::JobSubmitted{MakeJob(JobId{2}, kUrgent)});
    const auto next = JoinUntilStart();
    CPPUNIT_ASSERT(next);
    CPPUNIT_ASSERT(next->m_job == old.m_id);
  }

 private:
  Job MakeJob(JobId id, const ClassId& work) const {
    Job job;
    job.m_id = id;
    job.m_domain = kDomain;
    job.m_spec.m_market = kMarket;
    job.m_spec.m_account = kAccount;
    job.m_spec.m_class = work;
    job.m_spec.m_shape.m_task = Resources{8, 8'000, 8'000};
    job.m_spec.m_declared_run = Millis{60'000};
    job.m_accepted = m_now;
    return job;
  }

  policy::Decisions Apply(const policy::Event& event) { return m_policy->Apply(event, m_now); }

  // The only worker joins, with room for one job.
  std::optional<policy::StartGang> JoinUntilStart() {
    policy::Decisions decisions =
        Apply(policy::WorkerJoined{Worker{WorkerId{"w"}, kDomain, RackId{"r"}, 0, Resources{8, 8'000, 8'000}}});
    for (int i = 0; i < 10; ++i) {
      for (const policy::Decision& decision : decisions) {
        if (const auto* start = std::get_if<policy::StartGang>(&decision)) return *start;
      }
      m_now = m_now + Millis{100};
      decisions = Apply(policy::Tick{});
    }
    return std::nullopt;
  }

  std::unique_ptr<policy::Scheduler> m_policy;
  Instant m_now{1'000'000'000};
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequeueTest);

}  // namespace
}  // namespace hickoryquay::test
