#include "hickoryquay/service/store_relay.h"

#include <algorithm>
#include <utility>

#include "hickoryquay/base/log.h"

namespace hickoryquay::service {

namespace {

namespace wire = inner::wire;

constexpr log::Part kLog{"relay"};
constexpr int kTooManyCalls = 429;
constexpr int kUnavailable = 503;
constexpr std::size_t kFrameRest = 4'096;     // Of a frame, all but the answer that it holds.
constexpr std::size_t kMaxLoggedTarget = 60;  // Characters of path and query written to the log.

bool IsUnavailable(int status) {
  return status == kTooManyCalls || status == kUnavailable;
}

bool IsTooLong(const Result<net::HttpResponse, net::NetError>& result) {
  return !Ok(result) && std::holds_alternative<net::TooLong>(ErrorOf(result));
}

bool IsUnavailable(const Result<net::HttpResponse, net::NetError>& result) {
  return Ok(result) ? IsUnavailable(ValueOf(result).m_status) : !IsTooLong(result);
}

}  // namespace

struct StoreRelay::Call {
  net::HttpRequest m_request;
  Instant m_until;
  net::ResponseCallback m_callback;
  bool m_read = false;
  bool m_maybe_applied = false;  // A write was sent but not answered.
  bool m_last_direct = false;
  bool m_direct_pending = false;
  bool m_probe_pending = false;  // A probe of the store is a copy of this call.
  bool m_arriving = false;       // The direct answer has begun, or that of the probe.
  bool m_peer_pending = false;
  bool m_counted = false;  // As a failure of the direct way.
  bool m_finished = false;
  Instant m_sent_direct;
  Subscription m_silence;
  int m_peers_tried = 0;
  Result<net::HttpResponse, net::NetError> m_last_result = net::NetError{net::NotSent{"not tried"}};
};

StoreRelay::StoreRelay(store::HttpSend direct, net::Endpoint store, TimerService* timers, const Clock* clock,
                       Metrics* metrics, const RelaySettings& settings)
    : m_direct(std::move(direct)),
      m_store(std::move(store)),
      m_timers(timers),
      m_clock(clock),
      m_settings(settings),
      m_call_time(settings.m_silence),
      m_through_peers(&metrics->GetCounter("hq_store_calls_through_peers_total")),
      m_hedged(&metrics->GetCounter("hq_store_calls_hedged_total")),
      m_discarded(&metrics->GetCounter("hq_store_discarded_bytes_total")) {}

void StoreRelay::Connect(peers::SendMessage send, Peers peers) {
  m_send = std::move(send);
  m_peers = std::move(peers);
}

store::HttpSend StoreRelay::Send() {
  return [self = shared_from_this()](const net::Endpoint&, net::HttpRequest request, Millis timeout,
                                     net::ResponseCallback callback) {
    auto call = std::make_shared<Call>();
    call->m_read = request.m_method == "GET";
    call->m_request = std::move(request);
    call->m_until = self->m_clock->Now() + timeout;
    call->m_callback = std::move(callback);
    self->Begin(call);
  };
}

void StoreRelay::Begin(const std::shared_ptr<Call>& call) {
  if (StoreUnreachable() && call->m_read) ProbeStore(call);
  if (call->m_finished || call->m_peer_pending) return;  // The probe has ended already.
  StoreUnreachable() && m_send ? SendThroughPeer(call) : SendDirect(call);
}

// Sends a copy of a read directly to the store, at most once per m_direct_interval, to detect when it is reachable
// again. The call goes through a peer meanwhile, since with packets dropped silently it would wait for its whole
// timeout. The first answer counts.
void StoreRelay::ProbeStore(const std::shared_ptr<Call>& call) {
  const Instant now = m_clock->Now();
  if (m_probing || now - m_last_direct < m_settings.m_direct_interval) return;
  m_probing = true;
  m_last_direct = now;
  call->m_probe_pending = true;
  call->m_last_direct = true;
  net::HttpRequest request = call->m_request;
  request.m_on_progress = [weak = weak_from_this(), weak_call = std::weak_ptr(call)](int status) {
    const auto self = weak.lock();
    const auto arriving = weak_call.lock();
    if (!self || !arriving || IsUnavailable(status)) return;
    self->MarkReachable();
    arriving->m_arriving = true;
  };
  m_direct(m_store, std::move(request), call->m_until - now,
           [self = shared_from_this(), call](Result<net::HttpResponse, net::NetError> result) {
             self->OnProbeAnswer(call, std::move(result));
           });
}

void StoreRelay::OnProbeAnswer(const std::shared_ptr<Call>& call, Result<net::HttpResponse, net::NetError> result) {
  m_probing = false;
  call->m_probe_pending = false;
  call->m_arriving = false;
  CountDiscarded(result);
  if (!IsUnavailable(result)) {
    MarkReachable();
    return Finish(call, std::move(result));
  }
  if (call->m_finished || call->m_peer_pending) return;
  call->m_last_result = std::move(result);
  SendThroughPeer(call);
}

void StoreRelay::MarkReachable() {
  if (StoreUnreachable()) log::Info(kLog, "Store is reachable from this instance again");
  m_direct_failures = 0;
}

void StoreRelay::SendDirect(const std::shared_ptr<Call>& call) {
  call->m_last_direct = true;
  call->m_direct_pending = true;
  m_last_direct = m_clock->Now();
  call->m_sent_direct = m_last_direct;
  if (call->m_request.m_may_wait) {
    std::erase_if(m_waiting, [](const auto& waiting) { return waiting.expired(); });
    m_waiting.push_back(call);
  } else if (m_send) {
    call->m_silence = m_timers->After(m_call_time.Allow(m_settings.m_longest_silence),
                                      [weak = weak_from_this(), weak_call = std::weak_ptr(call)] {
                                        const auto self = weak.lock();
                                        const auto silent = weak_call.lock();
                                        if (self && silent) self->OnSilence(silent);
                                      });
  }
  net::HttpRequest request = call->m_request;
  request.m_on_progress = [weak = weak_from_this(), weak_call = std::weak_ptr(call)](int status) {
    const auto self = weak.lock();
    const auto arriving = weak_call.lock();
    if (self && arriving) self->OnProgress(arriving, status);
  };
  m_direct(m_store, std::move(request), call->m_until - m_last_direct,
           [self = shared_from_this(), call](Result<net::HttpResponse, net::NetError> result) {
             self->OnDirectAnswer(call, std::move(result));
           });
}

void StoreRelay::OnProgress(const std::shared_ptr<Call>& call, int status) {
  if (IsUnavailable(status)) return;
  MarkReachable();
  if (std::exchange(call->m_arriving, true)) return;
  call->m_silence.Cancel();
  if (!call->m_request.m_may_wait) m_call_time.Answered(m_clock->Now() - call->m_sent_direct);
}

void StoreRelay::OnDirectAnswer(const std::shared_ptr<Call>& call, Result<net::HttpResponse, net::NetError> result) {
  call->m_direct_pending = false;
  call->m_silence.Cancel();
  CountDiscarded(result);
  if (Ok(result) && !call->m_request.m_may_wait && !call->m_arriving)
    m_call_time.Answered(m_clock->Now() - call->m_sent_direct);
  if (!IsUnavailable(result)) {
    MarkReachable();
    return Finish(call, std::move(result));
  }
  CountFailure(*call,
               Ok(result) ? "status " + std::to_string(ValueOf(result).m_status) : net::ToString(ErrorOf(result)));
  if (call->m_finished || call->m_peer_pending) return;
  call->m_maybe_applied = !call->m_read && !Ok(result) && net::MaybeSent(ErrorOf(result));
  call->m_last_result = std::move(result);
  if (call->m_maybe_applied) return Finish(call, std::move(call->m_last_result));
  SendThroughPeer(call);
}

void StoreRelay::CountFailure(const Call& call, const std::string& why) {
  if (call.m_counted || ++m_direct_failures != m_settings.m_failure_threshold) return;
  log::Warn(kLog, "Store turns this instance away, asking peers",
            {{"last", why}, {"call", call.m_request.m_target.substr(0, kMaxLoggedTarget)}});
}

void StoreRelay::CountDiscarded(const Result<net::HttpResponse, net::NetError>& result) {
  const auto* timed_out = Ok(result) ? nullptr : std::get_if<net::TimedOut>(&ErrorOf(result));
  if (timed_out != nullptr) m_discarded->Add(timed_out->m_received);
}

// A direct call got no answer in the time that calls usually take.
void StoreRelay::OnSilence(const std::shared_ptr<Call>& call) {
  if (!call->m_direct_pending || call->m_finished) return;
  for (const auto& weak : std::exchange(m_waiting, {})) {
    if (const auto waiting = weak.lock()) Hedge(waiting);
  }
  if (call->m_read) Hedge(call);
}

// Sends a read that is on its way to the store through a peer as well.
void StoreRelay::Hedge(const std::shared_ptr<Call>& call) {
  if (call->m_arriving) return;
  const bool tried = call->m_peer_pending || call->m_peers_tried == m_settings.m_peers_per_call;
  if (call->m_finished || !call->m_direct_pending || tried || m_peers().empty()) return;
  m_hedged->Add();
  SendThroughPeer(call);
}

void StoreRelay::Finish(const std::shared_ptr<Call>& call, Result<net::HttpResponse, net::NetError> result) {
  if (std::exchange(call->m_finished, true)) return;
  call->m_callback(std::move(result));
}

void StoreRelay::SendThroughPeer(const std::shared_ptr<Call>& call) {
  // A second copy would share the link with an answer that is arriving.
  if (call->m_probe_pending && call->m_arriving) return;
  const Millis left = call->m_until - m_clock->Now();
  const auto peers = m_send && left.count() > 0 ? m_peers() : std::vector<net::Endpoint>{};
  if (peers.empty() || call->m_peers_tried == m_settings.m_peers_per_call) {
    if (call->m_probe_pending) return;  // The probe's answer decides.
    if (call->m_last_direct || call->m_maybe_applied || left.count() <= 0)
      return Finish(call, std::move(call->m_last_result));
    return SendDirect(call);
  }
  ++call->m_peers_tried;
  call->m_peer_pending = true;
  wire::StoreCall message;
  message.__set_method(call->m_request.m_method);
  message.__set_target(call->m_request.m_target);
  message.__set_body(call->m_request.m_body);
  message.__set_timeout_ms(left.count());
  if (call->m_request.m_max_answer_bytes > 0)
    message.__set_max_answer_bytes(static_cast<std::int64_t>(call->m_request.m_max_answer_bytes));
  m_through_peers->Add();
  m_send(peers[m_next_peer % peers.size()], message, left,
         [self = shared_from_this(), call](const inner::Message* answer) { self->OnPeerAnswer(call, answer); });
}

void StoreRelay::OnPeerAnswer(const std::shared_ptr<Call>& call, const inner::Message* answer) {
  call->m_peer_pending = false;
  if (call->m_finished) return;
  const auto* reply = answer == nullptr ? nullptr : std::get_if<wire::StoreAnswer>(answer);
  if (reply != nullptr && reply->status != 0) {
    net::HttpResponse response;
    response.m_status = reply->status;
    response.m_body = reply->body;
    if (!IsUnavailable(response)) {
      if (call->m_direct_pending && !call->m_request.m_may_wait) {
        CountFailure(*call, "silence, while it answers a peer");
        call->m_counted = true;
      }
      return Finish(call, std::move(response));
    }
    call->m_last_result = std::move(response);
  } else if (reply != nullptr && reply->too_long) {
    call->m_last_result = net::NetError{net::TooLong{}};
    if (!call->m_direct_pending && !call->m_probe_pending) return Finish(call, std::move(call->m_last_result));
  } else if (reply != nullptr && !reply->sent) {
    call->m_last_result = net::NetError{net::NotSent{"a peer can't reach the store"}};
  } else {
    call->m_last_result = net::NetError{net::TimedOut{true}};
    call->m_maybe_applied = !call->m_read;
  }
  ++m_next_peer;                       // The next call tries another peer.
  if (call->m_direct_pending) return;  // The direct answer decides.
  if (call->m_maybe_applied) return Finish(call, std::move(call->m_last_result));
  SendThroughPeer(call);
}

void StoreRelay::Handle(const wire::StoreCall& call, const std::function<void(inner::Message)>& answer) {
  wire::StoreAnswer refusal;
  refusal.__set_status(0);
  refusal.__set_sent(false);
  if (StoreUnreachable() || m_relayed >= m_settings.m_max_relayed) return answer(refusal);
  ++m_relayed;
  net::HttpRequest request;
  request.m_method = call.method;
  request.m_target = call.target;
  request.m_body = call.body;
  request.m_max_answer_bytes = inner::kMaxFrameBytes - kFrameRest;
  if (call.max_answer_bytes > 0) {
    request.m_max_answer_bytes = std::min(request.m_max_answer_bytes, static_cast<std::size_t>(call.max_answer_bytes));
  }
  if (!call.body.empty()) request.m_headers.push_back({"Content-Type", "application/json"});
  m_direct(m_store, std::move(request), Millis{call.timeout_ms},
           [self = shared_from_this(), answer](const Result<net::HttpResponse, net::NetError>& result) {
             --self->m_relayed;
             self->CountDiscarded(result);
             wire::StoreAnswer reply;
             reply.__set_status(Ok(result) ? ValueOf(result).m_status : 0);
             reply.__set_body(Ok(result) ? ValueOf(result).m_body : std::string());
             reply.__set_sent(Ok(result) || net::MaybeSent(ErrorOf(result)));
             if (IsTooLong(result)) reply.__set_too_long(true);
             answer(reply);
           });
}

}  // namespace hickoryquay::service
