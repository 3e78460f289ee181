// Pattern: a job of hundreds of tasks starts while the leader sits behind a slow link. No network.

#include "hickoryquay/service/command_queue.h"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>

namespace hickoryquay::service {
namespace {

constexpr int kBytesOfStart = 1'500;
constexpr Millis kRoundTrip{4};
constexpr Millis kTimeout{350};  // Of a command, see SessionSettings.

// A link that carries commands one after another.
class Link {
 public:
  explicit Link(int bytes_per_ms) : m_bytes_per_ms(bytes_per_ms) {}

  // Sends `commands` starts in virtual time. Returns how many were not answered in time.
  int Send(CommandQueue* queue, int commands) {
    for (int i = 0; i < commands; ++i) queue->Add(jobs::StartCommand{}, m_now);
    int late = 0;
    while (true) {
      while (queue->Next()) {
        queue->OnSent();
        m_free = std::max(m_free, m_now) + Millis{kBytesOfStart / m_bytes_per_ms};
        m_sent.emplace_back(m_now, m_free + kRoundTrip);
        m_longest_queue = std::max(m_longest_queue, m_free - m_now);
      }
      if (m_sent.empty()) return late;
      const auto [sent, answered] = m_sent.front();
      m_sent.pop_front();
      m_now = std::max(m_now, answered);
      late += answered - sent > kTimeout ? 1 : 0;
      queue->OnAnswer(answered - sent, m_now);
    }
  }
  Millis LongestQueue() const { return m_longest_queue; }  // What a poll would have waited for.
  Instant Now() const { return m_now; }

 private:
  int m_bytes_per_ms;
  Instant m_now{1'000'000};
  Instant m_free;
  Millis m_longest_queue{0};
  std::deque<std::pair<Instant, Instant>> m_sent;  // With the time of the answer.
};

class CommandQueueTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CommandQueueTest);
  CPPUNIT_TEST(SlowLinkIsNotFlooded);
  CPPUNIT_TEST(FastLinkIsUsed);
  CPPUNIT_TEST(StopsGoFirstThenUrgentStarts);
  CPPUNIT_TEST(DeadWorkersDoNotStallTheOthers);
  CPPUNIT_TEST(StopsWithoutAnAnswerDoNotHoldStartsBack);
  CPPUNIT_TEST(StartsThatWaitTooLongAreTakenOut);
  CPPUNIT_TEST_SUITE_END();

 public:
  // All were sent at once before: at 2 Mbit/s 300 starts take 1.8 s, so most got no answer within 350 ms.
  void SlowLinkIsNotFlooded() {
    Link link(250);
    CommandQueue queue{CommandWindow{}};
    CPPUNIT_ASSERT_EQUAL(0, link.Send(&queue, 300));
    CPPUNIT_ASSERT(link.LongestQueue() < Millis{250});
    CPPUNIT_ASSERT_EQUAL(0, queue.InFlight());
  }

  void FastLinkIsUsed() {
    Link link(25'000);  // 200 Mbit/s.
    CommandQueue queue{CommandWindow{}};
    const Instant begin = link.Now();
    CPPUNIT_ASSERT_EQUAL(0, link.Send(&queue, 3'000));
    CPPUNIT_ASSERT(link.Now() - begin < Millis{500});
  }

  void StopsGoFirstThenUrgentStarts() {
    CommandQueue queue{CommandWindow{}};
    for (const int priority : {2, 0, 1, 0}) {
      jobs::StartCommand start;
      start.m_priority = priority;
      queue.Add(start, Instant{});
    }
    queue.Add(jobs::StopCommand{});
    CPPUNIT_ASSERT(std::holds_alternative<jobs::StopCommand>(*queue.Next()));
    for (const int priority : {0, 0, 1, 2}) {
      CPPUNIT_ASSERT_EQUAL(priority, std::get<jobs::StartCommand>(*queue.Next()).m_priority);
    }
    CPPUNIT_ASSERT(!queue.Next());
  }

  // A fifth of the workers does not answer, as after the loss of a failure domain.
  void DeadWorkersDoNotStallTheOthers() {
    CommandQueue queue{CommandWindow{}};
    Instant now{1'000'000};
    std::multimap<Instant, Millis> answers;
    constexpr int kCommands = 2'000;
    for (int i = 0; i < kCommands; ++i) queue.Add(jobs::StartCommand{}, now);
    int sent = 0;
    while (sent < kCommands || !answers.empty()) {
      while (queue.Next()) {
        queue.OnSent();
        const Millis takes = ++sent % 5 == 0 ? kTimeout : kRoundTrip;
        answers.emplace(now + takes, takes);
      }
      now = answers.begin()->first;
      queue.OnAnswer(answers.begin()->second, now);
      answers.erase(answers.begin());
    }
    CPPUNIT_ASSERT_MESSAGE(std::to_string((now - Instant{1'000'000}).count()),
                           now - Instant{1'000'000} < Millis{12'000});
  }

  // Guards against starts that are never sent while runs on workers that don't answer are to be stopped: each stop is
  // sent again after its timeout, until the lease of its worker has ended.
  void StopsWithoutAnAnswerDoNotHoldStartsBack() {
    constexpr int kSilent = 60;
    constexpr int kStarts = 100;
    constexpr Millis kRetry{300};
    CommandQueue queue{CommandWindow{}};
    std::multimap<Instant, bool> answers;  // True: of a stop.
    std::multimap<Instant, int> retries;
    const Instant begin{1'000'000};
    for (int i = 0; i < kSilent; ++i) retries.emplace(begin, i);
    int started = 0;
    Instant now = begin;
    for (; now - begin < Millis{3'000} && started < kStarts; now = now + Millis{1}) {
      if (now - begin == Millis{1'000}) {  // The silent workers have shrunk the window.
        for (int i = 0; i < kStarts; ++i) queue.Add(jobs::StartCommand{}, now);
      }
      for (; !retries.empty() && retries.begin()->first <= now; retries.erase(retries.begin())) {
        queue.Add(jobs::StopCommand{});
      }
      for (; !answers.empty() && answers.begin()->first <= now; answers.erase(answers.begin())) {
        const bool stop = answers.begin()->second;
        stop ? queue.OnStopAnswer(kTimeout, now) : queue.OnAnswer(kRoundTrip, now);
        if (stop) retries.emplace(now + kRetry, 0);
      }
      while (const auto command = queue.Next()) {
        const bool stop = std::holds_alternative<jobs::StopCommand>(*command);
        stop ? queue.OnStopSent() : queue.OnSent();
        answers.emplace(now + (stop ? kTimeout : kRoundTrip), stop);
        if (!stop) ++started;
      }
    }
    CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string((now - begin).count()), kStarts, started);
  }

  // The link carries nothing for longer than the bound of an evacuation: what is decided before must not go out after.
  void StartsThatWaitTooLongAreTakenOut() {
    constexpr Millis kBound{5'000};
    const Instant begin{1'000'000};
    CommandWindow window;
    window.m_longest_queued = kBound;
    CommandQueue queue{window};
    for (const int priority : {0, 2}) {
      jobs::StartCommand start;
      start.m_priority = priority;
      queue.Add(start, begin + priority * Millis{100});
    }
    queue.Add(jobs::StopCommand{});
    CPPUNIT_ASSERT(queue.TakeExpired(begin + kBound).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, queue.TakeExpired(begin + kBound + Millis{1}).size());
    CPPUNIT_ASSERT(std::holds_alternative<jobs::StopCommand>(*queue.Next()));
    CPPUNIT_ASSERT_EQUAL(2, std::get<jobs::StartCommand>(*queue.Next()).m_priority);
    CPPUNIT_ASSERT(!queue.Next());
    CommandQueue unbounded{CommandWindow{}};
    unbounded.Add(jobs::StartCommand{}, begin);
    CPPUNIT_ASSERT(unbounded.TakeExpired(begin + Millis{3'600'000}).empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CommandQueueTest);

}  // namespace
}  // namespace hickoryquay::service
