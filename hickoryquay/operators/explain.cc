#include "hickoryquay/operators/explain.h"

#include <algorithm>
#include <array>

#include "hickoryquay/operators/fields.h"
#include "hickoryquay/operators/words.h"

namespace hickoryquay::operators {

namespace {

constexpr std::size_t kMaxJobsNamed = 8;

Problem Unknown(const std::string& kind, const std::string& name, const std::vector<std::string>& known) {
  Problem problem;
  problem.m_kind = ProblemKind::kNotFound;
  problem.m_nearest = NearestWord(name, known).value_or("");
  problem.m_message = kind + " " + name + " is not known";
  if (!problem.m_nearest.empty()) problem.m_message += "; did you mean " + problem.m_nearest + "?";
  return problem;
}

std::string Accelerators(int count) {
  return std::to_string(count) + (count == 1 ? " accelerator" : " accelerators");
}

std::vector<JobId> FirstJobs(std::vector<JobId> jobs) {
  if (jobs.size() > kMaxJobsNamed) jobs.resize(kMaxJobsNamed);
  return jobs;
}

bool Runs(const Job& job) {
  return job.m_state == JobState::kRunning || job.m_state == JobState::kStarting;
}

bool Owns(const AccountPath& path, const JobSpec& spec) {
  return spec.m_market == path.m_market && spec.m_account == path.m_account;
}

void AddGuarantees(const AccountPath& path, const ClientAccount& account, const Collected& collected,
                   Explained* explained) {
  for (const GuaranteedShape& shape : account.m_guarantees) {
    std::string fact = "guarantee " + shape.m_name + ": " + std::to_string(shape.m_blocks) + " blocks of " +
                       Accelerators(shape.m_accelerators_per_block) + ", adjacent " + ToString(shape.m_adjacency);
    for (const BrokenGuarantee& broken : collected.m_broken) {
      const bool same = broken.m_market == path.m_market && broken.m_account == path.m_account;
      if (same && broken.m_shape == shape.m_name) fact += "; can't be honoured now: " + broken.m_why;
    }
    explained->m_facts.push_back(std::move(fact));
  }
}

// The sentence that answers why the account does not get more.
std::string WhyNotMore(const ClientAccount& account, int running, int waiting) {
  const int guaranteed = Guaranteed(account);
  if (waiting == 0) return "nothing of it waits";
  if (account.m_max_waiting_jobs > 0 && waiting >= account.m_max_waiting_jobs) {
    return "it has reached its limit of " + std::to_string(account.m_max_waiting_jobs) +
           " waiting jobs; further ones are refused";
  }
  if (account.m_max_accelerators > 0 && running >= account.m_max_accelerators) {
    return "it has reached its limit of " + Accelerators(account.m_max_accelerators);
  }
  if (running >= guaranteed) return "its guarantees are in use; what waits needs accelerators that others leave idle";
  return "it runs below its guarantees; what waits is being placed or waits for borrowers to stop, see why job";
}

const WorkerRow* FindWorker(const WorkerId& id, const Collected& collected) {
  const auto& workers = collected.m_workers;
  const auto found =
      std::find_if(workers.begin(), workers.end(), [&](const WorkerRow& w) { return w.m_worker.m_id == id; });
  return found == workers.end() ? nullptr : &*found;
}

std::string WhyWorkerTakesNone(const WorkerRow& worker) {
  const int free = worker.m_worker.m_capacity.m_accelerators - worker.m_taken.m_accelerators;
  if (worker.m_state != "live") return "it is " + worker.m_state + (worker.m_why.empty() ? "" : ": " + worker.m_why);
  if (!worker.m_why.empty()) return worker.m_why;
  if (free <= 0) return "all its accelerators are taken";
  return "it takes work: " + Accelerators(free) + " free; what waits needs more, or more that is adjacent";
}

}  // namespace

Explained ExplainJob(JobId job, const policy::Explanation& explanation) {
  Explained explained;
  explained.m_subject = "job " + hickoryquay::ToString(job);
  explained.m_state = explanation.m_state;
  explained.m_why = explanation.m_why;
  explained.m_behind = explanation.m_behind;
  explained.m_borrows = explanation.m_borrows;
  return explained;
}

Result<Explained, Problem> ExplainAccount(const AccountPath& path, const Configuration& configuration,
                                          const Collected& collected) {
  std::vector<std::string> known;
  for (const auto& [id, market] : configuration.m_markets) known.push_back(id.m_value);
  const Market* market = configuration.FindMarket(path.m_market);
  if (market == nullptr) return Unknown("market", path.m_market.m_value, known);
  known.clear();
  for (const auto& [id, account] : market->m_accounts) known.push_back(id.m_value);
  const ClientAccount* account = market->FindAccount(path.m_account);
  if (account == nullptr) return Unknown("account", path.m_account.m_value, known);

  int running = 0;
  int refused = 0;
  std::vector<JobId> waiting;
  for (const JobRow& row : collected.m_jobs) {
    if (!Owns(path, row.m_job.m_spec)) continue;
    if (Runs(row.m_job)) running += row.m_job.m_spec.m_shape.Accelerators();
    if (row.m_job.m_state == JobState::kWaiting) waiting.push_back(row.m_job.m_id);
    if (row.m_job.m_state == JobState::kRefused) ++refused;
  }
  const int guaranteed = Guaranteed(*account);
  Explained explained;
  explained.m_subject = "account " + path.m_market.m_value + "/" + path.m_account.m_value;
  explained.m_state = "runs on " + Accelerators(running) + ", " + std::to_string(waiting.size()) + " jobs wait, " +
                      std::to_string(refused) + " refused";
  explained.m_why = WhyNotMore(*account, running, static_cast<int>(waiting.size()));
  explained.m_facts.push_back("guaranteed " + Accelerators(guaranteed) + ", borrows " +
                              std::to_string(std::max(0, running - guaranteed)));
  AddGuarantees(path, *account, collected, &explained);
  for (const JobId job : FirstJobs(waiting)) explained.m_facts.push_back("waits: " + hickoryquay::ToString(job));
  for (const std::string& missing : collected.m_missing) explained.m_facts.push_back("no answer from " + missing);
  return explained;
}

Result<Explained, Problem> ExplainWorker(const WorkerId& id, const Collected& collected) {
  const WorkerRow* worker = FindWorker(id, collected);
  if (worker == nullptr) {
    std::vector<std::string> known;
    for (const WorkerRow& row : collected.m_workers) known.push_back(row.m_worker.m_id.m_value);
    return Unknown("worker", id.m_value, known);
  }
  std::vector<JobId> jobs;
  for (const JobRow& row : collected.m_jobs) {
    const auto& placements = row.m_job.m_placements;
    const bool here =
        std::any_of(placements.begin(), placements.end(), [&](const Placement& p) { return p.m_worker == id; });
    if (here && Runs(row.m_job)) jobs.push_back(row.m_job.m_id);
  }
  Explained explained;
  explained.m_subject = "worker " + id.m_value;
  explained.m_state = worker->m_state;
  explained.m_why = WhyWorkerTakesNone(*worker);
  explained.m_behind = FirstJobs(jobs);
  explained.m_facts.push_back(std::to_string(jobs.size()) + " jobs hold " +
                              Accelerators(worker->m_taken.m_accelerators) + " of " +
                              std::to_string(worker->m_worker.m_capacity.m_accelerators));
  return explained;
}

}  // namespace hickoryquay::operators
