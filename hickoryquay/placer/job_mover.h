// JobMover: moves a job to another failure domain in one commit that deletes the old row and inserts the new one.
//
// The first write of the old row wins: if the placer records a start first, the move fails and the job stays; if the
// move comes first, the placer's commit conflicts.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <variant>

#include "hickoryquay/model/model.h"
#include "hickoryquay/store/table.h"

namespace hickoryquay::placer {

// The job can't be moved, m_why says why: it has ended, still runs, might run twice although it must not, or its row
// can't be read.
struct NotMovable {
  std::string m_why;
};
struct NoSuchJob {};

using MoveError = std::variant<NotMovable, NoSuchJob, store::TableError>;
using MoveCallback = std::function<void(Result<Job, MoveError>)>;  // On success: the job as written in the new domain.

// Thread-safe. The table must outlive the moves.
class JobMover {
 public:
  using ReadConfiguration = std::function<std::shared_ptr<const Configuration>()>;

  JobMover(store::Table* table, ReadConfiguration configuration)
      : m_table(table), m_configuration(std::move(configuration)) {}

  // Moves a waiting job. `from_lost`: the old domain is unreachable, so a started job is moved too if it may be
  // repeated.
  void Move(JobId job, const DomainId& from, const DomainId& to, bool from_lost, MoveCallback callback) const;

  // Why a job can't be moved; empty if it can. `once`: it runs at most once.
  static std::string WhyNotMovable(const Job& job, bool from_lost, bool once);

 private:
  store::Table* m_table;
  ReadConfiguration m_configuration;
};

}  // namespace hickoryquay::placer
