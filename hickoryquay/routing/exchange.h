// Exchange: one request of one caller, from its head to its outcome. Each caller session has one and uses it again.
#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <optional>

#include "hickoryquay/routing/backend_connection.h"
#include "hickoryquay/routing/claims.h"
#include "hickoryquay/routing/outcome.h"
#include "hickoryquay/routing/request_core.h"
#include "hickoryquay/routing/wait_queue.h"

namespace hickoryquay::routing {

class CallerSession;

// All calls on the session's thread, but for OnSlot and OnShed.
class Exchange final : public CallHandler, public SlotWaiter {
 public:
  Exchange(RequestCore* core, RequestThread* thread, CallerSession* session)
      : m_core(core), m_thread(thread), m_session(session) {}

  // The session is told the outcome once, perhaps inside this call.
  void Begin(RequestHead* request);

  void CheckDeadline(Instant now);

  // The caller is gone: gives up waiting for a slot. What was sent goes on, so that its claim learns its outcome.
  void Withdraw();
  bool Active() const { return m_active; }

  void OnCallEnded(BackendConnection* connection, CallResult result, AnswerHead* answer) override;
  void OnSlot(std::uint64_t id, std::shared_ptr<Backend> backend) override;
  void OnShed(std::uint64_t id) override;

 private:
  static constexpr std::size_t kMostCalls = 2;  // The second one is a hedge.

  Reason Admit();  // Reads market, account, class and deadline; kNone where all is well.
  void Claim();
  void OnClaim(const ClaimResult& result);
  void Acquire();
  void TakeGranted(std::uint64_t id, const BackendPtr& backend);
  void SendTo(const BackendPtr& backend);
  std::shared_ptr<BackendConnection> ConnectionTo(const BackendPtr& backend);
  void Hedge();
  void OnWhole(AnswerHead* answer);
  void OnFailed(CallResult result, const Backend* backend);
  bool MayRetry(bool maybe_ran);
  void Refuse(Reason reason);
  void EndClaim(ClaimEnd end);
  void End();
  std::size_t CallsInFlight() const;
  std::shared_ptr<Exchange> Self();  // Shares the session's ownership.
  std::uint64_t NewId();

  RequestCore* m_core;
  RequestThread* m_thread;
  CallerSession* m_session;

  bool m_active = false;
  std::uint64_t m_number = 0;  // Counts requests; tells late callbacks from current ones.
  RequestHead* m_request = nullptr;
  MarketId m_market_id;
  AccountId m_account;
  ClassId m_class_id;
  std::shared_ptr<const RequestSnapshot> m_snapshot;  // Keeps m_market alive.
  const MarketView* m_market = nullptr;
  int m_urgency = 0;
  bool m_repeatable = false;
  bool m_claiming = false;
  std::optional<ClaimHold> m_claim;
  Instant m_started;
  Instant m_deadline;
  std::uint64_t m_wait_id = 0;  // 0: not waiting.
  int m_attempts = 0;
  Instant m_hedge_at;
  bool m_hedged = false;
  Reason m_not_run = Reason::kNone;    // Of the last attempt that was not run.
  Reason m_maybe_ran = Reason::kNone;  // Of the first attempt that may have run.
  const Backend* m_except = nullptr;
  std::array<std::shared_ptr<BackendConnection>, kMostCalls> m_calls;
};

}  // namespace hickoryquay::routing
