#include "hickoryquay/routing/exchange.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <charconv>
#include <utility>

#include "hickoryquay/routing/caller_session.h"

namespace hickoryquay::routing {

namespace {

constexpr std::int64_t kLongestDeadlineMs = 600'000;
constexpr std::size_t kLongestKey = 200;
constexpr std::string_view kServePrefix = "/serve";  // The backend server gets the target behind it.
constexpr int kThreadShift = 48;                     // Ids of a thread count below it.

bool ParseDeadline(std::string_view text, Millis* deadline) {
  std::int64_t number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc{} || end != text.data() + text.size()) return false;
  if (number < 1 || number > kLongestDeadlineMs) return false;
  *deadline = Millis(number);
  return true;
}

bool IsGoodKey(std::string_view key) {
  const auto printable = [](char c) { return c > ' ' && c <= '~'; };
  return key.size() <= kLongestKey && std::all_of(key.begin(), key.end(), printable);
}

// Reasons of an attempt that was not run, and of one that may have run.
Reason NotRunReason(CallResult result) {
  return result == CallResult::kRefused ? Reason::kRefusedByBackend : Reason::kUnreachable;
}
Reason UnknownReason(CallResult result) {
  switch (result) {
    case CallResult::kLate:
      return Reason::kLate;
    case CallResult::kCrossed:
      return Reason::kCrossed;
    case CallResult::kTooLarge:
      return Reason::kAnswerTooLarge;
    case CallResult::kBadAnswer:
      return Reason::kBadAnswer;
    default:
      return Reason::kCut;
  }
}

}  // namespace

std::shared_ptr<Exchange> Exchange::Self() {
  return {m_session->shared_from_this(), this};
}

std::uint64_t Exchange::NewId() {
  return (static_cast<std::uint64_t>(m_thread->m_index + 1) << kThreadShift) + m_thread->m_next_id++;
}

void Exchange::Begin(RequestHead* request) {
  ++m_number;
  m_active = true;
  m_request = request;
  m_snapshot = m_thread->m_snapshot;
  m_market = nullptr;
  m_started = m_core->m_clock->Now();
  m_attempts = 0;
  m_hedged = false;
  m_not_run = Reason::kNone;
  m_maybe_ran = Reason::kNone;
  m_except = nullptr;
  const Reason refused = Admit();
  if (refused != Reason::kNone) return Refuse(refused);
  m_market->m_state->m_budget.OnRequest();
  m_repeatable ? Acquire() : Claim();
}

Reason Exchange::Admit() {
  const auto found = m_snapshot->m_markets.find(m_request->m_market);
  if (found == m_snapshot->m_markets.end()) return Reason::kUnknownMarket;
  m_market = &found->second;
  m_account.m_value.assign(m_request->m_account);
  if (m_market->m_market->FindAccount(m_account) == nullptr) return Reason::kUnknownAccount;
  m_class_id.m_value.assign(m_request->m_class);
  const ClassOfWork* work = m_market->m_market->FindClass(m_class_id);
  if (work == nullptr) return Reason::kUnknownClass;

  Millis deadline =
      work->m_default_deadline.count() > 0 ? work->m_default_deadline : m_core->m_settings.m_default_deadline;
  if (!m_request->m_deadline.empty() && !ParseDeadline(m_request->m_deadline, &deadline)) return Reason::kBadDeadline;
  m_deadline = m_started + std::min(deadline, Millis(kLongestDeadlineMs));
  m_urgency = std::clamp(work->m_urgency, 0, kUrgencies - 1);
  m_repeatable = work->m_repeatable && !m_request->m_once;
  if (!m_repeatable && m_request->m_key.empty()) return Reason::kKeyRequired;
  if (!IsGoodKey(m_request->m_key)) return Reason::kBadKey;
  return Reason::kNone;
}

void Exchange::Claim() {
  if (!m_core->m_claims) return Refuse(Reason::kTableAway);
  m_claiming = true;
  const std::string key = ClaimKey(m_market->m_market->m_id, m_account, m_request->m_key);
  const std::string digest = DigestOf(m_request->m_method, m_request->m_target, m_request->m_body);
  m_core->m_claims->Begin(key, digest, [self = Self(), number = m_number](ClaimResult result) {
    boost::asio::post(*self->m_thread->m_io, [self, number, result = std::move(result)] {
      const bool current = self->m_claiming && number == self->m_number;
      if (current) return self->OnClaim(result);
      const auto* hold = std::get_if<ClaimHold>(&result);
      if (hold != nullptr) self->m_core->m_claims->Finish(*hold, DidNotRun{});
    });
  });
}

void Exchange::OnClaim(const ClaimResult& result) {
  m_claiming = false;
  if (const auto* hold = std::get_if<ClaimHold>(&result)) {
    m_claim = *hold;
    return Acquire();
  }
  if (const auto* done = std::get_if<AlreadyDone>(&result)) {
    if (!done->m_answer) return Refuse(Reason::kAnswerNotKept);
    End();
    return m_session->SendKept(*done->m_answer);
  }
  if (std::holds_alternative<InProgress>(result)) return Refuse(Reason::kInProgress);
  if (std::holds_alternative<FirstUnknown>(result)) return Refuse(Reason::kFirstUnknown);
  if (std::holds_alternative<KeyReused>(result)) return Refuse(Reason::kKeyReused);
  if (std::holds_alternative<ClaimInDoubt>(result)) return Refuse(Reason::kClaimInDoubt);
  Refuse(Reason::kTableAway);
}

void Exchange::Acquire() {
  const MarketBackends& backends = *m_market->m_backends;
  if (backends.m_local.empty() && backends.m_remote.empty()) return Refuse(Reason::kNoBackend);
  const Instant now = m_core->m_clock->Now();
  Dispatcher& dispatcher = m_market->m_state->m_dispatcher;
  if (!dispatcher.HasWaiting()) {
    if (const BackendPtr backend = TakeSlot(backends, m_except, now, &m_thread->m_random)) return SendTo(backend);
  }
  m_wait_id = NewId();
  Waiting waiting{m_wait_id, m_urgency, m_account, m_deadline, Self()};
  const Dispatcher::Entry entry = dispatcher.Enter(std::move(waiting), m_except, now);
  if (std::holds_alternative<Dispatcher::Queued>(entry)) return;
  m_wait_id = 0;
  if (const auto* backend = std::get_if<BackendPtr>(&entry)) return SendTo(*backend);
  Refuse(Reason::kOverloaded);
}

void Exchange::OnSlot(std::uint64_t id, std::shared_ptr<Backend> backend) {
  boost::asio::post(*m_thread->m_io,
                    [self = Self(), id, backend = std::move(backend)] { self->TakeGranted(id, backend); });
}

void Exchange::TakeGranted(std::uint64_t id, const BackendPtr& backend) {
  if (id == m_wait_id) {
    m_wait_id = 0;
    return SendTo(backend);
  }
  backend->ReturnSlot();
  if (m_market != nullptr) m_market->m_state->m_dispatcher.OnSlotReturned(Millis{0}, m_core->m_clock->Now());
}

void Exchange::OnShed(std::uint64_t id) {
  boost::asio::post(*m_thread->m_io, [self = Self(), id] {
    if (id != self->m_wait_id) return;
    self->m_wait_id = 0;
    self->Refuse(Reason::kShed);
  });
}

std::shared_ptr<BackendConnection> Exchange::ConnectionTo(const BackendPtr& backend) {
  if (auto idle = backend->TakeIdle(m_thread->m_index)) return idle;
  if (!backend->TryOpenConnection()) return nullptr;
  return std::make_shared<BackendConnection>(backend, m_market->m_state, m_core->m_connection_limits, m_core->m_clock);
}

void Exchange::SendTo(const BackendPtr& backend) {
  ++m_attempts;
  std::shared_ptr<BackendConnection> connection = ConnectionTo(backend);
  if (!connection) {
    backend->ReturnSlot();
    return OnFailed(CallResult::kRefused, backend.get());
  }
  const Instant now = m_core->m_clock->Now();
  m_hedge_at = now + m_market->m_state->m_hedge_delay.Get();
  const std::string_view target = m_request->m_target;
  const Call call{
      m_request->m_method, target.substr(kServePrefix.size()), m_request->m_forwarded, m_request->m_body, NewId(),
      m_deadline};
  const std::size_t place = m_calls[0] == nullptr ? 0 : 1;
  m_calls[place] = connection;
  connection->Start(m_thread, call, Self());
}

std::size_t Exchange::CallsInFlight() const {
  return static_cast<std::size_t>(
      std::count_if(m_calls.begin(), m_calls.end(), [](const auto& c) { return c != nullptr; }));
}

void Exchange::OnCallEnded(BackendConnection* connection, CallResult result, AnswerHead* answer) {
  const auto self = Self();
  const BackendPtr backend = connection->GetBackend();
  for (auto& call : m_calls) {
    if (call.get() == connection) call.reset();
  }
  if (result == CallResult::kWhole || result == CallResult::kServerError) return OnWhole(answer);
  OnFailed(result, backend.get());
}

void Exchange::OnWhole(AnswerHead* answer) {
  m_market->m_state->m_hedge_delay.OnAnswer(m_core->m_clock->Now() - m_started);
  if (m_claim) EndClaim(RanWith{KeptAnswer{answer->m_status, answer->m_content_type, answer->m_body}});
  End();
  m_session->SendAnswer(answer);
}

void Exchange::OnFailed(CallResult result, const Backend* backend) {
  const bool not_run = result == CallResult::kRefused || result == CallResult::kNotSent;
  if (not_run) m_not_run = NotRunReason(result);
  if (!not_run && m_maybe_ran == Reason::kNone) m_maybe_ran = UnknownReason(result);
  m_except = backend;
  if (CallsInFlight() > 0) return;
  if (MayRetry(!not_run)) {
    m_core->m_retries->Add();
    return Acquire();
  }
  Refuse(m_not_run);
}

bool Exchange::MayRetry(bool maybe_ran) {
  if (maybe_ran && !m_repeatable) return false;
  if (m_attempts >= m_core->m_settings.m_max_attempts) return false;
  if (m_core->m_clock->Now() >= m_deadline) return false;
  return m_market->m_state->m_budget.TrySpend();
}

void Exchange::Hedge() {
  m_hedged = true;
  if (!m_market->m_state->m_budget.TrySpend()) return;
  const Backend* first = m_calls[0]->GetBackend().get();
  const BackendPtr backend = TakeSlot(*m_market->m_backends, first, m_core->m_clock->Now(), &m_thread->m_random);
  if (!backend) return;
  m_core->m_hedges->Add();
  SendTo(backend);
}

void Exchange::CheckDeadline(Instant now) {
  if (!m_active) return;
  if (now >= m_deadline && (m_wait_id != 0 || m_claiming)) {
    if (m_wait_id != 0) m_market->m_state->m_dispatcher.Leave(std::exchange(m_wait_id, 0));
    m_claiming = false;
    return Refuse(Reason::kDeadline);
  }
  const bool may_hedge = m_core->m_settings.m_hedge && m_repeatable && !m_hedged && m_calls[0] != nullptr;
  if (may_hedge && now >= m_hedge_at && m_attempts < m_core->m_settings.m_max_attempts) Hedge();
}

void Exchange::Withdraw() {
  if (!m_active || m_wait_id == 0) return;
  m_market->m_state->m_dispatcher.Leave(std::exchange(m_wait_id, 0));
  Refuse(Reason::kDeadline);
}

void Exchange::Refuse(Reason reason) {
  // Once an attempt may have run, nothing that follows makes the whole request "not run".
  const Reason final_reason = m_maybe_ran != Reason::kNone ? m_maybe_ran : reason;
  if (m_claim) EndClaim(m_maybe_ran != Reason::kNone ? ClaimEnd{RanUnknown{}} : ClaimEnd{DidNotRun{}});
  End();
  m_session->SendReason(final_reason);
}

void Exchange::EndClaim(ClaimEnd end) {
  m_core->m_claims->Finish(*m_claim, std::move(end));
  m_claim.reset();
}

void Exchange::End() {
  m_active = false;
  for (auto& call : m_calls) {
    if (call) std::exchange(call, nullptr)->Abandon();
  }
}

}  // namespace hickoryquay::routing
