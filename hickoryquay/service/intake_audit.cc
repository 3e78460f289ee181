#include "hickoryquay/service/intake_audit.h"

#include <utility>

namespace hickoryquay::service {

IntakeAudit::IntakeAudit(store::RowStore* store, TimerService* timers, const Clock* clock,
                         const AuditSettings& settings, OnRows on_rows)
    : m_store(store), m_timers(timers), m_clock(clock), m_settings(settings), m_on_rows(std::move(on_rows)) {}

void IntakeAudit::Start() {
  m_next = m_timers->Every(m_settings.m_interval, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->ReadPage();
  });
}

void IntakeAudit::Stop() {
  m_stopped = true;
  m_next.Cancel();
}

void IntakeAudit::ReadPage() {
  if (m_stopped || std::exchange(m_reading, true)) return;
  m_store->Read({m_settings.m_table, m_settings.m_parts[m_part], m_from, ""}, m_settings.m_page_rows,
                m_settings.m_timeout, [weak = weak_from_this()](Result<store::RowPage, store::ReadError> page) {
                  const auto self = weak.lock();
                  if (!self || self->m_stopped) return;
                  self->m_reading = false;
                  Ok(page) ? self->OnPage(TakeValue(std::move(page))) : self->NextPart();
                });
}

// Also after a page that did not arrive: its part may be silent for long.
void IntakeAudit::NextPart() {
  m_from.clear();
  m_part = (m_part + 1) % m_settings.m_parts.size();
}

void IntakeAudit::OnPage(store::RowPage page) {
  store::StampPage(&page);
  if (page.m_more && !page.m_rows.empty()) {
    m_from = page.m_rows.back().m_key.m_key + '\0';
  } else {
    NextPart();
  }
  if (!page.m_rows.empty()) m_on_rows(page.m_rows);
}

}  // namespace hickoryquay::service
