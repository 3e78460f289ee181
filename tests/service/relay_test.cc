// Store calls through peers: which calls are repeated, which are not, and that relaying can't loop.

#include <cppunit/extensions/HelperMacros.h>

#include <limits>
#include <optional>

#include "hickoryquay/service/store_relay.h"

namespace hickoryquay::service {
namespace {

namespace wire = inner::wire;
using HttpResult = Result<net::HttpResponse, net::NetError>;

constexpr Millis kTimeout{1'000};
const net::Endpoint kStore{"10.0.0.1", 1};
const net::Endpoint kPeer{"10.0.0.2", 2};

HttpResult Status(int status) {
  return net::HttpResponse{status, {}, "body"};
}

class RelayTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RelayTest);
  CPPUNIT_TEST(ReachableStoreIsCalledDirectly);
  CPPUNIT_TEST(RefusedCallGoesThroughPeerAtOnce);
  CPPUNIT_TEST(UnansweredWriteIsNotSentAgain);
  CPPUNIT_TEST(UnansweredReadIsRetriedThroughPeer);
  CPPUNIT_TEST(PeerIsTriedFirstWhileStoreIsUnreachable);
  CPPUNIT_TEST(DirectCallIsRetriedPeriodically);
  CPPUNIT_TEST(ReadsDoNotWaitForProbe);
  CPPUNIT_TEST(LostAnswerOfPeerLeavesWriteInDoubt);
  CPPUNIT_TEST(GlobalOutageIsReportedSoon);
  CPPUNIT_TEST(InstanceWithoutStoreRelaysNothing);
  CPPUNIT_TEST(RelayedCallsAreBounded);
  CPPUNIT_TEST(RelayedAnswersFitIntoAFrame);
  CPPUNIT_TEST(RelayedAnswersArriveWhileThePeerWaits);
  CPPUNIT_TEST(RelayedAnswersAreAsLongAsThePeerTakes);
  CPPUNIT_TEST(AnswerThatIsTooLongIsNoSilence);
  CPPUNIT_TEST(PeerTellsThatAnAnswerIsTooLong);
  CPPUNIT_TEST(SilentReadIsHedgedThroughPeer);
  CPPUNIT_TEST(HedgesRevealACutInstance);
  CPPUNIT_TEST(SilenceMovesWaitingCallsToPeers);
  CPPUNIT_TEST(SlowStoreIsNotAskedTwice);
  CPPUNIT_TEST(LateDirectAnswerIsIgnored);
  CPPUNIT_TEST(LostAnswersDoNotDelayHedges);
  CPPUNIT_TEST(CallThatPeersFailedWaitsForTheStore);
  CPPUNIT_TEST(ArrivingAnswerIsNotHedged);
  CPPUNIT_TEST(ArrivingAnswerShowsThatTheStoreServes);
  CPPUNIT_TEST(TimeOfALargeAnswerIsNotThatOfCalls);
  CPPUNIT_TEST(AnswerOfAProbeIsTaken);
  CPPUNIT_TEST(ProbedCallIsNotSentTwice);
  CPPUNIT_TEST(ArrivingAnswerOfAProbeIsLeftToArrive);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_clock.Set(Instant{1'000});
    m_direct_calls = m_peer_calls = 0;
    m_direct = Status(200);
    m_peer = Answer(200);
    m_held.clear();
    m_hold = false;
    m_progress = nullptr;
    m_relay = std::make_shared<StoreRelay>(
        [this](const net::Endpoint& to, const net::HttpRequest& request, Millis,
               const net::ResponseCallback& callback) {
          CPPUNIT_ASSERT(to == kStore);
          ++m_direct_calls;
          m_last_request = request;
          m_progress = request.m_on_progress;
          m_hold ? m_held.push_back(callback) : callback(m_direct);
        },
        kStore, &m_timers, &m_clock, &m_metrics, RelaySettings{});
    m_relay->Connect(
        [this](const net::Endpoint& to, const inner::Message&, Millis,
               const std::function<void(const inner::Message*)>& callback) {
          CPPUNIT_ASSERT(to == kPeer);
          ++m_peer_calls;
          if (m_hold_peer) return m_held_peers.push_back(callback);
          const inner::Message message = m_peer.value_or(wire::StoreAnswer{});
          callback(m_peer ? &message : nullptr);
        },
        [] { return std::vector<net::Endpoint>{kPeer}; });
  }

  void ReachableStoreIsCalledDirectly() {
    CPPUNIT_ASSERT_EQUAL(200, StatusOf(Send("POST")));
    CPPUNIT_ASSERT_EQUAL(0, m_peer_calls);
  }

  void RefusedCallGoesThroughPeerAtOnce() {
    for (const HttpResult& refused : {Status(503), Status(429), HttpResult(net::NetError{net::NotSent{"refused"}})}) {
      m_direct = refused;
      CPPUNIT_ASSERT_EQUAL(200, StatusOf(Send("POST")));
    }
  }

  void UnansweredWriteIsNotSentAgain() {
    m_direct = net::NetError{net::Cut{"reset"}};
    const HttpResult result = Send("POST");
    CPPUNIT_ASSERT(!Ok(result));
    CPPUNIT_ASSERT(net::MaybeSent(ErrorOf(result)));
    CPPUNIT_ASSERT_EQUAL(0, m_peer_calls);
  }

  void UnansweredReadIsRetriedThroughPeer() {
    m_direct = net::NetError{net::TimedOut{true}};
    CPPUNIT_ASSERT_EQUAL(200, StatusOf(Send("GET")));
  }

  void PeerIsTriedFirstWhileStoreIsUnreachable() {
    MakeStoreUnreachable();
    const int before = m_direct_calls;
    CPPUNIT_ASSERT_EQUAL(200, StatusOf(Send("POST")));
    CPPUNIT_ASSERT_EQUAL(before, m_direct_calls);
  }

  void DirectCallIsRetriedPeriodically() {
    MakeStoreUnreachable();
    m_direct = Status(200);
    m_clock.Advance(Millis{10'000});
    const int before = m_peer_calls;
    Send("GET");
    Send("POST");
    CPPUNIT_ASSERT_EQUAL(before, m_peer_calls);
  }

  // Guards against a read being used as the probe of an unreachable store: on a leader cut off from the store, each
  // such read, including the feed of new jobs, was delayed by its whole timeout.
  void ReadsDoNotWaitForProbe() {
    MakeStoreUnreachable();
    m_hold = true;
    for (int i = 0; i < 10; ++i) {
      m_clock.Advance(Millis{600});
      CPPUNIT_ASSERT_EQUAL(200, StatusOf(Send("GET")));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_held.size());  // One probe at a time.
    m_held.front()(Status(200));
    m_hold = false;
    m_direct = Status(200);
    const int before = m_peer_calls;
    CPPUNIT_ASSERT_EQUAL(200, StatusOf(Send("POST")));
    CPPUNIT_ASSERT_EQUAL(before, m_peer_calls);
  }

  void LostAnswerOfPeerLeavesWriteInDoubt() {
    MakeStoreUnreachable();
    m_peer.reset();
    const HttpResult result = Send("POST");
    CPPUNIT_ASSERT(!Ok(result));
    CPPUNIT_ASSERT(net::MaybeSent(ErrorOf(result)));
  }

  void GlobalOutageIsReportedSoon() {
    m_direct = Status(503);
    m_peer = Answer(0);
    const HttpResult result = Send("POST");
    CPPUNIT_ASSERT(Ok(result) ? ValueOf(result).m_status == 503 : !net::MaybeSent(ErrorOf(result)));
    CPPUNIT_ASSERT(m_peer_calls <= RelaySettings{}.m_peers_per_call);
  }

  void InstanceWithoutStoreRelaysNothing() {
    MakeStoreUnreachable();
    const int before = m_direct_calls;
    const wire::StoreAnswer answer = Handle();
    CPPUNIT_ASSERT_EQUAL(0, answer.status);
    CPPUNIT_ASSERT(!answer.sent);
    CPPUNIT_ASSERT_EQUAL(before, m_direct_calls);
  }

  void RelayedCallsAreBounded() {
    m_hold = true;
    for (int i = 0; i < RelaySettings{}.m_max_relayed; ++i) Handle();
    const int before = m_direct_calls;
    CPPUNIT_ASSERT_EQUAL(0, Handle().status);
    CPPUNIT_ASSERT_EQUAL(before, m_direct_calls);
    m_held.front()(Status(200));
    m_hold = false;
    CPPUNIT_ASSERT_EQUAL(200, Handle().status);
  }

  // Guards against answers that are received for a peer whole, only to end the connection to it as a frame over the
  // limit.
  void RelayedAnswersFitIntoAFrame() {
    Handle("GET");
    const std::size_t most = m_last_request.m_max_answer_bytes;
    CPPUNIT_ASSERT(most > 0);
    wire::StoreAnswer answer = Answer(200);
    answer.__set_body(std::string(most, 'x'));
    inner::Frame frame;
    frame.m_id = std::numeric_limits<std::int64_t>::max();
    frame.m_answer = true;
    frame.m_message = answer;
    CPPUNIT_ASSERT(inner::Encode(frame).size() <= inner::kMaxFrameBytes + inner::kLengthBytes);
  }

  // Guards against answers of seconds on a small link that are received for a peer which has given the call up.
  void RelayedAnswersArriveWhileThePeerWaits() {
    Handle("GET");
    CPPUNIT_ASSERT(!m_last_request.m_large_answer);
  }

  void RelayedAnswersAreAsLongAsThePeerTakes() {
    Handle("GET", 1'000);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1'000}, m_last_request.m_max_answer_bytes);
    m_direct = net::NetError{net::TooLong{}};
    CPPUNIT_ASSERT(Handle("GET", 1'000).too_long);
  }

  // The store serves, and a peer would get the same answer.
  void AnswerThatIsTooLongIsNoSilence() {
    m_direct = net::NetError{net::TooLong{}};
    for (int i = 0; i <= RelaySettings{}.m_failure_threshold; ++i) CPPUNIT_ASSERT(IsTooLong(Send("GET")));
    m_direct = Status(200);
    CPPUNIT_ASSERT_EQUAL(200, StatusOf(Send("POST")));
    CPPUNIT_ASSERT_EQUAL(0, m_peer_calls);
  }

  // So that an instance that only peers connect to the store asks for less.
  void PeerTellsThatAnAnswerIsTooLong() {
    MakeStoreUnreachable();
    m_peer = Answer(0);
    m_peer->__set_too_long(true);
    const int before = m_direct_calls;
    CPPUNIT_ASSERT(IsTooLong(Send("GET")));
    CPPUNIT_ASSERT_EQUAL(before, m_direct_calls);
  }

  // Known from a day on which the store turned away the leader alone, in silence: its reads, and the feed of accepted
  // jobs, waited for 1.9 s.
  void SilentReadIsHedgedThroughPeer() {
    m_hold = true;
    std::optional<HttpResult> answer;
    SendAsync("GET", &answer);
    m_timers.Advance(Millis{50});
    CPPUNIT_ASSERT(!answer);
    m_timers.Advance(Millis{100});
    CPPUNIT_ASSERT(answer);
    CPPUNIT_ASSERT_EQUAL(200, StatusOf(*answer));
    CPPUNIT_ASSERT_EQUAL(1, m_peer_calls);
  }

  void HedgesRevealACutInstance() {
    m_hold = true;
    for (int i = 0; i < 2; ++i) {
      std::optional<HttpResult> answer;
      SendAsync("GET", &answer);
      m_timers.Advance(Millis{200});
      CPPUNIT_ASSERT(answer);
    }
    std::optional<HttpResult> answer;
    SendAsync("POST", &answer);
    CPPUNIT_ASSERT(answer);  // Through a peer at once.
  }

  // The server may hold the answer to a feed back, so its silence says nothing. That of another call does.
  void SilenceMovesWaitingCallsToPeers() {
    m_hold = true;
    std::optional<HttpResult> feed;
    SendAsync("GET", &feed, true);
    m_timers.Advance(Millis{600});
    CPPUNIT_ASSERT(!feed);
    CPPUNIT_ASSERT_EQUAL(0, m_peer_calls);
    std::optional<HttpResult> write;
    SendAsync("POST", &write);
    m_timers.Advance(Millis{150});
    CPPUNIT_ASSERT(feed);
    CPPUNIT_ASSERT(!write);  // It may have been done.
    CPPUNIT_ASSERT_EQUAL(1, m_peer_calls);
  }

  // Its usual time is learnt, so that hedges don't make it slower still.
  void SlowStoreIsNotAskedTwice() {
    m_hold = true;
    for (int i = 0; i < 5; ++i) {
      std::optional<HttpResult> answer;
      SendAsync("GET", &answer);
      m_timers.Advance(Millis{240});
      m_held.back()(Status(200));
      CPPUNIT_ASSERT(answer);
    }
    CPPUNIT_ASSERT_EQUAL(1, m_peer_calls);  // For the first one only.
  }

  // A call that timed out says nothing of the time that answers take.
  void LostAnswersDoNotDelayHedges() {
    m_hold = true;
    for (int i = 0; i < 3; ++i) {
      std::optional<HttpResult> answer;
      SendAsync("GET", &answer);
      m_timers.Advance(Millis{150});
      CPPUNIT_ASSERT(answer);
      m_timers.Advance(Millis{800});
      m_held.back()(net::NetError{net::TimedOut{true}});
      m_relay->Send()(kStore, Request("GET", false), kTimeout, [](const HttpResult&) {});
      if (m_held.size() > 1) m_held.back()(Status(200));  // The store answers others, so it is not taken for away.
    }
  }

  // Its peers are used up: silence must not end it before its time.
  void CallThatPeersFailedWaitsForTheStore() {
    m_direct = Status(503);
    for (int i = 0; i < RelaySettings{}.m_failure_threshold; ++i) Send("GET");
    m_peer = std::nullopt;
    m_hold = true;
    m_clock.Set(m_clock.Now() + Millis{1});
    std::optional<HttpResult> answer;
    SendAsync("GET", &answer);
    m_timers.Advance(Millis{300});
    CPPUNIT_ASSERT(!answer);
    m_held.back()(Status(200));
    CPPUNIT_ASSERT(answer);
    CPPUNIT_ASSERT_EQUAL(200, StatusOf(*answer));
  }

  void LateDirectAnswerIsIgnored() {
    m_hold = true;
    int answers = 0;
    m_relay->Send()(kStore, Request("GET", false), kTimeout, [&answers](const HttpResult&) { ++answers; });
    m_timers.Advance(Millis{200});
    CPPUNIT_ASSERT_EQUAL(1, answers);
    m_held.back()(Status(200));
    CPPUNIT_ASSERT_EQUAL(1, answers);
  }

  // Guards against copies of a large answer that share a small link with it, known from configurations of 4,200 routes.
  void ArrivingAnswerIsNotHedged() {
    m_hold = true;
    std::optional<HttpResult> read;
    SendAsync("GET", &read);
    m_progress(200);
    std::optional<HttpResult> feed;
    SendAsync("GET", &feed, true);
    m_progress(200);
    std::optional<HttpResult> write;
    SendAsync("POST", &write);
    m_timers.Advance(Millis{900});  // The write is silent for long.
    CPPUNIT_ASSERT(!read && !feed);
    CPPUNIT_ASSERT_EQUAL(0, m_peer_calls);
    m_held[1](Status(200));
    CPPUNIT_ASSERT(feed);
  }

  void ArrivingAnswerShowsThatTheStoreServes() {
    m_hold = true;
    for (int i = 0; i < RelaySettings{}.m_failure_threshold + 1; ++i) {
      std::optional<HttpResult> answer;
      SendAsync("POST", &answer);
      m_held.back()(net::NetError{net::TimedOut{true}});
      SendAsync("GET", &answer);
      m_progress(200);
    }
    m_hold = false;
    const int before = m_peer_calls;
    Send("POST");
    CPPUNIT_ASSERT_EQUAL(before, m_peer_calls);
  }

  // Calls that are silent for long are still noticed soon after a large answer.
  void TimeOfALargeAnswerIsNotThatOfCalls() {
    m_hold = true;
    std::optional<HttpResult> large;
    SendAsync("GET", &large);
    m_timers.Advance(Millis{5});
    m_progress(200);
    m_timers.Advance(Millis{3'000});
    m_held.back()(Status(200));
    CPPUNIT_ASSERT(large);
    std::optional<HttpResult> silent;
    SendAsync("GET", &silent);
    m_timers.Advance(Millis{150});
    CPPUNIT_ASSERT(silent);
  }

  // A peer may not have it, or only later: what has come over the own link is not thrown away.
  void AnswerOfAProbeIsTaken() {
    MakeStoreUnreachable();
    m_clock.Advance(Millis{600});
    m_hold = true;
    m_hold_peer = true;
    std::optional<HttpResult> answer;
    SendAsync("GET", &answer);
    CPPUNIT_ASSERT(!answer);
    m_held.back()(Status(200));
    CPPUNIT_ASSERT(answer);
    CPPUNIT_ASSERT_EQUAL(200, StatusOf(*answer));
  }

  // Guards against a large answer that is asked for again beside the probe that brings it, known from configurations
  // that were late by seconds after an outage.
  void ProbedCallIsNotSentTwice() {
    MakeStoreUnreachable();
    m_clock.Advance(Millis{600});
    m_hold = true;
    m_peer.reset();
    const int before = m_direct_calls;
    std::optional<HttpResult> answer;
    SendAsync("GET", &answer);
    CPPUNIT_ASSERT(!answer);
    CPPUNIT_ASSERT_EQUAL(before + 1, m_direct_calls);
    m_held.back()(Status(200));
    CPPUNIT_ASSERT(answer);
    CPPUNIT_ASSERT_EQUAL(200, StatusOf(*answer));
  }

  // The same by way of further peers. They are asked again once it has broken off.
  void ArrivingAnswerOfAProbeIsLeftToArrive() {
    MakeStoreUnreachable();
    m_clock.Advance(Millis{600});
    m_hold = m_hold_peer = true;
    const int before = m_peer_calls;
    std::optional<HttpResult> answer;
    SendAsync("GET", &answer);
    m_progress(200);
    m_held_peers.back()(nullptr);
    CPPUNIT_ASSERT_EQUAL(before + 1, m_peer_calls);
    m_hold_peer = false;
    m_held.back()(net::NetError{net::Cut{"reset"}});
    CPPUNIT_ASSERT(answer);
    CPPUNIT_ASSERT_EQUAL(200, StatusOf(*answer));
    CPPUNIT_ASSERT_EQUAL(before + 2, m_peer_calls);
  }

 private:
  static wire::StoreAnswer Answer(int status) {
    wire::StoreAnswer answer;
    answer.__set_status(status);
    answer.__set_sent(status != 0);
    return answer;
  }

  void MakeStoreUnreachable() {
    m_direct = Status(503);
    for (int i = 0; i < RelaySettings{}.m_failure_threshold; ++i) Send("POST");
  }

  HttpResult Send(const char* method) {
    HttpResult outcome = net::NetError{net::NotSent{"no answer at all"}};
    net::HttpRequest request;
    request.m_method = method;
    m_relay->Send()(kStore, request, kTimeout, [&outcome](HttpResult result) { outcome = std::move(result); });
    return outcome;
  }

  wire::StoreAnswer Handle(const char* method = "POST", std::int64_t max_answer_bytes = 0) {
    wire::StoreCall call;
    if (max_answer_bytes > 0) call.__set_max_answer_bytes(max_answer_bytes);
    call.__set_method(method);
    call.__set_timeout_ms(kTimeout.count());
    auto outcome = std::make_shared<wire::StoreAnswer>(Answer(-1));
    m_relay->Handle(call, [outcome](inner::Message message) { *outcome = std::get<wire::StoreAnswer>(message); });
    return *outcome;
  }

  static bool IsTooLong(const HttpResult& result) {
    return !Ok(result) && std::holds_alternative<net::TooLong>(ErrorOf(result));
  }

  static int StatusOf(const HttpResult& result) { return Ok(result) ? ValueOf(result).m_status : 0; }

  static net::HttpRequest Request(const char* method, bool may_wait) {
    net::HttpRequest request;
    request.m_method = method;
    request.m_may_wait = may_wait;
    return request;
  }

  void SendAsync(const char* method, std::optional<HttpResult>* answer, bool may_wait = false) {
    m_relay->Send()(kStore, Request(method, may_wait), kTimeout,
                    [answer](HttpResult result) { *answer = std::move(result); });
  }

  ManualClock m_clock;
  ManualTimerService m_timers{&m_clock};
  Metrics m_metrics;
  HttpResult m_direct = Status(200);
  std::optional<wire::StoreAnswer> m_peer;  // Empty: no answer.
  std::vector<net::ResponseCallback> m_held;
  std::vector<std::function<void(const inner::Message*)>> m_held_peers;
  net::HttpRequest m_last_request;      // Of the direct calls.
  std::function<void(int)> m_progress;  // Of the last direct call.
  bool m_hold = false;
  bool m_hold_peer = false;
  int m_direct_calls = 0;
  int m_peer_calls = 0;
  std::shared_ptr<StoreRelay> m_relay;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayTest);

}  // namespace
}  // namespace hickoryquay::service
