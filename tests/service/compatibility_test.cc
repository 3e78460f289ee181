// Rows and messages of 866e3a2 and of today, read and written both ways. Uses nothing that 866e3a2 lacks: built there,
// the same test shows what that version reads.

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <thread>

#include "hickoryquay/inner/channel.h"
#include "hickoryquay/service/table_names.h"
#include "tests/service/compatibility_changes.h"
#include "tests/service/compatibility_records.h"
#include "tests/service/compatibility_samples.h"

namespace hickoryquay::service {
namespace {

using boost::asio::ip::tcp;
using recorded::Record;

template <typename Row>
std::string Again(const Parsed<Row>& row) {
  return Ok(row) ? Write(ValueOf(row)) : "can't be read: " + ErrorOf(row).m_field + " " + ErrorOf(row).m_message;
}

// Units of the short forms are read behind the others.
std::string Again(Parsed<jobs::StepRow> row) {
  if (!Ok(row)) return Again<jobs::StepRow>(row);
  jobs::StepRow sorted = TakeValue(std::move(row));
  std::sort(sorted.m_units.begin(), sorted.m_units.end(),
            [](const jobs::UnitRow& a, const jobs::UnitRow& b) { return a.m_first < b.m_first; });
  return Write(sorted);
}

// Reads a row of the kind that the name ends in, and writes it again.
std::string ReadAndWrite(std::string_view name, std::string_view text) {
  if (name.ends_with("job")) return Again(jobs::ReadAcceptedJob(JobId{0x1f}, text));
  if (name.ends_with("step")) return Again(jobs::ReadStepRow({{JobId{0x1f}, 0, 0}, 0}, text));
  if (name.ends_with("leader")) return Again(ReadLeaderRow(text));
  return Again(jobs::ReadPhaseRow(text));
}

std::string FromHex(std::string_view digits) {
  std::string bytes;
  for (std::size_t i = 0; i + 1 < digits.size(); i += 2) {
    bytes.push_back(static_cast<char>(std::stoi(std::string(digits.substr(i, 2)), nullptr, 16)));
  }
  return bytes;
}

std::string ToHex(std::string_view bytes) {
  std::string digits;
  for (const char byte : bytes) {
    digits.push_back("0123456789abcdef"[static_cast<unsigned char>(byte) >> 4]);
    digits.push_back("0123456789abcdef"[static_cast<unsigned char>(byte) & 15]);
  }
  return digits;
}

std::string BodyOf(const Record& record) {
  return FromHex(record.m_bytes).substr(inner::kLengthBytes);
}

class CompatibilityTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CompatibilityTest);
  CPPUNIT_TEST(RowsAreWrittenAsBefore);
  CPPUNIT_TEST(RowsOfBeforeAreRead);
  CPPUNIT_TEST(EveryFieldOfAStepIsRead);
  CPPUNIT_TEST(UnknownFieldsOfRowsAreIgnored);
  CPPUNIT_TEST(KeysAreAsBefore);
  CPPUNIT_TEST(MessagesAreWrittenAsBefore);
  CPPUNIT_TEST(MessagesOfBeforeAreRead);
  CPPUNIT_TEST(UnknownFieldsOfMessagesAreIgnored);
  CPPUNIT_TEST(EachFieldOfAMessageMayBeAbsent);
  CPPUNIT_TEST(UnknownMessageIsAnsweredUnsupported);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against rows that an instance of the version before reads otherwise, or not at all.
  void RowsAreWrittenAsBefore() {
    const auto rows = samples::Rows();
    CPPUNIT_ASSERT_EQUAL(std::size(recorded::kRows), rows.size());
    for (std::size_t i = 0; i < rows.size(); ++i) {
      CPPUNIT_ASSERT_EQUAL(std::string(recorded::kRows[i].m_name), rows[i].first);
      CPPUNIT_ASSERT_EQUAL(std::string(recorded::kRows[i].m_bytes), rows[i].second);
    }
  }

  void RowsOfBeforeAreRead() {
    for (const Record& row : recorded::kRows) {
      CPPUNIT_ASSERT_EQUAL(std::string(row.m_bytes), ReadAndWrite(row.m_name, row.m_bytes));
    }
  }

  // What writing it again can't show: units come in another order, and the start of a worker is written once.
  void EveryFieldOfAStepIsRead() {
    const auto read = jobs::ReadStepRow({{JobId{0x1f}, 0, 0}, 0}, samples::Rows()[2].second);
    CPPUNIT_ASSERT(Ok(read));
    const std::vector<jobs::UnitRow> written = samples::FullStep().m_units;
    CPPUNIT_ASSERT_EQUAL(written.size(), ValueOf(read).m_units.size());
    for (const jobs::UnitRow& unit : ValueOf(read).m_units) {
      const jobs::UnitRow& same = written[static_cast<std::size_t>(unit.m_first)];
      CPPUNIT_ASSERT(same.m_run == unit.m_run && same.m_done == unit.m_done);
      CPPUNIT_ASSERT(same.m_failed_runs == unit.m_failed_runs && same.m_crashes == unit.m_crashes);
      CPPUNIT_ASSERT_EQUAL(same.m_checkpoint, unit.m_checkpoint);
      CPPUNIT_ASSERT_EQUAL(same.m_members.size(), unit.m_members.size());
      for (std::size_t i = 0; i < unit.m_members.size(); ++i) {
        CPPUNIT_ASSERT(same.m_members[i].m_worker == unit.m_members[i].m_worker);
        CPPUNIT_ASSERT_EQUAL(same.m_members[i].m_address, unit.m_members[i].m_address);
        CPPUNIT_ASSERT(same.m_members[i].m_born == unit.m_members[i].m_born);
      }
    }
  }

  // Guards against a field that a later version adds making its rows unreadable here.
  void UnknownFieldsOfRowsAreIgnored() {
    for (const Record& row : recorded::kRows) {
      const std::string later = samples::WithUnknownFields(row.m_bytes);
      CPPUNIT_ASSERT(later.find("later") != std::string::npos);
      CPPUNIT_ASSERT_EQUAL(std::string(row.m_bytes), ReadAndWrite(row.m_name, later));
    }
  }

  void KeysAreAsBefore() {
    const JobId job{0x1f};
    const TableNames tables;
    CPPUNIT_ASSERT_EQUAL(std::string(recorded::kCancel[0]), tables.IntakePart(job));
    CPPUNIT_ASSERT_EQUAL(std::string(recorded::kCancel[1]), CancelRowKey(job));
    CPPUNIT_ASSERT_EQUAL(std::string("j/000000000000001f"), JobRowKey(job));
    CPPUNIT_ASSERT_EQUAL(std::string("000000000000001f"), jobs::HexText(job));
    const std::pair<const char*, jobs::StepRowKey> keys[] = {{"000000000000001f.0.0", {{job, 0, 0}, 0}},
                                                             {"000000000000001f.3.0/1", {{job, 3, 0}, 1}}};
    for (const auto& [text, key] : keys) {
      CPPUNIT_ASSERT_EQUAL(std::string(text), jobs::ToText(key));
      CPPUNIT_ASSERT(jobs::ParseStepRowKey(text) == key);
    }
  }

  // Guards against messages that an instance of the version before reads otherwise, or not at all.
  void MessagesAreWrittenAsBefore() {
    const auto messages = samples::Messages();
    CPPUNIT_ASSERT_EQUAL(std::size(recorded::kMessages), messages.size());
    for (std::size_t i = 0; i < messages.size(); ++i) {
      CPPUNIT_ASSERT_EQUAL(std::string(recorded::kMessages[i].m_name), messages[i].first);
      const std::string bytes = inner::Encode({inner::kProtocol, 77, false, messages[i].second});
      CPPUNIT_ASSERT_EQUAL_MESSAGE(messages[i].first, std::string(recorded::kMessages[i].m_bytes), ToHex(bytes));
    }
  }

  void MessagesOfBeforeAreRead() {
    for (std::size_t i = 0; i < std::size(recorded::kMessages); ++i) CheckRead(i, BodyOf(recorded::kMessages[i]));
  }

  // Guards against a field that a later version adds making its messages unreadable here.
  void UnknownFieldsOfMessagesAreIgnored() {
    for (std::size_t i = 0; i < std::size(recorded::kMessages); ++i) {
      const std::string body = BodyOf(recorded::kMessages[i]);
      samples::StructCopy same(body);
      CPPUNIT_ASSERT_EQUAL(ToHex(body), ToHex(same.Run()));
      samples::StructCopy copy(body);
      copy.AddUnknown();
      CheckRead(i, copy.Run());
    }
  }

  // Guards against a field that is required: a version that does not have it yet would send bad frames.
  void EachFieldOfAMessageMayBeAbsent() {
    for (const Record& record : recorded::kMessages) {
      samples::StructCopy whole(BodyOf(record));
      whole.Run();
      for (int field = 0; field < whole.Fields(); ++field) {
        samples::StructCopy copy(BodyOf(record));
        copy.LeaveOut(field);
        const auto read = inner::Decode(copy.Run());
        CPPUNIT_ASSERT_MESSAGE(record.m_name + std::string(" without field ") + std::to_string(field), Ok(read));
      }
    }
  }

  // Guards against a message of a later version ending the connection, and with it the calls that wait there.
  void UnknownMessageIsAnsweredUnsupported() {
    boost::asio::io_context io;
    inner::InnerServer server(&io, {"127.0.0.1", 0},
                              [](inner::Message message, const inner::Answer& answer) { answer(std::move(message)); });
    std::thread thread([&io] { io.run(); });
    tcp::socket socket(io);
    socket.connect({boost::asio::ip::address_v4::loopback(), server.Local().m_port});
    Send(&socket, samples::UnknownMessage());
    const inner::Frame refused = Receive(&socket);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{7}, refused.m_id);
    const auto* unsupported = std::get_if<inner::wire::Unsupported>(&refused.m_message);
    CPPUNIT_ASSERT(unsupported != nullptr);
    CPPUNIT_ASSERT_EQUAL(inner::kProtocol, unsupported->protocol);
    Send(&socket, BodyOf(recorded::kMessages[3]));
    CPPUNIT_ASSERT(Receive(&socket).m_message == samples::Messages()[3].second);
    io.stop();
    thread.join();
  }

 private:
  static void CheckRead(std::size_t index, const std::string& body) {
    const auto read = inner::Decode(body);
    const auto expected = samples::Messages()[index];
    CPPUNIT_ASSERT_MESSAGE(expected.first, Ok(read));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{77}, ValueOf(read).m_id);
    CPPUNIT_ASSERT_MESSAGE(expected.first, ValueOf(read).m_message == expected.second);
  }

  static void Send(tcp::socket* socket, const std::string& body) {
    const std::string length{'\0', '\0', '\0', static_cast<char>(body.size())};
    boost::asio::write(*socket, boost::asio::buffer(length + body));
  }

  static inner::Frame Receive(tcp::socket* socket) {
    std::array<unsigned char, inner::kLengthBytes> length{};
    boost::asio::read(*socket, boost::asio::buffer(length));
    std::string body(length.back(), '\0');
    boost::asio::read(*socket, boost::asio::buffer(body));
    const auto read = inner::Decode(body);
    CPPUNIT_ASSERT(Ok(read));
    return ValueOf(read);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CompatibilityTest);

}  // namespace
}  // namespace hickoryquay::service
