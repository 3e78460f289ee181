// What this instance answers about its own state and, while it holds the placer role, about its failure domain.

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <sstream>

#include "hickoryquay/instance/entry_instance.h"
#include "hickoryquay/instance/state_names.h"
#include "hickoryquay/model/json.h"

namespace hickoryquay::instance {

namespace json = boost::json;

namespace {

json::object ExplanationJson(const policy::Explanation& explanation) {
  json::array behind;
  for (const JobId job : explanation.m_behind) behind.emplace_back(ToString(job));
  json::array borrows;
  for (const std::string& guarantee : explanation.m_borrows) borrows.emplace_back(guarantee);
  return {{"state", explanation.m_state},
          {"why", explanation.m_why},
          {"behind", std::move(behind)},
          {"borrows", std::move(borrows)}};
}

}  // namespace

void EntryInstance::AddStateSources() {
  m_queries->SetHolding([this] { return m_holding.load(); });
  m_queries->AddPlacerSource(kExplainJobs, [this](const std::string& argument, const StateCallback& callback) {
    Explain(argument, callback);
  });
  m_queries->AddPlacerSource(kCheckMarket, [this](const std::string& argument, const StateCallback& callback) {
    CheckMarket(argument, callback);
  });
  m_queries->AddPlacerSource(kSetQuarantine, [this](const std::string& argument, const StateCallback& callback) {
    SetQuarantine(argument, callback);
  });
  m_queries->AddPlacerSource(kPlacerState, [this](const std::string&, const StateCallback& callback) {
    m_placer->Dump([callback](json::value state) { callback(std::move(state)); });
  });
  m_queries->AddOwnSource(kVersions, [this](const std::string&, const StateCallback& callback) {
    json::object versions;
    for (const store::DocumentVersion& document : m_configuration->Versions()) {
      versions[document.m_key] = Raw(document.m_version);
    }
    callback(std::move(versions));
  });
  m_queries->AddOwnSource(kDrain, [this](const std::string&, const StateCallback& callback) {
    if (m_drain_request) m_drain_request();
    callback(json::object{});
  });
}

void EntryInstance::Explain(const std::string& argument, const StateCallback& callback) {
  m_placer->InspectScheduler([argument, callback, now = m_clock.Wall()](const policy::Scheduler* scheduler) {
    if (scheduler == nullptr) return callback(std::nullopt);
    json::object explained;
    std::istringstream ids(argument);
    std::string id;
    while (std::getline(ids, id, ',')) {
      JobId job{};
      if (ParseJobId(id, &job)) explained[id] = ExplanationJson(scheduler->Explain(job, now));
    }
    callback(std::move(explained));
  });
}

void EntryInstance::CheckMarket(const std::string& argument, const StateCallback& callback) {
  const auto parsed = ParseJson(argument);
  const auto market = Ok(parsed) ? ParseMarket(ValueOf(parsed)) : Parsed<Market>(ErrorOf(parsed));
  if (!Ok(market)) return callback(std::nullopt);
  m_placer->InspectScheduler([market = ValueOf(market), callback](const policy::Scheduler* scheduler) {
    if (scheduler == nullptr) return callback(std::nullopt);
    const auto checked = scheduler->CheckMarket(market);
    if (Ok(checked)) return callback(json::object{{"ok", true}});
    const policy::UnsatisfiableGuarantee& error = ErrorOf(checked);
    callback(json::object{
        {"ok", false}, {"account", error.m_account.m_value}, {"shape", error.m_shape}, {"why", error.m_why}});
  });
}

void EntryInstance::SetQuarantine(const std::string& argument, const StateCallback& callback) {
  const auto parsed = ParseJson(argument);
  const json::object* wanted = Ok(parsed) ? ValueOf(parsed).if_object() : nullptr;
  const json::value* worker = wanted != nullptr ? wanted->if_contains("worker") : nullptr;
  const json::value* on = wanted != nullptr ? wanted->if_contains("on") : nullptr;
  if (worker == nullptr || !worker->is_string() || on == nullptr || !on->is_bool()) return callback(std::nullopt);
  m_placer->SetQuarantine(WorkerId(std::string(worker->get_string())), on->get_bool());
  callback(json::object{});
}

}  // namespace hickoryquay::instance
