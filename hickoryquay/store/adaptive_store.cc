#include "hickoryquay/store/adaptive_store.h"

namespace hickoryquay::store {

void AdaptiveStore::Transact(const Transaction& transaction, Millis timeout, TransactCallback callback) {
  const Instant sent = m_clock->Now();
  const Millis allowed = m_time->Allow(timeout);
  m_inner->Transact(transaction, allowed,
                    [clock = m_clock, time = m_time, sent, allowed,
                     callback = std::move(callback)](Result<Version, TransactError> result) {
                      const Millis took = clock->Now() - sent;
                      const bool silent = !Ok(result) && std::holds_alternative<StoreSilent>(ErrorOf(result));
                      silent&& took >= allowed ? time->TimedOut(allowed) : time->Answered(took);
                      callback(std::move(result));
                    });
}

void AdaptiveStore::Read(const RowRange& range, int limit, Millis timeout, ReadCallback callback) {
  const Instant sent = m_clock->Now();
  const Millis allowed = m_time->Allow(timeout);
  m_inner->Read(range, limit, allowed,
                [clock = m_clock, time = m_time, sent, allowed,
                 callback = std::move(callback)](Result<RowPage, ReadError> result) {
                  const Millis took = clock->Now() - sent;
                  !Ok(result) && took >= allowed ? time->TimedOut(allowed) : time->Answered(took);
                  callback(std::move(result));
                });
}

}  // namespace hickoryquay::store
