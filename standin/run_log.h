// RunLog: what really ran, as the workers and backend servers saw it. The demo's verdict reads this, not our own
// account.
#pragma once

#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

#include "hickoryquay/base/clock.h"

namespace hickoryquay::standin {

struct RunRecord {
  Instant m_at;         // Wall time.
  std::string m_what;   // "start", "finish", "fail", "stop", "checkpoint", "lapse", "request".
  std::string m_where;  // Worker or backend server.
  std::string m_job;    // Job id, or the idempotency key of a request.
  std::uint64_t m_attempt = 0;
  int m_tasks = 0;
  std::string m_detail;
};

// Thread-safe.
class RunLog {
 public:
  void Add(RunRecord record);
  std::string JsonLines() const;  // One object a line, in order.

 private:
  mutable std::mutex m_mutex;
  std::vector<RunRecord> m_records;
};

}  // namespace hickoryquay::standin
