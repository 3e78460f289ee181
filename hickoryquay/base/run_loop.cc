#include "hickoryquay/base/run_loop.h"

#include <exception>

#include "hickoryquay/base/log.h"

namespace hickoryquay {

namespace {

constexpr log::Part kLog{"loop"};

}  // namespace

void RunLoop(boost::asio::io_context* io) {
  for (;;) {
    try {
      io->run();
      return;
    } catch (const std::exception& error) {
      log::Error(kLog, "Handler failed", {{"why", error.what()}});
    } catch (...) {
      log::Error(kLog, "Handler failed", {{"why", "unknown exception"}});
    }
  }
}

}  // namespace hickoryquay
