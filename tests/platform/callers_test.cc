// The HTTP interface for clients: which status each call gets.

#include "platform/callers.h"

#include <cppunit/extensions/HelperMacros.h>

#include "platform/documents.h"
#include "standin/sim_store.h"

namespace hickoryquay::platform {
namespace {

constexpr const char* kId = "5c0e7a21d94b36f8";
constexpr const char* kJob = R"({"spec":"x","steps":[{"count":1}]})";

class CallersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallersTest);
  CPPUNIT_TEST(JobIsTakenInAskedForAndCancelled);
  CPPUNIT_TEST(BadCallsGetTheirOwnStatus);
  CPPUNIT_TEST(RefusalSaysWhenToComeBack);
  CPPUNIT_TEST(WaitingJobsOfAQueue);
  CPPUNIT_TEST(NothingIsServedWithoutConfiguration);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_clock.Set(Instant{1'000'000});
    m_store = std::make_unique<standin::SimStore>(&m_timers, &m_clock, standin::SimStoreSettings{});
    m_client = std::make_unique<standin::SimStoreClient>(m_store.get());
    m_intake =
        std::make_shared<service::Intake>(m_client.get(), &m_timers, &m_clock, &m_metrics, service::IntakeSettings{});
    auto read = ReadConfigurationOf(R"({"version":1,"routes":[{"name":"q","host":"h.example","pathPrefix":"/q/",)"
                                    R"("service":"s"},{"name":"o","host":"h.example","pathPrefix":"/open/",)"
                                    R"("service":"s","public":true}],"tenants":[{"name":"t","apiKeys":["key"]}],)"
                                    R"("limits":{"maxBodyBytes":200}})");
    m_intake->SetConfiguration(read);
  }

  void JobIsTakenInAskedForAndCancelled() {
    CPPUNIT_ASSERT_EQUAL(200, Call("POST", Path(kId), kJob).m_status);
    CPPUNIT_ASSERT_EQUAL(200, Call("POST", Path(kId), kJob).m_status);
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"state":"queued"})"), Call("GET", Path(kId)).m_body);
    CPPUNIT_ASSERT_EQUAL(200, Call("DELETE", Path(kId)).m_status);
    CPPUNIT_ASSERT_EQUAL(410, Call("GET", Path("0000000000000001")).m_status);
    CPPUNIT_ASSERT_EQUAL(410, Call("DELETE", Path("0000000000000001")).m_status);
    CPPUNIT_ASSERT_EQUAL(200, Call("POST", "/open/0000000000000002", kJob, "").m_status);
  }

  void BadCallsGetTheirOwnStatus() {
    CPPUNIT_ASSERT_EQUAL(404, Call("POST", "/unknown/" + std::string(kId), kJob).m_status);
    CPPUNIT_ASSERT_EQUAL(404, Call("POST", Path(kId), kJob, "key", "other.example").m_status);
    CPPUNIT_ASSERT_EQUAL(401, Call("POST", Path(kId), kJob, "wrong").m_status);
    CPPUNIT_ASSERT_EQUAL(401, Call("POST", Path(kId), kJob, "").m_status);
    CPPUNIT_ASSERT_EQUAL(400, Call("POST", Path("short"), kJob).m_status);
    CPPUNIT_ASSERT_EQUAL(400, Call("POST", Path("5C0E7A21D94B36F8"), kJob).m_status);
    CPPUNIT_ASSERT_EQUAL(400, Call("POST", Path(kId), "{").m_status);
    CPPUNIT_ASSERT_EQUAL(400, Call("POST", Path(kId), R"({"steps":[]})").m_status);
    CPPUNIT_ASSERT_EQUAL(413, Call("POST", Path(kId), std::string(201, ' ')).m_status);
    CPPUNIT_ASSERT_EQUAL(405, Call("PUT", Path(kId), kJob).m_status);
    CPPUNIT_ASSERT(m_store->Rows(service::TableNames{}.m_intake).empty());
  }

  void RefusalSaysWhenToComeBack() {
    m_client->SetMood(standin::StoreMood::kRefuses);
    const auto refusal = [this] {
      const net::HttpResponse response = Call("POST", Path(kId), kJob);
      CPPUNIT_ASSERT_EQUAL(503, response.m_status);
      const std::string* retry = net::FindHeader(response.m_headers, "Retry-After");
      CPPUNIT_ASSERT(retry != nullptr);
      return *retry;
    };
    CPPUNIT_ASSERT_EQUAL(std::string("0"), refusal());  // It was held: its caller has waited.
    m_timers.Advance(Millis{9'000});
    CPPUNIT_ASSERT_EQUAL(std::string("3"), refusal());  // Refused at once, 12 s into an outage.
  }

  void WaitingJobsOfAQueue() {
    CPPUNIT_ASSERT_EQUAL(503, Call("GET", "/q/").m_status);  // No leader has told.
    m_intake->Phases().SetPending({{jobs::QueueName{"q"}, 12}}, m_clock.Now());
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"pending":12})"), Call("GET", "/q/").m_body);
    m_intake->Phases().SetPending({{jobs::QueueName{"q"}, 12}}, m_clock.Now());  // Counts grow old.
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"pending":0})"), Call("GET", "/open/").m_body);
  }

  void NothingIsServedWithoutConfiguration() {
    m_intake->SetConfiguration(nullptr);
    CPPUNIT_ASSERT_EQUAL(503, Call("POST", Path(kId), kJob).m_status);
  }

 private:
  static std::string Path(const std::string& id) { return "/q/" + id; }

  static std::shared_ptr<const jobs::QueueConfiguration> ReadConfigurationOf(const std::string& text) {
    auto read = ReadConfiguration(text);
    CPPUNIT_ASSERT(Ok(read));
    return std::make_shared<const jobs::QueueConfiguration>(ValueOf(read));
  }

  net::HttpResponse Call(const std::string& method, const std::string& target, const std::string& body = "",
                         const std::string& key = "key", const std::string& host = "h.example") {
    net::HttpRequest request{method, target, {{"Host", host}}, body};
    if (!key.empty()) request.m_headers.push_back({"Authorization", "Token " + key});
    auto outcome = std::make_shared<net::HttpResponse>();
    outcome->m_status = 0;
    HandleCall(m_intake.get(), request, [outcome](net::HttpResponse response) { *outcome = std::move(response); });
    m_timers.Advance(Millis{3'000});
    return *outcome;
  }

  ManualClock m_clock;
  ManualTimerService m_timers{&m_clock};
  Metrics m_metrics;
  std::unique_ptr<standin::SimStore> m_store;
  std::unique_ptr<standin::SimStoreClient> m_client;
  std::shared_ptr<service::Intake> m_intake;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallersTest);

}  // namespace
}  // namespace hickoryquay::platform
