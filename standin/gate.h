// Gate: delivers all events of a simulated process. Closing the gate suspends the process; events that arrive meanwhile
// are delivered when it is opened again.
#pragma once

#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include "hickoryquay/base/timer_service.h"
#include "hickoryquay/jobs/worker_api.h"
#include "hickoryquay/store/row_store.h"

namespace hickoryquay::service {

class Gate {
 public:
  // Runs `event` now, or at the next Open if closed. Drops it if the process was killed.
  void Deliver(std::function<void()> event) {
    if (m_killed) return;
    if (!m_closed) return event();
    m_queued.push_back(std::move(event));
  }
  void Close() { m_closed = true; }
  void Open() {
    m_closed = false;
    for (auto& event : std::exchange(m_queued, {})) Deliver(std::move(event));
  }
  void Kill() {
    m_killed = true;
    m_queued.clear();
  }
  bool Closed() const { return m_closed; }

 private:
  bool m_closed = false;
  bool m_killed = false;
  std::vector<std::function<void()>> m_queued;
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
  void Feed(const std::string& table, Version after, Millis wait, Millis timeout,
            store::ReadCallback callback) override {
    m_inner->Feed(table, after, wait, timeout, Gated<Result<store::RowPage, store::ReadError>>(std::move(callback)));
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
