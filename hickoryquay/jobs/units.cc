#include "hickoryquay/jobs/units.h"

namespace hickoryquay::jobs {

TaskKey Unit::Key(std::size_t member) const {
  return TaskKey{m_step->m_key, m_first + static_cast<int>(member)};
}

int Unit::Accelerators() const {
  return m_step->m_spec->m_task.m_accelerators * static_cast<int>(m_members.size());
}

Unit* StepState::UnitOf(int task) const {
  if (task < 0 || task >= m_spec->m_tasks) return nullptr;
  return m_units[m_spec->m_gang ? 0 : static_cast<std::size_t>(task)].get();
}

}  // namespace hickoryquay::jobs
