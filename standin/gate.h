// Gate: delivers all events of a simulated process. Closing the gate suspends the process; events that arrive meanwhile
// are delivered when it is opened again.
//
// With a processor, each event takes time, and those that arrive meanwhile wait in order: a short processor makes the
// process act on what it has not caught up with.
#pragma once

#include <cstdint>
#include <ctime>
#include <deque>
#include <functional>
#include <memory>
#include <utility>

#include "hickoryquay/base/timer_service.h"
#include "hickoryquay/jobs/worker_api.h"
#include "hickoryquay/store/row_store.h"

namespace hickoryquay::service {

// What an event costs: a fixed time, for the calls that the simulation leaves out, and what it really takes here.
struct ProcessorSettings {
  std::int64_t m_event_us = 0;  // Of a whole core.
  double m_measured = 0.0;      // Share of the measured time of its handler that counts; 0: a repeatable run.
  double m_share = 1.0;         // Of a core that the process has.
};

class Gate : public std::enable_shared_from_this<Gate> {
 public:
  // `timers` outlives the gate.
  void SetProcessor(TimerService* timers, const ProcessorSettings& settings) {
    m_timers = timers;
    m_processor = settings;
  }
  // Runs `event` now, or at the next Open if closed. Drops it if the process was killed.
  void Deliver(std::function<void()> event) {
    if (m_killed) return;
    if (!m_closed && m_timers == nullptr) return event();
    m_queued.push_back(std::move(event));
    Work();
  }
  void Close() { m_closed = true; }
  void Open() {
    m_closed = false;
    if (m_timers != nullptr) return Work();
    for (auto& event : std::exchange(m_queued, {})) Deliver(std::move(event));
  }
  void Kill() {
    m_killed = true;
    m_queued.clear();
  }
  bool Closed() const { return m_closed; }
  std::int64_t BusyUs() const { return m_used_us; }  // Time of a whole core used so far.
  std::size_t Waiting() const { return m_queued.size(); }

 private:
  // Runs the events that wait, until they have used up a millisecond.
  void Work() {
    if (m_closed || m_busy || m_timers == nullptr) return;
    while (!m_queued.empty() && !m_closed) {
      const auto event = std::move(m_queued.front());
      m_queued.pop_front();
      m_busy = true;  // Events that this one causes wait too.
      const std::clock_t begin = std::clock();
      event();
      const auto measured_us = static_cast<double>(std::clock() - begin) * 1e6 / CLOCKS_PER_SEC;
      m_busy = false;
      const std::int64_t used =
          m_processor.m_event_us + static_cast<std::int64_t>(m_processor.m_measured * measured_us);
      m_used_us += used;
      m_debt_us += static_cast<std::int64_t>(static_cast<double>(used) / m_processor.m_share);
      if (m_debt_us < 1'000) continue;
      m_busy = true;
      const Millis pause{m_debt_us / 1'000};
      m_debt_us %= 1'000;
      m_timers
          ->After(pause,
                  [self = shared_from_this()] {
                    self->m_busy = false;
                    self->Work();
                  })
          .Detach();
      return;
    }
  }

  bool m_closed = false;
  bool m_killed = false;
  std::deque<std::function<void()>> m_queued;
  TimerService* m_timers = nullptr;  // Null: events take no time.
  ProcessorSettings m_processor;
  bool m_busy = false;
  std::int64_t m_used_us = 0;
  std::int64_t m_debt_us = 0;  // Used and not waited for yet.
};

using SharedGate = std::shared_ptr<Gate>;

class GatedTimers final : public TimerService {
 public:
  GatedTimers(SharedGate gate, TimerService* inner) : m_gate(std::move(gate)), m_inner(inner) {}

  Subscription After(Millis delay, Callback callback) override {
    return m_inner->After(delay, [gate = m_gate, callback = std::move(callback)] { gate->Deliver(callback); });
  }
  Subscription Every(Millis period, Callback callback) override {
    return m_inner->Every(period, [gate = m_gate, callback = std::move(callback)] { gate->Deliver(callback); });
  }

 private:
  SharedGate m_gate;
  TimerService* m_inner;
};

class GatedStore final : public store::RowStore {
 public:
  GatedStore(SharedGate gate, store::RowStore* inner) : m_gate(std::move(gate)), m_inner(inner) {}

  void Transact(const store::Transaction& transaction, Millis timeout, store::TransactCallback callback) override {
    m_inner->Transact(transaction, timeout, Gated<Result<Version, store::TransactError>>(std::move(callback)));
  }
  void Read(const store::RowRange& range, int limit, Millis timeout, store::ReadCallback callback) override {
    m_inner->Read(range, limit, timeout, Gated<Result<store::RowPage, store::ReadError>>(std::move(callback)));
  }
  void Feed(const store::FeedRange& range, Millis timeout, store::ReadCallback callback) override {
    m_inner->Feed(range, timeout, Gated<Result<store::RowPage, store::ReadError>>(std::move(callback)));
  }

 private:
  template <typename Answer>
  std::function<void(Answer)> Gated(std::function<void(Answer)> callback) {
    return [gate = m_gate, callback = std::move(callback)](Answer answer) {
      gate->Deliver([callback, answer = std::move(answer)] { callback(answer); });
    };
  }

  SharedGate m_gate;
  store::RowStore* m_inner;
};

class GatedWorkers final : public jobs::WorkerApi {
 public:
  GatedWorkers(SharedGate gate, jobs::WorkerApi* inner) : m_gate(std::move(gate)), m_inner(inner) {}

  void Start(const jobs::WorkerTarget& worker, const jobs::StartCall& call, Millis timeout,
             jobs::StartCallback callback) override {
    m_inner->Start(worker, call, timeout, Gated<jobs::StartReply>(std::move(callback)));
  }
  void Stop(const jobs::WorkerTarget& worker, const jobs::StopCall& call, Millis timeout,
            jobs::StopCallback callback) override {
    m_inner->Stop(worker, call, timeout, Gated<jobs::StopOutcome>(std::move(callback)));
  }
  void Poll(const jobs::WorkerTarget& worker, const jobs::PollCall& call, Millis timeout,
            jobs::PollCallback callback) override {
    m_inner->Poll(worker, call, timeout, Gated<Result<jobs::PollReply, jobs::PollFailure>>(std::move(callback)));
  }

 private:
  template <typename Answer>
  std::function<void(Answer)> Gated(std::function<void(Answer)> callback) {
    return [gate = m_gate, callback = std::move(callback)](Answer answer) {
      gate->Deliver([callback, answer = std::move(answer)] { callback(answer); });
    };
  }

  SharedGate m_gate;
  jobs::WorkerApi* m_inner;
};

}  // namespace hickoryquay::service
