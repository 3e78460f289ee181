#include "hickoryquay/service/part_watch.h"

#include <algorithm>
#include <utility>

#include "hickoryquay/base/log.h"

namespace hickoryquay::service {

namespace {

constexpr log::Part kLog{"intake"};

}  // namespace

PartWatch::PartWatch(store::RowStore* store, TimerService* timers, const Clock* clock,
                     const PartWatchSettings& settings)
    : m_store(store), m_timers(timers), m_clock(clock), m_settings(settings) {}

Instant PartWatch::LastAnswer() const {
  return std::max(m_last_answer, m_contact());
}

Millis PartWatch::SilentFor(const StorePart& part) const {
  const Instant now = m_clock->Now();
  if (AllSilent()) return now - std::max(LastAnswer(), m_first_silence);
  const auto found = m_silent.find(part);
  return found == m_silent.end() ? Millis{0} : now - found->second;
}

void PartWatch::Check(const StorePart& part, Millis longest, std::function<void(bool)> then) {
  if (AllSilent()) Add(part, m_last_silence);  // To learn when it is back.
  if (IsSilent(part)) return then(false);
  const Millis recent =
      std::clamp(m_settings.m_recent_calls * m_call_time, m_settings.m_recent, m_settings.m_longest_recent);
  if (m_clock->Now() - LastAnswer() <= recent) return then(true);
  const auto once = [shared = std::make_shared<std::function<void(bool)>>(std::move(then))](bool answers) {
    if (*shared) std::exchange(*shared, nullptr)(answers);
  };
  if (longest < m_settings.m_probe_timeout) m_timers->After(longest, [once] { once(false); }).Detach();
  Probe(part, once);
}

void PartWatch::Probe(const StorePart& part, std::function<void(bool)> then) {
  ++m_probes_pending;
  m_store->Read({part.m_table, part.m_part, "", ""}, 1, m_settings.m_probe_timeout,
                [self = shared_from_this(), part, sent = m_clock->Now(),
                 then = std::move(then)](const Result<store::RowPage, store::ReadError>& page) {
                  --self->m_probes_pending;
                  Ok(page) ? self->NoteAnswer(part, sent)
                           : self->NoteSilence(part, sent, self->m_settings.m_probe_timeout);
                  then(!self->IsSilent(part));
                });
}

void PartWatch::ProbeSilentParts(std::size_t most) {
  for (std::size_t i = 0; i < std::min(most, m_silent.size()); ++i) {
    auto next = m_silent.upper_bound(m_last_probed);
    if (next == m_silent.end()) next = m_silent.begin();
    m_last_probed = next->first;
    Probe(m_last_probed, [](bool) {});
  }
}

void PartWatch::ScheduleProbes() {
  const Millis age = m_clock->Now() - m_first_silence;
  const Millis wanted{static_cast<std::int64_t>(m_settings.m_probe_share * static_cast<double>(age.count()))};
  const Millis interval = std::clamp(wanted, m_settings.m_probe_interval, m_settings.m_longest_probe_interval);
  m_probes = m_timers->After(interval, [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (!self) return;
    self->ProbeSilentParts(self->m_settings.m_probes_at_once);
    self->ScheduleProbes();
  });
}

void PartWatch::NoteAnswer(const StorePart& part, Instant sent) {
  m_last_answer = m_clock->Now();
  m_call_time = m_last_answer - sent;
  m_answered[part] = m_last_answer;
  const auto silence = m_silent.find(part);
  if (silence == m_silent.end()) return;
  if (std::exchange(m_reported_away, false)) log::Info(kLog, "Store answers again");
  log::Info(kLog, "Part of the store answers again",
            {{"table", part.m_table},
             {"table_part", part.m_part},
             {"after_ms", std::to_string((m_last_answer - silence->second).count())}});
  m_silent.erase(silence);
  m_silent.empty() ? m_probes.Cancel() : ProbeSilentParts(m_silent.size());
  if (m_on_back) m_on_back();
}

void PartWatch::NoteSilence(const StorePart& part, Instant sent, Millis limit) {
  const auto answered = m_answered.find(part);
  if (answered != m_answered.end() && answered->second > sent) return;
  if (m_clock->Now() - sent <= limit + m_settings.m_longest_late) return Add(part, sent);
  if (m_probes_pending == 0) Probe(part, [](bool) {});
}

void PartWatch::Add(const StorePart& part, Instant since) {
  if (m_silent.empty()) {
    m_first_silence = since;
    ScheduleProbes();
  }
  if (!m_silent.emplace(part, since).second) return;
  m_last_silence = std::max(m_last_silence, since);
  log::Warn(kLog, "Part of the store does not answer", {{"table", part.m_table}, {"table_part", part.m_part}});
  if (AllSilent() && !std::exchange(m_reported_away, true)) log::Warn(kLog, "Store is away, refusing new work");
  Probe(part, [](bool) {});
}

}  // namespace hickoryquay::service
