// The story of one job out of the logs of all instances.
#include "hickoryquay/operators/log_story.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <sstream>

#include "daemons/hqctl/app.h"
#include "daemons/hqctl/options.h"

namespace hickoryquay::operators {
namespace {

constexpr const char* kJob = "681143a3b14eb366";

std::string Line(const std::string& second, const std::string& part, const std::string& text,
                 const std::string& fields) {
  return R"({"time":"2026-02-12T23:49:)" + second + R"(Z","level":"I","part":")" + part + R"(","text":")" + text +
         "\"" + (fields.empty() ? "" : "," + fields) + "}\n";
}

const std::string kOfJob = std::string(R"("job":")") + kJob + "\"";
const std::string kOfTask = std::string(R"("task":")") + kJob + R"(.0.0.0","worker":"w1")";

std::string Accepted() {
  return Line("10.000", "intake", "Submission answered", kOfJob + R"(,"outcome":"stored")");
}
std::string TakenIn() {
  return Line("10.010", "scheduler", "Job taken in", kOfJob);
}
std::string Ended() {
  return Line("14.000", "scheduler", "Job ended", kOfJob + R"(,"phase":"completed")");
}

std::vector<LogLine> Read(const std::string& source, const std::string& text) {
  std::vector<LogLine> lines;
  std::istringstream input(text);
  CPPUNIT_ASSERT_EQUAL(0, AddLines(source, input, &lines));
  return lines;
}

std::vector<LogLine> Both(std::vector<LogLine> a, const std::vector<LogLine>& b) {
  a.insert(a.end(), b.begin(), b.end());
  return a;
}

class LogStoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LogStoryTest);
  CPPUNIT_TEST(LinesOfAllInstancesComeInOrder);
  CPPUNIT_TEST(OtherJobsAreLeftOut);
  CPPUNIT_TEST(WorkersOfTheJobTellMeanwhile);
  CPPUNIT_TEST(MissingEndIsNamed);
  CPPUNIT_TEST(SilenceAndLinesLeftOutAreNamed);
  CPPUNIT_TEST(RefusedJobNeedsNoEnd);
  CPPUNIT_TEST(NamesInFrontOfLinesArePassedOver);
  CPPUNIT_TEST(WhatIsNoLogLineIsCounted);
  CPPUNIT_TEST(CommandLineTellsTheStory);
  CPPUNIT_TEST(CommandLineNamesWhatIsWrong);
  CPPUNIT_TEST_SUITE_END();

 public:
  void LinesOfAllInstancesComeInOrder() {
    const Story story = TellStory(kJob, Both(Read("leader", TakenIn() + Ended()), Read("front", Accepted())));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, story.m_lines.size());
    CPPUNIT_ASSERT_EQUAL(std::string("front"), story.m_lines[0].m_line.m_source);
    CPPUNIT_ASSERT_EQUAL(std::string("Job ended"), story.m_lines[2].m_line.m_text);
    CPPUNIT_ASSERT(story.m_lines[2].m_since == Millis{4'000});
    CPPUNIT_ASSERT(story.m_gaps.empty());
  }

  // One whose id begins with the other's does not exist, but tasks do.
  void OtherJobsAreLeftOut() {
    const std::string other = Line("11.000", "runs", "Run ended", R"("task":"681143a3b14eb367.0.0.0")");
    const Story story = TellStory(kJob, Read("a", Accepted() + TakenIn() + other + Ended()));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, story.m_lines.size());
    CPPUNIT_ASSERT(TellStory("0000000000000001", Read("a", Accepted())).m_lines.empty());
  }

  void WorkersOfTheJobTellMeanwhile() {
    const std::string placed = Line("10.020", "placement", "Run placed", kOfTask);
    const std::string lost = Line("12.000", "workers", "Worker does not answer", R"("worker":"w1")");
    const std::string elsewhere = Line("12.000", "workers", "Worker does not answer", R"("worker":"w2")");
    const std::string store = Line("12.500", "intake", "Store is away, refusing new work", "");
    const Story story =
        TellStory(kJob, Read("a", Accepted() + TakenIn() + placed + lost + elsewhere + store + Ended()));
    CPPUNIT_ASSERT_EQUAL(std::size_t{6}, story.m_lines.size());
    CPPUNIT_ASSERT(!story.m_lines[3].m_of_job);
    CPPUNIT_ASSERT_EQUAL(std::string("Store is away, refusing new work"), story.m_lines[4].m_line.m_text);
  }

  void MissingEndIsNamed() {
    const Story story = TellStory(kJob, Read("a", TakenIn()));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, story.m_gaps.size());
    CPPUNIT_ASSERT_EQUAL(std::string("No line tells what its caller was answered."), story.m_gaps[0]);
    CPPUNIT_ASSERT_EQUAL(std::string("No line tells how it ended."), story.m_gaps[1]);
  }

  void SilenceAndLinesLeftOutAreNamed() {
    const std::string left_out = Line("12.000", "placement", "Lines were left out", R"("lines":"31")");
    const std::string late = Line("21.500", "scheduler", "Job ended", kOfJob);
    const Story story = TellStory(kJob, Read("front-1", Accepted() + TakenIn() + left_out + late));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, story.m_gaps.size());
    CPPUNIT_ASSERT_EQUAL(std::string("Nothing is told of it for 11.4 s before \"Job ended\"."), story.m_gaps[0]);
    CPPUNIT_ASSERT_EQUAL(std::string("31 lines of part placement were left out by front-1 meanwhile."),
                         story.m_gaps[1]);
  }

  void RefusedJobNeedsNoEnd() {
    const std::string refused = Line("10.000", "intake", "Submission answered", kOfJob + R"(,"outcome":"refused")");
    CPPUNIT_ASSERT(TellStory(kJob, Read("a", refused)).m_gaps.empty());
  }

  void NamesInFrontOfLinesArePassedOver() {
    const Story story = TellStory(kJob, Read("a", "   2.7007 front-2 " + Accepted() + "x: " + TakenIn() + Ended()));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, story.m_lines.size());
  }

  void WhatIsNoLogLineIsCounted() {
    std::vector<LogLine> lines;
    std::istringstream input("plain text\n{\"time\":\n{\"time\":\"noon\",\"text\":\"x\"}\n\n" + Accepted());
    CPPUNIT_ASSERT_EQUAL(3, AddLines("a", input, &lines));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, lines.size());
  }

  void CommandLineTellsTheStory() {
    const std::string path = "log_story_test.log";
    std::ofstream(path) << Accepted() << TakenIn() << Ended();
    std::ostringstream out;
    std::ostringstream errors;
    const int exit = hqctl::RunHqctl({"explain", kJob, "--logs", path}, {}, {out, errors});
    std::remove(path.c_str());
    CPPUNIT_ASSERT_EQUAL(errors.str(), std::string());
    CPPUNIT_ASSERT_EQUAL(0, exit);
    CPPUNIT_ASSERT(out.str().find("+4.000 s  log_story_test.log  scheduler: Job ended") != std::string::npos);
    CPPUNIT_ASSERT(out.str().find("phase=completed") != std::string::npos);
  }

  void CommandLineNamesWhatIsWrong() {
    const auto run = [](const std::vector<std::string>& arguments) {
      std::ostringstream out;
      std::ostringstream errors;
      const int exit = hqctl::RunHqctl(arguments, {}, {out, errors});
      return std::to_string(exit) + " " + errors.str().substr(0, errors.str().find('\n'));
    };
    CPPUNIT_ASSERT_EQUAL(std::string("2 hqctl: --logs: no-such-file can't be read"),
                         run({"explain", kJob, "--logs", "no-such-file"}));
    CPPUNIT_ASSERT_EQUAL(std::string("2 hqctl: --logs takes \"explain\" and the sixteen hexadecimal digits of a job"),
                         run({"explain", "12", "--logs", "no-such-file"}));
    CPPUNIT_ASSERT_EQUAL(std::string("2 hqctl: --logs takes \"explain\" and the sixteen hexadecimal digits of a job"),
                         run({"show", "jobs", "--logs", "no-such-file"}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogStoryTest);

}  // namespace
}  // namespace hickoryquay::operators
