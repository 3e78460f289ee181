// EarlierJobs: which jobs have rows in the part of versions before the sixteen parts, for the leader.
//
// Such a version does not know this one's parts. So a job that was accepted here may be accepted there once more, and
// then has rows in both.
//
// Pure.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "hickoryquay/service/table_names.h"

namespace hickoryquay::service {

// Not thread-safe.
class EarlierJobs {
 public:
  explicit EarlierJobs(const TableNames& tables) : m_tables(tables) {}

  bool IsEmpty() const { return m_jobs.empty(); }
  bool IsPart(const std::string& part) const { return part == m_tables.m_whole_part; }

  // A row of the job was read. `known`: the job was, before.
  void OnRow(JobId job, const std::string& part, bool known) {
    const auto found = m_jobs.find(job);
    if (found != m_jobs.end()) {
      found->second = found->second || !IsPart(part);
    } else if (IsPart(part)) {
      m_jobs.emplace(job, known);
    }
  }
  void Remove(JobId job) { m_jobs.erase(job); }

  std::vector<std::string> PartsOf(JobId job) const {
    const auto found = m_jobs.find(job);
    if (found == m_jobs.end()) return {m_tables.IntakePart(job)};
    if (!found->second) return {m_tables.m_whole_part};
    return {m_tables.m_whole_part, m_tables.IntakePart(job)};
  }

 private:
  TableNames m_tables;
  std::map<JobId, bool> m_jobs;  // With whether a row is in this version's part too.
};

}  // namespace hickoryquay::service
