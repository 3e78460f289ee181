#include "hickoryquay/settings/node_settings.h"

#include <cppunit/extensions/HelperMacros.h>

#include <sstream>

namespace hickoryquay::settings {
namespace {

constexpr const char* kNode =
    "[node]\nname = n\ndomain = d\ncallers = 10.0.0.1:1\nready = 10.0.0.1:2\ninner = 10.0.0.1:3\n";
constexpr const char* kStore = "[store]\naddress = 10.0.0.2:4\n";

class NodeSettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NodeSettingsTest);
  CPPUNIT_TEST(LeastThatIsNeeded);
  CPPUNIT_TEST(TermsTakeFractions);
  CPPUNIT_TEST(CapacityTakesFractions);
  CPPUNIT_TEST(WrongValuesNameTheirKey);
  CPPUNIT_TEST(UnknownFactsAreIgnoredAndNamed);
  CPPUNIT_TEST(UnknownKeysOfOurOwnAreErrors);
  CPPUNIT_TEST_SUITE_END();

 public:
  void LeastThatIsNeeded() {
    const auto read = Read(std::string(kNode) + kStore);
    CPPUNIT_ASSERT_MESSAGE(Ok(read) ? "" : ToString(ErrorOf(read)), Ok(read));
    CPPUNIT_ASSERT(ValueOf(read).m_machines.m_address == net::Endpoint{});
    CPPUNIT_ASSERT(ValueOf(read).m_node.m_seeds.empty());
    CPPUNIT_ASSERT(ValueOf(read).m_ignored.empty());
  }

  void TermsTakeFractions() {
    const auto read = Read(std::string(kNode) + "grace = 4.5s\nseeds = 10.0.0.1:3, 10.0.0.5:3\n" + kStore +
                           "[terms]\nlongest_lease = 6000ms\nrestore = 250.0ms\nevacuate = 5000ms\ncancel = "
                           "5000ms\ndrain = 1.5s\nremote_factor = 3.0\n");
    CPPUNIT_ASSERT_MESSAGE(Ok(read) ? "" : ToString(ErrorOf(read)), Ok(read));
    CPPUNIT_ASSERT(ValueOf(read).m_node.m_grace == Millis{4'500});
    CPPUNIT_ASSERT(ValueOf(read).m_terms.m_longest_lease == Millis{6'000});
    CPPUNIT_ASSERT(ValueOf(read).m_terms.m_restore == Millis{250});
    CPPUNIT_ASSERT(ValueOf(read).m_terms.m_evacuate == Millis{5'000});
    CPPUNIT_ASSERT_EQUAL(3.0, ValueOf(read).m_terms.m_remote_factor);
    CPPUNIT_ASSERT(ValueOf(read).m_terms.m_cancel == Millis{5'000});
    CPPUNIT_ASSERT(ValueOf(read).m_terms.m_drain == Millis{1'500});
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, ValueOf(read).m_node.m_seeds.size());
  }

  void CapacityTakesFractions() {
    const auto read = Read(std::string(kNode) + kStore + "[capacity]\nprocessor_share = 0.12\nlink_mbit_s = 2.0\n");
    CPPUNIT_ASSERT_MESSAGE(Ok(read) ? "" : ToString(ErrorOf(read)), Ok(read));
    CPPUNIT_ASSERT_EQUAL(0.12, ValueOf(read).m_capacity.m_processor_share);
    CPPUNIT_ASSERT_EQUAL(2.0, ValueOf(read).m_capacity.m_link_mbit_s);
  }

  void WrongValuesNameTheirKey() {
    for (const char* wrong : {"0", "-1", "nan", "much", "1e99", ""}) {
      CheckWrong("processor_share", std::string(kNode) + kStore + "[capacity]\nprocessor_share = " + wrong + "\n");
      CheckWrong("link_mbit_s", std::string(kNode) + kStore + "[capacity]\nlink_mbit_s = " + wrong + "\n");
      CheckWrong("memory_mb", std::string(kNode) + kStore + "[capacity]\nmemory_mb = " + wrong + "\n");
      CheckWrong("descriptors", std::string(kNode) + kStore + "[capacity]\ndescriptors = " + wrong + "\n");
      CheckWrong("row_bytes", std::string(kNode) + kStore + "[terms]\nrow_bytes = " + wrong + "\n");
    }
    CheckWrong("name", kStore);
    CheckWrong("address", kNode);
    CheckWrong("restore", std::string(kNode) + kStore + "[terms]\nrestore = ms\n");
    CheckWrong("restore", std::string(kNode) + kStore + "[terms]\nrestore = 3 weeks\n");
    CheckWrong("evacuate", std::string(kNode) + kStore + "[terms]\nevacuate = soon\n");
    CheckWrong("remote_factor", std::string(kNode) + kStore + "[terms]\nremote_factor = 0\n");
    CheckWrong("callers", std::string("[node]\nname = n\ndomain = d\ncallers = here\n") + kStore);
  }

  // Guards against a settings file that was made for a later version stopping this one, while both run side by side.
  void UnknownFactsAreIgnoredAndNamed() {
    const auto read = Read(std::string(kNode) + kStore +
                           "[capacity]\ndisk_mb = 5\n[machines]\nbackup = x\n[terms]\ncolour = red\nrestore = 300ms\n");
    CPPUNIT_ASSERT_MESSAGE(Ok(read) ? "" : ToString(ErrorOf(read)), Ok(read));
    const std::vector<std::string> ignored{"[capacity] disk_mb", "[machines] backup", "[terms] colour"};
    CPPUNIT_ASSERT(ignored == ValueOf(read).m_ignored);
    CPPUNIT_ASSERT(ValueOf(read).m_terms.m_restore == Millis{300});
  }

  void UnknownKeysOfOurOwnAreErrors() {
    CheckWrong("colour", std::string(kNode) + "colour = red\n" + kStore);
    CheckWrong("colour", std::string(kNode) + kStore + "colour = red\n");
    CheckWrong("colour", std::string(kNode) + kStore + "[log]\ncolour = red\n");
    CheckWrong("colour", std::string(kNode) + kStore + "[term]\ncolour = red\n");
    CheckWrong("colour", "colour = red\n" + std::string(kNode) + kStore);
    CheckWrong("terms.colour", std::string(kNode) + kStore + "[node]\nterms.colour = red\n");
  }

 private:
  static Settled<NodeSettings> Read(const std::string& text) {
    std::istringstream in(text);
    return ParseNodeSettings("node.ini", in);
  }

  static void CheckWrong(const std::string& key, const std::string& text) {
    const auto read = Read(text);
    CPPUNIT_ASSERT_MESSAGE(text, !Ok(read));
    CPPUNIT_ASSERT_EQUAL(key, ErrorOf(read).m_key);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NodeSettingsTest);

}  // namespace
}  // namespace hickoryquay::settings
