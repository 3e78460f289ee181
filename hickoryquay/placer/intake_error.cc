#include "hickoryquay/placer/job_intake.h"

namespace hickoryquay::placer {

std::string ToString(const IntakeError& error) {
  return std::visit(
      Overloaded{
          [](const JobRefused& e) { return "not run: " + policy::ToString(e.m_refusal); },
          [](const KeyTaken& e) { return "not run: the key belongs to another job, " + ToString(e.m_job); },
          [](const NotRecorded& e) { return "not run: the job could not be recorded, " + e.m_why; },
          [](const RecordInDoubt& e) { return "may have been accepted as " + ToString(e.m_job) + ", " + e.m_why; }},
      error);
}

}  // namespace hickoryquay::placer
