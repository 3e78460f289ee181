// Odd entries that other writers left in lists: each costs at most itself, and a list that hides an id proves nothing.

#include "platform/odd_entries.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "hickoryquay/model/json_salvage.h"
#include "platform/documents.h"
#include "platform/machine_list.h"
#include "platform/row_store_client.h"
#include "platform/worker_client.h"
#include "platform/worker_rows.h"
#include "tests/property.h"

namespace hickoryquay::platform {
namespace {

using Listed = Result<std::set<WorkerId>, std::string>;

std::string Nested(int depth) {
  return std::string(static_cast<std::size_t>(depth), '[') + std::string(static_cast<std::size_t>(depth), ']');
}

// Valid JSON that a parser with limits refuses, or a reader takes for something else.
std::vector<std::string> OddValues() {
  return {Nested(100),
          Nested(10'000),
          "1e999",
          "-1e99999999999",
          std::string(400, '9'),
          "99999999999999999999",
          R"("\ud800")",
          "\"\xff\xfe\"",
          "null",
          "true",
          "7",
          R"("")",
          "[]",
          "{}",
          R"({"a":{"b":"]}\",["}})"};
}

std::string Join(const std::vector<std::string>& elements) {
  std::string text;
  for (const std::string& element : elements) text += (text.empty() ? "" : ",") + element;
  return text;
}

net::HttpResponse Answer(std::string body) {
  return {200, {}, std::move(body)};
}

class OddEntriesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OddEntriesTest);
  CPPUNIT_TEST(SplittingFindsTheElements);
  CPPUNIT_TEST(MachineWithOddFieldsIsStillNamed);
  CPPUNIT_TEST(MachineWhoseIdIsHiddenMakesTheListProveNothing);
  CPPUNIT_TEST(MachinesBehindAnOddOneAreRead);
  CPPUNIT_TEST(AnyMachinesAreRead);
  CPPUNIT_TEST(RowsBesideAnOddRowAreRead);
  CPPUNIT_TEST(AnyRowsAreRead);
  CPPUNIT_TEST(OddEntriesAreCountedAndLoggedWithinABound);
  CPPUNIT_TEST(PortsOutOfRangeNameNoWorker);
  CPPUNIT_TEST(AddressesWithHiddenTextNameNoWorker);
  CPPUNIT_TEST(KeysThatNoHeaderCarriesNameNoWorker);
  CPPUNIT_TEST(CapacitiesBeyondAnyMachineNameNoWorker);
  CPPUNIT_TEST(TextsWithoutBoundNameNoWorker);
  CPPUNIT_TEST(GoodWorkersBesideAnyRowsAreRead);
  CPPUNIT_TEST(PollsWithNumbersOutOfRangeProveNothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SplittingFindsTheElements() {
    test::CheckProperty("elements are split where they were joined", [] {
      const auto elements = *rc::gen::container<std::vector<std::string>>(rc::gen::elementOf(OddValues()));
      const std::string array = " [ " + Join(elements) + " ]\n";
      const auto split = SplitArray(array);
      RC_ASSERT(split.has_value());
      RC_ASSERT(std::vector<std::string>(split->begin(), split->end()) == elements);
      std::string object;
      for (const std::string& element : elements) object += R"(,"a\",:" : )" + element;
      object = "{" + object.substr(std::min<std::size_t>(1, object.size())) + "}";
      const auto fields = SplitObject(object);
      RC_ASSERT(fields.has_value());
      RC_ASSERT(fields->size() == elements.size());
      for (std::size_t i = 0; i < elements.size(); ++i) RC_ASSERT(fields->at(i).second == elements[i]);
    });
    test::CheckProperty("any bytes are split or refused", [] {
      const auto text =
          *rc::gen::container<std::string>(rc::gen::element('[', ']', '{', '}', '"', '\\', ',', ':', ' ', '1'));
      SplitArray(text);
      SplitObject(text);
      ParseAroundOdd(text, "1");
    });
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, SplitArray("[" + Nested(5'000'000) + ",1]").value().size());
    for (const char* text : {"", "[", "]", "[1", "1]", "[1]]", "[[1]", "{}", "[1}", "[\"]", "][", "1"}) {
      const auto split = SplitArray(text);
      CPPUNIT_ASSERT_MESSAGE(text, !split || split->front() == "\"");  // That one is refused by the parser.
    }
  }

  // One odd machine made the whole list unreadable, so that no lost worker was found any more.
  void MachineWithOddFieldsIsStillNamed() {
    for (const std::string& odd : OddValues()) {
      const Listed listed = List({R"({"machines":[{"machine":"m-1","id":"i-1"},{"machine":)" + odd + R"(,"labels":)" +
                                  odd + R"(,"id":"i-2"},{"id":"i-3"}],"nextToken":""})"});
      CPPUNIT_ASSERT_MESSAGE(odd.substr(0, 50), Ok(listed));
      CPPUNIT_ASSERT(ValueOf(listed) == (std::set<WorkerId>{WorkerId{"i-1"}, WorkerId{"i-2"}, WorkerId{"i-3"}}));
    }
  }

  // An id that is no text was taken for no worker: the live worker behind it looked gone.
  void MachineWhoseIdIsHiddenMakesTheListProveNothing() {
    for (const std::string& odd : OddValues()) {
      if (odd == "null" || odd == R"("")") continue;  // No worker.
      const Listed listed = List({R"({"machines":[{"id":"i-1"},{"machine":"m-2","id":)" + odd + R"(},{"id":"i-3"}]})"});
      CPPUNIT_ASSERT_MESSAGE(odd.substr(0, 50), !Ok(listed));
      CPPUNIT_ASSERT_MESSAGE(ErrorOf(listed), ErrorOf(listed).starts_with("1 of 3 entries can't be read"));
    }
    for (const std::string& odd : OddValues()) {
      if (odd.starts_with('{')) continue;  // A machine without a worker.
      const Listed listed = List({R"({"machines":[{"id":"i-1"},)" + odd + R"(]})"});
      CPPUNIT_ASSERT_MESSAGE(odd.substr(0, 50), !Ok(listed));
      CPPUNIT_ASSERT_MESSAGE(ErrorOf(listed), ErrorOf(listed).starts_with("1 of 2 entries can't be read"));
    }
  }

  // The entries behind an odd one, and the pages behind its page.
  void MachinesBehindAnOddOneAreRead() {
    std::set<WorkerId> lives;
    const auto next = ReadMachinesAnswer(
        Answer(R"({"machines":[{"id":"i-1"},)" + Nested(10'000) + R"(,{"id":"i-3"}],"nextToken":"t"})"), &lives);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, next.index());
    CPPUNIT_ASSERT_EQUAL(std::string("t"), std::get<0>(next));
    CPPUNIT_ASSERT(lives == (std::set<WorkerId>{WorkerId{"i-1"}, WorkerId{"i-3"}}));
  }

  void AnyMachinesAreRead() {
    test::CheckProperty("good machines beside odd ones are read", [this] {
      std::vector<std::string> machines;
      std::set<WorkerId> good;
      const auto count = *rc::gen::inRange(0, 6);
      for (int i = 0; i < count; ++i) {
        if (*rc::gen::arbitrary<bool>()) {
          const std::string id = "i-" + std::to_string(i);
          good.insert(WorkerId{id});
          machines.push_back(R"({"machine":)" + *rc::gen::elementOf(OddValues()) + R"(,"id":")" + id + "\"}");
        } else {
          machines.push_back(*rc::gen::elementOf(OddValues()));
        }
      }
      std::set<WorkerId> lives;
      const auto next = ReadMachinesAnswer(Answer(R"({"machines":[)" + Join(machines) + "]}"), &lives);
      RC_ASSERT(next.index() == 0U);
      RC_ASSERT(lives == good);
    });
    test::CheckProperty("lists that are cut or changed never throw and never prove more", [this] {
      std::string body =
          R"({"machines":[{"id":"i-1"},{"id":"i-2","x":)" + *rc::gen::elementOf(OddValues()) + R"(}],"nextToken":""})";
      const auto at = *rc::gen::inRange<std::size_t>(0, body.size());
      if (*rc::gen::arbitrary<bool>()) {
        body.resize(at);
        RC_ASSERT(!Ok(List({body})));
      } else {
        body[at] = *rc::gen::arbitrary<char>();
        List({body});
      }
    });
  }

  // A row whose envelope could not be parsed made the whole page unreadable: the table was no longer followed.
  void RowsBesideAnOddRowAreRead() {
    for (const std::string& odd : OddValues()) {
      for (const char* field : {"key", "value", "ver", "part", "other"}) {
        const auto page = ReadPageAnswer(
            Answer(R"({"rows":[{"table":"servers","key":"a","value":"YQ==","ver":3},{"table":"servers",")" +
                   std::string(field) + "\":" + odd +
                   R"(},{"table":"servers","key":"c","value":"Yw==","ver":5}],"hasMore":true,"ver":530})"));
        CPPUNIT_ASSERT_MESSAGE(field + odd.substr(0, 50), Ok(page));
        const store::RowPage& read = ValueOf(page);
        CPPUNIT_ASSERT(read.m_more && read.m_version == Version{530});
        CPPUNIT_ASSERT_EQUAL(std::string("a"), read.m_rows.front().m_value);
        CPPUNIT_ASSERT_EQUAL(std::string("c"), read.m_rows.back().m_value);
      }
      const auto page = ReadPageAnswer(Answer(R"({"rows":[{"table":"servers","key":"a"},)" + odd + R"(],"ver":5})"));
      CPPUNIT_ASSERT_MESSAGE(odd.substr(0, 50), Ok(page));
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ValueOf(page).m_rows.size());
    }
  }

  void AnyRowsAreRead() {
    test::CheckProperty("good rows beside odd ones are read", [] {
      std::vector<std::string> rows;
      std::vector<std::string> good;
      const auto count = *rc::gen::inRange(0, 6);
      for (int i = 0; i < count; ++i) {
        if (*rc::gen::arbitrary<bool>()) {
          good.push_back("w-" + std::to_string(i));
          rows.push_back(R"({"table":"servers","key":")" + good.back() + R"(","value":"YQ=="})");
        } else {
          rows.push_back(*rc::gen::elementOf(OddValues()));
        }
      }
      const auto page = ReadPageAnswer(Answer(R"({"ver":9,"rows":[)" + Join(rows) + "]}"));
      RC_ASSERT(Ok(page));
      std::vector<std::string> read;
      for (const store::StoredRow& row : ValueOf(page).m_rows) read.push_back(row.m_key.m_key);
      RC_ASSERT(read == good);
    });
  }

  // One that stays is seen again with each reading of its list.
  void OddEntriesAreCountedAndLoggedWithinABound() {
    for (int i = 0; i < 100; ++i) {
      List({R"({"machines":[7,{"id":"i-1"}],"nextToken":"t"})", R"({"machines":[{"id":[]}]})"});
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{200}, Unreadable("machines"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, m_odd.Lines());
    RowStoreClient rows(
        [](const auto&, const net::HttpRequest&, Millis, const auto& callback) {
          callback(Answer(R"({"rows":[{"table":"servers","key":"\ud800"},{"table":"servers","key":"a"}],"ver":5})"));
        },
        {"10.0.0.1", 80}, &m_odd);
    rows.Feed({"servers", Version{1}, Millis{0}}, Millis{100}, [](const auto& page) { CPPUNIT_ASSERT(Ok(page)); });
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Unreadable("servers"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, m_odd.Lines());
    m_clock.Set(Instant{60'000});
    List({R"({"machines":[7]})"});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, m_odd.Lines());
  }

  // Pattern of another operator: an entry with a port out of range ended the machines that read the list.
  void PortsOutOfRangeNameNoWorker() {
    for (const char* address : {"10.0.0.9:0", "10.0.0.9:65536", "10.0.0.9:99999999999", "10.0.0.9:-1", "10.0.0.9: 80",
                                "10.0.0.9:80 ", "10.0.0.9:80x", "10.0.0.9:", "10.0.0.9:+80", "10.0.0.9:0x50", ":80",
                                " 10.0.0.9:80", "10.0.0.9:8.0", "10.0.0.9:1e3"}) {
      CPPUNIT_ASSERT_MESSAGE(address, !IsUsable("w", "\"" + std::string(address) + "\""));
    }
    for (const char* address : {"10.0.0.9:1", "10.0.0.9:65535", "[::1]:80"}) {
      CPPUNIT_ASSERT_MESSAGE(address, IsUsable("w", "\"" + std::string(address) + "\""));
    }
  }

  // What stood behind a NUL of the address went into the head of each call to the worker; 64 KB of it ended the
  // process.
  void AddressesWithHiddenTextNameNoWorker() {
    CPPUNIT_ASSERT(!IsUsable("w", R"("10.0.0.9\u0000x:80")"));
    CPPUNIT_ASSERT(!IsUsable("w", R"("10.0.0.9\u0000\r\nX-A: 1:80")"));
    CPPUNIT_ASSERT(!IsUsable("w", R"("10.0.0.9\u0000)" + std::string(70'000, 'x') + R"(:80")"));
  }

  // The key goes into a header of each call to the worker.
  void KeysThatNoHeaderCarriesNameNoWorker() {
    for (const std::string& key :
         {std::string(), std::string("w\r\nX-A: 1"), std::string("w\0x", 3), std::string("w x"),
          std::string("\xff\xfe"), std::string("w\x7f"), std::string(70'000, 'w')}) {
      CPPUNIT_ASSERT_MESSAGE(key.substr(0, 20), !IsUsable(key, R"("10.0.0.9:80")"));
    }
    for (const std::string& key : {std::string("i-1"), std::string("a/b_c.d:9"), std::string(200, 'w')}) {
      CPPUNIT_ASSERT_MESSAGE(key, IsUsable(key, R"("10.0.0.9:80")"));
    }
  }

  // Sums over all workers overflowed on a single entry of 2^31-1 accelerators beside a true one.
  void CapacitiesBeyondAnyMachineNameNoWorker() {
    for (const char* capacity :
         {R"({"cpu":1,"memMb":1,"gpu":2147483647})", R"({"cpu":2147483647,"memMb":1,"gpu":1})",
          R"({"cpu":1,"memMb":2147483647,"gpu":1})", R"({"cpu":1e999})", R"({"gpu":99999999999999999999})"}) {
      CPPUNIT_ASSERT_MESSAGE(capacity, !IsUsable("w", R"("10.0.0.9:80")", capacity));
    }
    CPPUNIT_ASSERT(IsUsable("w", R"("10.0.0.9:80")", R"({"cpu":1024000,"memMb":67108864,"gpu":1024})"));
  }

  // They are copied, compared and logged with each change of the list.
  void TextsWithoutBoundNameNoWorker() {
    const std::string text(100'000, 'x');
    for (const char* field : {"service", "zone", "state", "address"}) {
      std::string why;
      const std::string row = R"({"service":"s","zone":"z","state":"ready","address":"10.0.0.9:80","capacity":{},")" +
                              std::string(field) + "\":\"" + text + "\"}";
      CPPUNIT_ASSERT_MESSAGE(field, !ReadWorker({{"servers", "", "w"}, row, Version{1}, false}, &why));
      CPPUNIT_ASSERT_MESSAGE(why, why.size() < 200);
    }
    const std::string many = std::string(R"(["l")") + Repeat(R"(,"l")", 1'000) + "]";
    for (const std::string& labels : {"[\"" + text + "\"]", many}) {
      CPPUNIT_ASSERT(!IsUsable("w", R"("10.0.0.9:80","labels":)" + labels));
    }
    CPPUNIT_ASSERT(IsUsable("w", R"("10.0.0.9:80","labels":["a","r1"])"));
  }

  // From the store's answer to the entries of the workers, with values of any other writer between those of workers.
  void GoodWorkersBesideAnyRowsAreRead() {
    test::CheckProperty("good workers beside any rows are read", [this] {
      std::vector<std::string> rows;
      std::vector<std::string> good;
      const auto count = *rc::gen::inRange(1, 8);
      for (int i = 0; i < count; ++i) {
        std::string key = "w-" + std::to_string(i);
        std::string value = *rc::gen::weightedOneOf<std::string>({{2, rc::gen::just(GoodRow())},
                                                                  {1, rc::gen::elementOf(OddValues())},
                                                                  {1, rc::gen::map(rc::gen::arbitrary<int>(), Mutated)},
                                                                  {1, rc::gen::arbitrary<std::string>()}});
        if (value == GoodRow()) {
          good.push_back(key);
        } else if (*rc::gen::inRange(0, 4) == 0) {
          rows.push_back(R"({"table":"servers","key":)" + *rc::gen::elementOf(OddValues()) + R"(,"value":"YQ=="})");
          continue;
        } else {
          key += "-odd";
        }
        rows.push_back(R"({"table":"servers","key":")" + key + R"(","ver":1,"value":")" + Base64(value) + "\"}");
      }
      const auto page = ReadPageAnswer(Answer(R"({"ver":9,"rows":[)" + Join(rows) + "]}"));
      RC_ASSERT(Ok(page));
      WorkerRows workers(&m_clock, &m_metrics, WorkerRowSettings{});
      std::vector<std::string> read;
      for (const store::StoredRow& row : ValueOf(page).m_rows) {
        const auto worker = workers.Read(row);
        if (worker && !row.m_key.m_key.ends_with("-odd")) read.push_back(worker->m_id.m_value);
        RC_ASSERT(!worker || Resources{}.FitsIn(worker->m_capacity));
      }
      RC_ASSERT(read == good);
    });
  }

  // A run number of 2^32+1 was taken for run 1, an odd one for run 0. A row that is left out would do harm: a run that
  // is not listed counts as lost, and an end as acknowledged by the ends behind it. So the answer as a whole proves
  // nothing.
  void PollsWithNumbersOutOfRangeProveNothing() {
    const std::string task = R"("5c0e7a21d94b36f8.0.1.17")";
    const auto is_read = [](const std::string& body) { return Ok(ReadLookAnswer(Answer(body))); };
    CPPUNIT_ASSERT(is_read(R"({"clockMs":1,"running":[[)" + task + R"(,4294967295,"",41]]})"));
    for (const char* odd :
         {"0", "-1", "4294967296", "4294967297", "1.5", "1e999", "99999999999999999999", "null", R"("1")", "[]"}) {
      CPPUNIT_ASSERT_MESSAGE(odd, !is_read(R"({"clockMs":1,"running":[[)" + task + "," + odd + R"(,"",41]]})"));
      CPPUNIT_ASSERT_MESSAGE(odd, !is_read(R"({"clockMs":1,"ended":[[1,)" + task + "," + odd + R"(,"done",""]]})"));
    }
    for (const char* odd : {"0", "-1", "9223372036854775807", "1e999", "null"}) {
      CPPUNIT_ASSERT_MESSAGE(
          odd, !is_read(R"({"clockMs":1,"ended":[[)" + std::string(odd) + "," + task + R"(,1,"done",""]]})"));
    }
    CPPUNIT_ASSERT(!is_read(R"({"clockMs":9223372036854775807})"));
    for (const auto& [text, percent] : {std::pair{"-1", 0}, {"101", 100}, {"1e300", 0}, {"4294967297", 100}}) {
      const auto reply =
          ReadLookAnswer(Answer(R"({"clockMs":1,"running":[[)" + task + R"(,1,"",)" + std::string(text) + "]]}"));
      CPPUNIT_ASSERT_MESSAGE(text, Ok(reply));
      CPPUNIT_ASSERT_EQUAL(percent, ValueOf(reply).m_running.at(0).m_percent);
    }
  }

 private:
  static std::string Repeat(const std::string& text, int times) {
    std::string all;
    for (int i = 0; i < times; ++i) all += text;
    return all;
  }

  static std::string GoodRow() {
    return R"({"service":"s","zone":"z","state":"ready","address":"10.0.0.9:80",)"
           R"("capacity":{"cpu":16000,"memMb":32768,"gpu":8},"labels":["a","r1"],"born":1775519749021})";
  }

  // A good row with one byte changed, cut, or with an odd value for one of its values.
  static std::string Mutated(int choice) {
    std::string row = GoodRow();
    const auto seed = static_cast<std::size_t>(static_cast<unsigned>(choice));
    const std::size_t at = seed / 3 % row.size();
    const std::vector<std::string> odd = OddValues();
    if (seed % 3 == 0) {
      row[at] = static_cast<char>(seed / 1'000);
    } else if (seed % 3 == 1) {
      row.resize(at);
    } else if (const std::size_t colon = row.find(':', at); colon != std::string::npos) {
      row.replace(colon + 1, row.find_first_of(",}", colon) - colon - 1, odd[seed % odd.size()]);
    }
    return row == GoodRow() ? "" : row;
  }

  // As the client of the store writes values.
  static std::string Base64(const std::string& bytes) {
    store::Transaction transaction;
    transaction.m_puts.push_back({{"t", "", "k"}, bytes});
    const std::string body = TransactionBody(transaction);
    const std::size_t begin = body.find(R"("value":")") + 9;
    return body.substr(begin, body.find('"', begin) - begin);
  }

  // The list of machines in these pages.
  Listed List(std::vector<std::string> pages) {
    std::size_t page = 0;
    MachineList machines(
        [&](const auto&, const net::HttpRequest&, Millis, const auto& callback) { callback(Answer(pages.at(page++))); },
        {"10.0.0.1", 80}, &m_odd);
    std::optional<Listed> listed;
    machines.ListWorkerIds(Millis{100}, [&](Listed result) { listed = std::move(result); });
    CPPUNIT_ASSERT(listed.has_value());
    return *listed;
  }

  static bool IsUsable(const std::string& key, const std::string& address, const std::string& capacity = "{}") {
    std::string why;
    const store::StoredRow row{
        {"servers", "", key},
        R"({"service":"s","zone":"z","state":"ready","address":)" + address + R"(,"capacity":)" + capacity + "}",
        Version{1},
        false};
    return ReadWorker(row, &why).has_value();
  }

  std::uint64_t Unreadable(const std::string& list) {
    return m_metrics.GetCounter("hq_list_entries_unreadable_total", {{"list", list}}).Value();
  }

  ManualClock m_clock;
  Metrics m_metrics;
  OddEntries m_odd{&m_clock, &m_metrics};
};

CPPUNIT_TEST_SUITE_REGISTRATION(OddEntriesTest);

}  // namespace
}  // namespace hickoryquay::platform
