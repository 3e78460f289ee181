#include "hickoryquay/base/line_output.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <string>

#include "hickoryquay/base/log.h"

namespace hickoryquay::log {
namespace {

constexpr std::size_t kLineBytes = 100;

class LineOutputTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LineOutputTest);
  CPPUNIT_TEST(LinesArriveWhole);
  CPPUNIT_TEST(ReaderThatStopsNeverBlocksTheWriter);
  CPPUNIT_TEST(ReaderThatIsGoneDoesNotEndTheProcess);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    CPPUNIT_ASSERT_EQUAL(0, ::pipe(m_pipe));
    ::fcntl(m_pipe[0], F_SETFL, O_NONBLOCK);
  }
  void tearDown() override {
    ::close(m_pipe[0]);
    ::close(m_pipe[1]);
  }

  void LinesArriveWhole() {
    LineOutput output(m_pipe[1]);
    std::ostream stream(&output);
    stream << "one " << 1 << '\n' << "two" << std::endl << "unfinished";
    CPPUNIT_ASSERT_EQUAL(std::string("one 1\ntwo\n"), ReadAll());
  }

  // A pipe that nobody reads takes 64 KB; the writer writes ten times what fits into it and the buffer.
  void ReaderThatStopsNeverBlocksTheWriter() {
    LineOutput output(m_pipe[1]);
    std::ostream stream(&output);
    const std::string line(kLineBytes - 1, 'x');
    const std::size_t lines = 10 * LineOutput::kMaxPending / kLineBytes;
    for (std::size_t i = 0; i < lines; ++i) stream << line << '\n';
    CPPUNIT_ASSERT(output.LeftOut() > 0);
    std::string read;
    for (std::string more = ReadAll(); !more.empty(); more = ReadAll()) {
      read += more;
      stream.flush();
    }
    stream << "last\n";
    read += ReadAll();
    CPPUNIT_ASSERT(read.find("Lines were left out, nobody reads them\",\"lines\":" +
                             std::to_string(output.LeftOut())) != std::string::npos);
    const auto whole = static_cast<std::size_t>(std::count(read.begin(), read.end(), '\n'));
    CPPUNIT_ASSERT(whole < lines);
    CPPUNIT_ASSERT(read.ends_with("last\n"));
  }

  // Guards against an instance that ends because whoever read its log has ended.
  void ReaderThatIsGoneDoesNotEndTheProcess() {
    ::close(m_pipe[0]);
    for (const bool standard_output : {true, false}) {
      const pid_t child = ::fork();
      if (child == 0) {
        std::signal(SIGPIPE, SIG_DFL);
        ::dup2(m_pipe[1], standard_output ? STDOUT_FILENO : STDERR_FILENO);
        Settings settings;
        settings.m_standard_output = standard_output;
        Configure(settings);
        for (int line = 0; line < 3; ++line) Info(Part{"test"}, "nobody reads this");
        ::_exit(0);
      }
      int status = 0;
      CPPUNIT_ASSERT_EQUAL(child, ::waitpid(child, &status, 0));
      CPPUNIT_ASSERT(WIFEXITED(status));
    }
  }

 private:
  std::string ReadAll() {
    std::string all;
    char buffer[4096];
    for (ssize_t got = 1; got > 0;) {
      got = ::read(m_pipe[0], buffer, sizeof(buffer));
      if (got > 0) all.append(buffer, static_cast<std::size_t>(got));
    }
    return all;
  }

  int m_pipe[2] = {-1, -1};
};

CPPUNIT_TEST_SUITE_REGISTRATION(LineOutputTest);

}  // namespace
}  // namespace hickoryquay::log
