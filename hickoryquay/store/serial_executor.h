// SerialExecutor: runs tasks one at a time and in order, so that an object's state needs no lock.
//
// Daemons use a strand of their io_context; tests run tasks from a queue of their own.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>

namespace hickoryquay::store {

// Never runs the task inside the call itself.
using SerialExecutor = std::function<void(std::function<void()>)>;

// Tasks run on the threads of `io`, which must outlive the executor.
SerialExecutor MakeStrand(boost::asio::io_context* io);

}  // namespace hickoryquay::store
