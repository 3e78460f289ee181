// RunLoop: the event loop of a thread, which outlives the handlers that fail.
#pragma once

#include <boost/asio/io_context.hpp>

namespace hickoryquay {

// Runs `io` until it is stopped or out of work. An exception that a handler lets through ends that handler only and is
// logged. A message that makes a handler throw is sent again, and would end one process after the other.
void RunLoop(boost::asio::io_context* io);

}  // namespace hickoryquay
