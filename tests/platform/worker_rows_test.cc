// Rows of the worker list that other writers wrote: any bytes give a worker or nothing, and are reported within bounds.

#include "platform/worker_rows.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <map>
#include <string>

#include "platform/documents.h"

namespace hickoryquay::platform {
namespace {

// Each field of a good row.
const std::map<std::string, std::string> kGood{{"service", R"("s")"},
                                               {"address", R"("10.0.0.9:80")"},
                                               {"zone", R"("z")"},
                                               {"state", R"("ready")"},
                                               {"capacity", R"({"cpu":16000,"memMb":32768,"gpu":8})"},
                                               {"labels", R"(["a","r1"])"},
                                               {"remainingMs", "4500"},
                                               {"coldLeftMs", "700"},
                                               {"born", "1775519749021"}};
// Values of every type, limits of numbers, and text that is no JSON.
const std::vector<std::string> kAny{"null",
                                    "true",
                                    "-1",
                                    "0",
                                    "1.5",
                                    "1e300",
                                    "9223372036854775807",
                                    "18446744073709551615",
                                    R"("")",
                                    R"("text")",
                                    R"("\ud800")",
                                    "[]",
                                    R"([1,"a",null])",
                                    "{}",
                                    R"({"gpu":-1})",
                                    R"({"gpu":"8","cpu":[]})",
                                    R"({"memMb":1e12})",
                                    "",
                                    "\xff\xfe",
                                    std::string(500, '[')};

store::StoredRow Row(const std::string& key, const std::string& value, std::uint64_t version = 1) {
  return {{"servers", "", key}, value, Version{version}, false};
}

std::string RowWith(const std::map<std::string, std::string>& fields) {
  std::string text;
  for (const auto& [key, value] : fields) text += (text.empty() ? "{\"" : ",\"") + key + "\":" + value;
  return text + "}";
}

class WorkerRowsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WorkerRowsTest);
  CPPUNIT_TEST(AnyBytesAreRead);
  CPPUNIT_TEST(AnyTypesAreRead);
  CPPUNIT_TEST(BadRowsAreCountedOnceForEachVersion);
  CPPUNIT_TEST(BadRowsLeaveOthersValid);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AnyBytesAreRead() {
    CPPUNIT_ASSERT(
        rc::check("any bytes give a worker or a reason", [](const std::string& key, const std::string& value) {
          std::string why;
          const bool usable = ReadWorker(Row(key, value), &why).has_value();
          RC_ASSERT(usable == why.empty());
        }));
    CPPUNIT_ASSERT(rc::check("so do cut and changed rows", [](std::size_t at, char byte) {
      const std::string good = RowWith(kGood);
      std::string why;
      ReadWorker(Row("w", good.substr(0, at % good.size())), &why);
      RC_ASSERT(!why.empty());
      std::string changed = good;
      changed[at % good.size()] = byte;
      std::string why_changed;
      const bool usable = ReadWorker(Row("w", changed), &why_changed).has_value();
      RC_ASSERT(usable == why_changed.empty());
    }));
  }

  void AnyTypesAreRead() {
    CPPUNIT_ASSERT(rc::check("any types of fields give a worker or a reason", [] {
      auto fields = kGood;
      const auto changes = *rc::gen::inRange(0, 4);
      for (int i = 0; i < changes; ++i) {
        const auto field = std::next(kGood.begin(), *rc::gen::inRange<std::ptrdiff_t>(0, std::ssize(kGood)));
        fields[field->first] = *rc::gen::elementOf(kAny);
        if (*rc::gen::arbitrary<bool>()) fields.erase(field->first);
      }
      std::string why;
      const auto worker = ReadWorker(Row("w", RowWith(fields)), &why);
      RC_ASSERT(worker.has_value() == why.empty());
      if (!worker) return;
      RC_ASSERT(worker->m_capacity.m_accelerators >= 0 && worker->m_capacity.m_millicores >= 0);
      RC_ASSERT(!worker->m_address.empty());
      RC_ASSERT(!worker->m_cold_left || worker->m_cold_left->count() > 0);
      RC_ASSERT(!worker->m_born || worker->m_born->m_ms > 0);
    }));
  }

  // A row that stays bad was logged on each scan, without a bound.
  void BadRowsAreCountedOnceForEachVersion() {
    for (int scan = 0; scan < 3; ++scan) CPPUNIT_ASSERT(!m_rows.Read(Row("w", "garbled")));
    CPPUNIT_ASSERT_EQUAL(1.0, Unusable());
    CPPUNIT_ASSERT(!m_rows.Read(Row("w", "garbled", 2)));
    CPPUNIT_ASSERT_EQUAL(2.0, Unusable());
    // Counted beyond the lines of a minute, too.
    for (int i = 0; i < 100; ++i) m_rows.Read(Row("w" + std::to_string(i), "garbled", 3));
    CPPUNIT_ASSERT_EQUAL(102.0, Unusable());
    CPPUNIT_ASSERT_EQUAL(102 - WorkerRowSettings{}.m_lines_per_minute, m_rows.LinesLeftOut());
    m_clock.Set(Instant{60'000});
    m_rows.Read(Row("w", "garbled", 4));
    CPPUNIT_ASSERT_EQUAL(0, m_rows.LinesLeftOut());
  }

  void BadRowsLeaveOthersValid() {
    CPPUNIT_ASSERT(!m_rows.Read(Row("a", "garbled")));
    CPPUNIT_ASSERT(m_rows.Read(Row("b", RowWith(kGood))).has_value());
    CPPUNIT_ASSERT(m_rows.Read(Row("a", RowWith(kGood), 2)).has_value());
    CPPUNIT_ASSERT_EQUAL(1.0, Unusable());
  }

 private:
  double Unusable() { return static_cast<double>(m_metrics.GetCounter("hq_worker_rows_unusable_total").Value()); }

  ManualClock m_clock;
  Metrics m_metrics;
  WorkerRows m_rows{&m_clock, &m_metrics, WorkerRowSettings{}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkerRowsTest);

}  // namespace
}  // namespace hickoryquay::platform
