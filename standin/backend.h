// Backend: one backend server with its slots, connections and faults.
//
// `work_ms` in the query of a request's target says how long it takes. The answer's body repeats the request's.
#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>

#include "hickoryquay/base/timer_service.h"
#include "hickoryquay/net/http.h"
#include "standin/run_log.h"

namespace hickoryquay::standin {

class Backend {
 public:
  enum class Mode {
    kHealthy,
    kLate,     // Adds kLateBy to every answer.
    kCrossed,  // Answers with the id of another request.
    kCut,      // Runs the request, then closes instead of answering.
    kHang,     // Runs the request and never answers.
    kRefuse,   // Answers 503, not run.
    kLeaving,  // Serves, and says that it is leaving.
  };

  Backend(boost::asio::io_context* io, TimerService* timers, const Clock* clock, RunLog* log, std::string id, int slots,
          int connections);

  void SetMode(Mode mode) { m_mode = mode; }
  net::Endpoint Local() const { return m_server.Local(); }
  const std::string& Id() const { return m_id; }

 private:
  void Handle(const net::HttpRequest& request, const net::Responder& respond);
  void Finish(const net::HttpRequest& request, const net::Responder& respond);
  net::HttpResponse Answer(const net::HttpRequest& request) const;
  net::HttpResponse NotRun(const net::HttpRequest& request) const;

  TimerService* m_timers;
  const Clock* m_clock;
  RunLog* m_log;
  std::string m_id;
  int m_slots;
  std::atomic<int> m_busy{0};
  std::atomic<Mode> m_mode{Mode::kHealthy};
  net::HttpServer m_server;
};

}  // namespace hickoryquay::standin
