#include "hickoryquay/service/leader_beats.h"

#include <algorithm>
#include <utility>

#include "hickoryquay/base/log.h"

namespace hickoryquay::service {

namespace {

namespace wire = inner::wire;

constexpr log::Part kLog{"beats"};

}  // namespace

LeaderBeats::LeaderBeats(BeatParts parts, const BeatSettings& settings)
    : m_parts(std::move(parts)),
      m_settings(settings),
      m_random(m_parts.m_random_seed),
      m_sent_total(&m_parts.m_metrics->GetCounter("hq_leader_beats_sent_total")),
      m_silent_total(&m_parts.m_metrics->GetCounter("hq_leader_beats_unanswered_total")) {}

void LeaderBeats::Start() {
  m_timer = m_parts.m_timers->Every(m_settings.m_interval, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->Send();
  });
}

void LeaderBeats::Stop() {
  m_timer.Cancel();
  m_early.Cancel();
}

//-------------------------------------------------------------------------------------------------
// Sending
//-------------------------------------------------------------------------------------------------

void LeaderBeats::Begin() {
  m_sequence = 0;
  m_unsent.clear();
  m_answered_at.clear();
  Send();
}

void LeaderBeats::AddPhases(const std::vector<jobs::PhaseChange>& phases) {
  const Instant now = m_parts.m_clock->Now();
  for (const jobs::PhaseChange& change : phases) m_parts.m_phases->Set(change.m_job, change.m_phase, now);
  m_unsent.insert(m_unsent.end(), phases.begin(), phases.end());
  const bool ended = std::any_of(phases.begin(), phases.end(),
                                 [](const jobs::PhaseChange& change) { return jobs::Ended(change.m_phase); });
  if (!ended || m_early.Active()) return;
  const Millis passed = now - m_last_sent;
  if (passed >= Pause()) return Send();
  m_early = m_parts.m_timers->After(Pause() - passed, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->Send();
  });
}

Millis LeaderBeats::Pause() const {
  return m_peer_count <= m_settings.m_broadcast.m_max_direct ? Millis{0} : m_settings.m_pause;
}

void LeaderBeats::Send() {
  m_early.Cancel();
  const auto status = m_parts.m_status();
  if (!status) return;
  const Instant now = m_parts.m_clock->Now();
  wire::LeaderBeat beat;
  beat.__set_instance(m_parts.m_self.m_value);
  beat.__set_epoch(static_cast<std::int64_t>(Raw(status->m_epoch)));
  beat.__set_sequence(++m_sequence);
  beat.__set_ready(status->m_pending.has_value());
  std::vector<wire::PhaseChange> phases;
  for (const jobs::PhaseChange& change : std::exchange(m_unsent, {})) {
    wire::PhaseChange& phase = phases.emplace_back();
    phase.__set_job(static_cast<std::int64_t>(Raw(change.m_job)));
    phase.__set_phase(static_cast<std::int32_t>(change.m_phase));
  }
  beat.__set_phases(phases);
  std::map<std::string, std::int32_t> pending;
  for (const auto& [queue, count] : status->m_pending.value_or(std::map<jobs::QueueName, int>{}))
    pending[queue.m_value] = count;
  beat.__set_pending(pending);
  if (status->m_pending) m_parts.m_phases->SetPending(*status->m_pending, now);
  if (!status->m_may_have_earlier_rows) beat.__set_no_earlier_rows(true);
  m_parts.m_phases->SetEarlierRows(status->m_may_have_earlier_rows, now);
  m_parts.m_phases->NoteHeartbeat(now);
  JobMemory memory = status->m_job_memory;
  memory.m_parts = JobPartsFor(m_peer_count + 1, memory.m_limit_bytes);
  beat.__set_job_bytes_held(static_cast<std::int64_t>(memory.m_held_bytes));
  beat.__set_job_bytes_limit(static_cast<std::int64_t>(memory.m_limit_bytes));
  beat.__set_job_parts(memory.m_parts);
  std::map<std::string, std::int64_t> accounts;
  for (const auto& [account, bytes] : memory.m_accounts) accounts[account.m_value] = static_cast<std::int64_t>(bytes);
  if (!accounts.empty()) beat.__set_job_bytes_of_accounts(accounts);
  m_parts.m_phases->Room().OnReport(memory, now);
  SendToAll(beat);
}

void LeaderBeats::SendReleased(Epoch epoch) {
  wire::LeaderBeat beat;
  beat.__set_instance(m_parts.m_self.m_value);
  beat.__set_epoch(static_cast<std::int64_t>(Raw(epoch)));
  beat.__set_sequence(++m_sequence);
  beat.__set_released(true);
  SendToAll(beat);
}

double LeaderBeats::BestAnswering() const {
  double best = 0.0;
  const Instant now = m_parts.m_clock->Now();
  for (const peers::Peer& peer : m_parts.m_peers()) {
    const auto answered = m_answered_at.find(peer.m_inner);
    const bool answers = answered != m_answered_at.end() && now - answered->second <= m_settings.m_answered_within;
    if (answers && !peer.m_leaving) best = std::max(best, peer.m_fitness);
  }
  return best;
}

std::optional<net::Endpoint> LeaderBeats::LeaderEndpoint() const {
  for (const peers::Peer& peer : m_parts.m_peers()) {
    if (peer.m_id == m_leader) return peer.m_inner;
  }
  return std::nullopt;
}

void LeaderBeats::SendToAll(const wire::LeaderBeat& beat) {
  const Instant now = m_parts.m_clock->Now();
  std::erase_if(m_silent_until, [now](const auto& entry) { return entry.second <= now; });
  const std::vector<peers::Peer> peers = m_parts.m_peers();
  const auto may_head = [this](const peers::Peer& peer) {
    return !peer.m_leaving && !m_silent_until.contains(peer.m_inner);
  };
  m_last_sent = now;
  m_peer_count = peers.size();
  for (const auto& group : peers::PlanBroadcast(peers, may_head, m_settings.m_broadcast, &m_random)) {
    SendTo(group, beat);
  }
}

// Calls the head of a group. If it does not answer, the others are called directly, since they may have got nothing.
void LeaderBeats::SendTo(const peers::BroadcastGroup& group, const wire::LeaderBeat& beat) {
  wire::LeaderBeat message = beat;
  std::vector<std::string> others;
  for (const net::Endpoint& other : group.m_others) others.push_back(net::ToString(other));
  message.__set_pass_on(others);
  m_sent_total->Add();
  m_parts.m_send(group.m_head, message, m_settings.m_call_timeout,
                 [weak = weak_from_this(), group, beat](const inner::Message* answer) {
                   const auto self = weak.lock();
                   if (!self) return;
                   if (answer != nullptr) {
                     self->m_answered_at[group.m_head] = self->m_parts.m_clock->Now();
                     return;
                   }
                   // A receiver that missed one finds the gap in the sequence and reads the store.
                   self->m_silent_total->Add();
                   self->m_silent_until[group.m_head] =
                       self->m_parts.m_clock->Now() + self->m_settings.m_avoid_silent_for;
                   for (const net::Endpoint& other : group.m_others) self->SendTo({other, {}}, beat);
                 });
}

//-------------------------------------------------------------------------------------------------
// Receiving
//-------------------------------------------------------------------------------------------------

void LeaderBeats::Receive(const wire::LeaderBeat& beat) {
  PassOn(beat);
  if (beat.epoch < m_received_epoch) return;
  PhaseCache& cache = *m_parts.m_phases;
  const Instant now = m_parts.m_clock->Now();
  const bool new_term = beat.epoch != m_received_epoch;
  const bool overtaken = !new_term && beat.sequence <= m_received_sequence;  // By a later one on another way.
  const bool gap = new_term || beat.sequence > m_received_sequence + 1;
  if (gap) cache.DropUnfinished(now);
  if (!overtaken) {
    m_leader = beat.released ? InstanceId{} : InstanceId{beat.instance};
    m_received_epoch = beat.epoch;
    m_received_sequence = beat.sequence;
    const Epoch epoch{static_cast<std::uint64_t>(beat.epoch)};
    if (beat.released) return m_parts.m_on_released(epoch);
    m_parts.m_on_leader(epoch);
  }
  for (const wire::PhaseChange& change : beat.phases) {
    if (change.phase < 0 || change.phase > static_cast<std::int32_t>(jobs::JobPhase::kCancelled)) continue;
    const auto phase = static_cast<jobs::JobPhase>(change.phase);
    // Of an overtaken heartbeat only ends still hold.
    if (!overtaken || jobs::Ended(phase)) cache.Set(JobId{static_cast<std::uint64_t>(change.job)}, phase, now);
  }
  if (overtaken) return;
  std::map<jobs::QueueName, int> pending;
  for (const auto& [queue, count] : beat.pending) pending[jobs::QueueName{queue}] = count;
  if (beat.ready) cache.SetPending(std::move(pending), now);
  cache.SetEarlierRows(!(beat.__isset.no_earlier_rows && beat.no_earlier_rows), now);
  cache.NoteHeartbeat(now);
  // A leader of an earlier version tells less.
  const auto bytes = [](std::int64_t value) { return static_cast<std::uint64_t>(std::max<std::int64_t>(0, value)); };
  JobMemory memory{bytes(beat.job_bytes_held), bytes(beat.job_bytes_limit), std::max(kFewestJobParts, beat.job_parts)};
  for (const auto& [account, held] : beat.job_bytes_of_accounts) memory.m_accounts[AccountId{account}] = bytes(held);
  cache.Room().OnReport(memory, now);
}

void LeaderBeats::PassOn(const wire::LeaderBeat& beat) {
  if (beat.pass_on.empty()) return;
  wire::LeaderBeat message = beat;
  message.__set_pass_on({});
  const std::size_t count = std::min(beat.pass_on.size(), m_settings.m_max_pass_on);
  for (std::size_t i = 0; i < count; ++i) {
    const auto address = net::ParseEndpoint(beat.pass_on[i]);
    if (!Ok(address)) {
      log::Warn(kLog, "Heartbeat names an instance that can't be called", {{"address", beat.pass_on[i]}});
      continue;
    }
    m_parts.m_send(ValueOf(address), message, m_settings.m_call_timeout, [](const inner::Message*) {});
  }
}

}  // namespace hickoryquay::service
