// IntakeAudit: reads the table of accepted jobs again, page by page, all the time.
//
// The feed of a table names each change once. A row that it left out would stay unknown until the next leader reads the
// table. The audit compares what is accepted with what is known, so that such a row is found by the leader and not by
// its caller.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "hickoryquay/base/timer_service.h"
#include "hickoryquay/store/row_store.h"

namespace hickoryquay::service {

struct AuditSettings {
  std::string m_table;
  std::vector<std::string> m_parts;
  Millis m_interval{500};  // Between two pages.
  int m_page_rows = 40;    // Few, since other calls share the link.
  Millis m_timeout{1'000};
};

// Ends with its last owner. Not thread-safe.
class IntakeAudit : public std::enable_shared_from_this<IntakeAudit> {
 public:
  using OnRows = std::function<void(const std::vector<store::StoredRow>& rows)>;

  IntakeAudit(store::RowStore* store, TimerService* timers, const Clock* clock, const AuditSettings& settings,
              OnRows on_rows);

  void Start();
  void Stop();

 private:
  void ReadPage();
  void NextPart();
  void OnPage(store::RowPage page);

  store::RowStore* m_store;
  TimerService* m_timers;
  const Clock* m_clock;
  AuditSettings m_settings;
  OnRows m_on_rows;
  std::size_t m_part = 0;  // Index of the part of the next page.
  std::string m_from;      // First key of the next page.
  bool m_reading = false;
  bool m_stopped = false;
  Subscription m_next;
};

}  // namespace hickoryquay::service
