// Values of every field of the rows and messages that instances of different versions exchange. Names no field that was
// added after 866e3a2, so that it compiles there too: the recorded texts in compatibility_records.h come from there.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "hickoryquay/inner/message.h"
#include "hickoryquay/jobs/rows.h"
#include "hickoryquay/service/leadership.h"

namespace hickoryquay::service::samples {

inline jobs::AcceptedJob FullJob() {
  jobs::StepSpec first;
  first.m_tasks = 40;
  first.m_task = Resources{2, 1'500, 4'096};
  first.m_estimate = Millis{30'000};
  first.m_checkpoints = true;
  first.m_speculative = true;
  first.m_required_label = "fast";
  first.m_data_rack = "r1";
  first.m_max_per_worker = 3;
  first.m_image = "image-1";
  jobs::StepSpec second;
  second.m_tasks = 4;
  second.m_after = {0};
  second.m_gang = true;
  second.m_rack_local = true;
  jobs::StepSpec third;
  third.m_after = {0, 1};
  third.m_long_running = true;
  third.m_uses_idle_cores = true;
  third.m_latency_target = Millis{25};
  third.m_max_unavailable = 1;
  jobs::JobRequest request;
  request.m_payload = "work \"quoted\"\n";
  request.m_steps = {first, second, third};
  request.m_repeats = 5;
  request.m_first_due = Instant{1'700'000'000'000};
  request.m_interval = Millis{60'000};
  return {JobId{0x1f},
          jobs::QueueName{"q1"},
          AccountId{"alice"},
          Instant{1'699'999'999'000},
          jobs::PoolName{"pool"},
          1,
          3,
          2.5,
          Millis{4'000},
          request};
}

inline jobs::AcceptedJob PlainJob() {
  jobs::AcceptedJob job;
  job.m_id = JobId{0x20};
  job.m_queue = jobs::QueueName{"q0"};
  job.m_pool = jobs::PoolName{"pool"};
  job.m_account = AccountId{"bob"};
  job.m_request.m_steps.emplace_back();
  return job;
}

inline jobs::PlacedMember On(const char* worker, const char* address, std::int64_t born) {
  return {WorkerId{worker}, address, false, Instant{born}};
}

// A row with units in each of their forms.
inline jobs::StepRow FullStep() {
  jobs::StepRow row{{JobId{0x1f}, 0, 0}, {}, 0};
  for (int task = 0; task < 3; ++task) row.m_units.push_back({task, jobs::RunNumber{1}, true, {}, {}, "", {}});
  row.m_units.push_back({3, jobs::RunNumber{2}, true, {}, {}, "", {}});
  row.m_units.push_back({4, jobs::RunNumber{1}, false, {}, {}, "", {On("w1", "10.0.0.7:80", 1'699'999'000'000)}});
  row.m_units.push_back({5, jobs::RunNumber{1}, false, {}, {}, "", {On("w1", "10.0.0.7:80", 1'699'999'000'000)}});
  row.m_units.push_back({6, jobs::RunNumber{1}, false, {}, {}, "", {On("w2", "10.0.0.8:80", 0)}});
  row.m_units.push_back({7,
                         jobs::RunNumber{4},
                         false,
                         {jobs::RunNumber{1}, jobs::RunNumber{3}},
                         {{jobs::RunNumber{1}, 0, true}, {jobs::RunNumber{3}, 0, false}},
                         "checkpoint-9",
                         {On("w3", "10.0.0.9:80", 1'699'999'500'000)}});
  row.m_units.push_back({8, jobs::RunNumber{2}, true, {jobs::RunNumber{1}}, {}, "", {}});
  row.m_units.push_back({9, jobs::RunNumber{2}, false, {}, {}, "checkpoint-2", {}});
  return row;
}

// The second row of a step that is split over several.
inline jobs::StepRow SplitStep() {
  jobs::StepRow row{{JobId{0x1f}, 3, 0}, {}, 1};
  row.m_units.push_back({32, jobs::RunNumber{1}, true, {}, {}, "", {}});
  row.m_units.push_back({33, jobs::RunNumber{1}, false, {}, {}, "", {On("w1", "10.0.0.7:80", 1'699'999'000'000)}});
  return row;
}

// A gang of which one member has ended.
inline jobs::StepRow GangStep() {
  jobs::StepRow row{{JobId{0x1f}, 0, 1}, {}, 0};
  jobs::PlacedMember ended;
  ended.m_settled = true;
  row.m_units.push_back({0,
                         jobs::RunNumber{2},
                         false,
                         {},
                         {},
                         "",
                         {On("w1", "10.0.0.7:80", 1'699'999'000'000), ended, On("w2", "10.0.0.8:80", 0)}});
  return row;
}

inline LeaderRow Leader(bool released) {
  LeaderRow row;
  row.m_epoch = Epoch{7};
  row.m_node = "node-1";
  row.m_holder = InstanceId{"node-1-0a1b2c3d"};
  row.m_address = "10.0.0.1:7003";
  row.m_write = 123'456;
  row.m_released = released;
  return row;
}

// Rows by name, as `Write` makes them.
inline std::vector<std::pair<std::string, std::string>> Rows() {
  std::vector<std::pair<std::string, std::string>> rows{
      {"full job", jobs::Write(FullJob())},    {"plain job", jobs::Write(PlainJob())},
      {"full step", jobs::Write(FullStep())},  {"split step", jobs::Write(SplitStep())},
      {"gang step", jobs::Write(GangStep())},  {"leader", Write(Leader(false))},
      {"released leader", Write(Leader(true))}};
  for (const char* name : {"queued", "running", "completed", "failed", "cancelled"}) {
    rows.emplace_back(name, jobs::Write(jobs::PhaseRow{*jobs::ParseJobPhase(name), Instant{1'699'999'999'500}}));
  }
  return rows;
}

inline inner::wire::Heartbeat Beat() {
  inner::wire::PeerAddress peer;
  peer.__set_instance("node-2-11111111");
  peer.__set_domain("d2");
  peer.__set_inner_address("10.0.0.2:7003");
  inner::wire::Heartbeat beat;
  beat.__set_instance("node-1-0a1b2c3d");
  beat.__set_domain("d1");
  beat.__set_sequence(42);
  beat.__set_leaving(true);
  beat.__set_configuration_digest(-987'654'321);
  beat.__set_placer_epoch(3);
  beat.__set_placer_holder("node-3-22222222");
  beat.__set_placer_address("10.0.0.3:7003");
  beat.__set_inner_address("10.0.0.1:7003");
  beat.__set_joining(true);
  beat.__set_known({peer});
  return beat;
}

inline inner::wire::LeaderBeat FromLeader() {
  inner::wire::PhaseChange change;
  change.__set_job(0x1f);
  change.__set_phase(2);
  inner::wire::LeaderBeat beat;
  beat.__set_instance("node-1-0a1b2c3d");
  beat.__set_epoch(7);
  beat.__set_sequence(99);
  beat.__set_phases({change});
  beat.__set_pending({{"q0", 3}, {"q1", 0}});
  beat.__set_ready(true);
  beat.__set_pass_on({"10.0.0.2:7003", "10.0.0.3:7003"});
  beat.__set_released(true);
  return beat;
}

inline inner::wire::ConfigurationDocuments Documents() {
  inner::wire::MarketDocument text;
  text.__set_market("queues");
  text.__set_version(12);
  text.__set_json("{\"version\":12}");
  inner::wire::MarketDocument compressed;
  compressed.__set_market("evacuations");
  compressed.__set_version(13);
  compressed.__set_dropped(true);
  compressed.__set_compressed(std::string("\x28\xb5\x2f\xfd\x00\x01", 6));
  inner::wire::ConfigurationDocuments documents;
  documents.__set_documents({text, compressed});
  return documents;
}

// Messages by name, with all their fields.
inline std::vector<std::pair<std::string, inner::Message>> Messages() {
  namespace wire = inner::wire;
  wire::ConfigurationPull pull;
  pull.__set_versions({{"evacuations", 4}, {"queues", 11}});
  pull.__set_accepts_compressed(true);
  wire::JobNotice notice;
  notice.__set_job(0x1f);
  notice.__set_cancelled(true);
  wire::StateQuery query;
  query.__set_what("peers");
  query.__set_argument("all");
  wire::StateAnswer state;
  state.__set_known(true);
  state.__set_json("{}");
  wire::StoreCall call;
  call.__set_method("POST");
  call.__set_target("/v1/tx");
  call.__set_body("{\"puts\":[]}");
  call.__set_timeout_ms(2'500);
  wire::StoreAnswer answer;
  answer.__set_status(200);
  answer.__set_body("{\"ver\":9}");
  answer.__set_sent(true);
  wire::AcceptedJob accepted;
  accepted.__set_job(0x20);
  accepted.__set_row(jobs::Write(PlainJob()));
  accepted.__set_version(1'234);
  wire::Unsupported unsupported;
  unsupported.__set_protocol(1);
  return {{"heartbeat", Beat()},
          {"pull", pull},
          {"documents", Documents()},
          {"notice", notice},
          {"query", query},
          {"state", state},
          {"acknowledged", wire::Acknowledged{}},
          {"unsupported", unsupported},
          {"leader beat", FromLeader()},
          {"store call", call},
          {"store answer", answer},
          {"accepted job", accepted}};
}

}  // namespace hickoryquay::service::samples
