// Every message of the platform's interfaces against examples written by hand.

#include <cppunit/extensions/HelperMacros.h>

#include "hickoryquay/jobs/rows.h"
#include "platform/documents.h"
#include "platform/machine_list.h"
#include "platform/row_store_client.h"
#include "platform/worker_client.h"

namespace hickoryquay::platform {
namespace {

using HttpResult = Result<net::HttpResponse, net::NetError>;

HttpResult Answer(int status, std::string body = "") {
  return net::HttpResponse{status, {}, std::move(body)};
}

const jobs::TaskKey kTask{{JobId{0x5c0e7a21d94b36f8}, 0, 1}, 17};

class CodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CodecTest);
  CPPUNIT_TEST(JobWithAllFields);
  CPPUNIT_TEST(JobWithDefaults);
  CPPUNIT_TEST(MalformedJobsNameTheField);
  CPPUNIT_TEST(RowOfAnyAcceptedRequestCanBeRead);
  CPPUNIT_TEST(ConfigurationIsRead);
  CPPUNIT_TEST(UnreadableConfigurationSaysWhy);
  CPPUNIT_TEST(WorkerRowIsRead);
  CPPUNIT_TEST(ForeignWorkerRowsNameNoWorker);
  CPPUNIT_TEST(StartStopAndLookBodies);
  CPPUNIT_TEST(StartAnswers);
  CPPUNIT_TEST(StopAnswers);
  CPPUNIT_TEST(LookAnswers);
  CPPUNIT_TEST(TransactionBodyAndAnswers);
  CPPUNIT_TEST(PageAnswers);
  CPPUNIT_TEST(MachinePages);
  CPPUNIT_TEST_SUITE_END();

 public:
  void JobWithAllFields() {
    const auto job = ReadJobRequest(
        R"({"spec":"text","steps":[{"count":4,"cpu":500,"memMb":256,"gpu":2,"estimateMs":900,"affinity":"r1-3"},)"
        R"({"count":20,"after":[0],"checkpoints":true,"gang":true,"rackLocal":true,"constraints":"a",)"
        R"("antiAffinity":3,"speculative":true,"longRunning":true,"fills":true,"image":"i","targetMs":40,"mayMiss":2}],)"
        R"("repeatCount":5,"startAtMs":1000000,"intervalMs":2000})");
    CPPUNIT_ASSERT(Ok(job));
    const jobs::JobRequest& request = ValueOf(job);
    CPPUNIT_ASSERT_EQUAL(std::string("text"), request.m_payload);
    CPPUNIT_ASSERT_EQUAL(5, request.m_repeats);
    CPPUNIT_ASSERT(request.m_first_due == Instant{1'000'000} && request.m_interval == Millis{2'000});
    const jobs::StepSpec& first = request.m_steps.at(0);
    CPPUNIT_ASSERT_EQUAL(4, first.m_tasks);
    CPPUNIT_ASSERT((first.m_task == Resources{2, 500, 256}));
    CPPUNIT_ASSERT(first.m_estimate == Millis{900} && first.m_data_rack == "r1-3" && !first.m_gang);
    const jobs::StepSpec& second = request.m_steps.at(1);
    CPPUNIT_ASSERT(second.m_after == std::vector<int>{0});
    CPPUNIT_ASSERT(second.m_checkpoints && second.m_gang && second.m_rack_local && second.m_speculative);
    CPPUNIT_ASSERT(second.m_long_running && second.m_uses_idle_cores && second.m_image == "i" &&
                   second.m_required_label == "a");
    CPPUNIT_ASSERT(second.m_max_per_worker == 3 && second.m_latency_target == Millis{40});
    CPPUNIT_ASSERT_EQUAL(2, second.m_max_unavailable);
  }

  void JobWithDefaults() {
    const auto job = ReadJobRequest(R"({"spec":"","steps":[{}]})");
    CPPUNIT_ASSERT(Ok(job));
    CPPUNIT_ASSERT_EQUAL(1, ValueOf(job).m_steps.at(0).m_tasks);
    CPPUNIT_ASSERT_EQUAL(0, ValueOf(job).m_repeats);
  }

  // Guards against a job that is accepted and never runs, since its row has values that its reader rejects.
  void RowOfAnyAcceptedRequestCanBeRead() {
    int accepted = 0;
    for (const std::string number : {"1000000", "1000001", "100000001", "1000000001", "2147483647"}) {
      for (const char* field : {"count", "cpu", "memMb", "gpu", "estimateMs", "antiAffinity", "mayMiss", "targetMs",
                                "repeatCount", "startAtMs", "intervalMs"}) {
        const std::string pair = '"' + std::string(field) + "\":" + number;
        for (const std::string& body : {R"({"steps":[{)" + pair + "}]}", R"({"steps":[{}],)" + pair + "}"}) {
          const auto request = ReadJobRequest(body);
          if (!Ok(request)) continue;
          ++accepted;
          jobs::AcceptedJob job;
          job.m_request = ValueOf(request);
          CPPUNIT_ASSERT_MESSAGE(body, Ok(jobs::ReadAcceptedJob(JobId{1}, jobs::Write(job))));
        }
      }
    }
    CPPUNIT_ASSERT(accepted > 0);
    CheckField("repeatCount", R"({"steps":[{}],"repeatCount":1000001})");
    CheckField("steps[0].count", R"({"steps":[{"count":1000001}]})");
  }

  void MalformedJobsNameTheField() {
    CheckField("", "{");
    CheckField("steps", R"({"spec":"x"})");
    CheckField("steps[0].count", R"({"steps":[{"count":"many"}]})");
    CheckField("steps[0].count", R"({"steps":[{"count":0}]})");
    CheckField("steps[1].after", R"({"steps":[{},{"after":[-1]}]})");
    CheckField("spec", R"({"spec":7,"steps":[{}]})");
  }

  void ConfigurationIsRead() {
    const auto read = ReadConfiguration(
        R"({"version":7,"routes":[{"name":"r","host":"h.example","pathPrefix":"/p/","service":"s","priority":2,)"
        R"("maxAttempts":3,"stretch":1.5,"latencySloMs":250,"public":true}],"services":[],)"
        R"("limits":{"maxBodyBytes":99},"tenants":[{"name":"t","apiKeys":["k1","k2"],"guaranteed":{"gpu":72}}]})");
    CPPUNIT_ASSERT(Ok(read));
    const jobs::QueueConfiguration& configuration = ValueOf(read);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{7}, configuration.m_version);
    CPPUNIT_ASSERT_EQUAL(std::size_t{99}, configuration.m_max_body_bytes);
    const jobs::Queue* queue = configuration.Find("h.example", "/p/5c0e7a21d94b36f8");
    CPPUNIT_ASSERT(queue != nullptr && queue->m_public && queue->m_priority == 2 && queue->m_max_attempts == 3);
    CPPUNIT_ASSERT(queue->m_stretch == 1.5 && queue->m_objective == Millis{250});
    CPPUNIT_ASSERT_EQUAL(std::string("s"), queue->m_pool.m_value);
    const jobs::Account* account = configuration.FindAccountByKey("k2");
    CPPUNIT_ASSERT(account != nullptr && account->m_guaranteed_accelerators == 72);
    CPPUNIT_ASSERT(configuration.FindAccountByKey("k3") == nullptr);
  }

  void UnreadableConfigurationSaysWhy() {
    CPPUNIT_ASSERT(!Ok(ReadConfiguration("")));
    const auto read = ReadConfiguration(R"({"version":7,"routes":[{"name":"r"}]})");
    CPPUNIT_ASSERT(!Ok(read));
    CPPUNIT_ASSERT(ErrorOf(read).find("routes[0].host") != std::string::npos);
  }

  void WorkerRowIsRead() {
    std::string why;
    const auto worker = ReadWorker(
        Row(R"({"service":"s","address":"10.0.0.9:8080","zone":"z","version":"v1","slots":8,"state":"draining",)"
            R"("coldLeftMs":700,"capacity":{"cpu":16000,"memMb":32768,"gpu":8},"labels":["a","r1-3"],"remainingMs":4500,)"
            R"("clockMs":482113,"seq":4,"born":1775519749021})"),
        &why);
    CPPUNIT_ASSERT(worker.has_value());
    CPPUNIT_ASSERT(worker->m_draining && worker->m_remaining == Millis{4'500});
    CPPUNIT_ASSERT_EQUAL(std::string("r1-3"), worker->m_rack);
    CPPUNIT_ASSERT((worker->m_capacity == Resources{8, 16'000, 32'768}));
    CPPUNIT_ASSERT(worker->m_cold_left == Millis{700} && worker->m_born == Instant{1'775'519'749'021});
    CPPUNIT_ASSERT_EQUAL(std::string("i-1"), worker->m_id.m_value);
  }

  void ForeignWorkerRowsNameNoWorker() {
    for (const char* text :
         {"", "\x01\x02", "[]", "{}", R"({"service":"s","address":7,"zone":"z","state":"ready"})",
          R"({"service":"s","address":"10.0.0.9:80","zone":"z","state":"asleep","capacity":{}})",
          R"({"service":"s","address":"nowhere","zone":"z","state":"ready","capacity":{}})",
          R"({"service":"s","address":"10.0.0.9:80","zone":"z","state":"ready","capacity":[]})",
          R"({"service":"s","address":"10.0.0.9:80","zone":"z","state":"ready","capacity":{},"labels":[1]})",
          R"({"service":"s","address":"10.0.0.9:80","zone":"z","state":"ready","capacity":{},"born":"1"})",
          R"({"service":"s","address":"10.0.0.9:80","zone":"z","state":"ready","capacity":{},"coldLeftMs":[]})"}) {
      std::string why;
      CPPUNIT_ASSERT_MESSAGE(text, !ReadWorker(Row(text), &why).has_value() && !why.empty());
    }
  }

  void StartStopAndLookBodies() {
    jobs::StartCall start{kTask, jobs::RunNumber{2}, std::make_shared<const std::string>("text"),
                          "",    {486'000},          Epoch{7}};
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"task":"5c0e7a21d94b36f8.0.1.17","runId":2,"spec":"text","expiresMs":486000,)"
                                     R"("fencingToken":7})"),
                         StartBody(start));
    start.m_checkpoint = "c1";
    CPPUNIT_ASSERT(StartBody(start).find(R"("checkpoint":"c1")") != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"task":"5c0e7a21d94b36f8.0.1.17","runId":2,"fencingToken":7})"),
                         StopBody({kTask, jobs::RunNumber{2}, Epoch{7}}));
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"fencingToken":7,"lastSeen":57,"expiresMs":486000,"waitMs":1000})"),
                         LookBody({Epoch{7}, 57, jobs::WorkerTime{486'000}, Millis{1'000}}));
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"fencingToken":7,"lastSeen":0})"), LookBody({Epoch{7}, 0, {}, Millis{0}}));
  }

  void StartAnswers() {
    using jobs::StartOutcome;
    const auto outcome = [](const HttpResult& answer) { return ReadStartAnswer(answer).m_outcome; };
    const jobs::StartReply runs = ReadStartAnswer(Answer(200, R"({"clockMs":482113})"));
    CPPUNIT_ASSERT(runs.m_outcome == StartOutcome::kAccepted && runs.m_clock == jobs::WorkerTime{482'113});
    CPPUNIT_ASSERT(!runs.m_born);
    CPPUNIT_ASSERT(ReadStartAnswer(Answer(200, R"({"clockMs":4,"born":1775519749021})")).m_born ==
                   Instant{1'775'519'749'021});
    CPPUNIT_ASSERT(outcome(Answer(409, R"({"clockMs":1,"reason":"fence"})")) == StartOutcome::kFenced);
    CPPUNIT_ASSERT(outcome(Answer(409, R"({"reason":"old"})")) == StartOutcome::kStaleRun);
    CPPUNIT_ASSERT(outcome(Answer(409, R"({"reason":"late"})")) == StartOutcome::kLeaseExpired);
    CPPUNIT_ASSERT(outcome(Answer(409, R"({"reason":"room"})")) == StartOutcome::kNoRoom);
    CPPUNIT_ASSERT(outcome(Answer(409, R"({"reason":"ticket"})")) == StartOutcome::kNoTicket);
    CPPUNIT_ASSERT(outcome(Answer(400)) == StartOutcome::kMalformed);
    CPPUNIT_ASSERT(outcome(Answer(421)) == StartOutcome::kOtherIncarnation);
    CPPUNIT_ASSERT(outcome(Answer(429)) == StartOutcome::kUnhealthy);
    CPPUNIT_ASSERT(outcome(Answer(503)) == StartOutcome::kUnhealthy);
    CPPUNIT_ASSERT(outcome(Answer(500)) == StartOutcome::kUnknown);
    CPPUNIT_ASSERT(outcome(net::NetError{net::NotSent{""}}) == StartOutcome::kNotSent);
    CPPUNIT_ASSERT(outcome(net::NetError{net::TimedOut{true}}) == StartOutcome::kUnknown);
  }

  void StopAnswers() {
    using jobs::StopOutcome;
    CPPUNIT_ASSERT(ReadStopAnswer(Answer(200)) == StopOutcome::kStopping);
    CPPUNIT_ASSERT(ReadStopAnswer(Answer(409, R"({"reason":"fence"})")) == StopOutcome::kFenced);
    CPPUNIT_ASSERT(ReadStopAnswer(Answer(421)) == StopOutcome::kOtherIncarnation);
    CPPUNIT_ASSERT(ReadStopAnswer(Answer(503)) == StopOutcome::kNoAnswer);
    CPPUNIT_ASSERT(ReadStopAnswer(net::NetError{net::Cut{""}}) == StopOutcome::kNoAnswer);
  }

  void LookAnswers() {
    const auto look = ReadLookAnswer(Answer(
        200, R"({"clockMs":482113,"running":[["5c0e7a21d94b36f8.0.1.17",2,"0bb8",41,12]],)"
             R"("ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""],[59,"5c0e7a21d94b36f8.0.1.8",3,"stopped","c"]]})"));
    CPPUNIT_ASSERT(Ok(look));
    const jobs::PollReply& reply = ValueOf(look);
    CPPUNIT_ASSERT(reply.m_clock == jobs::WorkerTime{482'113} && !reply.m_more_ended);
    CPPUNIT_ASSERT(reply.m_running.at(0).m_task == kTask && reply.m_running.at(0).m_percent == 41);
    CPPUNIT_ASSERT_EQUAL(std::string("0bb8"), reply.m_running.at(0).m_checkpoint);
    CPPUNIT_ASSERT(reply.m_ended.at(0).m_kind == jobs::EndKind::kDone && reply.m_ended.at(0).m_number == 58);
    CPPUNIT_ASSERT(reply.m_ended.at(1).m_kind == jobs::EndKind::kStopped && reply.m_ended.at(1).m_checkpoint == "c");
    CPPUNIT_ASSERT(!reply.m_born);
    const auto restarted = ReadLookAnswer(Answer(200, R"({"clockMs":4,"born":1775519749021})"));
    CPPUNIT_ASSERT(Ok(restarted) && ValueOf(restarted).m_born == Instant{1'775'519'749'021});
    using jobs::PollFailure;
    CPPUNIT_ASSERT(ErrorOf(ReadLookAnswer(Answer(200, R"({"clockMs":4,"born":"1"})"))) == PollFailure::kNoAnswer);
    CPPUNIT_ASSERT(ErrorOf(ReadLookAnswer(Answer(421))) == PollFailure::kOtherIncarnation);
    CPPUNIT_ASSERT(ErrorOf(ReadLookAnswer(Answer(409, R"({"reason":"fence"})"))) == PollFailure::kFenced);
    CPPUNIT_ASSERT(ErrorOf(ReadLookAnswer(Answer(503))) == PollFailure::kNoAnswer);
    CPPUNIT_ASSERT(ErrorOf(ReadLookAnswer(Answer(200, "{"))) == PollFailure::kNoAnswer);
    CPPUNIT_ASSERT(ErrorOf(ReadLookAnswer(Answer(200, R"({"clockMs":1,"ended":[["x"]]})"))) == PollFailure::kNoAnswer);
    CPPUNIT_ASSERT(ErrorOf(ReadLookAnswer(net::NetError{net::NotSent{""}})) == PollFailure::kRefused);
  }

  void TransactionBodyAndAnswers() {
    store::Transaction transaction;
    transaction.m_checks.push_back({{"my", "p7", "owner"}, Version{0}});
    transaction.m_puts.push_back({{"my", "p7", "owner"}, "node-1"});
    transaction.m_removals.push_back({"my", "p7", "old"});
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"expectedRev":[{"table":"my","part":"p7","key":"owner","ver":0}],)"
                                     R"("puts":[{"table":"my","part":"p7","key":"owner","value":"bm9kZS0x"}],)"
                                     R"("remove":[{"table":"my","part":"p7","key":"old"}]})"),
                         TransactionBody(transaction));
    const auto done = ReadTransactAnswer(Answer(200, R"({"ver":412,"nowMs":51230})"));
    CPPUNIT_ASSERT(Ok(done) && ValueOf(done) == Version{412});
    const auto differ = ReadTransactAnswer(
        Answer(412, R"({"rows":[{"table":"my","part":"p7","key":"owner","value":"bm9kZS0y","ver":9}],"ver":412})"));
    CPPUNIT_ASSERT(!Ok(differ));
    const auto* rows = std::get_if<store::RowsDiffer>(&ErrorOf(differ));
    CPPUNIT_ASSERT(rows != nullptr && rows->m_rows.at(0).m_value == "node-2");
    const auto refused = [](const HttpResult& answer) {
      return std::holds_alternative<store::StoreRefused>(ErrorOf(ReadTransactAnswer(answer)));
    };
    const auto rejected = [](const HttpResult& answer) {
      return std::holds_alternative<store::StoreRejected>(ErrorOf(ReadTransactAnswer(answer)));
    };
    CPPUNIT_ASSERT(refused(Answer(429)) && refused(Answer(503)));
    CPPUNIT_ASSERT(rejected(Answer(400)) && rejected(Answer(403)) && rejected(Answer(413)));
    CPPUNIT_ASSERT(refused(net::NetError{net::NotSent{""}}));
    CPPUNIT_ASSERT(!refused(net::NetError{net::Cut{""}}) && !refused(Answer(500)));
  }

  void PageAnswers() {
    const auto page = ReadPageAnswer(
        Answer(200, R"({"rows":[{"table":"my","part":"","key":"a","value":"YQ==","ver":3},)"
                    R"({"table":"my","part":"","key":"b","ver":4,"removed":true},)"
                    R"({"table":"my","part":"","key":"c","value":"!","ver":5}],"hasMore":true,"ver":530})"));
    CPPUNIT_ASSERT(Ok(page));
    const store::RowPage& read = ValueOf(page);
    CPPUNIT_ASSERT(read.m_more && read.m_version == Version{530});
    CPPUNIT_ASSERT_EQUAL(std::string("a"), read.m_rows.at(0).m_value);
    CPPUNIT_ASSERT(read.m_rows.at(1).m_removed && read.m_rows.at(2).m_value.empty());
    CPPUNIT_ASSERT(std::holds_alternative<store::HistoryGone>(ErrorOf(ReadPageAnswer(Answer(410)))));
    CPPUNIT_ASSERT(std::holds_alternative<store::Unreachable>(ErrorOf(ReadPageAnswer(Answer(503)))));
    CPPUNIT_ASSERT(std::holds_alternative<store::Unreachable>(ErrorOf(ReadPageAnswer(Answer(200, "{")))));
  }

  void MachinePages() {
    std::set<WorkerId> lives;
    const auto next = ReadMachinesAnswer(
        Answer(200,
               R"({"machines":[{"machine":"m-1","state":"up","id":"i-1"},{"machine":"m-2","state":"down","id":null},)"
               R"({"machine":"m-3","state":"moving"}],"nextToken":"t"})"),
        &lives);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, next.index());
    CPPUNIT_ASSERT_EQUAL(std::string("t"), std::get<0>(next));
    CPPUNIT_ASSERT(lives == std::set<WorkerId>{WorkerId{"i-1"}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ReadMachinesAnswer(Answer(429), &lives).index());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ReadMachinesAnswer(Answer(200, "{}"), &lives).index());
  }

 private:
  static void CheckField(const std::string& field, const std::string& body) {
    const auto job = ReadJobRequest(body);
    CPPUNIT_ASSERT_MESSAGE(body, !Ok(job));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(body, field, ErrorOf(job).m_field);
  }

  static store::StoredRow Row(const std::string& value) { return {{"servers", "", "i-1"}, value, Version{1}, false}; }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CodecTest);

}  // namespace
}  // namespace hickoryquay::platform
