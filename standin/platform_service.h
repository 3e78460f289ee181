// PlatformService: table service and object store over HTTP, with their caps and faults.
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "hickoryquay/base/timer_service.h"
#include "hickoryquay/net/http.h"
#include "standin/faults.h"
#include "standin/table_engine.h"

namespace hickoryquay::standin {

// Calls admitted in the current second; a second's worth of room, no credit carried over.
class RateCap {
 public:
  explicit RateCap(int per_s) : m_per_s(per_s) {}
  bool Admit(Instant now);
  std::uint64_t Total() const { return m_total; }

 private:
  int m_per_s;
  std::int64_t m_second = -1;
  int m_used = 0;
  std::uint64_t m_total = 0;
};

// Thread-safe.
class PlatformService {
 public:
  PlatformService(int writes_per_s, int reads_per_s, const Clock* clock, TimerService* timers, const Faults* faults)
      : m_clock(clock), m_timers(timers), m_faults(faults), m_writes(writes_per_s), m_reads(reads_per_s) {}

  // Answers /table/... and /objects/...; returns false for any other path.
  bool Handle(const net::HttpRequest& request, const net::Responder& respond);

  // {"table_reads", "table_writes"} so far, for measurements.
  std::string CountersJson() const;

 private:
  net::HttpResponse Answer(const net::HttpRequest& request, const net::Target& target, bool* lost);
  net::HttpResponse GetRow(const net::Target& target);
  net::HttpResponse Scan(const net::Target& target);
  net::HttpResponse Submit(const net::HttpRequest& request, bool* lost);
  net::HttpResponse Object(const net::HttpRequest& request, const std::string& name);

  const Clock* m_clock;
  TimerService* m_timers;
  const Faults* m_faults;
  mutable std::mutex m_mutex;
  TableEngine m_engine;  // Guarded by m_mutex, as all below.
  std::map<std::string, std::string> m_objects;
  RateCap m_writes;
  RateCap m_reads;
};

}  // namespace hickoryquay::standin
