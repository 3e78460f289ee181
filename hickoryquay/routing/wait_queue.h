// WaitQueue: requests of one market that wait for a slot, by urgency, fair between client accounts, bounded.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "hickoryquay/base/clock.h"
#include "hickoryquay/base/ids.h"

namespace hickoryquay::routing {

constexpr int kUrgencies = 10;

class Backend;

// What waits. Called on any thread, outside of locks; at most one of the two for each wait.
class SlotWaiter {
 public:
  virtual ~SlotWaiter() = default;
  virtual void OnSlot(std::uint64_t id, std::shared_ptr<Backend> backend) = 0;  // Owns the slot from then on.
  virtual void OnShed(std::uint64_t id) = 0;
};

struct Waiting {
  std::uint64_t m_id = 0;
  int m_urgency = 0;  // 0 is the most urgent.
  AccountId m_account;
  Instant m_deadline;
  std::shared_ptr<SlotWaiter> m_waiter;
};

// Not thread-safe. Push and Remove are O(accounts + queue of one account), Pop is O(accounts).
class WaitQueue {
 public:
  explicit WaitQueue(std::size_t capacity) : m_capacity(capacity) {}

  // Returns whoever has to go where the queue is full: the newest of the account that waits most among the least
  // urgent. That may be the new one itself.
  std::optional<Waiting> Push(Waiting waiting);

  // The first of the next account in turn among the most urgent; nothing where the queue is empty.
  std::optional<Waiting> Pop();

  // Puts back what Pop returned, as if it had not been taken.
  void PutBack(Waiting waiting);

  // Returns false where it no longer waits.
  bool Remove(std::uint64_t id);

  std::size_t Size() const { return m_size; }
  std::size_t SizeUpTo(int urgency) const;  // Those at least as urgent.

 private:
  using Lane = std::deque<Waiting>;
  struct Level {
    std::map<AccountId, Lane> m_lanes;  // None is empty.
    AccountId m_last;                   // The account served last.
    std::size_t m_size = 0;
  };

  Waiting TakeNewestOfLongest(Level* level);

  std::size_t m_capacity;
  std::size_t m_size = 0;
  std::array<Level, kUrgencies> m_levels;
};

}  // namespace hickoryquay::routing
