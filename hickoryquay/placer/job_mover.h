// JobMover: moves a job to another failure domain by one commit that deletes one row and inserts the other.
//
// Whoever writes the row first wins: a placer that records a start keeps the job, a move that comes before makes the
// placer's own commit fail.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <variant>

#include "hickoryquay/model/model.h"
#include "hickoryquay/store/table.h"

namespace hickoryquay::placer {

// The job stays where it is: moved, it might run twice although it must not.
struct NotMovable {
  std::string m_why;
};
struct NoSuchJob {};

using MoveError = std::variant<NotMovable, NoSuchJob, store::TableError>;
using MoveCallback = std::function<void(Result<Job, MoveError>)>;  // The row as it is in the new domain.

// Thread-safe. The table must outlive the moves.
class JobMover {
 public:
  using ReadConfiguration = std::function<std::shared_ptr<const Configuration>()>;

  JobMover(store::Table* table, ReadConfiguration configuration)
      : m_table(table), m_configuration(std::move(configuration)) {}

  // What waits moves. `from_lost`: the old domain is cut off; what was started there moves too where it may be
  // repeated.
  void Move(JobId job, const DomainId& from, const DomainId& to, bool from_lost, MoveCallback callback) const;

  // Why a job stays; empty where it may move.
  static std::string WhyNotMovable(const Job& job, bool from_lost, bool once);

 private:
  store::Table* m_table;
  ReadConfiguration m_configuration;
};

}  // namespace hickoryquay::placer
