#include "hickoryquay/operators/executor.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "hickoryquay/operators/draft.h"
#include "hickoryquay/operators/explain.h"
#include "hickoryquay/operators/query.h"

namespace hickoryquay::operators {

namespace {

Problem MakeProblem(ProblemKind kind, std::string message) {
  Problem problem;
  problem.m_kind = kind;
  problem.m_message = std::move(message);
  return problem;
}

// Everything of one transaction that is checked before anything is done; empty: nothing is wrong.
std::optional<Problem> CheckShape(const std::vector<Line>& lines) {
  const auto count = [&](bool (*is)(const Statement&)) {
    return std::count_if(lines.begin(), lines.end(), [&](const Line& line) { return is(line.m_statement); });
  };
  const auto actions = count(&IsAction);
  if (actions == 0 || (actions == 1 && count(&IsConfigurationChange) == 0)) return std::nullopt;
  return MakeProblem(ProblemKind::kRefused,
                     "an action on jobs, workers or instances can't be undone, so it must be the only change of its "
                     "transaction; put begin each before the statements");
}

// One transaction. Keeps itself alive by the callbacks it waits for.
class Transaction : public std::enable_shared_from_this<Transaction> {
 public:
  Transaction(Backend* backend, std::vector<Line> lines, Caller caller, RunOptions options, OutcomeCallback callback)
      : m_backend(backend),
        m_lines(std::move(lines)),
        m_caller(std::move(caller)),
        m_options(std::move(options)),
        m_callback(std::move(callback)),
        m_configuration(backend->Markets()),
        m_draft(m_configuration) {}

  void Start() {
    if (auto problem = CheckShape(m_lines)) return Fail(std::move(*problem));
    for (const auto& [market, version] : m_options.m_expected) {
      const auto expected = m_draft.Expect({market, version});
      if (!Ok(expected)) return Fail(ErrorOf(expected));
    }
    for (const Line& line : m_lines) {
      auto staged = Stage(line.m_statement);
      if (!Ok(staged)) return Fail(At(ErrorOf(staged), line));
    }
    m_staged = m_draft.Staged();
    CheckNext(0);
  }

  // Stages a whole document instead of statements.
  void StartWith(const StagedMarket& market, std::string statement) {
    const auto expected = m_draft.Expect({market.m_market, market.m_expected});
    if (!Ok(expected)) return Fail(ErrorOf(expected));
    const auto put =
        market.m_document.has_value() ? m_draft.PutDocument(*market.m_document) : m_draft.Apply(Drop{market.m_market});
    if (!Ok(put)) return Fail(ErrorOf(put));
    m_staged = m_draft.Staged();
    m_statements = std::move(statement);
    CheckNext(0);
  }

 private:
  static Problem At(Problem problem, const Line& line) {
    if (problem.m_line == 0) problem.m_line = line.m_line;
    return problem;
  }

  Result<Done, Problem> Stage(const Statement& statement) {
    return std::visit(
        Overloaded{[&](const PutMarket& s) { return m_draft.Apply(s); },
                   [&](const PutAccount& s) { return m_draft.Apply(s); },
                   [&](const PutGuarantee& s) { return m_draft.Apply(s); },
                   [&](const PutClass& s) { return m_draft.Apply(s); }, [&](const Drop& s) { return m_draft.Apply(s); },
                   [&](const ExpectVersion& s) { return m_draft.Expect(s); },
                   [](const auto&) -> Result<Done, Problem> { return Done{}; }},
        statement);
  }

  // Checks the guarantees of one changed market after the other, then commits.
  void CheckNext(std::size_t index) {
    while (index < m_staged.size() && !m_staged[index].m_document.has_value()) ++index;
    if (index == m_staged.size()) return Commit();
    const Market& market = *m_staged[index].m_document;
    m_backend->CheckMarket(market, [self = shared_from_this(), index](const auto& checked) {
      if (Ok(checked)) return self->CheckNext(index + 1);
      self->Fail(self->FromCheck(self->m_staged[index].m_market, ErrorOf(checked)));
    });
  }

  static Problem FromCheck(const MarketId& market, const std::variant<policy::UnsatisfiableGuarantee, NotDone>& error) {
    return std::visit(Overloaded{[&](const policy::UnsatisfiableGuarantee& e) { return FromUnhonourable(market, e); },
                                 [](const NotDone& e) { return FromChange(e); }},
                      error);
  }

  void Commit() {
    if (m_staged.empty()) return AnswerNext(0);
    ChangeRequest request{m_staged, m_caller.m_name, StatementsText()};
    m_backend->ChangeMarkets(std::move(request), [self = shared_from_this()](const auto& changed) {
      if (!Ok(changed)) return self->Fail(FromChange(ErrorOf(changed)));
      self->m_outcome.m_answers.push_back({self->StatementsText(), Changed{ValueOf(changed).m_versions}});
      self->AnswerNext(0);
    });
  }

  std::string StatementsText() const {
    if (!m_statements.empty()) return m_statements;
    std::string text;
    for (const Line& line : m_lines) {
      if (!IsConfigurationChange(line.m_statement)) continue;
      text += (text.empty() ? "" : "; ") + ToText(line.m_statement);
    }
    return text;
  }

  // Answers questions and carries out the action, in order.
  void AnswerNext(std::size_t index) {
    if (index == m_lines.size()) return Finish();
    m_answering = true;
    m_index = index;
    std::visit([this](const auto& statement) { Run(statement); }, m_lines[index].m_statement);
  }

  void Run(const PutMarket&) { AnswerNext(m_index + 1); }
  void Run(const PutAccount&) { AnswerNext(m_index + 1); }
  void Run(const PutGuarantee&) { AnswerNext(m_index + 1); }
  void Run(const PutClass&) { AnswerNext(m_index + 1); }
  void Run(const Drop&) { AnswerNext(m_index + 1); }
  void Run(const BeginEach&) { AnswerNext(m_index + 1); }
  void Run(const ExpectVersion& expect) {
    Give(Acted{"market " + expect.m_market.m_value + " was at version " + std::to_string(Raw(expect.m_version))});
  }

  void Run(const Show& show) {
    m_backend->Collect(WantedBy(show.m_subject), [self = shared_from_this(), show](Collected collected) {
      AddHeld(&collected);
      self->Give(RunQuery(show, *self->m_backend->Markets(), collected));
    });
  }

  void Run(const CancelJobs& cancel) {
    if (!cancel.m_jobs.empty()) return Cancel(cancel.m_jobs);
    Wanted wanted;
    wanted.m_jobs = true;
    m_backend->Collect(wanted, [self = shared_from_this(), cancel](const Collected& collected) {
      if (!collected.m_missing.empty()) {
        return self->Fail(MakeProblem(ProblemKind::kUnavailable,
                                      "nothing was cancelled: no answer from " + collected.m_missing.front()));
      }
      self->Cancel(SelectJobs(cancel.m_where, *self->m_backend->Markets(), collected));
    });
  }

  void Cancel(const std::vector<JobId>& jobs) {
    if (jobs.empty()) return Give(Acted{"no job fits, nothing to cancel"});
    m_backend->CancelJobs(jobs, m_caller.m_name, Acting());
  }

  void Run(const RetryJob& retry) { m_backend->RetryJob(retry.m_job, m_caller.m_name, Acting()); }
  void Run(const SteerWorker& steer) { m_backend->Steer(steer, m_caller.m_name, Acting()); }
  void Run(const DrainInstance& drain) { m_backend->Drain(drain.m_instance, m_caller.m_name, Acting()); }

  ActionCallback Acting() {
    return [self = shared_from_this()](const Result<std::string, ActionError>& acted) {
      if (!Ok(acted)) return self->Fail(FromAction(ErrorOf(acted)));
      self->Give(Acted{ValueOf(acted)});
    };
  }

  void Run(const WhyJob& why) {
    m_backend->Explain(why.m_job, [self = shared_from_this(), why](const auto& explained) {
      if (!Ok(explained)) return self->Fail(FromAction(ErrorOf(explained)));
      self->Give(ExplainJob(why.m_job, ValueOf(explained)));
    });
  }

  void Run(const WhyAccount& why) {
    Wanted wanted;
    wanted.m_jobs = true;
    wanted.m_guarantees = true;
    m_backend->Collect(wanted, [self = shared_from_this(), why](const Collected& collected) {
      self->GiveOrFail(ExplainAccount(why.m_account, *self->m_backend->Markets(), collected));
    });
  }

  void Run(const WhyNotWorker& why) {
    Wanted wanted;
    wanted.m_jobs = true;
    wanted.m_workers = true;
    m_backend->Collect(wanted, [self = shared_from_this(), why](Collected collected) {
      AddHeld(&collected);
      self->GiveOrFail(ExplainWorker(why.m_worker, collected));
    });
  }

  void Run(const WhatIf& what_if) {
    Draft draft(m_backend->Markets());
    const auto applied = draft.Apply(what_if.m_change);
    if (!Ok(applied)) return Give(Verdict{false, ErrorOf(applied).m_message});
    const std::vector<StagedMarket> staged = draft.Staged();
    if (staged.empty() || !staged.front().m_document.has_value()) return Give(Verdict{true, ""});
    const Market& market = *staged.front().m_document;
    m_backend->CheckMarket(market, [self = shared_from_this(), id = market.m_id](const auto& checked) {
      if (Ok(checked)) return self->Give(Verdict{true, ""});
      const Problem problem = FromCheck(id, ErrorOf(checked));
      if (problem.m_kind == ProblemKind::kUnavailable) return self->Fail(problem);
      self->Give(Verdict{false, problem.m_message});
    });
  }

  void GiveOrFail(const Result<Explained, Problem>& explained) {
    if (!Ok(explained)) return Fail(ErrorOf(explained));
    Give(ValueOf(explained));
  }

  template <typename Value>
  void Give(Value value) {
    m_outcome.m_answers.push_back({ToText(m_lines[m_index].m_statement), std::move(value)});
    AnswerNext(m_index + 1);
  }

  void Fail(Problem problem) {
    if (!m_outcome.m_answers.empty() && !m_staged.empty()) problem.m_message += "; the changes before it are in force";
    m_outcome.m_problem = m_answering ? At(std::move(problem), m_lines[m_index]) : std::move(problem);
    Finish();
  }

  void Finish() { m_callback(std::move(m_outcome)); }

  Backend* m_backend;
  std::vector<Line> m_lines;
  Caller m_caller;
  RunOptions m_options;
  OutcomeCallback m_callback;
  std::shared_ptr<const Configuration> m_configuration;
  Draft m_draft;
  std::vector<StagedMarket> m_staged;
  std::string m_statements;  // Of a whole document; else those of the lines are used.
  bool m_answering = false;  // Then m_index is the line under way.
  std::size_t m_index = 0;
  Outcome m_outcome;
};

// The transactions of a script behind `begin each`, one after the other.
class Sequence : public std::enable_shared_from_this<Sequence> {
 public:
  Sequence(Backend* backend, std::vector<Line> lines, Caller caller, RunOptions options, OutcomeCallback callback)
      : m_backend(backend),
        m_lines(std::move(lines)),
        m_caller(std::move(caller)),
        m_options(std::move(options)),
        m_callback(std::move(callback)) {}

  void Next() {
    if (m_index == m_lines.size()) return m_callback(std::move(m_outcome));
    const std::vector<Line> one = {m_lines[m_index++]};
    // The versions expected are those of the start: the first transaction checks them, its successors move them on.
    const RunOptions options = std::exchange(m_options, RunOptions{});
    std::make_shared<Transaction>(m_backend, one, m_caller, options, [self = shared_from_this()](Outcome outcome) {
      self->Take(std::move(outcome));
    })->Start();
  }

 private:
  void Take(Outcome outcome) {
    for (Answer& answer : outcome.m_answers) m_outcome.m_answers.push_back(std::move(answer));
    if (!outcome.m_problem.has_value()) return Next();
    m_outcome.m_problem = std::move(outcome.m_problem);
    m_callback(std::move(m_outcome));
  }

  Backend* m_backend;
  std::vector<Line> m_lines;
  Caller m_caller;
  RunOptions m_options;
  OutcomeCallback m_callback;
  std::size_t m_index = 0;
  Outcome m_outcome;
};

bool AnyChange(const Script& script) {
  return std::any_of(script.m_lines.begin(), script.m_lines.end(),
                     [](const Line& line) { return Changes(line.m_statement); });
}

Outcome Failed(Problem problem) {
  Outcome outcome;
  outcome.m_problem = std::move(problem);
  return outcome;
}

Problem MayNotChange(const Caller& caller) {
  return MakeProblem(ProblemKind::kForbidden,
                     caller.m_name + " may view only; changes need a token with the role operator");
}

}  // namespace

void RunScript(Backend* backend, const Script& script, const Caller& caller, const RunOptions& options,
               OutcomeCallback callback) {
  if (!caller.m_may_change && AnyChange(script)) return callback(Failed(MayNotChange(caller)));
  if (script.m_lines.size() > kMaxStatements) {
    return callback(Failed(MakeProblem(ProblemKind::kRefused,
                                       "the script has more than " + std::to_string(kMaxStatements) + " statements")));
  }
  const bool each = !script.m_lines.empty() && std::holds_alternative<BeginEach>(script.m_lines.front().m_statement);
  if (each) {
    return std::make_shared<Sequence>(backend, script.m_lines, caller, options, std::move(callback))->Next();
  }
  std::make_shared<Transaction>(backend, script.m_lines, caller, options, std::move(callback))->Start();
}

void PutMarketDocument(Backend* backend, const StagedMarket& market, const Caller& caller, std::string statement,
                       OutcomeCallback callback) {
  if (!caller.m_may_change) return callback(Failed(MayNotChange(caller)));
  std::make_shared<Transaction>(backend, std::vector<Line>{}, caller, RunOptions{}, std::move(callback))
      ->StartWith(market, std::move(statement));
}

}  // namespace hickoryquay::operators
