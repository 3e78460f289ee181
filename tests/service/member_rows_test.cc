// Rows of members: of this version and of others, and those that can't be read. Virtual time.

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/io_context.hpp>

#include "hickoryquay/service/job_service.h"
#include "hickoryquay/service/member_row.h"
#include "standin/sim_store.h"
#include "tests/service/compatibility_changes.h"
#include "tests/service/compatibility_records.h"

namespace hickoryquay::service {
namespace {

constexpr const char* kMembers = "hq-members";

class MemberRowsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MemberRowsTest);
  CPPUNIT_TEST(MemberRowIsAsBefore);
  CPPUNIT_TEST(UnreadableMemberRowsAreReported);
  CPPUNIT_TEST_SUITE_END();

 public:
  void MemberRowIsAsBefore() {
    const peers::PeerInfo member{InstanceId{"node-1-4777c457"}, DomainId{"d1"}, {"127.0.0.1", 7'003}, false, 5.0};
    CPPUNIT_ASSERT_EQUAL(std::string(recorded::kMember), WriteMemberRow(member));
    for (const std::string& row : {std::string(recorded::kMember), samples::WithUnknownFields(recorded::kMember)}) {
      const auto read = ReadMemberRow(row);
      CPPUNIT_ASSERT_MESSAGE(row, Ok(read));
      CPPUNIT_ASSERT_EQUAL(std::string(recorded::kMember), WriteMemberRow(ValueOf(read)));
    }
    CPPUNIT_ASSERT(Ok(ReadMemberRow(R"({"instance":"n-1","domain":"d","inner":"10.0.0.1:1"})")));
  }

  // A row that is no JSON was passed over without a word, so an instance that nobody lists could not be told from one
  // that is not there.
  void UnreadableMemberRowsAreReported() {
    ManualClock clock;
    clock.Set(Instant{1'000'000});
    ManualTimerService timers(&clock);
    standin::SimStore rows(&timers, &clock, standin::SimStoreSettings{});
    standin::SimStoreClient client(&rows);
    rows.Put({kMembers, "", "node-2"}, "garbled");
    rows.Put({kMembers, "", "node-3"}, "[]");
    rows.Put({kMembers, "", "node-4"}, R"({"instance":"n-4","domain":"d","inner":"nowhere"})");
    rows.Put({kMembers, "", "node-5"}, samples::WithUnknownFields(recorded::kMember));
    boost::asio::io_context io;
    Metrics metrics;
    JobServiceParts parts;
    parts.m_io = &io;
    parts.m_store = &client;
    parts.m_timers = &timers;
    parts.m_clock = &clock;
    parts.m_metrics = &metrics;
    parts.m_relay =
        std::make_shared<StoreRelay>(store::HttpSend{}, net::Endpoint{}, &timers, &clock, &metrics, RelaySettings{});
    JobServiceSettings settings;
    settings.m_node.m_node.m_name = "node-1";
    settings.m_node.m_node.m_domain = DomainId{"d1"};
    settings.m_node.m_node.m_inner = {"127.0.0.1", 0};
    const auto service = std::make_shared<JobService>(parts, settings);
    service->Start();
    timers.Advance(Millis{500});
    service->Stop();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, metrics.GetCounter("hq_rows_unreadable_total", {{"row", "member"}}).Value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, rows.Rows(kMembers).size());  // Its own too.
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemberRowsTest);

}  // namespace
}  // namespace hickoryquay::service
