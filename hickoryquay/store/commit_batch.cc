#include "hickoryquay/store/commit_batch.h"

#include <algorithm>
#include <utility>

namespace hickoryquay::store {

namespace {

const Check* FindCheck(const Commit& commit, const std::string& key) {
  const auto found = std::find_if(commit.m_checks.begin(), commit.m_checks.end(),
                                  [&](const Check& check) { return check.m_key == key; });
  return found == commit.m_checks.end() ? nullptr : &*found;
}

bool Writes(const Commit& commit, const std::string& key) {
  return std::any_of(commit.m_writes.begin(), commit.m_writes.end(),
                     [&](const Write& write) { return write.m_key == key; });
}

bool WritesTouch(const Commit& writer, const Commit& other) {
  return std::any_of(writer.m_writes.begin(), writer.m_writes.end(), [&](const Write& write) {
    return FindCheck(other, write.m_key) != nullptr || Writes(other, write.m_key);
  });
}

const Row* FindRow(const Conflict& conflict, const std::string& key) {
  const auto found =
      std::find_if(conflict.m_rows.begin(), conflict.m_rows.end(), [&](const Row& row) { return row.m_key == key; });
  return found == conflict.m_rows.end() ? nullptr : &*found;
}

Conflict PartOf(const Conflict& conflict, const Commit& commit) {
  Conflict part;
  for (const Row& row : conflict.m_rows) {
    if (FindCheck(commit, row.m_key) != nullptr) part.m_rows.push_back(row);
  }
  return part;
}

}  // namespace

CommitBatch::CommitBatch(std::string token, PendingCommit first) {
  m_alone = !first.m_commit.m_token.empty();
  m_merged = first.m_commit;
  if (!m_alone) m_merged.m_token = std::move(token);
  m_members.push_back(std::move(first));
}

bool CommitBatch::TryAdd(PendingCommit* commit, std::size_t max_rows) {
  if (m_alone || !commit->m_commit.m_token.empty()) return false;
  if (m_merged.m_writes.size() + commit->m_commit.m_writes.size() > max_rows) return false;
  if (!Independent(commit->m_commit)) return false;
  for (const Check& check : commit->m_commit.m_checks) {
    if (FindCheck(m_merged, check.m_key) == nullptr) m_merged.m_checks.push_back(check);
  }
  for (const Write& write : commit->m_commit.m_writes) m_merged.m_writes.push_back(write);
  m_members.push_back(std::move(*commit));
  return true;
}

bool CommitBatch::Independent(const Commit& commit) const {
  if (WritesTouch(commit, m_merged) || WritesTouch(m_merged, commit)) return false;
  return std::all_of(commit.m_checks.begin(), commit.m_checks.end(), [&](const Check& check) {
    const Check* mine = FindCheck(m_merged, check.m_key);
    return mine == nullptr || mine->m_expected == check.m_expected;
  });
}

Instant CommitBatch::Deadline() const {
  const auto earliest =
      std::min_element(m_members.begin(), m_members.end(),
                       [](const PendingCommit& a, const PendingCommit& b) { return a.m_deadline < b.m_deadline; });
  return earliest->m_deadline;
}

bool CommitBatch::Guarded() const {
  return std::any_of(m_merged.m_writes.begin(), m_merged.m_writes.end(), [&](const Write& write) {
    const Check* check = FindCheck(m_merged, write.m_key);
    // A deleted row that was checked as absent would look the same before and after.
    return check != nullptr && (write.m_value || check->m_expected != Version{0});
  });
}

std::string CommitBatch::ReadBackKey() const {
  const auto found = std::find_if(m_merged.m_writes.begin(), m_merged.m_writes.end(),
                                  [](const Write& write) { return write.m_value.has_value(); });
  return found == m_merged.m_writes.end() ? std::string() : found->m_key;
}

// The conflict shows all checked rows at one moment: one that the batch would have changed and that still has its
// expected version proves that the batch never took effect.
bool CommitBatch::ProvablyNotApplied(const Conflict& conflict) const {
  return std::any_of(m_merged.m_writes.begin(), m_merged.m_writes.end(), [&](const Write& write) {
    const Check* check = FindCheck(m_merged, write.m_key);
    if (check == nullptr || FindRow(conflict, write.m_key) != nullptr) return false;
    return write.m_value || check->m_expected != Version{0};
  });
}

std::vector<MemberOutcome> CommitBatch::OnConflict(const Conflict& conflict, bool maybe_applied) const {
  const auto own = std::find_if(conflict.m_rows.begin(), conflict.m_rows.end(),
                                [&](const Row& row) { return row.m_token == m_merged.m_token; });
  std::vector<MemberOutcome> outcomes;
  for (const PendingCommit& member : m_members) {
    Conflict part = PartOf(conflict, member.m_commit);
    if (own != conflict.m_rows.end()) {
      outcomes.emplace_back(Committed{own->m_version});
    } else if (maybe_applied && !ProvablyNotApplied(conflict)) {
      outcomes.emplace_back(InDoubt{"the answer was lost and the row was overwritten meanwhile"});
    } else if (!part.m_rows.empty()) {
      outcomes.emplace_back(std::move(part));
    } else {
      outcomes.emplace_back(SendAgain{});
    }
  }
  return outcomes;
}

}  // namespace hickoryquay::store
