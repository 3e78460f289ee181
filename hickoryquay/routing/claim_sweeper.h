// ClaimSweeper: removes claims that no caller will repeat any more, so that the table does not grow for ever.
#pragma once

#include <memory>
#include <string>

#include "hickoryquay/base/clock.h"
#include "hickoryquay/base/timer_service.h"
#include "hickoryquay/store/table.h"

namespace hickoryquay::routing {

struct SweepSettings {
  Millis m_retention{7 * 24 * 3'600 * 1'000};  // A key repeated later than this may run again.
  Millis m_page_every{30'000};                 // One page is read, and one commit made, in this time.
  int m_page_rows = 100;
};

// Walks through all claims, page by page, for as long as it lives. Every entry instance may have one: deletes are
// checked by version, so that they do no harm to each other. Thread-safe.
class ClaimSweeper {
 public:
  ClaimSweeper(store::Table* table, TimerService* timers, const Clock* clock, const SweepSettings& settings);
  ~ClaimSweeper();

 private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
  Subscription m_timer;
};

}  // namespace hickoryquay::routing
