// RunLoop: the event loop of a thread, which outlives the handlers that fail.
#pragma once

#include <boost/asio/io_context.hpp>

namespace hickoryquay {

// Runs `io` until it is stopped or out of work. An exception that a handler lets through ends that handler only and is
// logged: one message that nobody thought of must not end a process, and return to the next one that gets it.
void RunLoop(boost::asio::io_context* io);

}  // namespace hickoryquay
