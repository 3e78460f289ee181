// The path from caller to backend server over real sockets: outcomes, faults, limits.

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <boost/asio/write.hpp>

#include "tests/routing/loopback.h"

namespace hickoryquay::test {

namespace {

const std::string kOnce = "HQ-Once: 1\r\nIdempotency-Key: k-1\r\n";

void Expect(const std::string& outcome, const std::string& reason, const FakeCaller::Answer& answer) {
  CPPUNIT_ASSERT_EQUAL(outcome + " " + reason, answer.Outcome() + " " + answer.Reason());
}

bool Dumped(const Loopback& loop, const std::string& part) {
  return loop.m_server->Dump().find(part) != std::string::npos;
}

}  // namespace

class PathTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PathTest);
  CPPUNIT_TEST(WholeAnswer);
  CPPUNIT_TEST(OtherPathsGoToTheHandler);
  CPPUNIT_TEST(BadAnswersNeverReachACaller);
  CPPUNIT_TEST(AnswerSentTwiceReachesOneCaller);
  CPPUNIT_TEST(LateAnswerReachesNobody);
  CPPUNIT_TEST(LateAnswerHoldsNoMemory);
  CPPUNIT_TEST(RepeatableRequestIsTriedAgain);
  CPPUNIT_TEST(OnceIsSentOnce);
  CPPUNIT_TEST(RefusedOnceIsTriedElsewhere);
  CPPUNIT_TEST(OnceThroughTwoInstances);
  CPPUNIT_TEST(OnceNeedsTheTable);
  CPPUNIT_TEST(SlotsAndConnectionsHold);
  CPPUNIT_TEST(UrgentGoesFirstAndLeastUrgentIsShed);
  CPPUNIT_TEST(DeadlineInTheQueue);
  CPPUNIT_TEST(SlowRequestIsHedged);
  CPPUNIT_TEST(LeavingBackendGetsNothingNew);
  CPPUNIT_TEST(UnreachableBackendIsLeftOut);
  CPPUNIT_TEST(OwnFailureDomainGoesFirst);
  CPPUNIT_TEST(HugeAndSlowRequests);
  CPPUNIT_TEST(SlowReaderIsClosed);
  CPPUNIT_TEST(PendingAnswerEndsWithItsThread);
  CPPUNIT_TEST_SUITE_END();

 public:
  void WholeAnswer() {
    Loopback loop;
    FakeBackend& backend = loop.AddBackend("b-1");
    loop.Publish();
    const auto answer =
        loop.Ask(ServeRequest("preview", "X-Own: 7\r\nHQ-Request-Id: forged\r\n", "/thumb?x=1", "hello"));
    CPPUNIT_ASSERT_EQUAL(200, answer.m_status);
    Expect("done", "", answer);
    CPPUNIT_ASSERT_EQUAL(std::string("b-1"), answer.m_body);
    CPPUNIT_ASSERT_EQUAL(1, backend.m_ran);
    CPPUNIT_ASSERT(backend.m_last_head.rfind("POST /thumb?x=1 HTTP/1.1\r\n", 0) == 0);
    CPPUNIT_ASSERT(backend.m_last_head.find("X-Own: 7\r\n") != std::string::npos);
    CPPUNIT_ASSERT(backend.m_last_head.find("forged") == std::string::npos);
  }

  void OtherPathsGoToTheHandler() {
    Loopback loop;
    loop.Publish();
    CPPUNIT_ASSERT_EQUAL(200, loop.Ask("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").m_status);
    CPPUNIT_ASSERT_EQUAL(1, loop.m_other_paths);
    Expect("not-run", "no-backend", loop.Ask(ServeRequest("preview")));
    Expect("not-run", "unknown-class", loop.Ask(ServeRequest("nonesuch")));
    Expect("not-run", "key-required", loop.Ask(ServeRequest("booking")));
    Expect("not-run", "bad-deadline", loop.Ask(ServeRequest("preview", "HQ-Deadline-Ms: 0\r\n")));
  }

  void BadAnswersNeverReachACaller() {
    const std::vector<std::pair<Behaviour, std::string>> faults{{Behaviour::kCross, "crossed"},
                                                                {Behaviour::kCut, "cut"},
                                                                {Behaviour::kHangUp, "cut"},
                                                                {Behaviour::kNoLength, "bad-answer"},
                                                                {Behaviour::kOversized, "answer-too-large"}};
    for (const auto& [behaviour, reason] : faults) {
      routing::RequestSettings settings;
      settings.m_max_answer_bytes = 100'000;
      Loopback loop(settings);
      FakeBackend& backend = loop.AddBackend("b-1");
      backend.SetBehaviour(behaviour);
      loop.Publish();
      Expect("unknown", reason, loop.Ask(ServeRequest("booking", kOnce)));
      CPPUNIT_ASSERT_EQUAL(1, backend.m_ran);
      Expect("unknown", "first-unknown", loop.Ask(ServeRequest("booking", kOnce)));
      CPPUNIT_ASSERT_EQUAL(1, backend.m_ran);
    }
  }

  void AnswerSentTwiceReachesOneCaller() {
    Loopback loop;
    FakeBackend& backend = loop.AddBackend("b-1");
    backend.SetBehaviour(Behaviour::kTwice);
    loop.Publish();
    for (int i = 0; i < 3; ++i) Expect("done", "", loop.Ask(ServeRequest("preview")));
    CPPUNIT_ASSERT_EQUAL(3, backend.m_ran);
  }

  void LateAnswerReachesNobody() {
    Loopback loop;
    FakeBackend& backend = loop.AddBackend("b-1");
    backend.SetBehaviour(Behaviour::kHold);
    loop.Publish();
    const auto caller = loop.Connect();
    caller->Send(ServeRequest("booking", kOnce + "HQ-Deadline-Ms: 100\r\n"));
    CPPUNIT_ASSERT(loop.RunUntil([&] { return backend.m_ran == 1; }));
    loop.Advance(Millis{150});
    CPPUNIT_ASSERT(loop.Answered(*caller));
    Expect("unknown", "late", caller->m_answers[0]);
    // The slot stays taken while the backend server may still be at it.
    CPPUNIT_ASSERT(Dumped(loop, "\"in_flight\":1"));
    backend.AnswerHeld();
    CPPUNIT_ASSERT(loop.RunUntil([&] { return Dumped(loop, "\"in_flight\":0"); }));
    backend.SetBehaviour(Behaviour::kAnswer);
    caller->Send(ServeRequest("preview"));
    CPPUNIT_ASSERT(loop.Answered(*caller, 2));
    Expect("done", "", caller->m_answers[1]);
  }

  // Its connection is kept for the next call. It kept the memory of the answer too, until that call came.
  void LateAnswerHoldsNoMemory() {
    Loopback loop;
    FakeBackend& backend = loop.AddBackend("b-1");
    backend.SetBehaviour(Behaviour::kHoldLarge);
    loop.Publish();
    const auto caller = loop.Connect();
    caller->Send(ServeRequest("booking", kOnce + "HQ-Deadline-Ms: 100\r\n"));
    CPPUNIT_ASSERT(loop.RunUntil([&] { return backend.m_ran == 1; }));
    loop.Advance(Millis{150});
    backend.AnswerHeld();
    CPPUNIT_ASSERT(loop.RunUntil([&] { return Dumped(loop, "\"in_flight\":0"); }));
    CPPUNIT_ASSERT_EQUAL(1, backend.Connections());
    CPPUNIT_ASSERT(Dumped(loop, "\"body_bytes_left\":67108864"));
  }

  void RepeatableRequestIsTriedAgain() {
    Loopback loop;
    FakeBackend& bad = loop.AddBackend("b-1");
    FakeBackend& good = loop.AddBackend("b-2", "far");
    bad.SetBehaviour(Behaviour::kHangUp);
    loop.Publish();
    Expect("done", "", loop.Ask(ServeRequest("preview")));
    CPPUNIT_ASSERT_EQUAL(1, bad.m_ran);
    CPPUNIT_ASSERT_EQUAL(1, good.m_ran);
  }

  void OnceIsSentOnce() {
    Loopback loop;
    FakeBackend& backend = loop.AddBackend("b-1");
    loop.Publish();
    Expect("done", "", loop.Ask(ServeRequest("preview", kOnce)));
    const auto repeat = loop.Ask(ServeRequest("preview", kOnce));
    Expect("done", "kept-answer", repeat);
    CPPUNIT_ASSERT_EQUAL(std::string("b-1"), repeat.m_body);
    Expect("not-run", "key-reused", loop.Ask(ServeRequest("preview", kOnce, "/other")));
    CPPUNIT_ASSERT_EQUAL(1, backend.m_ran);
  }

  void RefusedOnceIsTriedElsewhere() {
    Loopback loop;
    FakeBackend& full = loop.AddBackend("b-1");
    FakeBackend& free = loop.AddBackend("b-2", "far");
    full.SetBehaviour(Behaviour::kRefuse);
    loop.Publish();
    Expect("done", "", loop.Ask(ServeRequest("booking", kOnce)));
    CPPUNIT_ASSERT_EQUAL(1, full.m_refused);
    CPPUNIT_ASSERT_EQUAL(1, free.m_ran);
    free.SetBehaviour(Behaviour::kRefuse);
    const std::string second = "HQ-Once: 1\r\nIdempotency-Key: k-2\r\n";
    const auto refused = loop.Ask(ServeRequest("booking", second));
    Expect("not-run", "refused-by-backend", refused);
    CPPUNIT_ASSERT_EQUAL(std::string("1"), refused.Header("Retry-After"));
    // The key is free again.
    free.SetBehaviour(Behaviour::kAnswer);
    Expect("done", "", loop.Ask(ServeRequest("booking", second)));
  }

  // The caller gives up on one instance and repeats through another, which shares the slots besides.
  void OnceThroughTwoInstances() {
    Loopback loop;
    FakeBackend& backend = loop.AddBackend("b-1");
    backend.SetBehaviour(Behaviour::kHold);
    routing::RequestSettings settings;
    settings.m_instance = InstanceId("e-2");
    settings.m_domain = DomainId("far");
    routing::RequestServer other(settings, {&loop.m_io}, &loop.m_timers, &loop.m_clock, &loop.m_table, &loop.m_metrics,
                                 [](const net::HttpRequest&, const net::Responder&) {});
    const std::vector<InstanceId> both{InstanceId("e-1"), InstanceId("e-2")};
    loop.PublishTo(loop.m_server.get(), both);
    loop.PublishTo(&other, both);
    CPPUNIT_ASSERT(Dumped(loop, "\"share\":4"));
    const auto first = loop.Connect();
    first->Send(ServeRequest("booking", kOnce));
    CPPUNIT_ASSERT(loop.RunUntil([&] { return backend.m_ran == 1; }));
    first->Close();
    const auto second = loop.Connect(other);
    second->Send(ServeRequest("booking", kOnce));
    CPPUNIT_ASSERT(loop.Answered(*second));
    Expect("unknown", "in-progress", second->m_answers[0]);
    backend.AnswerHeld();
    CPPUNIT_ASSERT(loop.RunUntil([&] { return Dumped(loop, "\"in_flight\":0"); }));
    second->Send(ServeRequest("booking", kOnce));
    CPPUNIT_ASSERT(loop.Answered(*second, 2));
    Expect("done", "kept-answer", second->m_answers[1]);
    CPPUNIT_ASSERT_EQUAL(1, backend.m_ran);
  }

  void OnceNeedsTheTable() {
    Loopback loop;
    FakeBackend& backend = loop.AddBackend("b-1");
    loop.Publish();
    loop.m_table.SetFault(FakeTable::Fault::kDown);
    Expect("not-run", "table-away", loop.Ask(ServeRequest("booking", kOnce)));
    loop.m_table.SetFault(FakeTable::Fault::kLostAnswer);
    Expect("not-run", "claim-in-doubt", loop.Ask(ServeRequest("booking", kOnce)));
    Expect("done", "", loop.Ask(ServeRequest("preview")));
    CPPUNIT_ASSERT_EQUAL(1, backend.m_ran);
    loop.m_table.SetFault(FakeTable::Fault::kNone);
    loop.Advance(Millis{1'100});
    Expect("done", "", loop.Ask(ServeRequest("booking", kOnce)));
    CPPUNIT_ASSERT_EQUAL(2, backend.m_ran);
  }

  // Whatever callers ask for, a backend server has no more than its slots to do.
  void SlotsAndConnectionsHold() {
    Loopback loop;
    FakeBackend& backend = loop.AddBackend("b-1");
    loop.m_listed[0].m_slots = 3;
    loop.Publish();
    for (int i = 0; i < 100; ++i) loop.Ask(ServeRequest("preview"));  // Opens the window.
    const int before = backend.m_ran;
    backend.SetBehaviour(Behaviour::kHold);
    std::vector<std::shared_ptr<FakeCaller>> callers;
    for (int i = 0; i < 20; ++i) {
      callers.push_back(loop.Connect());
      callers.back()->Send(ServeRequest("preview"));
    }
    loop.Settle();
    int running = backend.m_ran - before;
    CPPUNIT_ASSERT(running >= 1 && running <= 3);
    while (running < 20) {
      const int then = backend.m_ran;
      backend.AnswerHeld();
      loop.Settle();
      CPPUNIT_ASSERT(backend.m_ran > then && backend.m_ran - then <= 3);
      running = backend.m_ran - before;
    }
    backend.AnswerHeld();
    loop.Settle();
    for (const auto& caller : callers) {
      CPPUNIT_ASSERT(loop.Answered(*caller));
      Expect("done", "", caller->m_answers.at(0));
    }
    CPPUNIT_ASSERT(backend.m_most_connections <= 3);
    // Forty instances share the 60 connections: one for each.
    CPPUNIT_ASSERT(backend.Connections() > 1);
    std::vector<InstanceId> many{InstanceId("e-1")};
    for (int i = 2; i <= 40; ++i) many.emplace_back("e-" + std::to_string(i));
    loop.PublishTo(loop.m_server.get(), many);
    CPPUNIT_ASSERT(loop.RunUntil([&] { return backend.Connections() <= 1; }));
  }

  void UrgentGoesFirstAndLeastUrgentIsShed() {
    routing::RequestSettings settings;
    settings.m_max_waiting = 2;
    Loopback loop(settings);
    FakeBackend& backend = loop.AddBackend("b-1");
    loop.m_listed[0].m_slots = 1;
    loop.Publish();
    backend.SetBehaviour(Behaviour::kHold);
    std::vector<std::shared_ptr<FakeCaller>> callers;
    for (const char* work : {"bulk", "bulk", "bulk", "preview"}) {
      callers.push_back(loop.Connect());
      callers.back()->Send(ServeRequest(work, "", std::string("/") + work));
      loop.Settle();
    }
    // One runs, two wait: the second bulk one to wait had to go.
    CPPUNIT_ASSERT(loop.Answered(*callers[2]));
    Expect("not-run", "shed", callers[2]->m_answers.at(0));
    CPPUNIT_ASSERT_EQUAL(std::string("5"), callers[2]->m_answers[0].Header("Retry-After"));
    backend.AnswerHeld();
    CPPUNIT_ASSERT(loop.RunUntil([&] { return backend.m_ran == 2; }));
    CPPUNIT_ASSERT(backend.m_last_head.rfind("POST /preview ", 0) == 0);
    backend.AnswerHeld();
    CPPUNIT_ASSERT(loop.RunUntil([&] { return backend.m_ran == 3; }));
    backend.AnswerHeld();
    CPPUNIT_ASSERT(loop.Answered(*callers[1]));
    Expect("done", "", callers[1]->m_answers.at(0));
  }

  void DeadlineInTheQueue() {
    Loopback loop;
    FakeBackend& backend = loop.AddBackend("b-1");
    loop.m_listed[0].m_slots = 1;
    loop.Publish();
    backend.SetBehaviour(Behaviour::kHold);
    const auto first = loop.Connect();
    first->Send(ServeRequest("preview"));
    loop.Settle();
    const auto second = loop.Connect();
    second->Send(ServeRequest("preview", "HQ-Deadline-Ms: 50\r\n"));
    loop.Settle();
    loop.Advance(Millis{100});
    CPPUNIT_ASSERT(loop.Answered(*second));
    Expect("not-run", "deadline", second->m_answers.at(0));
    backend.AnswerHeld();
    loop.Settle();
    CPPUNIT_ASSERT_EQUAL(1, backend.m_ran);
  }

  void SlowRequestIsHedged() {
    Loopback loop;
    FakeBackend& slow = loop.AddBackend("b-1");
    FakeBackend& quick = loop.AddBackend("b-2", "far");
    loop.Publish();
    for (int i = 0; i < 50; ++i) loop.Ask(ServeRequest("preview"));  // Learns the usual latency.
    slow.SetBehaviour(Behaviour::kHold);
    const auto caller = loop.Connect();
    caller->Send(ServeRequest("preview"));
    loop.Settle();
    CPPUNIT_ASSERT(caller->m_answers.empty());
    loop.Advance(Millis{200});
    CPPUNIT_ASSERT(loop.Answered(*caller));
    Expect("done", "", caller->m_answers.at(0));
    CPPUNIT_ASSERT_EQUAL(1, quick.m_ran);
    // A request that runs at most once waits for its only answer.
    caller->Send(ServeRequest("booking", kOnce));
    loop.Settle();
    loop.Advance(Millis{200});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, caller->m_answers.size());
    slow.AnswerHeld();
    CPPUNIT_ASSERT(loop.Answered(*caller, 2));
    CPPUNIT_ASSERT_EQUAL(1, quick.m_ran);
  }

  void LeavingBackendGetsNothingNew() {
    Loopback loop;
    FakeBackend& leaving = loop.AddBackend("b-1");
    FakeBackend& staying = loop.AddBackend("b-2", "far");
    loop.Publish();
    leaving.SetBehaviour(Behaviour::kLeave);
    Expect("done", "", loop.Ask(ServeRequest("preview")));
    loop.Publish();  // The list lags and still shows it as live.
    for (int i = 0; i < 10; ++i) Expect("done", "", loop.Ask(ServeRequest("preview")));
    CPPUNIT_ASSERT_EQUAL(1, leaving.m_ran);
    CPPUNIT_ASSERT(loop.RunUntil([&] { return leaving.Connections() == 0; }));
    loop.m_listed[1].m_leaving = true;
    loop.Publish();
    Expect("not-run", "overloaded", loop.Ask(ServeRequest("preview")));
    CPPUNIT_ASSERT_EQUAL(10, staying.m_ran);
  }

  void UnreachableBackendIsLeftOut() {
    Loopback loop;
    FakeBackend& gone = loop.AddBackend("b-1");
    FakeBackend& there = loop.AddBackend("b-2", "far");
    loop.AddBackend("b-3", "far");
    loop.Publish();
    gone.StopListening();
    for (int i = 0; i < 5; ++i) {
      Expect("done", "", loop.Ask(ServeRequest("booking", "Idempotency-Key: k-" + std::to_string(i) + "\r\n")));
    }
    CPPUNIT_ASSERT(there.m_ran > 0);
    CPPUNIT_ASSERT(Dumped(loop, "\"ejected\":true"));
    CPPUNIT_ASSERT(loop.m_metrics.PrometheusText().find("hq_requests_retried_total 1\n") != std::string::npos);
  }

  void OwnFailureDomainGoesFirst() {
    Loopback loop;
    FakeBackend& near = loop.AddBackend("b-1");
    FakeBackend& far = loop.AddBackend("b-2", "far");
    loop.Publish();
    for (int i = 0; i < 20; ++i) loop.Ask(ServeRequest("preview"));
    CPPUNIT_ASSERT_EQUAL(20, near.m_ran);
    near.SetBehaviour(Behaviour::kHold);
    std::vector<std::shared_ptr<FakeCaller>> callers;
    for (int i = 0; i < 9; ++i) {
      callers.push_back(loop.Connect());
      callers.back()->Send(ServeRequest("preview"));
    }
    CPPUNIT_ASSERT(loop.RunUntil([&] { return far.m_ran >= 1; }));
  }

  void HugeAndSlowRequests() {
    Loopback loop;
    loop.AddBackend("b-1");
    loop.Publish();
    const std::string head = "POST /serve/x HTTP/1.1\r\n";
    Expect("not-run", "header-too-large", loop.Ask(head + "X: " + std::string(40'000, 'x') + "\r\n\r\n"));
    Expect("not-run", "body-too-large", loop.Ask(head + "Content-Length: 99999999\r\n\r\n"));
    Expect("not-run", "malformed", loop.Ask(head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"));
    Expect("not-run", "malformed", loop.Ask("nonsense\r\n\r\n"));
    const auto slow = loop.Connect();
    slow->Send(head);
    loop.Settle();
    loop.Advance(Millis{10'100});
    CPPUNIT_ASSERT(loop.Answered(*slow));
    Expect("not-run", "request-too-slow", slow->m_answers.at(0));
    const auto silent = loop.Connect();
    loop.Settle();
    loop.Advance(Millis{60'100});
    CPPUNIT_ASSERT(loop.RunUntil([&] { return silent->m_closed; }));
  }

  // Takes no byte of its answers: the session is given up, and its memory is returned.
  void SlowReaderIsClosed() {
    Loopback loop;
    loop.AddBackend("b-1").SetBehaviour(Behaviour::kOversized);
    loop.Publish();
    boost::asio::ip::tcp::socket socket(loop.m_io);
    const auto to = loop.m_server->Local();
    socket.connect({boost::asio::ip::make_address(to.m_address), to.m_port});
    std::string requests;
    for (int i = 0; i < 60; ++i) requests += ServeRequest("preview");
    boost::asio::write(socket, boost::asio::buffer(requests));
    // Until the answers fill the sockets: on a busy machine they may pause for longer than Settle() waits, calls would
    // then end late by the virtual clock, and their short answers fit.
    loop.RunUntil([] { return false; });
    CPPUNIT_ASSERT(Dumped(loop, "\"callers\":1,"));
    CPPUNIT_ASSERT(!Dumped(loop, "\"body_bytes_left\":67108864"));
    const std::string all_returned = "\"callers\":0,\"body_bytes_left\":67108864";
    for (int i = 0; i < 60 && !Dumped(loop, all_returned); ++i) loop.Advance(Millis{1'000});
    CPPUNIT_ASSERT_MESSAGE(loop.m_server->Dump(), Dumped(loop, all_returned));
  }

  // The end of the io_context destroys a pending read, whose connection returned memory to a budget that was
  // gone by then. Shows under a sanitizer.
  void PendingAnswerEndsWithItsThread() {
    Loopback loop;
    loop.AddBackend("b-1").SetBehaviour(Behaviour::kStall);
    loop.Publish();
    const auto caller = loop.Connect();
    caller->Send(ServeRequest("preview"));
    loop.Settle();
    CPPUNIT_ASSERT(!Dumped(loop, "\"body_bytes_left\":67108864"));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(PathTest);

}  // namespace hickoryquay::test
