// FakeBackend: a configuration, jobs and workers in memory, with faults on demand.
#pragma once

#include <algorithm>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "hickoryquay/model/json.h"
#include "hickoryquay/operators/backend.h"

namespace hickoryquay::test {

class FakeBackend final : public operators::Backend {
 public:
  enum class Fault { kNone, kDown, kLostAnswer };

  // Set by tests. m_before_commit runs between the check of a change and its commit, as another operator would.
  Fault m_fault = Fault::kNone;
  int m_accelerators = 64;  // The guarantees of a market may add up to this.
  operators::Collected m_collected;
  std::function<void()> m_before_commit;
  std::vector<std::string> m_actions;
  std::string m_not_ready;
  int m_commits = 0;

  std::shared_ptr<const Configuration> Markets() const override {
    const std::lock_guard lock(m_mutex);
    return m_configuration;
  }

  void ChangeMarkets(operators::ChangeRequest request, operators::ChangeCallback callback) override {
    if (const auto before = std::exchange(m_before_commit, nullptr)) before();
    if (m_fault == Fault::kDown) return callback(operators::ChangeError{operators::NotDone{"table unavailable"}});
    if (const auto conflict = FindConflict(request)) return callback(operators::ChangeError{*conflict});
    const operators::AcceptedChange accepted = Commit(request);
    if (m_fault == Fault::kLostAnswer) return callback(operators::ChangeError{operators::InDoubt{"no answer"}});
    callback(accepted);
  }

  void CheckMarket(const Market& market, operators::CheckCallback callback) override {
    int guaranteed = 0;
    for (const auto& [id, account] : market.m_accounts) {
      for (const GuaranteedShape& shape : account.m_guarantees) {
        guaranteed += shape.m_blocks * shape.m_accelerators_per_block;
        if (guaranteed <= m_accelerators) continue;
        return callback(std::variant<policy::UnsatisfiableGuarantee, operators::NotDone>{policy::UnsatisfiableGuarantee{
            id, shape.m_name, std::to_string(guaranteed) + " accelerators are too many"}});
      }
    }
    callback(Done{});
  }

  void Collect(const operators::Wanted&, operators::CollectCallback callback) override { callback(m_collected); }

  void Explain(JobId job, operators::ExplainCallback callback) override {
    for (const operators::JobRow& row : m_collected.m_jobs) {
      if (row.m_job.m_id != job) continue;
      return callback(policy::Explanation{ToString(row.m_job.m_state), row.m_why, {}, {"shop/base"}});
    }
    callback(operators::ActionError{operators::NotFound{"job " + ToString(job)}});
  }

  void CancelJobs(const std::vector<JobId>& jobs, const std::string& who, operators::ActionCallback callback) override {
    Act("cancel " + std::to_string(jobs.size()) + " by " + who, std::move(callback));
  }
  void RetryJob(JobId job, const std::string& who, operators::ActionCallback callback) override {
    Act("retry " + ToString(job) + " by " + who, std::move(callback));
  }
  void Steer(const operators::SteerWorker& steer, const std::string& who, operators::ActionCallback callback) override {
    Act(operators::ToText(steer) + " by " + who, std::move(callback));
  }
  void Drain(const InstanceId& instance, const std::string& who, operators::ActionCallback callback) override {
    Act("drain instance " + instance.m_value + " by " + who, std::move(callback));
  }

  void Dump(std::function<void(boost::json::value)> callback) const override {
    callback(boost::json::object{{"instance", "fake"}});
  }
  std::string MetricsText() const override { return "hq_fake 1\n"; }
  std::string NotReady() const override { return m_not_ready; }

 private:
  std::optional<operators::VersionConflict> FindConflict(const operators::ChangeRequest& request) const {
    const std::lock_guard lock(m_mutex);
    for (const operators::StagedMarket& staged : request.m_markets) {
      const Market* found = m_configuration->FindMarket(staged.m_market);
      const Version at = found == nullptr ? Version{} : found->m_version;
      if (at != staged.m_expected) return operators::VersionConflict{staged.m_market, staged.m_expected, at};
    }
    return std::nullopt;
  }

  operators::AcceptedChange Commit(const operators::ChangeRequest& request) {
    const std::lock_guard lock(m_mutex);
    auto next = std::make_shared<Configuration>(*m_configuration);
    operators::AcceptedChange accepted;
    const Version version{++m_last_version};
    ++m_commits;
    std::string statements = request.m_statements;
    for (const operators::StagedMarket& staged : request.m_markets) {
      m_collected.m_changes.push_back({Instant{1000 * m_commits}, request.m_who, staged.m_market, staged.m_expected,
                                       staged.m_document.has_value() ? version : Version{}, statements});
      if (!staged.m_document.has_value()) {
        next->m_markets.erase(staged.m_market);
        accepted.m_versions.emplace_back(staged.m_market, Version{});
        continue;
      }
      auto market = std::make_shared<Market>(*staged.m_document);
      market->m_version = version;
      next->m_markets[staged.m_market] = std::move(market);
      accepted.m_versions.emplace_back(staged.m_market, version);
    }
    m_configuration = std::move(next);
    return accepted;
  }

  void Act(std::string action, operators::ActionCallback callback) {
    if (m_fault == Fault::kDown) return callback(operators::ActionError{operators::NotDone{"placer away"}});
    if (m_fault == Fault::kLostAnswer) return callback(operators::ActionError{operators::InDoubt{"no answer"}});
    m_actions.push_back(action);
    callback(std::move(action));
  }

  mutable std::mutex m_mutex;
  std::shared_ptr<const Configuration> m_configuration = std::make_shared<Configuration>();
  std::uint64_t m_last_version = 0;
};

}  // namespace hickoryquay::test
