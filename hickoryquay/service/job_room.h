// JobRoom: whether the leader has memory for a further job, as far as one instance knows.
//
// The leader keeps every job that has not ended. It tells with each heartbeat what its jobs take, how much they may
// take, and into how many parts the rest is split. Between two heartbeats all instances accept jobs without knowing of
// each other's, so each uses up only one part of what is left, with large jobs too. A job counts from when it is taken
// until the leader has heard of it, however long the store takes to write it.
//
// One client account may hold as much as it leaves to all others, so that its jobs can't keep theirs from being
// accepted.
//
// Pure.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>

#include "hickoryquay/base/clock.h"
#include "hickoryquay/base/ids.h"

namespace hickoryquay::service {

constexpr int kFewestJobParts = 16;

// As many parts as there are instances, but none so small that usual jobs don't fit. Where there are more instances
// than parts, all of them at a time may accept more than the limit.
inline int JobPartsFor(std::size_t instances, std::uint64_t limit_bytes) {
  constexpr std::uint64_t kLeastPart = 1024 * 1024;
  const auto most = std::max<std::uint64_t>(kFewestJobParts, limit_bytes / kLeastPart);
  return static_cast<int>(std::clamp<std::uint64_t>(instances, kFewestJobParts, most));
}

struct JobMemory {
  std::uint64_t m_held_bytes = 0;   // Of jobs that have not been archived.
  std::uint64_t m_limit_bytes = 0;  // 0: not known.
  int m_parts = kFewestJobParts;
  std::map<AccountId, std::uint64_t> m_accounts{};  // Of m_held_bytes, of accounts that hold much.

  void AddLarge(const std::map<AccountId, std::uint64_t>& accounts) {
    constexpr std::uint64_t kLargeShare = 16;  // Of the limit: few accounts hold as much at a time.
    for (const auto& [account, bytes] : accounts) {
      if (bytes >= m_limit_bytes / kLargeShare) m_accounts.emplace(account, bytes);
    }
  }
};

// Not thread-safe.
class JobRoom {
 public:
  enum class Answer {
    kFits,
    kNotNow,
    kAccountFull,  // Not now either: the job's account holds as much as it leaves to others.
    kOverPart,     // Nor later: the job takes more than an account's part of an empty leader. It may have been accepted
                   // before, under a leader with more memory.
    kNever,        // The job alone takes more than there is.
  };

  // `limit_bytes` holds until a leader tells its own; 0: none.
  explicit JobRoom(std::uint64_t limit_bytes = 0) : m_memory{0, limit_bytes} {}

  // What became of a job that was taken.
  enum class Outcome {
    kStored,
    kRefused,  // It is not stored, nor will be.
    kUnknown,  // The store may write it seconds later.
  };

  // What the leader tells.
  void OnReport(const JobMemory& memory, Instant now) {
    if (memory.m_limit_bytes != 0) m_memory = memory;
    while (!m_settled.empty() && m_settled.begin()->first <= now) {
      Return(m_settled.begin()->second);
      m_settled.erase(m_settled.begin());
    }
  }

  // On kFits the job counts from now on, and is settled later.
  Answer Take(const AccountId& account, std::uint64_t bytes) {
    const Answer answer = Look(account, bytes);
    if (answer != Answer::kFits) return answer;
    m_taken_bytes += bytes;
    m_taken_by[account] += bytes;
    return answer;
  }

  // Once for each job that was taken.
  void Settle(const AccountId& account, std::uint64_t bytes, Outcome outcome, Instant now) {
    const Taken taken{account, bytes};
    if (outcome == Outcome::kRefused) return Return(taken);
    m_settled.emplace(now + (outcome == Outcome::kStored ? kUntilReported : kUntilWritten), taken);
  }

 private:
  static constexpr Millis kUntilReported{1'000};  // What was stored shortly before may not have reached the leader.
  static constexpr Millis kUntilWritten{7'000};   // The same of a write without an answer.

  struct Taken {
    AccountId m_account;
    std::uint64_t m_bytes = 0;
  };

  Answer Look(const AccountId& account, std::uint64_t bytes) const {
    if (m_memory.m_limit_bytes == 0) return Answer::kFits;
    const auto parts = static_cast<std::uint64_t>(m_memory.m_parts);
    if (bytes > m_memory.m_limit_bytes) return Answer::kNever;
    if (bytes > ShareOf(m_memory.m_limit_bytes, 0) / parts) return Answer::kOverPart;
    const std::uint64_t left = m_memory.m_limit_bytes - std::min(m_memory.m_limit_bytes, m_memory.m_held_bytes);
    if (m_taken_bytes + bytes > left / parts) return Answer::kNotNow;
    const std::uint64_t share = ShareOf(left, BytesOf(m_memory.m_accounts, account));
    return BytesOf(m_taken_by, account) + bytes > share / parts ? Answer::kAccountFull : Answer::kFits;
  }

  void Return(const Taken& taken) {
    m_taken_bytes -= taken.m_bytes;
    const auto account = m_taken_by.find(taken.m_account);
    account->second -= taken.m_bytes;
    if (account->second == 0) m_taken_by.erase(account);
  }

  // What an account may take of `left`, so that it holds as much as it leaves then.
  static std::uint64_t ShareOf(std::uint64_t left, std::uint64_t held) { return left > held ? (left - held) / 2 : 0; }

  static std::uint64_t BytesOf(const std::map<AccountId, std::uint64_t>& accounts, const AccountId& account) {
    const auto found = accounts.find(account);
    return found == accounts.end() ? 0 : found->second;
  }

  JobMemory m_memory;
  std::uint64_t m_taken_bytes = 0;                // Of jobs that the leader may not know yet.
  std::map<AccountId, std::uint64_t> m_taken_by;  // The same, by account.
  std::multimap<Instant, Taken> m_settled;        // Of these, by when the leader knows them.
};

}  // namespace hickoryquay::service
