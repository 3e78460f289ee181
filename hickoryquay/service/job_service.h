// JobService: one instance of the service. Accepts jobs at all times and schedules them while it is the leader.
// Creates and connects the components.
//
// Index of this file:
//   [SECTION] Settings
//   [SECTION] JobService
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "hickoryquay/base/timer_service.h"
#include "hickoryquay/inner/channel.h"
#include "hickoryquay/jobs/worker_api.h"
#include "hickoryquay/peers/peer_service.h"
#include "hickoryquay/service/handover.h"
#include "hickoryquay/service/intake.h"
#include "hickoryquay/service/leader_beats.h"
#include "hickoryquay/service/leadership.h"
#include "hickoryquay/service/queue_documents.h"
#include "hickoryquay/service/scheduler_driver.h"
#include "hickoryquay/service/store_relay.h"
#include "hickoryquay/settings/node_settings.h"
#include "hickoryquay/store/table_follower.h"

namespace hickoryquay::service {

//-------------------------------------------------------------------------------------------------
// [SECTION] Settings
//-------------------------------------------------------------------------------------------------

// Tables of the platform, written by operators and workers.
struct PlatformTables {
  std::string m_configuration;      // Table of the operators' documents.
  std::string m_configuration_key;  // Key of the queue configuration in that table.
  std::string m_evacuation_prefix;  // Of keys in that table; the name of a failure domain to evacuate follows.
  std::string m_workers;
};

struct JobServiceSettings {
  settings::NodeSettings m_node;
  PlatformTables m_platform;
  std::string m_members_table = "hq-members";  // Lists the running instances, for discovery.
  Millis m_release_timeout{1'500};             // Limit for releasing leadership on a planned stop.
  Millis m_handover_interval{500};             // Between looks for an abler instance.
};

// How an instance follows the operators' documents.
store::FollowerSettings ConfigurationFollowerSettings(const std::string& table);

struct JobServiceParts {
  boost::asio::io_context* m_io = nullptr;
  store::RowStore* m_store = nullptr;  // Sends its calls through m_relay.
  std::shared_ptr<StoreRelay> m_relay;
  jobs::WorkerApi* m_workers = nullptr;
  jobs::WorkerDirectory* m_directory = nullptr;
  TimerService* m_timers = nullptr;
  const Clock* m_clock = nullptr;
  Metrics* m_metrics = nullptr;
  ReadConfiguration m_read_configuration;
  ReadWorkerRow m_read_worker;
};

//-------------------------------------------------------------------------------------------------
// [SECTION] JobService
//-------------------------------------------------------------------------------------------------

// Not thread-safe; runs on the thread of the io_context.
class JobService : public std::enable_shared_from_this<JobService> {
 public:
  JobService(const JobServiceParts& parts, const JobServiceSettings& settings);

  void Start();

  // Prepares a planned stop: Ready() turns false, the member row is removed and leadership is released. Then calls
  // `done`.
  void Leave(std::function<void()> done);
  void Stop();

  // Whether this instance should get client traffic: the store is reachable, a configuration is loaded, not leaving.
  bool Ready() const;
  Intake& GetIntake() { return *m_intake; }
  bool Leading() const { return m_leadership->Leading(); }

 private:
  void OnConfigurationRows(const std::vector<store::StoredRow>& rows, bool whole);
  void OnMemberRows(const std::vector<store::StoredRow>& rows, bool whole);
  double Fitness() const;  // To lead, of this instance.
  int Rank() const;        // Number of listed instances that should lead rather than this one.
  void ConsiderHandover();
  void OnElected(Epoch epoch);
  void OnDeposed(const std::string& why);
  void AnnounceCancel(JobId job, Version stored);
  void Announce(JobId job, const std::string& row, Version stored);
  void OnMessage(const inner::Message& message, const inner::Answer& answer);
  void WriteMember();

  JobServiceParts m_parts;
  JobServiceSettings m_settings;
  InstanceId m_self;
  std::shared_ptr<Intake> m_intake;
  std::shared_ptr<Leadership> m_leadership;
  std::shared_ptr<SchedulerDriver> m_driver;  // Null unless this instance is the leader.
  std::unique_ptr<QueueDocuments> m_documents;
  std::shared_ptr<peers::PeerService> m_peers;
  std::unique_ptr<inner::InnerServer> m_inner_server;
  std::unique_ptr<inner::InnerClient> m_inner_client;
  std::shared_ptr<store::TableFollower> m_configuration_rows;
  std::shared_ptr<store::TableFollower> m_member_rows;
  std::map<std::string, peers::PeerInfo> m_members;
  std::shared_ptr<LeaderBeats> m_beats;
  Handover m_handover{HandoverSettings{}};
  bool m_store_reachable = false;
  bool m_leaving = false;
  Subscription m_member_retry;
  Subscription m_handover_timer;
  Subscription m_expiry_timer;
};

}  // namespace hickoryquay::service
