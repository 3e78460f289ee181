// InstanceList against answers of its list: tags, outages, bad lines.

#include "hickoryquay/store/instance_list.h"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <string>
#include <vector>

namespace hickoryquay::store {
namespace {

constexpr Millis kPoll{1'000};
constexpr char kTwoEntries[] =
    R"({"instances":[{"id":"e1","kind":"entry","domain":"derby","address":"127.0.0.1:1","state":"live"},)"
    R"({"id":"e2","kind":"entry","domain":"derby","address":"127.0.0.1:2","state":"leaving"},{"id":7}]})";

class InstanceListTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(InstanceListTest);
  CPPUNIT_TEST(AsksOnlyForAChangedList);
  CPPUNIT_TEST(KeepsTheLastListInAnOutage);
  CPPUNIT_TEST(LeavesBadLinesOut);
  CPPUNIT_TEST(LinesThatNoParserTakesCostOnlyThemselves);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    InstanceListParts parts;
    parts.m_send = [this](const auto&, const net::HttpRequest& request, Millis, const auto& callback) {
      m_requests.push_back(request);
      if (m_answers.empty()) return callback(net::NetError{net::NotSent{"away"}});
      callback(m_answers.front());
      m_answers.pop_front();
    };
    parts.m_executor = [this](const std::function<void()>& task) { m_tasks.push_back(task); };
    parts.m_timers = &m_timers;
    parts.m_clock = &m_clock;
    parts.m_metrics = &m_metrics;
    InstanceListSettings settings;
    settings.m_poll_every = kPoll;
    m_list = std::make_shared<InstanceList>(parts, settings);
    m_list->Subscribe([this](const auto&) { ++m_changes; });
  }

  void AsksOnlyForAChangedList() {
    m_answers = {{200, {{"ETag", "\"a\""}}, kTwoEntries}, {304, {{"ETag", "\"a\""}}, ""}};
    m_list->Start();
    Run();
    CPPUNIT_ASSERT(net::FindHeader(m_requests.at(0).m_headers, "If-None-Match") == nullptr);
    Poll();
    CPPUNIT_ASSERT_EQUAL(std::string("\"a\""), *net::FindHeader(m_requests.at(1).m_headers, "If-None-Match"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_list->Latest()->size());
    CPPUNIT_ASSERT_EQUAL(1, m_changes);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, m_list->Dump().at("age_ms").to_number<std::int64_t>());
  }

  void KeepsTheLastListInAnOutage() {
    m_answers = {{200, {}, kTwoEntries}};
    m_list->Start();
    Run();
    Poll();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_list->Latest()->size());
    CPPUNIT_ASSERT_EQUAL(kPoll.count(), m_list->Dump().at("age_ms").to_number<std::int64_t>());
  }

  void LeavesBadLinesOut() {
    m_answers = {{200, {}, kTwoEntries}};
    m_list->Start();
    Run();
    CPPUNIT_ASSERT(m_list->Latest()->at(1).m_leaving);
    CPPUNIT_ASSERT_EQUAL(std::string("e1"), m_list->Latest()->at(0).m_id);
  }

  // One line that could not be parsed made the whole list unreadable.
  void LinesThatNoParserTakesCostOnlyThemselves() {
    const std::string list = kTwoEntries;
    for (const std::string& odd :
         {std::string(10'000, '[') + std::string(10'000, ']'), std::string(R"({"id":"w","slots":1e999})"),
          std::string(R"({"id":"\ud800"})"), std::string("{\"id\":\"\xff\"}"), std::string(400, '9'),
          std::string(R"({"id":"e3","kind":"entry","domain":"derby","address":"127.0.0.1:65536"})")}) {
      const auto parsed = ParseInstances(R"({"instances":[)" + odd + "," + list.substr(list.find('[') + 1));
      CPPUNIT_ASSERT_MESSAGE(odd.substr(0, 50), parsed.has_value());
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, parsed->m_instances.size());
      CPPUNIT_ASSERT_EQUAL(2, parsed->m_bad_lines);
    }
  }

 private:
  void Run() {
    while (!m_tasks.empty()) {
      const auto task = m_tasks.front();
      m_tasks.pop_front();
      task();
    }
  }

  void Poll() {
    m_timers.Advance(kPoll);
    Run();
  }

  ManualClock m_clock;
  ManualTimerService m_timers{&m_clock};
  Metrics m_metrics;
  std::deque<std::function<void()>> m_tasks;
  std::deque<net::HttpResponse> m_answers;
  std::vector<net::HttpRequest> m_requests;
  std::shared_ptr<InstanceList> m_list;
  int m_changes = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(InstanceListTest);

}  // namespace
}  // namespace hickoryquay::store
