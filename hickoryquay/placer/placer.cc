#include "hickoryquay/placer/placer.h"

#include <boost/json/object.hpp>
#include <utility>

#include "hickoryquay/placer/placer_term.h"

namespace hickoryquay::placer {

Placer::Placer(PlacerParts parts, PlacerSettings settings)
    : m_parts(std::move(parts)), m_settings(std::move(settings)) {}

Placer::~Placer() = default;

void Placer::Start(Epoch epoch) {
  Stop();
  m_term = std::make_shared<Term>(m_parts, m_settings, epoch);
  m_term->Begin();
}

void Placer::Stop() {
  if (m_term) m_term->End();
  m_term.reset();
}

void Placer::Notify(JobId job) {
  m_parts.m_executor([self = shared_from_this(), job] {
    if (self->m_term) self->m_term->Notify(job);
  });
}

void Placer::ConfigurationChanged() {
  m_parts.m_executor([self = shared_from_this()] {
    if (self->m_term) self->m_term->ConfigurationChanged();
  });
}

void Placer::InstancesChanged() {
  m_parts.m_executor([self = shared_from_this()] {
    if (self->m_term) self->m_term->InstancesChanged();
  });
}

void Placer::SetQuarantine(const WorkerId& worker, bool on) {
  m_parts.m_executor([self = shared_from_this(), worker, on] {
    if (self->m_term) self->m_term->SetQuarantine(worker, on);
  });
}

void Placer::InspectScheduler(std::function<void(const policy::Scheduler*)> inspect) {
  m_parts.m_executor([self = shared_from_this(), inspect = std::move(inspect)] {
    inspect(self->m_term ? self->m_term->LiveScheduler() : nullptr);
  });
}

void Placer::Dump(std::function<void(boost::json::value)> callback) {
  m_parts.m_executor([self = shared_from_this(), callback = std::move(callback)] {
    if (self->m_term) return callback(self->m_term->Dump());
    callback(boost::json::object{{"holds_role", false}});
  });
}

}  // namespace hickoryquay::placer
