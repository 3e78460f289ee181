// MemoryBudget: bounds the bodies of requests that the whole process holds. Shared by its holds, since an operation
// that an io_context destroys at its end may hold some of it after the server is gone.
#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <utility>

namespace hickoryquay {

// Thread-safe, lock-free.
class MemoryBudget {
 public:
  explicit MemoryBudget(std::uint64_t bytes) : m_left(static_cast<std::int64_t>(bytes)) {}

  bool TryTake(std::uint64_t bytes) {
    const auto wanted = static_cast<std::int64_t>(bytes);
    if (m_left.fetch_sub(wanted) >= wanted) return true;
    m_left.fetch_add(wanted);
    return false;
  }
  void Return(std::uint64_t bytes) { m_left.fetch_add(static_cast<std::int64_t>(bytes)); }
  std::int64_t Left() const { return m_left.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::int64_t> m_left;
};

// What one message holds of a budget; returns it when destroyed.
class MemoryHold {
 public:
  MemoryHold() = default;
  MemoryHold(MemoryHold&& other) noexcept { *this = std::move(other); }
  MemoryHold& operator=(MemoryHold&& other) noexcept {
    Release();
    m_budget = std::exchange(other.m_budget, nullptr);
    m_bytes = std::exchange(other.m_bytes, 0);
    return *this;
  }
  ~MemoryHold() { Release(); }

  static constexpr std::uint64_t kUncounted = 16 * 1024;

  // Holds `bytes` in all from now on; false, and what was held stays, where the budget lacks the difference. Bodies up
  // to kUncounted bytes are free: the number of connections bounds them.
  bool Take(const std::shared_ptr<MemoryBudget>& budget, std::uint64_t bytes) {
    const std::uint64_t counted = bytes <= kUncounted ? 0 : bytes;
    if (budget == nullptr || counted == m_bytes) return true;
    if (counted > m_bytes && !budget->TryTake(counted - m_bytes)) return false;
    if (counted < m_bytes) budget->Return(m_bytes - counted);
    m_budget = budget;
    m_bytes = counted;
    return true;
  }
  std::uint64_t Bytes() const { return m_bytes; }
  void Release() {
    if (m_budget != nullptr) m_budget->Return(m_bytes);
    m_budget.reset();
    m_bytes = 0;
  }

 private:
  std::shared_ptr<MemoryBudget> m_budget;
  std::uint64_t m_bytes = 0;
};

}  // namespace hickoryquay
