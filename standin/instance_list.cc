#include "standin/instance_list.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <vector>

namespace hickoryquay::standin {

namespace json = boost::json;

namespace {

constexpr Millis kProbeEvery{500};
constexpr Millis kProbeTimeout{400};
constexpr int kProbesUntilGone = 3;
constexpr char kEntry[] = "entry";

}  // namespace

InstanceList::InstanceList(boost::asio::io_context* io, TimerService* timers, net::HttpClient* client,
                           const Faults* faults, Millis lag)
    : m_io(io), m_timers(timers), m_client(client), m_faults(faults), m_lag(lag) {
  m_probe = m_timers->Every(kProbeEvery, [this] { Probe(); });
}

void InstanceList::Put(Instance instance) {
  const std::scoped_lock lock(m_mutex);
  const std::string id = instance.m_id;
  m_failures.erase(id);
  m_now[id] = std::move(instance);
  Publish();
}

void InstanceList::Remove(const std::string& id) {
  const std::scoped_lock lock(m_mutex);
  m_now.erase(id);
  m_ready.erase(id);
  Publish();
}

bool InstanceList::SetLeaving(const std::string& id) {
  const std::scoped_lock lock(m_mutex);
  const auto found = m_now.find(id);
  if (found == m_now.end()) return false;
  found->second.m_leaving = true;
  Publish();
  return true;
}

void InstanceList::Publish() {
  m_timers
      ->After(m_lag,
              [this, snapshot = m_now] {
                const std::scoped_lock lock(m_mutex);
                m_published = snapshot;
              })
      .Detach();
}

void InstanceList::Probe() {
  std::vector<Instance> entries;
  {
    const std::scoped_lock lock(m_mutex);
    for (const auto& [id, instance] : m_now) {
      if (instance.m_kind == kEntry) entries.push_back(instance);
    }
  }
  for (const Instance& entry : entries) {
    net::HttpRequest request;
    request.m_target = "/ready";
    m_client->Send(entry.m_address, request, kProbeTimeout, [this, id = entry.m_id](const auto& result) {
      OnProbe(id, Ok(result), Ok(result) && ValueOf(result).m_status == 200);
    });
  }
}

void InstanceList::OnProbe(const std::string& id, bool answered, bool ready) {
  const std::scoped_lock lock(m_mutex);
  if (!m_now.contains(id)) return;
  m_ready[id] = ready;
  if (answered) {
    m_failures[id] = 0;
    return;
  }
  if (++m_failures[id] < kProbesUntilGone) return;
  m_now.erase(id);
  m_ready.erase(id);
  Publish();
}

net::Endpoint InstanceList::Seen(const std::string& viewer, const Instance& instance, const net::Endpoint& address) {
  if (viewer.empty() || viewer == instance.m_domain) return address;
  std::unique_ptr<Relay>& relay = m_relays[{viewer, address}];
  if (!relay) {
    relay = std::make_unique<Relay>(
        m_io, [address] { return std::optional(address); },
        [this, viewer, domain = instance.m_domain] { return m_faults->IsCut(viewer, domain); });
  }
  return relay->Local();
}

json::object InstanceList::Describe(const std::string& viewer, const Instance& instance) {
  json::object described = instance.m_details;
  described["id"] = instance.m_id;
  described["kind"] = instance.m_kind;
  described["domain"] = instance.m_domain;
  described["state"] = instance.m_leaving ? "leaving" : "live";
  described["address"] = net::ToString(Seen(viewer, instance, instance.m_address));
  if (instance.m_inner) described["inner"] = net::ToString(Seen(viewer, instance, *instance.m_inner));
  return described;
}

std::string InstanceList::Json(const std::string& viewer, const std::string& domain, const std::string& kind) {
  const std::scoped_lock lock(m_mutex);
  json::array instances;
  for (const auto& [id, instance] : m_published) {
    const bool wanted = (domain.empty() || instance.m_domain == domain) && (kind.empty() || instance.m_kind == kind);
    if (wanted) instances.push_back(Describe(viewer, instance));
  }
  return json::serialize(json::object{{"instances", std::move(instances)}});
}

std::optional<net::Endpoint> InstanceList::PickEntry(const std::string& domain) {
  const std::scoped_lock lock(m_mutex);
  std::vector<net::Endpoint> ready;
  for (const auto& [id, instance] : m_now) {
    const auto probe = m_ready.find(id);
    if (instance.m_domain == domain && probe != m_ready.end() && probe->second) ready.push_back(instance.m_address);
  }
  if (ready.empty()) return std::nullopt;
  return ready[m_turn++ % ready.size()];
}

}  // namespace hickoryquay::standin
