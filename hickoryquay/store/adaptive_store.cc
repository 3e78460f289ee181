#include "hickoryquay/store/adaptive_store.h"

namespace hickoryquay::store {

namespace {

void Count(Metrics* metrics, const char* call, const char* outcome) {
  metrics->GetCounter("hq_store_calls_total", {{"call", call}, {"outcome", outcome}}).Add();
}

void CountTimed(Metrics* metrics, const char* call, const char* outcome, Millis took) {
  Count(metrics, call, outcome);
  metrics->GetDistribution("hq_store_call_ms", {{"call", call}}).Add(static_cast<double>(took.count()));
}

const char* OutcomeOf(const Result<Version, TransactError>& result) {
  if (Ok(result)) return "stored";
  return std::visit(
      Overloaded{[](const RowsDiffer&) { return "rows differ"; }, [](const StoreRefused&) { return "refused"; },
                 [](const StoreSilent&) { return "no answer"; }, [](const StoreRejected&) { return "rejected"; }},
      ErrorOf(result));
}

const char* OutcomeOf(const Result<RowPage, ReadError>& result) {
  if (Ok(result)) return "read";
  return std::visit(
      Overloaded{[](const HistoryGone&) { return "history gone"; }, [](const TooLong&) { return "too long"; },
                 [](const Unreachable&) { return "no answer"; }},
      ErrorOf(result));
}

}  // namespace

void AdaptiveStore::Transact(const Transaction& transaction, Millis timeout, TransactCallback callback) {
  const Instant sent = m_clock->Now();
  const Millis allowed = m_time->Allow(timeout);
  m_inner->Transact(transaction, allowed,
                    [clock = m_clock, metrics = m_metrics, time = m_time, sent, allowed,
                     callback = std::move(callback)](Result<Version, TransactError> result) {
                      const Millis took = clock->Now() - sent;
                      const bool silent = !Ok(result) && std::holds_alternative<StoreSilent>(ErrorOf(result));
                      silent&& took >= allowed ? time->TimedOut(sent, allowed) : time->Answered(sent, took);
                      CountTimed(metrics, "write", OutcomeOf(result), took);
                      callback(std::move(result));
                    });
}

void AdaptiveStore::Read(const RowRange& range, int limit, Millis timeout, ReadCallback callback) {
  const Instant sent = m_clock->Now();
  const Millis allowed = m_time->Allow(timeout);
  m_inner->Read(range, limit, allowed,
                [clock = m_clock, metrics = m_metrics, time = m_time, sent, allowed,
                 callback = std::move(callback)](Result<RowPage, ReadError> result) {
                  const Millis took = clock->Now() - sent;
                  !Ok(result) && took >= allowed ? time->TimedOut(sent, allowed) : time->Answered(sent, took);
                  CountTimed(metrics, "read", OutcomeOf(result), took);
                  callback(std::move(result));
                });
}

void AdaptiveStore::Feed(const FeedRange& range, Millis timeout, ReadCallback callback) {
  m_inner->Feed(range, timeout,
                [metrics = m_metrics, callback = std::move(callback)](Result<RowPage, ReadError> result) {
                  Count(metrics, "feed", OutcomeOf(result));
                  callback(std::move(result));
                });
}

}  // namespace hickoryquay::store
