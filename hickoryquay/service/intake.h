// Intake: takes jobs in, and answers for them, on any instance. What it decides, it decides from the store.
//
// A job is accepted once its row is stored. A write without an answer may still take effect, so it is sent again until
// it is settled or the caller's time is over; only then is the outcome reported as unknown. A refusal is given only
// where nothing can have been written. So a store that has been silent for a moment is asked something harmless before
// a write is sent, and while it is away callers are refused at once.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "hickoryquay/base/metrics.h"
#include "hickoryquay/base/timer_service.h"
#include "hickoryquay/jobs/job.h"
#include "hickoryquay/service/scheduler_driver.h"
#include "hickoryquay/store/row_store.h"

namespace hickoryquay::service {

struct IntakeSettings {
  TableNames m_tables;
  Millis m_call_timeout{2'500};   // Longest time of one call to the store; usually AdaptiveStore allows far less.
  Millis m_contact_max_age{250};  // A write goes out only where the store answered within this; else it is asked first.
  Millis m_probe_timeout{1'000};  // Longest time of that question.
  Millis m_probe_interval{120};   // While the store is away.
  Millis m_retry_delay{60};       // After a refused or unanswered call.
  Millis m_refuse_after{500};     // A job that could not be written by then is refused, where nothing was sent.
  Millis m_retry_after{1'000};    // Told to callers that are refused: about the time of a takeover.
  Millis m_answer_margin{60};     // Answers go out this much before the caller's time is over.
  Millis m_phase_retention{120'000};  // Phases of ended jobs are remembered this long.
};

//-------------------------------------------------------------------------------------------------
// Answers
//-------------------------------------------------------------------------------------------------

struct UnknownQueue {};
struct UnknownKey {};
struct Malformed {
  std::string m_why;
};

// The request has not run and never will.
struct TryLater {
  Millis m_retry_after{0};
  std::string m_why;
};
struct OutcomeUnknown {};  // It may have taken effect; the same request may be sent again.
struct NoSuchJob {};

using IntakeError = std::variant<UnknownQueue, UnknownKey, Malformed, TryLater, OutcomeUnknown, NoSuchJob>;

// Where a call goes, and for whom.
struct Route {
  jobs::Queue m_queue;
  AccountId m_account;  // Empty on public queues.
};

using SubmitCallback = std::function<void(Result<Done, IntakeError>)>;
using PhaseCallback = std::function<void(Result<jobs::JobPhase, IntakeError>)>;

//-------------------------------------------------------------------------------------------------
// PhaseCache
//-------------------------------------------------------------------------------------------------

// Phases of jobs as the leader tells them, and how many jobs wait. Not thread-safe.
class PhaseCache {
 public:
  explicit PhaseCache(Millis keep) : m_retention(keep) {}

  void Set(JobId job, jobs::JobPhase phase, Instant now);
  // Phases may have been missed: what has not ended is forgotten.
  void DropUnfinished();
  void SetPending(std::map<jobs::QueueName, int> pending, Instant now);
  // The leader was heard. Phases that can still change are believed only shortly after.
  void NoteHeartbeat(Instant now) { m_heartbeat_at = now; }
  std::optional<jobs::JobPhase> Find(JobId job, Instant now) const;
  std::optional<int> Pending(const jobs::QueueName& queue, Instant now) const;  // Empty where the count is too old.
  void RemoveExpired(Instant now);

 private:
  struct Entry {
    jobs::JobPhase m_phase;
    Instant m_since;
  };
  Millis m_retention;
  std::map<JobId, Entry> m_entries;
  std::map<jobs::QueueName, int> m_pending;
  Instant m_pending_at;
  Instant m_heartbeat_at;
  bool m_has_pending = false;
};

//-------------------------------------------------------------------------------------------------
// Intake
//-------------------------------------------------------------------------------------------------

// One thread.
class Intake : public std::enable_shared_from_this<Intake> {
 public:
  Intake(store::RowStore* store, TimerService* timers, const Clock* clock, Metrics* metrics,
         const IntakeSettings& settings);

  void SetConfiguration(std::shared_ptr<const jobs::QueueConfiguration> configuration);
  std::shared_ptr<const jobs::QueueConfiguration> Configuration() const { return m_configuration; }
  PhaseCache& Phases() { return m_phases; }

  // Called whenever the store answers again after it was away.
  void SetOnStoreAvailable(std::function<void()> on_back) { m_on_store_available = std::move(on_back); }

  // The store answered some call of this instance.
  void NoteStoreAnswer() { m_last_answer = m_clock->Now(); }

  // The queue of a call. `key` is empty where the caller sent none.
  Result<Route, IntakeError> Find(std::string_view host, std::string_view path, std::string_view key) const;

  // `time` is what the caller will wait.
  void Submit(const Route& route, JobId id, jobs::JobRequest request, Millis time, SubmitCallback callback);
  void Cancel(JobId id, Millis time, SubmitCallback callback);
  void State(JobId id, Millis time, PhaseCallback callback);
  Result<int, IntakeError> Pending(const jobs::QueueName& queue) const;

 private:
  struct Write;

  void CheckStore(std::function<void(bool answers)> then);
  void Probe(std::function<void(bool answers)> then);
  void MarkStoreDown();
  void Attempt(const std::shared_ptr<Write>& write);
  void OnAttempt(const std::shared_ptr<Write>& write, Instant sent, Result<Version, store::TransactError> result);
  // A call that was lost with the store tells nothing once a later one was answered.
  bool AnsweredSince(Instant sent) const { return m_last_answer > sent; }
  void Finish(const std::shared_ptr<Write>& write, Result<Done, IntakeError> result);
  void ReadPhase(JobId id, Instant until, PhaseCallback callback);
  void ReadAccepted(JobId id, Instant until, PhaseCallback callback);
  void Retry(Instant until, std::function<void()> again, std::function<void()> give_up);
  store::RowKey IntakeKey(std::string key) const;
  TryLater Refusal(const char* why) const { return {m_settings.m_retry_after, why}; }

  store::RowStore* m_store;
  TimerService* m_timers;
  const Clock* m_clock;
  IntakeSettings m_settings;
  std::shared_ptr<const jobs::QueueConfiguration> m_configuration;
  PhaseCache m_phases;
  Instant m_last_answer;      // Last answer of the store.
  bool m_store_down = false;  // The store did not answer the last question.
  std::function<void()> m_on_store_available;
  Subscription m_probe;
  Metrics* m_metrics;
  Counter* m_accepted;
  Counter* m_unknown;
  Distribution* m_submit_ms;
};

}  // namespace hickoryquay::service
