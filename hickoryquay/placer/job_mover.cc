#include "hickoryquay/placer/job_mover.h"

#include <utility>

#include "hickoryquay/placer/rows.h"

namespace hickoryquay::placer {

namespace {

// A job of an unknown class is treated as one that runs at most once.
bool RunsAtMostOnce(const JobSpec& spec, const Configuration& configuration) {
  const Market* market = configuration.FindMarket(spec.m_market);
  const ClassOfWork* work = market == nullptr ? nullptr : market->FindClass(spec.m_class);
  return work == nullptr || RunsOnce(spec, *work);
}

}  // namespace

// A job that runs at most once starts only after its start is recorded, so a waiting row proves that it never ran.
std::string JobMover::WhyNotMovable(const Job& job, bool from_lost, bool once) {
  if (Ended(job.m_state)) return "it has ended";
  if (job.m_state == JobState::kWaiting) return "";
  if (once) return "it may have started and must not be repeated";
  return from_lost ? "" : "it runs";
}

void JobMover::Move(JobId job, const DomainId& from, const DomainId& to, bool from_lost, MoveCallback callback) const {
  const std::string key = JobKey(from, job);
  m_table->Get(key, [table = m_table, configuration = m_configuration(), key, to, from_lost,
                     callback = std::move(callback)](const auto& result) {
    if (!Ok(result)) return callback(MoveError{ErrorOf(result)});
    const store::Row& row = ValueOf(result);
    if (row.m_version == Version{0}) return callback(MoveError{NoSuchJob{}});
    auto parsed = ParseJobValue(row.m_value);
    if (!Ok(parsed)) return callback(MoveError{NotMovable{"its row can't be read"}});
    Job moved = TakeValue(std::move(parsed));
    const std::string why = WhyNotMovable(moved, from_lost, RunsAtMostOnce(moved.m_spec, *configuration));
    if (!why.empty()) return callback(MoveError{NotMovable{why}});
    moved.m_domain = to;
    moved.m_state = JobState::kWaiting;
    moved.m_placements.clear();
    const std::string new_key = JobKey(to, moved.m_id);
    store::Commit commit;
    commit.m_checks = {{key, row.m_version}, {new_key, Version{0}}};
    commit.m_writes = {{new_key, JobValue(moved)}, {key, std::nullopt}};
    table->Submit(std::move(commit), [moved, callback](const auto& committed) {
      if (!Ok(committed)) return callback(MoveError{ErrorOf(committed)});
      callback(moved);
    });
  });
}

}  // namespace hickoryquay::placer
