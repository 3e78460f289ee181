#include "hickoryquay/instance/operator_backend.h"

#include <algorithm>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <mutex>
#include <set>
#include <utility>

#include "hickoryquay/instance/state_names.h"
#include "hickoryquay/model/field_reader.h"
#include "hickoryquay/model/json.h"
#include "hickoryquay/placer/rows.h"

namespace hickoryquay::instance {

namespace json = boost::json;
using operators::ActionError;
using Need = FieldReader::Need;

namespace {

// Collects the results of several calls; calls back with the first error or, when all went well, with Done.
template <typename Error>
class Join {
 public:
  using Callback = std::function<void(Result<Done, Error>)>;

  explicit Join(Callback callback) : m_callback(std::move(callback)) {}
  ~Join() { m_error ? m_callback(*m_error) : m_callback(Done{}); }
  void Fail(Error error) {
    const std::scoped_lock lock(m_mutex);
    if (!m_error) m_error = std::move(error);
  }

 private:
  Callback m_callback;
  std::mutex m_mutex;
  std::optional<Error> m_error;
};

ActionError FromTable(const store::TableError& error) {
  const std::string text = store::ToString(error);
  if (std::holds_alternative<store::InDoubt>(error)) return operators::InDoubt{text};
  return operators::NotDone{text};
}

operators::ChangeError FromStore(const store::ChangeError& error) {
  return std::visit(
      Overloaded{[](const store::LostAgainst& lost) -> operators::ChangeError {
                   return operators::VersionConflict{lost.m_market, lost.m_expected, lost.m_version};
                 },
                 [](const store::ChangeNotDone& e) -> operators::ChangeError { return operators::NotDone{e.m_why}; },
                 [](const store::ChangeUnsure& e) -> operators::ChangeError { return operators::InDoubt{e.m_why}; }},
      error);
}

// Why a job can't be started anew; empty where it can.
std::string WhyNoRetry(const Job& job, const Configuration& configuration) {
  if (!Ended(job.m_state)) return "it has not ended";
  if (job.m_state == JobState::kDone) return "it is done";
  if (Raw(job.m_attempt) == 0) return "";
  const Market* market = configuration.FindMarket(job.m_spec.m_market);
  const ClassOfWork* work = market != nullptr ? market->FindClass(job.m_spec.m_class) : nullptr;
  const bool once = work == nullptr || RunsOnce(job.m_spec, *work);
  return once ? "it must not be repeated and may have run" : "";
}

}  // namespace

std::shared_ptr<const Configuration> OperatorBackend::Markets() const {
  return m_parts.m_collector.m_configuration->Current();
}

std::vector<DomainId> OperatorBackend::Domains() const {
  std::set<DomainId> domains = {m_parts.m_collector.m_domain};
  for (const auto& [id, market] : Markets()->m_markets) {
    domains.insert(market->m_domains.begin(), market->m_domains.end());
  }
  return {domains.begin(), domains.end()};
}

void OperatorBackend::ChangeMarkets(operators::ChangeRequest request, operators::ChangeCallback callback) {
  std::vector<store::MarketEdit> edits;
  for (operators::StagedMarket& staged : request.m_markets) {
    edits.push_back({staged.m_market, staged.m_expected, std::move(staged.m_document)});
  }
  m_parts.m_collector.m_configuration->Change(
      std::move(edits), {request.m_who, request.m_statements},
      [callback = std::move(callback), markets = request.m_markets](const Result<Version, store::ChangeError>& result) {
        if (!Ok(result)) return callback(FromStore(ErrorOf(result)));
        operators::AcceptedChange accepted;
        for (const operators::StagedMarket& staged : markets) {
          accepted.m_versions.emplace_back(staged.m_market, staged.m_document ? ValueOf(result) : Version{0});
        }
        callback(std::move(accepted));
      });
}

void OperatorBackend::CheckMarket(const Market& market, operators::CheckCallback callback) {
  using Error = std::variant<policy::UnsatisfiableGuarantee, operators::NotDone>;
  const auto join = std::make_shared<Join<Error>>(std::move(callback));
  const std::string document = json::serialize(ToJson(market));
  for (const DomainId& domain : market.m_domains) {
    m_parts.m_collector.m_queries->AskPlacer(domain, kCheckMarket, document, [join, domain](const auto& checked) {
      if (!checked) return join->Fail(operators::NotDone{"the placer of " + domain.m_value + " did not answer"});
      bool honoured = false;
      std::string account;
      policy::UnsatisfiableGuarantee error;
      FieldReader reader(*checked);
      reader.Read("ok", &honoured);
      reader.Read("account", &account, Need::kOptional);
      reader.Read("shape", &error.m_shape, Need::kOptional);
      reader.Read("why", &error.m_why, Need::kOptional);
      if (honoured) return;
      error.m_account = AccountId(account);
      error.m_why = domain.m_value + ": " + error.m_why;
      join->Fail(std::move(error));
    });
  }
}

void OperatorBackend::Collect(const operators::Wanted& wanted, operators::CollectCallback callback) {
  std::make_shared<Collector>(m_parts.m_collector, std::move(callback))->Run(wanted);
}

void OperatorBackend::FindJob(JobId job, FoundCallback callback) {
  struct Search {
    std::mutex m_mutex;
    std::optional<std::pair<Job, Version>> m_found;
    std::optional<ActionError> m_error;
    JobId m_job{};
    FoundCallback m_callback;

    Result<std::pair<Job, Version>, ActionError> Outcome() const {
      if (m_found) return *m_found;
      if (m_error) return *m_error;
      return ActionError{operators::NotFound{"job " + ToString(m_job)}};
    }
    ~Search() { m_callback(Outcome()); }
  };
  const auto search = std::make_shared<Search>();
  search->m_job = job;
  search->m_callback = std::move(callback);
  for (const DomainId& domain : Domains()) {
    m_parts.m_collector.m_table->Get(placer::JobKey(domain, job), [search](const auto& result) {
      const std::scoped_lock lock(search->m_mutex);
      if (!Ok(result)) {
        search->m_error = FromTable(ErrorOf(result));
        return;
      }
      const store::Row& row = ValueOf(result);
      if (row.m_version == Version{0}) return;
      auto parsed = placer::ParseJobValue(row.m_value);
      if (Ok(parsed)) search->m_found = {TakeValue(std::move(parsed)), row.m_version};
    });
  }
}

void OperatorBackend::Explain(JobId job, operators::ExplainCallback callback) {
  FindJob(job, [queries = m_parts.m_collector.m_queries, callback = std::move(callback)](const auto& result) {
    if (!Ok(result)) return callback(ErrorOf(result));
    const Job found = ValueOf(result).first;
    policy::Explanation from_row{ToString(found.m_state), found.m_why, {}, {}};
    if (Ended(found.m_state)) return callback(from_row);
    queries->AskPlacer(
        found.m_domain, kExplainJobs, ToString(found.m_id), [callback, from_row, found](const auto& state) mutable {
          const json::value* explained =
              state && state->is_object() ? state->get_object().if_contains(ToString(found.m_id)) : nullptr;
          if (explained == nullptr) {
            from_row.m_why = "the placer of " + found.m_domain.m_value + " did not answer";
            return callback(from_row);
          }
          FieldReader reader(*explained);
          reader.Read("state", &from_row.m_state, Need::kOptional);
          reader.Read("why", &from_row.m_why, Need::kOptional);
          for (const json::value& id : reader.Array("behind", Need::kOptional)) {
            JobId behind{};
            if (id.is_string() && ParseJobId(std::string(id.get_string()), &behind)) {
              from_row.m_behind.push_back(behind);
            }
          }
          for (const json::value& guarantee : reader.Array("borrows", Need::kOptional)) {
            if (guarantee.is_string()) from_row.m_borrows.emplace_back(guarantee.get_string());
          }
          callback(from_row);
        });
  });
}

void OperatorBackend::CancelJobs(const std::vector<JobId>& jobs, const std::string& who,
                                 operators::ActionCallback callback) {
  const std::string said = "cancelling " + std::to_string(jobs.size()) + " jobs";
  const auto join = std::make_shared<Join<ActionError>>([callback = std::move(callback), said](const auto& result) {
    if (!Ok(result)) return callback(ErrorOf(result));
    callback(said);
  });
  for (const JobId job : jobs) {
    FindJob(job, [this, join, who](const auto& result) {
      if (!Ok(result)) return join->Fail(ErrorOf(result));
      const Job& found = ValueOf(result).first;
      if (Ended(found.m_state)) return;
      m_parts.m_intake->Cancel(found.m_domain, found.m_id, who,
                               [notify = m_parts.m_notify_cancelled, join, id = found.m_id](const auto& cancelled) {
                                 if (!Ok(cancelled)) return join->Fail(FromTable(ErrorOf(cancelled)));
                                 notify(id);
                               });
    });
  }
}

void OperatorBackend::RetryJob(JobId job, const std::string& who, operators::ActionCallback callback) {
  FindJob(job, [this, who, callback = std::move(callback)](const auto& result) {
    if (!Ok(result)) return callback(ErrorOf(result));
    Job again = ValueOf(result).first;
    const std::string why_not = WhyNoRetry(again, *Markets());
    if (!why_not.empty()) return callback(ActionError{operators::NotAllowed{why_not}});
    again.m_state = JobState::kWaiting;
    again.m_failures = 0;
    again.m_placements.clear();
    again.m_ended = Instant{};
    again.m_why = "started anew by " + who;
    const std::string key = placer::JobKey(again.m_domain, again.m_id);
    store::Commit commit;
    commit.m_checks = {{key, ValueOf(result).second}};
    commit.m_writes = {{key, placer::JobValue(again)}};
    m_parts.m_collector.m_table->Submit(
        std::move(commit), [callback, notify = m_parts.m_notify_cancelled, id = again.m_id](const auto& committed) {
          if (!Ok(committed)) return callback(FromTable(ErrorOf(committed)));
          notify(id);
          callback("waiting again: " + ToString(id));
        });
  });
}

void OperatorBackend::Steer(const operators::SteerWorker& steer, const std::string& who,
                            operators::ActionCallback callback) {
  const bool on = steer.m_steering != operators::Steering::kRelease;
  const std::string argument =
      json::serialize(json::object{{"worker", steer.m_worker.m_value}, {"on", on}, {"by", who}});
  const std::string said = std::string(operators::ToString(steer.m_steering)) + " " + steer.m_worker.m_value;
  struct Asked {
    std::atomic<bool> m_answered{false};
    operators::ActionCallback m_callback;
    std::string m_said;
    ~Asked() {
      if (m_answered) {
        m_callback(m_said);
      } else {
        m_callback(ActionError{operators::NotDone{"no placer answered"}});
      }
    }
  };
  const auto asked = std::make_shared<Asked>();
  asked->m_callback = std::move(callback);
  asked->m_said = said;
  for (const DomainId& domain : Domains()) {
    m_parts.m_collector.m_queries->AskPlacer(domain, kSetQuarantine, argument, [asked](const auto& state) {
      if (state) asked->m_answered = true;
    });
  }
}

void OperatorBackend::Drain(const InstanceId& instance, const std::string& who, operators::ActionCallback callback) {
  const std::string said = "draining " + instance.m_value + " for " + who;
  if (instance == m_parts.m_collector.m_self) {
    callback(said);
    return m_parts.m_drain();
  }
  for (const peers::Peer& peer : m_parts.m_collector.m_peers->Peers()) {
    if (peer.m_id != instance) continue;
    return m_parts.m_collector.m_queries->AskInstance(peer.m_inner, kDrain, "", [callback, said](const auto& state) {
      if (state) return callback(said);
      callback(ActionError{operators::InDoubt{"the instance did not answer"}});
    });
  }
  callback(ActionError{operators::NotFound{"instance " + instance.m_value}});
}

}  // namespace hickoryquay::instance
