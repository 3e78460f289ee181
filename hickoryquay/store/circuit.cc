#include "hickoryquay/store/circuit.h"

#include <algorithm>

namespace hickoryquay::store {

bool Circuit::MaySend(Instant now) {
  if (!m_open) return true;
  if (now < m_next_probe) return false;
  m_next_probe = now + m_settings.m_probe_every;
  return true;
}

void Circuit::Succeeded() {
  m_failures = 0;
  m_open = false;
  m_retries = std::min(m_settings.m_retry_burst, m_retries + m_settings.m_retry_share);
}

void Circuit::Failed(Instant now) {
  ++m_failures;
  if (m_open || m_failures < m_settings.m_open_after) return;
  m_open = true;
  m_next_probe = now + m_settings.m_probe_every;
}

bool Circuit::TakeRetry() {
  if (m_retries < 1.0) return false;
  m_retries -= 1.0;
  return true;
}

}  // namespace hickoryquay::store
