// CommitBatch: independent commits merged into one, so that a burst costs one write to the table.
//
// Pure: says what belongs together and what an answer means for each member. HttpTable does the I/O.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "hickoryquay/base/clock.h"
#include "hickoryquay/store/table.h"

namespace hickoryquay::store {

struct PendingCommit {
  Commit m_commit;
  CommitCallback m_callback;
  Instant m_deadline;  // Monotonic.
};

// The member was not done and may be sent again in another batch.
struct SendAgain {};

using MemberOutcome = std::variant<Committed, Conflict, InDoubt, SendAgain>;

// Shares one token, is all or nothing at the table.
class CommitBatch {
 public:
  CommitBatch(std::string token, PendingCommit first);

  // Takes the commit in and returns true where it is independent of all members: neither writes what the other checks
  // or writes, and checks of the same key agree. Commits with a token of their own stay alone.
  bool TryAdd(PendingCommit* commit, std::size_t max_rows);

  const Commit& Merged() const { return m_merged; }
  std::vector<PendingCommit>& Members() { return m_members; }
  Instant Deadline() const;  // The earliest of the members'.

  // True where some written row is checked too, or an unchanged sibling proves it: sending the batch again can't
  // take effect twice.
  bool Guarded() const;

  // The key of a row that bears the batch's token once it took effect; empty where it only deletes.
  std::string ReadBackKey() const;

  // What the 409 means for each member. `maybe_applied`: an earlier try was sent and its answer lost.
  std::vector<MemberOutcome> OnConflict(const Conflict& conflict, bool maybe_applied) const;

  bool m_maybe_applied = false;  // A try was sent and its answer lost.
  int m_tries = 0;

 private:
  bool Independent(const Commit& commit) const;
  bool ProvablyNotApplied(const Conflict& conflict) const;

  Commit m_merged;
  std::vector<PendingCommit> m_members;
  bool m_alone = false;
};

}  // namespace hickoryquay::store
