#include "hickoryquay/base/run_loop.h"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <stdexcept>

namespace hickoryquay {
namespace {

class RunLoopTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RunLoopTest);
  CPPUNIT_TEST(HandlerThatThrowsEndsAlone);
  CPPUNIT_TEST(ReturnsWhenStopped);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against one unexpected error taking a whole process down.
  void HandlerThatThrowsEndsAlone() {
    boost::asio::io_context io{1};
    int after = 0;
    boost::asio::post(io, [] { throw std::out_of_range("malformed"); });
    boost::asio::post(io, [&] { ++after; });
    boost::asio::post(io, [] { throw 7; });
    boost::asio::post(io, [&] { ++after; });
    RunLoop(&io);
    CPPUNIT_ASSERT_EQUAL(2, after);
  }

  void ReturnsWhenStopped() {
    boost::asio::io_context io{1};
    const auto work = boost::asio::make_work_guard(io);
    boost::asio::post(io, [&io] {
      io.stop();
      throw std::runtime_error("after the stop");
    });
    RunLoop(&io);
    CPPUNIT_ASSERT(io.stopped());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunLoopTest);

}  // namespace
}  // namespace hickoryquay
