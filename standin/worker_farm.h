// WorkerFarm: the workers of one failure domain behind one HTTP port, each under a path of its own.
#pragma once

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "hickoryquay/base/timer_service.h"
#include "hickoryquay/net/http.h"
#include "standin/worker_model.h"

namespace hickoryquay::standin {

// Thread-safe.
class WorkerFarm {
 public:
  enum class Mode {
    kHealthy,
    kPaused,     // Does nothing; calls wait and are handled, late, when it goes on.
    kBlackHole,  // Handles every call, answers none.
    kFailsAll,   // Every task it starts fails.
    kDead,       // Closes every connection; its tasks are gone.
  };

  WorkerFarm(boost::asio::io_context* io, TimerService* timers, const Clock* clock, RunLog* log);

  void Add(const Worker& worker);
  bool SetMode(const std::string& worker, Mode mode);  // False where nobody has that id.
  net::Endpoint Local() const { return m_server.Local(); }
  static std::string PathOf(const WorkerId& worker) { return "/workers/" + worker.m_value; }

 private:
  struct Waiting {
    net::HttpRequest m_request;
    net::Responder m_respond;
  };
  struct Slot {
    std::unique_ptr<WorkerModel> m_model;
    Mode m_mode = Mode::kHealthy;
    std::vector<Waiting> m_waiting;  // While paused.
  };

  void Handle(net::HttpRequest request, const net::Responder& respond);
  void Run(Slot* slot, const net::HttpRequest& request, const net::Responder& respond);
  void Tick();

  const Clock* m_clock;
  RunLog* m_log;
  std::mutex m_mutex;
  std::map<std::string, Slot> m_slots;  // By path; guarded by m_mutex.
  net::HttpServer m_server;
  Subscription m_tick;
};

}  // namespace hickoryquay::standin
