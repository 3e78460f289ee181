// IoThreads: io_contexts, each run by a thread of its own. What stays on one of them needs no lock.
#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>
#include <vector>

namespace hickoryquay::net {

class IoThreads {
 public:
  // At least one thread is started.
  explicit IoThreads(int count);
  ~IoThreads();  // Stop().

  // In the order of their threads. They stay valid until this object ends.
  std::vector<boost::asio::io_context*> All() const;

  // Ends the threads behind the handler that each has in hand, then runs on this one what they still had to do, such as
  // closing sessions of another thread's. Not to be called on one of them.
  void Stop();

 private:
  struct Loop;

  std::vector<std::unique_ptr<Loop>> m_loops;
};

}  // namespace hickoryquay::net
