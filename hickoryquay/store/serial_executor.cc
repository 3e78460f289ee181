#include "hickoryquay/store/serial_executor.h"

#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <utility>

namespace hickoryquay::store {

SerialExecutor MakeStrand(boost::asio::io_context* io) {
  auto strand = boost::asio::make_strand(*io);
  return [strand](std::function<void()> task) { boost::asio::post(strand, std::move(task)); };
}

}  // namespace hickoryquay::store
