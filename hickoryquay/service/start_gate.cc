#include "hickoryquay/service/start_gate.h"

#include <algorithm>
#include <utility>

#include "hickoryquay/base/log.h"

namespace hickoryquay::service {

namespace {

constexpr log::Part kLog{"driver"};

}  // namespace

StartGate::StartGate(const StartGateParts& parts, const StartTerms& terms, Instant term_began)
    : m_parts(parts),
      m_terms(terms),
      m_term_began(term_began),
      m_views_old(&parts.m_metrics->GetCounter("hq_views_old_total")) {}

// A feed that leaves changes out is still answered in time; the leader's own writes tell. The table was whole when the
// term began.
Instant StartGate::CompleteAt(const store::KnownUpTo& known) const {
  return m_parts.m_writes->CompleteAt(known.m_version, known.m_at).value_or(m_term_began);
}

bool StartGate::IsRecent(Instant intake) const {
  const StartView view{intake, CompleteAt(m_parts.m_workers->KnownOfAll())};
  return view.MayStart(m_terms, m_parts.m_clock->Now());
}

bool StartGate::MayStart() const {
  return MayStartAll() || std::any_of(m_parts.m_intake_parts.begin(), m_parts.m_intake_parts.end(),
                                      [this](const std::string& part) { return IsRecent(CompleteAt(part)); });
}

std::set<std::string> StartGate::OldParts() const {
  std::set<std::string> old;
  const Instant now = m_parts.m_clock->Now();
  for (const std::string& part : m_parts.m_intake_parts) {
    if (now - CompleteAt(part) > m_terms.LongestIntakeAge()) old.insert(part);
  }
  return old;
}

jobs::JobFilter StartGate::Startable() const {
  if (MayStartAll()) return {};
  if (!MayStart()) return [](JobId) { return false; };
  return [earlier = m_parts.m_earlier_jobs, old = OldParts()](JobId job) {
    const std::vector<std::string> parts = earlier->PartsOf(job);
    return std::none_of(parts.begin(), parts.end(), [&old](const std::string& part) { return old.contains(part); });
  };
}

StartView StartGate::View() const {
  return {CompleteAtAll(), CompleteAt(m_parts.m_workers->KnownOfAll())};
}

void StartGate::LogChanges() {
  const bool holds_all = !MayStart();
  std::set<std::string> old_parts = MayStartAll() ? std::set<std::string>() : OldParts();
  if (holds_all == m_holds_all && (holds_all || old_parts == m_old_parts)) return;
  const Instant now = m_parts.m_clock->Now();
  const StartView view = View();
  if (holds_all && !m_holds_all) m_views_old->Add();
  std::string names;
  for (const std::string& part : old_parts) names += (names.empty() ? "" : " ") + part;
  log::Info(kLog,
            holds_all           ? "What is known is too old, starts wait"
            : old_parts.empty() ? "Starts go on"
                                : "What is known of some parts is too old, starts of their jobs wait",
            {{"parts", names},
             {"intake_age_ms", std::to_string((now - view.m_intake).count())},
             {"list_age_ms", std::to_string((now - view.m_workers).count())}});
  m_holds_all = holds_all;
  m_old_parts = std::move(old_parts);
}

}  // namespace hickoryquay::service
