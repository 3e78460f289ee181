// Intake: accepts, cancels and reports jobs for clients. Runs on every instance; the store is the source of truth.
//
// A job is accepted once its row is stored. A write that got no answer may still take effect, so it is sent again until
// its outcome is known or the caller's timeout is over; only then is the outcome reported as unknown. A request is
// refused only if nothing can have been written. Therefore a store that has not answered recently is probed with a read
// before a write is sent.
//
// A write without an answer may be done seconds later, so that a read proves nothing about a job that is not there yet.
// A cancel that finds no job therefore leaves a tombstone, a row that makes any later write of the job fail; only then
// is the caller told that there is no such job. A submission that meets a tombstone is accepted as a cancelled job.
// JobArchive deletes tombstones with the rows of ended jobs.
//
// While the part of the store that keeps a job does not answer, the job is held for a while,
// see outage_policy.h, and stored when the part is back: urgent ones first, then in the order in which they came.
#pragma once

#include <algorithm>
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
#include "hickoryquay/service/outage_policy.h"
#include "hickoryquay/service/part_watch.h"
#include "hickoryquay/service/phase_cache.h"
#include "hickoryquay/service/table_names.h"
#include "hickoryquay/service/window_budget.h"
#include "hickoryquay/store/row_store.h"

namespace hickoryquay::service {

struct IntakeSettings {
  TableNames m_tables;
  Millis m_call_timeout{2'500};  // Upper limit of a store call; AdaptiveStore usually sets a much shorter one.
  Millis m_retry_delay{60};      // After a refused or unanswered call.
  Millis m_refuse_after{500};    // Writes rejected for this long are refused if no attempt can take effect.
  OutageSettings m_outage;
  Millis m_answer_margin{60};         // Callers are answered this long before their timeout.
  Millis m_longest_call{60'000};      // Of a call, whatever its timeout. Shorter than the rows of ended jobs are kept.
  Millis m_phase_retention{120'000};  // Of cached phases.
  std::size_t m_max_row_bytes = 65'536;   // Of a job; the store takes no larger ones.
  std::uint64_t m_job_memory_bytes = 0;   // Limit of what a leader holds of jobs until it tells its own; 0: none.
  std::size_t m_most_tombstones = 2'000;  // Of this instance at a time; further cancels of unknown jobs are refused.
  Millis m_tombstone_age{200'000};        // Until JobArchive has deleted a tombstone.
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

// Neither a row of the store nor the memory of the present leader can hold the job.
struct JobTooLarge {
  std::string m_why;
};

using IntakeError = std::variant<UnknownQueue, UnknownKey, Malformed, TryLater, OutcomeUnknown, NoSuchJob, JobTooLarge>;

// Queue and client account of a call.
struct Route {
  jobs::Queue m_queue;
  AccountId m_account;  // Empty on public queues.
};

using SubmitCallback = std::function<void(Result<Done, IntakeError>)>;
using PhaseCallback = std::function<void(Result<jobs::JobPhase, IntakeError>)>;

//-------------------------------------------------------------------------------------------------
// Intake
//-------------------------------------------------------------------------------------------------

// Not thread-safe; all calls and callbacks run on one thread.
class Intake : public std::enable_shared_from_this<Intake> {
 public:
  // How often a job is in memory on its way to the store: as its row, in the transaction, and encoded in calls.
  static constexpr std::uint64_t kRowCopies = 5;

  Intake(store::RowStore* store, TimerService* timers, const Clock* clock, Metrics* metrics,
         const IntakeSettings& settings);

  void Start();  // Once it is owned by a shared pointer.
  void SetConfiguration(std::shared_ptr<const jobs::QueueConfiguration> configuration);
  std::shared_ptr<const jobs::QueueConfiguration> Configuration() const { return m_configuration; }
  PhaseCache& Phases() { return m_phases; }

  // Which parts of the store answer this instance.
  PartWatch& Watch() { return *m_watch; }

  // `on_back` is called each time a part of the store answers again, before what was held for it is stored.
  void SetOnStoreAvailable(std::function<void()> on_back) { m_on_store_available = std::move(on_back); }

  // `on_accepted` is called when the row of a new job is stored, with the store's version after that.
  using OnAccepted = std::function<void(JobId job, const std::string& row, Version stored)>;
  void SetOnAccepted(OnAccepted on_accepted) { m_on_accepted = std::move(on_accepted); }

  // Called when the cancel of a job is stored, with the version of the store.
  using OnCancelled = std::function<void(JobId, Version)>;
  void SetOnCancelled(OnCancelled on_cancelled) { m_on_cancelled = std::move(on_cancelled); }

  // Finds the queue and the client account of a call. `key` is empty if the caller sent none.
  Result<Route, IntakeError> Find(std::string_view host, std::string_view path, std::string_view key) const;

  // `time`: how long the caller waits for the answer.
  void Submit(const Route& route, JobId id, jobs::JobRequest request, Millis time, SubmitCallback callback);
  void Cancel(JobId id, Millis time, SubmitCallback callback);
  void State(JobId id, Millis time, PhaseCallback callback);
  Result<int, IntakeError> Pending(const jobs::QueueName& queue) const;

 private:
  struct Write;
  struct Step;
  using WritePtr = std::shared_ptr<Write>;

  Step SubmissionStep(const Write& write);
  Step CancelledSubmissionStep(const Write& write, Version tombstone);
  Step CancelStep(const Write& write, Version job);
  Step TombstoneStep(const Write& write);
  void BeginSubmission(const WritePtr& write);
  void BeginRefusal(const WritePtr& write);
  void FindJob(const WritePtr& write, std::size_t place, std::size_t end, std::function<void()> absent);
  void BeginCancel(const WritePtr& write);
  void CancelInPart(const WritePtr& write, std::function<void()> absent);
  void LookForEarlierVersions(const WritePtr& write);
  void BeginTombstone(const WritePtr& write);
  void BeginOwnTombstone(const WritePtr& write);
  void AnswerCancel(const WritePtr& write, const store::StoredRow& ended);
  void OnSubmissionConflict(const WritePtr& write, const store::RowsDiffer& differ);
  void OnCancelConflict(const WritePtr& write, const store::RowsDiffer& differ);
  void OnTombstoneConflict(const WritePtr& write, const store::RowsDiffer& differ);
  void ReadFirst(const WritePtr& write, const store::RowRange& range,
                 std::function<void(const store::StoredRow*)> then);
  void StartOver(const WritePtr& write);
  void Hold(const WritePtr& write);
  void ReleaseHeld();
  void Attempt(const WritePtr& write);
  void OnAttempt(const WritePtr& write, Instant sent, Result<Version, store::TransactError> result);
  void GiveUp(const WritePtr& write, const TryLater& refusal);
  void Finish(const WritePtr& write, Result<Done, IntakeError> result);
  void LookUp(JobId id, std::size_t place, Instant until, PhaseCallback callback);
  void Retry(Instant until, std::function<void()> again, std::function<void()> give_up);
  store::RowKey JobRow(const Write& write) const;
  store::RowKey CancelRow(const Write& write) const;
  store::RowKey EndedRow(const Write& write) const;
  StorePart PartOf(JobId job) const { return {m_settings.m_tables.m_intake, m_settings.m_tables.IntakePart(job)}; }
  Millis AnswerWithin(Millis timeout) const {  // Of a caller.
    return std::max(Millis{0}, std::min(timeout, m_settings.m_longest_call) - m_settings.m_answer_margin);
  }
  TryLater Refusal(const char* why, const StorePart& part = {}) const {
    return {ReturnAfter(m_watch->SilentFor(part), m_settings.m_outage), why};
  }

  store::RowStore* m_store;
  TimerService* m_timers;
  const Clock* m_clock;
  IntakeSettings m_settings;
  std::shared_ptr<const jobs::QueueConfiguration> m_configuration;
  PhaseCache m_phases;
  std::shared_ptr<PartWatch> m_watch;
  WindowBudget m_tombstones;
  WindowBudget m_refusal_reads;
  std::multimap<int, WritePtr> m_held;  // Until their parts are back, by priority of their queues.
  std::function<void()> m_on_store_available;
  OnAccepted m_on_accepted;
  OnCancelled m_on_cancelled;
  Metrics* m_metrics;
  Counter* m_accepted;
  Counter* m_unknown;
  Counter* m_tombstones_stored;
  Counter* m_tombstones_met;
  Distribution* m_submit_ms;
};

}  // namespace hickoryquay::service
