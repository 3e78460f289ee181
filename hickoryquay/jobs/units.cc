#include "hickoryquay/jobs/units.h"

#include <algorithm>
#include <tuple>

namespace hickoryquay::jobs {

TaskKey Unit::Key(std::size_t member) const {
  return TaskKey{m_step->m_key, m_first + static_cast<int>(member)};
}

int Unit::Accelerators() const {
  return m_step->m_spec->m_task.m_accelerators * static_cast<int>(m_members.size());
}

bool UnitLess::operator()(const Unit* a, const Unit* b) const {
  return std::tie(a->m_step->m_key, a->m_first) < std::tie(b->m_step->m_key, b->m_first);
}

bool UnitMemberLess::operator()(const UnitMember& a, const UnitMember& b) const {
  const UnitLess before;
  if (a.first != b.first) return before(a.first, b.first);
  return a.second < b.second;
}

Unit* StepState::FindUnit(int task) const {
  if (task < 0 || task >= m_spec->m_tasks) return nullptr;
  return m_units[m_spec->m_gang ? 0 : static_cast<std::size_t>(task)].get();
}

bool IsBlocked(const std::vector<std::unique_ptr<StepState>>& steps, const StepState& step) {
  const auto& after = step.m_spec->m_after;
  return std::any_of(after.begin(), after.end(),
                     [&steps](int earlier) { return steps[static_cast<std::size_t>(earlier)]->m_units_left > 0; });
}

bool HasUsedAllAttempts(const Unit& unit, const JobState& job) {
  return !unit.m_step->m_spec->m_long_running &&
         static_cast<int>(unit.m_failed_runs.size()) >= job.m_job.m_max_attempts;
}

bool StepState::HasWaiting() {
  while (m_passed < m_units.size() && !m_units[m_passed]->IsWaiting()) ++m_passed;
  return m_passed < m_units.size();
}

void StepState::OnWaiting(const Unit& unit) {
  m_passed = std::min(m_passed, m_spec->m_gang ? 0 : static_cast<std::size_t>(unit.m_first));
  if (!unit.m_done) m_interrupted.insert(unit.m_first);
}

Instant ObjectiveDeadline(const JobState& job, int occurrence) {
  const JobRequest& request = job.m_job.m_request;
  const Instant from =
      request.m_repeats > 0 ? request.m_first_due + occurrence * request.m_interval : job.m_job.m_accepted;
  const auto stretched =
      static_cast<std::int64_t>(job.m_job.m_stretch * static_cast<double>(job.m_critical_path.count()));
  return from + Millis{stretched} + job.m_job.m_objective;
}

Millis EstimateCriticalPath(const JobRequest& request) {
  const auto& steps = request.m_steps;
  std::vector<Millis> until(steps.size(), Millis{0});
  Millis longest{0};
  for (std::size_t i = 0; i < steps.size(); ++i) {
    for (const int earlier : steps[i].m_after) until[i] = std::max(until[i], until[static_cast<std::size_t>(earlier)]);
    until[i] += steps[i].m_estimate;
    longest = std::max(longest, until[i]);
  }
  return longest;
}

}  // namespace hickoryquay::jobs
