// Intake: accepts, cancels and reports jobs for clients. Runs on every instance; the store is the source of truth.
//
// A job is accepted once its row is stored. A write that got no answer may still take effect, so it is sent again until
// its outcome is known or the caller's timeout is over; only then is the outcome reported as unknown. A request is
// refused only if nothing can have been written. Therefore a store that has not answered recently is probed with a read
// before a write is sent, and while the store is down callers are refused at once.
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
#include "hickoryquay/service/table_names.h"
#include "hickoryquay/store/row_store.h"

namespace hickoryquay::service {

struct IntakeSettings {
  TableNames m_tables;
  Millis m_call_timeout{2'500};       // Upper limit of a store call; AdaptiveStore usually sets a much shorter one.
  Millis m_contact_max_age{250};      // Writes are sent without a probe if the store answered within this time.
  Millis m_probe_timeout{1'000};      // Of a probe.
  Millis m_probe_interval{120};       // Between probes while the store is down.
  Millis m_retry_delay{60};           // After a refused or unanswered call.
  Millis m_refuse_after{500};         // Writes rejected for this long are refused if no attempt can take effect.
  Millis m_retry_after{1'000};        // Sent to refused callers; about the duration of a takeover.
  Millis m_answer_margin{60};         // Callers are answered this long before their timeout.
  Millis m_phase_retention{120'000};  // Of cached phases.
};

//-------------------------------------------------------------------------------------------------
// Answers
//-------------------------------------------------------------------------------------------------

struct UnknownQueue {};
struct UnknownKey {};
struct Malformed {
  std::string m_why;
};

// The request had no effect and never will.
struct TryLater {
  Millis m_retry_after{0};
  std::string m_why;
};
struct OutcomeUnknown {};  // The request may have taken effect; it is safe to repeat.
struct NoSuchJob {};

using IntakeError = std::variant<UnknownQueue, UnknownKey, Malformed, TryLater, OutcomeUnknown, NoSuchJob>;

// Queue and client account of a call.
struct Route {
  jobs::Queue m_queue;
  AccountId m_account;  // Empty on public queues.
};

using SubmitCallback = std::function<void(Result<Done, IntakeError>)>;
using PhaseCallback = std::function<void(Result<jobs::JobPhase, IntakeError>)>;

//-------------------------------------------------------------------------------------------------
// PhaseCache
//-------------------------------------------------------------------------------------------------

// Job phases and numbers of waiting jobs, as reported by the leader or read from the store. Not thread-safe.
class PhaseCache {
 public:
  explicit PhaseCache(Millis keep) : m_retention(keep) {}

  void Set(JobId job, jobs::JobPhase phase, Instant now);
  // Drops the phases of jobs that have not ended. For when updates may have been missed.
  void DropUnfinished();
  void SetPending(std::map<jobs::QueueName, int> pending, Instant now);
  // Records a heartbeat of the leader. Phases of unfinished jobs are valid only for a short time after one.
  void NoteHeartbeat(Instant now) { m_heartbeat_at = now; }
  std::optional<jobs::JobPhase> Find(JobId job, Instant now) const;
  std::optional<int> Pending(const jobs::QueueName& queue, Instant now) const;  // Empty if the count is too old.
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

// Not thread-safe; all calls and callbacks run on one thread.
class Intake : public std::enable_shared_from_this<Intake> {
 public:
  Intake(store::RowStore* store, TimerService* timers, const Clock* clock, Metrics* metrics,
         const IntakeSettings& settings);

  void SetConfiguration(std::shared_ptr<const jobs::QueueConfiguration> configuration);
  std::shared_ptr<const jobs::QueueConfiguration> Configuration() const { return m_configuration; }
  PhaseCache& Phases() { return m_phases; }

  // `on_back` is called each time the store answers again after it was down.
  void SetOnStoreAvailable(std::function<void()> on_back) { m_on_store_available = std::move(on_back); }

  // Records that the store answered a call of this instance.
  void NoteStoreAnswer() { m_last_answer = m_clock->Now(); }

  // Finds the queue and the client account of a call. `key` is empty if the caller sent none.
  Result<Route, IntakeError> Find(std::string_view host, std::string_view path, std::string_view key) const;

  // `time`: how long the caller waits for the answer.
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
  // Whether the store answered after `sent`. If so, the failure of a call sent then doesn't mean that it is down.
  bool AnsweredSince(Instant sent) const { return m_last_answer > sent; }
  void Finish(const std::shared_ptr<Write>& write, Result<Done, IntakeError> result);
  void CancelUntil(JobId id, Instant until, SubmitCallback callback);
  void LookUp(JobId id, std::size_t place, Instant until, PhaseCallback callback);
  void Retry(Instant until, std::function<void()> again, std::function<void()> give_up);
  store::RowKey JobRow(JobId job) const;
  store::RowKey CancelRow(JobId job) const;
  TryLater Refusal(const char* why) const { return {m_settings.m_retry_after, why}; }

  store::RowStore* m_store;
  TimerService* m_timers;
  const Clock* m_clock;
  IntakeSettings m_settings;
  std::shared_ptr<const jobs::QueueConfiguration> m_configuration;
  PhaseCache m_phases;
  Instant m_last_answer;      // Of the store.
  bool m_store_down = false;  // The last probe or write got no answer.
  std::function<void()> m_on_store_available;
  Subscription m_probe;
  Metrics* m_metrics;
  Counter* m_accepted;
  Counter* m_unknown;
  Distribution* m_submit_ms;
};

}  // namespace hickoryquay::service
