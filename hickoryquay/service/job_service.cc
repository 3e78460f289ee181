#include "hickoryquay/service/job_service.h"

#include <algorithm>
#include <random>
#include <utility>

#include "hickoryquay/base/log.h"
#include "hickoryquay/service/member_row.h"
#include "hickoryquay/settings/machine_limits.h"

namespace hickoryquay::service {

namespace {

namespace wire = inner::wire;

constexpr log::Part kLog{"service"};
constexpr const char* kLeaderRowKey = "leader";
constexpr Millis kMemberRetryDelay{500};   // After a failed write of the member row.
constexpr Millis kMemberTimeout{1'000};    // Of that write.
constexpr Millis kExpiryInterval{5'000};   // Of cached phases.
constexpr Millis kConfigurationWait{700};  // Of a feed call; short, so that a lost connection doesn't delay changes.
constexpr Millis kConfigurationTimeout{500};
constexpr int kConfigurationVersions = 2;  // That were missed and are still received one by one.
constexpr Millis kMemberWait{5'000};       // Of a feed call; may be long, since new instances also send heartbeats.
constexpr Millis kAnnounceTimeout{500};    // Of the call that tells the leader of a new job.
constexpr Millis kScanTime{10'000};        // Of the rows of ended jobs, and of the deletions that follow.
constexpr int kHexDigits = 16;

std::string RandomHex() {
  std::random_device device;
  std::uniform_int_distribution<int> digit(0, kHexDigits - 1);
  std::string text;
  for (int i = 0; i < kHexDigits / 2; ++i) text += "0123456789abcdef"[digit(device)];
  return text;
}

LeadershipSettings MakeLeadershipSettings(const JobServiceSettings& settings, const InstanceId& self) {
  const TableNames tables;
  LeadershipSettings leadership;
  leadership.m_row = {tables.m_state, tables.m_leader_part, kLeaderRowKey};
  leadership.m_node = settings.m_node.m_node.m_name;
  leadership.m_self = self;
  leadership.m_address = net::ToString(settings.m_node.m_node.m_inner);
  return leadership;
}

IntakeSettings MakeIntakeSettings(const JobServiceSettings& settings) {
  const Millis keep = settings.m_node.m_terms.m_keep_ended;
  const ArchiveSettings archive;
  IntakeSettings intake;
  intake.m_phase_retention = keep;
  intake.m_max_row_bytes = settings.m_node.m_terms.m_row_bytes;
  intake.m_job_memory_bytes = settings::ShareOut(settings.m_node.m_capacity).m_job_bytes;
  intake.m_longest_call = std::min(intake.m_longest_call, keep / 2);
  intake.m_tombstone_age = keep + archive.m_keep_margin + archive.m_scan_rest + kScanTime;
  return intake;
}

DriverSettings MakeDriverSettings(const JobServiceSettings& settings) {
  const settings::TermsSection& terms = settings.m_node.m_terms;
  DriverSettings driver;
  driver.m_worker_table = settings.m_platform.m_workers;
  driver.m_scheduler.m_preemption.m_stop_timeout = terms.m_stop_timeout;
  driver.m_scheduler.m_remote_factor = terms.m_remote_factor;
  driver.m_scheduler.m_preemption.m_reclaim = terms.m_reclaim;
  driver.m_scheduler.m_preemption.m_restore = terms.m_restore;
  driver.m_keep_ended = terms.m_keep_ended;
  driver.m_evacuate = terms.m_evacuate;
  driver.m_start_terms.m_cancel = terms.m_cancel;
  driver.m_start_terms.m_drain = terms.m_drain;
  driver.m_sessions.m_lease = std::min(driver.m_sessions.m_lease, terms.m_longest_lease);
  // The previous leader may have extended leases until m_grant_window after its last renewal. The takeover came at
  // least m_takeover_after after that renewal.
  const LeadershipSettings leadership;
  driver.m_sessions.m_prior_grant_window = std::max(Millis{0}, leadership.m_grant_window - leadership.m_takeover_after);
  return driver;
}

}  // namespace

store::FollowerSettings ConfigurationFollowerSettings(const std::string& table) {
  store::FollowerSettings settings;
  settings.m_table = table;
  settings.m_wait = kConfigurationWait;
  settings.m_timeout = kConfigurationTimeout;
  settings.m_most_versions = kConfigurationVersions;
  return settings;
}

JobService::JobService(const JobServiceParts& parts, const JobServiceSettings& settings)
    : m_parts(parts), m_settings(settings), m_self(settings.m_node.m_node.m_name + "-" + RandomHex()) {
  m_intake = std::make_shared<Intake>(parts.m_store, parts.m_timers, parts.m_clock, parts.m_metrics,
                                      MakeIntakeSettings(settings));
}

void JobService::Start() {
  const auto weak = weak_from_this();
  const settings::NodeSection& node = m_settings.m_node.m_node;
  log::Info(kLog, "Starts", {{"instance", m_self.m_value}, {"domain", node.m_domain.m_value}});
  m_documents = std::make_unique<QueueDocuments>(
      m_parts.m_read_configuration,
      [this](std::shared_ptr<const jobs::QueueConfiguration> configuration) {
        m_intake->SetConfiguration(configuration);
        if (m_driver) m_driver->SetConfiguration(std::move(configuration));
      },
      [this](const std::set<DomainId>& evacuated) {
        if (m_driver) m_driver->SetEvacuated(evacuated);
      });

  m_inner_client = std::make_unique<inner::InnerClient>(m_parts.m_io);
  peers::PeerSettings peers;
  peers.m_self = m_self;
  peers.m_domain = node.m_domain;
  peers.m_inner = node.m_inner;
  peers.m_seeds = node.m_seeds;
  peers.m_random_seed = std::random_device{}();
  const peers::SendMessage send = [weak](const net::Endpoint& peer, inner::Message message, Millis timeout,
                                         std::function<void(const inner::Message*)> callback) {
    const auto self = weak.lock();
    if (!self) return;
    self->m_inner_client->Call(
        peer, std::move(message), timeout,
        [callback = std::move(callback)](const Result<inner::Message, inner::InnerError>& result) {
          callback(Ok(result) ? &ValueOf(result) : nullptr);
        });
  };
  m_peers = std::make_shared<peers::PeerService>(peers, m_parts.m_clock, m_documents.get(), send);
  m_parts.m_relay->Connect(send, [weak] {
    std::vector<net::Endpoint> alive;
    const auto self = weak.lock();
    if (!self) return alive;
    for (const peers::Peer& peer : self->m_peers->Peers()) {
      if (peer.m_state == peers::PeerState::kAlive) alive.push_back(peer.m_inner);
    }
    return alive;
  });
  const settings::MachineLimits limits = settings::ShareOut(m_settings.m_node.m_capacity);
  m_inner_server = std::make_unique<inner::InnerServer>(
      m_parts.m_io, node.m_inner,
      [weak](const inner::Message& message, const inner::Answer& answer) {
        if (const auto self = weak.lock()) self->OnMessage(message, answer);
      },
      inner::InnerServerSettings{limits.m_peer_connections, limits.m_frame_bytes, m_parts.m_metrics});
  m_peers->Start(m_parts.m_timers);
  m_peers->Beat();
  BeatParts beats;
  beats.m_self = m_self;
  beats.m_timers = m_parts.m_timers;
  beats.m_clock = m_parts.m_clock;
  beats.m_metrics = m_parts.m_metrics;
  beats.m_phases = &m_intake->Phases();
  beats.m_send = send;
  beats.m_peers = [this] { return m_peers->Peers(); };
  beats.m_status = [this]() -> std::optional<LeaderStatus> {
    if (!m_leadership->Leading() || !m_driver) return std::nullopt;
    JobMemory memory;  // Not known until all rows are read.
    if (const auto held = m_driver->JobBytes()) {
      memory = {*held, settings::ShareOut(m_settings.m_node.m_capacity).m_job_bytes};
      memory.AddLarge(m_driver->AccountBytes());
    }
    return LeaderStatus{m_leadership->CurrentEpoch(), m_driver->Pending(), m_driver->MayHaveEarlierRows(), memory};
  };
  beats.m_on_leader = [this](Epoch epoch) { m_leadership->OnHeartbeat(epoch); };
  beats.m_on_released = [this](Epoch epoch) { m_leadership->OnReleased(epoch); };
  beats.m_random_seed = std::random_device{}();
  m_beats = std::make_shared<LeaderBeats>(std::move(beats), BeatSettings{});

  m_configuration_rows = std::make_shared<store::TableFollower>(
      m_parts.m_store, m_parts.m_timers, m_parts.m_clock,
      ConfigurationFollowerSettings(m_settings.m_platform.m_configuration),
      [weak](const std::vector<store::StoredRow>& rows, bool whole) {
        if (const auto self = weak.lock()) self->OnConfigurationRows(rows, whole);
      },
      [weak](bool reachable) {
        const auto self = weak.lock();
        if (!self) return;
        self->m_store_reachable = reachable;
        if (reachable) self->m_leadership->OnStoreAvailable();
      });
  m_configuration_rows->Start();
  m_intake->Watch().SetContact([weak] {
    const auto self = weak.lock();
    return self ? self->m_configuration_rows->CurrentAt() : Instant{};
  });

  store::FollowerSettings members;
  members.m_table = m_settings.m_members_table;
  members.m_wait = kMemberWait;
  m_member_rows = std::make_shared<store::TableFollower>(m_parts.m_store, m_parts.m_timers, m_parts.m_clock, members,
                                                         [weak](const std::vector<store::StoredRow>& rows, bool whole) {
                                                           if (const auto self = weak.lock())
                                                             self->OnMemberRows(rows, whole);
                                                         });
  m_member_rows->Start();
  WriteMember();

  const LeadershipSettings leadership = MakeLeadershipSettings(m_settings, m_self);
  m_leadership = std::make_shared<Leadership>(
      m_parts.m_store, m_parts.m_timers, m_parts.m_clock, leadership,
      Leadership::Events{[this](Epoch epoch) { OnElected(epoch); }, [this](const std::string& why) { OnDeposed(why); },
                         [this](Epoch epoch) { m_beats->SendReleased(epoch); },
                         [this, limit = leadership.m_call_timeout](Instant sent) {
                           const TableNames tables;
                           m_intake->Watch().NoteSilence({tables.m_state, tables.m_leader_part}, sent, limit);
                         }});
  m_leadership->SetRank([this] { return Rank(); });
  m_leadership->Start();
  m_intake->Start();
  m_intake->SetOnStoreAvailable([weak] {
    if (const auto self = weak.lock()) self->m_leadership->OnStoreAvailable();
  });
  m_intake->SetOnAccepted([weak](JobId job, const std::string& row, Version stored) {
    if (const auto self = weak.lock()) self->Announce(job, row, stored);
  });
  m_intake->SetOnCancelled([weak](JobId job, Version stored) {
    if (const auto self = weak.lock()) self->AnnounceCancel(job, stored);
  });
  m_beats->Start();
  m_handover_timer = m_parts.m_timers->Every(m_settings.m_handover_interval, [weak] {
    if (const auto self = weak.lock()) self->ConsiderHandover();
  });
  m_expiry_timer = m_parts.m_timers->Every(kExpiryInterval, [weak] {
    if (const auto self = weak.lock()) self->m_intake->Phases().RemoveExpired(self->m_parts.m_clock->Now());
  });
}

bool JobService::Ready() const {
  return !m_leaving && m_store_reachable && m_intake->Configuration() != nullptr;
}

void JobService::Leave(std::function<void()> done) {
  m_leaving = true;
  m_peers->SetLeaving();
  store::Transaction leave;
  leave.m_removals.push_back({m_settings.m_members_table, "", m_settings.m_node.m_node.m_name});
  m_parts.m_store->Transact(leave, kMemberTimeout, [](const Result<Version, store::TransactError>& result) {
    if (!Ok(result)) log::Warn(kLog, "Could not delete the member row", {{"why", ToString(ErrorOf(result))}});
  });
  m_leadership->Release(m_settings.m_release_timeout, [weak = weak_from_this(), done = std::move(done)] {
    if (const auto self = weak.lock()) self->m_leadership->Stop();
    done();
  });
}

void JobService::Stop() {
  log::Info(kLog, "Stops", {{"instance", m_self.m_value}});
  m_leadership->Stop();
  if (m_driver) m_driver->Stop();
  m_driver.reset();
  m_configuration_rows->Stop();
  m_member_rows->Stop();
  m_beats->Stop();
  m_handover_timer.Cancel();
  m_expiry_timer.Cancel();
  m_member_retry.Cancel();
}

//-------------------------------------------------------------------------------------------------
// Rows
//-------------------------------------------------------------------------------------------------

void JobService::OnConfigurationRows(const std::vector<store::StoredRow>& rows, bool whole) {
  m_store_reachable = true;
  for (const store::StoredRow& row : rows) {
    if (!row.m_removed && row.m_key.m_key == m_settings.m_platform.m_configuration_key) {
      m_documents->Take(row.m_value, "store");
    }
  }
  m_documents->TakeEvacuations(
      ReadEvacuationRows(rows, whole, m_configuration_rows->At(), m_settings.m_platform.m_evacuation_prefix), "store");
}

void JobService::WriteMember() {
  const settings::NodeSection& node = m_settings.m_node.m_node;
  store::Transaction member;
  member.m_puts.push_back({{m_settings.m_members_table, "", node.m_name},
                           WriteMemberRow({m_self, node.m_domain, node.m_inner, false, Fitness()})});
  m_parts.m_store->Transact(member, kMemberTimeout,
                            [weak = weak_from_this()](const Result<Version, store::TransactError>& result) {
                              const auto self = weak.lock();
                              if (!self || Ok(result) || self->m_leaving) return;
                              self->m_member_retry = self->m_parts.m_timers->After(kMemberRetryDelay, [weak] {
                                if (const auto again = weak.lock()) again->WriteMember();
                              });
                            });
}

void JobService::OnMemberRows(const std::vector<store::StoredRow>& rows, bool whole) {
  if (whole) m_members.clear();
  for (const store::StoredRow& row : rows) {
    m_members.erase(row.m_key.m_key);
    if (row.m_removed) continue;
    const auto member = ReadMemberRow(row.m_value);
    if (!Ok(member)) {
      log::Error(kLog, "Member row can't be read", {{"key", row.m_key.m_key}, {"field", ErrorOf(member).m_field}});
      m_parts.m_metrics->GetCounter("hq_rows_unreadable_total", {{"row", "member"}}).Add();
      continue;
    }
    if (ValueOf(member).m_id != m_self) m_members[row.m_key.m_key] = ValueOf(member);
  }
  std::vector<peers::PeerInfo> listed;
  for (const auto& [key, member] : m_members) listed.push_back(member);
  m_peers->ApplyList(listed);
}

//-------------------------------------------------------------------------------------------------
// Leading
//-------------------------------------------------------------------------------------------------

double JobService::Fitness() const {
  const settings::CapacitySection& capacity = m_settings.m_node.m_capacity;
  return capacity.m_processor_share * capacity.m_link_mbit_s;
}

int JobService::Rank() const {
  const auto leads_rather = [this](const peers::Peer& peer) {
    // Instances of other failure domains are heard too seldom to tell whether they live.
    const bool silent =
        peer.m_domain == m_settings.m_node.m_node.m_domain && peer.m_state == peers::PeerState::kSuspect;
    if (peer.m_leaving || !peer.m_listed || silent) return false;
    return peer.m_fitness > Fitness() || (peer.m_fitness == Fitness() && peer.m_id < m_self);
  };
  const std::vector<peers::Peer> peers = m_peers->Peers();
  return static_cast<int>(std::count_if(peers.begin(), peers.end(), leads_rather));
}

void JobService::ConsiderHandover() {
  if (!m_leadership->Leading() || !m_driver || m_leaving) return;
  const double best = m_beats->BestAnswering();
  if (!m_handover.IsDue(m_parts.m_clock->Now(), m_driver->Ready(), Fitness(), best)) return;
  log::Info(kLog, "An abler instance answers, giving the leadership up",
            {{"fitness", std::to_string(Fitness())},
             {"best", std::to_string(best)},
             {"loaded", m_driver->Ready() ? "yes" : "no"}});
  m_leadership->Release(m_settings.m_release_timeout, [] {});
}

void JobService::OnElected(Epoch) {
  m_handover.OnElected(m_parts.m_clock->Now());
  const auto weak = weak_from_this();
  DriverParts parts{m_parts.m_store, m_parts.m_workers, m_parts.m_directory,  m_parts.m_timers,
                    m_parts.m_clock, m_parts.m_metrics, m_parts.m_read_worker};
  m_driver =
      std::make_shared<SchedulerDriver>(parts, m_leadership, MakeDriverSettings(m_settings),
                                        SchedulerDriver::Events{[weak](const std::vector<jobs::PhaseChange>& phases) {
                                                                  if (const auto self = weak.lock())
                                                                    self->m_beats->AddPhases(phases);
                                                                },
                                                                [weak](const std::string& why) {
                                                                  if (const auto self = weak.lock())
                                                                    self->m_leadership->StepDown(why);
                                                                }});
  if (m_intake->Configuration()) m_driver->SetConfiguration(m_intake->Configuration());
  if (m_documents->Evacuations().Known()) m_driver->SetEvacuated(m_documents->Evacuations().Domains());
  m_driver->Start();
  m_beats->Begin();
}

void JobService::OnDeposed(const std::string&) {
  if (!m_driver) return;
  m_driver->Stop();
  // Deleted later: one of its callbacks may be on the call stack.
  m_parts.m_timers->After(Millis{0}, [driver = std::move(m_driver)] {}).Detach();
  m_driver.reset();
  m_intake->Phases().DropUnfinished(m_parts.m_clock->Now());
}

// Tells the leader of a new job. Nothing is repeated: the feed of the table names the job as well.
void JobService::Announce(JobId job, const std::string& row, Version stored) {
  if (m_driver) return m_driver->OnAnnounced(job, row, stored);
  const auto leader = m_beats->LeaderEndpoint();
  if (!leader) return;
  wire::AcceptedJob accepted;
  accepted.__set_job(static_cast<std::int64_t>(Raw(job)));
  accepted.__set_row(row);
  accepted.__set_version(static_cast<std::int64_t>(Raw(stored)));
  m_inner_client->Call(*leader, accepted, kAnnounceTimeout, [](const Result<inner::Message, inner::InnerError>&) {});
}

// An instance of a version before answers Unsupported; the feed tells it.
void JobService::AnnounceCancel(JobId job, Version stored) {
  if (m_driver) return m_driver->OnCancelAnnounced(job);
  const auto leader = m_beats->LeaderEndpoint();
  if (!leader) return;
  wire::CancelledJob cancelled;
  cancelled.__set_job(static_cast<std::int64_t>(Raw(job)));
  cancelled.__set_version(static_cast<std::int64_t>(Raw(stored)));
  m_inner_client->Call(*leader, cancelled, kAnnounceTimeout, [](const Result<inner::Message, inner::InnerError>&) {});
}

void JobService::OnMessage(const inner::Message& message, const inner::Answer& answer) {
  if (const auto* heartbeat = std::get_if<wire::LeaderBeat>(&message)) {
    m_beats->Receive(*heartbeat);
    return answer(wire::Acknowledged{});
  }
  if (const auto* accepted = std::get_if<wire::AcceptedJob>(&message)) {
    if (m_driver) {
      m_driver->OnAnnounced(JobId{static_cast<std::uint64_t>(accepted->job)}, accepted->row,
                            Version{static_cast<std::uint64_t>(accepted->version)});
    }
    return answer(wire::Acknowledged{});
  }
  if (const auto* cancelled = std::get_if<wire::CancelledJob>(&message)) {
    if (m_driver) m_driver->OnCancelAnnounced(JobId{static_cast<std::uint64_t>(cancelled->job)});
    return answer(wire::Acknowledged{});
  }
  if (const auto* call = std::get_if<wire::StoreCall>(&message)) return m_parts.m_relay->Handle(*call, answer);
  if (!m_peers->Handle(message, answer)) answer(wire::Unsupported{});
}

}  // namespace hickoryquay::service
