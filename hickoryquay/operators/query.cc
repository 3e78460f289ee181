#include "hickoryquay/operators/query.h"

#include <algorithm>
#include <array>
#include <limits>
#include <map>
#include <tuple>

#include "hickoryquay/operators/fields.h"
#include "hickoryquay/operators/words.h"
#include "hickoryquay/settings/values.h"

namespace hickoryquay::operators {

namespace {

//-------------------------------------------------------------------------------------------------
// [SECTION] Comparisons
//-------------------------------------------------------------------------------------------------

// Values that the grammar read as a number or a duration, as the text they were written as.
std::string TextOf(const Value& value) {
  if (const auto* text = std::get_if<std::string>(&value)) return *text;
  if (const auto* duration = std::get_if<Millis>(&value)) return settings::DurationText(*duration);
  return NumberText(std::get<double>(value));
}

// The value in the type of the column's cells.
Cell AsCell(const Value& value, CellKind kind) {
  if (kind == CellKind::kText) return TextOf(value);
  if (kind == CellKind::kNumber) return std::get<double>(value);
  return std::get<Millis>(value);
}

struct Compared {
  bool m_less = false;
  bool m_equal = false;
};

Compared Compare(const Cell& a, const Cell& b) {
  return {a < b, a == b};
}

bool Contains(const Cell& a, const Cell& b) {
  return std::get<std::string>(a).find(std::get<std::string>(b)) != std::string::npos;
}

// A cell without a value fits no comparison but "!=".
bool Fits(const Cell& cell, Comparator comparator, const Cell& value) {
  if (std::holds_alternative<std::monostate>(cell)) return comparator == Comparator::kNotEqual;
  if (comparator == Comparator::kContains) return Contains(cell, value);
  const Compared compared = Compare(cell, value);
  const std::array<bool, 6> results = {compared.m_equal,
                                       !compared.m_equal,
                                       compared.m_less,
                                       compared.m_less || compared.m_equal,
                                       !compared.m_less && !compared.m_equal,
                                       !compared.m_less};
  return results.at(static_cast<std::size_t>(comparator));
}

//-------------------------------------------------------------------------------------------------
// [SECTION] Running over rows
//-------------------------------------------------------------------------------------------------

template <typename Row>
struct ReadyComparison {
  const Field<Row>* m_field = nullptr;
  Comparator m_comparator = Comparator::kEqual;
  Cell m_value;
  bool m_negated = false;
};

template <typename Row>
const Field<Row>& FieldNamed(const std::string& name) {
  const auto& fields = FieldsOf<Row>();
  return *std::find_if(fields.begin(), fields.end(), [&](const Field<Row>& field) { return name == field.m_name; });
}

// A filter with its columns looked up.
template <typename Row>
class ReadyFilter {
 public:
  ReadyFilter(const Filter& filter, const RowContext& context) : m_context(context) {
    for (const auto& all : filter.m_any) {
      auto& ready = m_any.emplace_back();
      for (const Comparison& comparison : all) {
        const Field<Row>& field = FieldNamed<Row>(comparison.m_column);
        ready.push_back(
            {&field, comparison.m_comparator, AsCell(comparison.m_value, field.m_kind), comparison.m_negated});
      }
    }
  }

  bool Fits(const Row& row) const {
    if (m_any.empty()) return true;
    return std::any_of(m_any.begin(), m_any.end(), [&](const auto& all) {
      return std::all_of(all.begin(), all.end(), [&](const auto& comparison) { return FitsOne(row, comparison); });
    });
  }

 private:
  bool FitsOne(const Row& row, const ReadyComparison<Row>& comparison) const {
    const Cell cell = comparison.m_field->m_get(row, m_context);
    return operators::Fits(cell, comparison.m_comparator, comparison.m_value) != comparison.m_negated;
  }

  RowContext m_context;
  std::vector<std::vector<ReadyComparison<Row>>> m_any;
};

// Positions of the rows in the order asked for; rows that are equal keep their order.
template <typename Row>
void Sort(const std::vector<OrderBy>& order, const std::vector<Row>& rows, const RowContext& context,
          std::vector<std::size_t>* positions) {
  if (order.empty()) return;
  std::map<std::size_t, std::vector<Cell>> keys;
  for (const std::size_t position : *positions) {
    auto& key = keys[position];
    for (const OrderBy& by : order) key.push_back(FieldNamed<Row>(by.m_column).m_get(rows[position], context));
  }
  const auto before = [&](std::size_t a, std::size_t b) {
    const auto& left = keys[a];
    const auto& right = keys[b];
    for (std::size_t i = 0; i < order.size(); ++i) {
      if (left[i] == right[i]) continue;
      return (left[i] < right[i]) != order[i].m_descending;
    }
    return false;
  };
  std::stable_sort(positions->begin(), positions->end(), before);
}

template <typename Row>
Table Run(const Show& show, const std::vector<Row>& rows, const RowContext& context) {
  const ReadyFilter<Row> filter(show.m_where, context);
  std::vector<std::size_t> positions;
  for (std::size_t i = 0; i < rows.size(); ++i) {
    if (filter.Fits(rows[i])) positions.push_back(i);
  }
  Sort(show.m_order, rows, context, &positions);
  Table table{show.m_subject, {}, positions.size(), {}};
  const std::size_t limit = static_cast<std::size_t>(show.m_limit.value_or(std::numeric_limits<int>::max()));
  if (positions.size() > limit) positions.resize(limit);
  for (const std::size_t position : positions) {
    auto& cells = table.m_rows.emplace_back();
    for (const Field<Row>& field : FieldsOf<Row>()) cells.push_back(field.m_get(rows[position], context));
  }
  return table;
}

//-------------------------------------------------------------------------------------------------
// [SECTION] Derived rows
//-------------------------------------------------------------------------------------------------

std::vector<RackRow> RackRows(const Collected& collected) {
  std::map<std::pair<DomainId, RackId>, RackRow> racks;
  for (const WorkerRow& worker : collected.m_workers) {
    const Worker& w = worker.m_worker;
    RackRow& rack = racks[{w.m_domain, w.m_rack}];
    rack.m_rack = w.m_rack;
    rack.m_domain = w.m_domain;
    rack.m_position = w.m_rack_position;
    ++rack.m_workers;
    rack.m_accelerators += w.m_capacity.m_accelerators;
    if (worker.m_state != "live") continue;
    rack.m_free += w.m_capacity.m_accelerators - worker.m_taken.m_accelerators;
    rack.m_whole += worker.m_taken == Resources{} ? 1 : 0;
  }
  std::vector<RackRow> rows;
  for (auto& [id, rack] : racks) rows.push_back(std::move(rack));
  return rows;
}

std::vector<MarketRow> MarketRows(const Configuration& configuration) {
  std::vector<MarketRow> rows;
  for (const auto& [id, market] : configuration.m_markets) rows.push_back(market.get());
  return rows;
}

std::vector<ClassRow> ClassRows(const Configuration& configuration) {
  std::vector<ClassRow> rows;
  for (const auto& [id, market] : configuration.m_markets) {
    for (const auto& [name, work] : market->m_classes) rows.push_back({market.get(), &work});
  }
  return rows;
}

std::vector<GuaranteeRow> GuaranteeRows(const Configuration& configuration, const Collected& collected) {
  using Key = std::tuple<MarketId, AccountId, std::string>;
  std::map<Key, const BrokenGuarantee*> broken;
  for (const BrokenGuarantee& b : collected.m_broken) broken[{b.m_market, b.m_account, b.m_shape}] = &b;
  std::vector<GuaranteeRow> rows;
  for (const auto& [id, market] : configuration.m_markets) {
    for (const auto& [name, account] : market->m_accounts) {
      for (const GuaranteedShape& shape : account.m_guarantees) {
        const auto found = broken.find({id, name, shape.m_name});
        rows.push_back({market.get(), &account, &shape, found == broken.end() ? nullptr : found->second});
      }
    }
  }
  return rows;
}

Table RunSubject(const Show& show, const Configuration& configuration, const Collected& collected) {
  const RowContext context{collected.m_now, &configuration};
  switch (show.m_subject) {
    case Subject::kJobs:
      return Run(show, collected.m_jobs, context);
    case Subject::kRequests:
      return Run(show, collected.m_requests, context);
    case Subject::kWorkers:
      return Run(show, collected.m_workers, context);
    case Subject::kBackends:
      return Run(show, collected.m_backends, context);
    case Subject::kRacks:
      return Run(show, RackRows(collected), context);
    case Subject::kMarkets:
      return Run(show, MarketRows(configuration), context);
    case Subject::kAccounts:
      return Run(show, AccountRows(configuration, collected), context);
    case Subject::kGuarantees:
      return Run(show, GuaranteeRows(configuration, collected), context);
    case Subject::kClasses:
      return Run(show, ClassRows(configuration), context);
    case Subject::kInstances:
      return Run(show, collected.m_instances, context);
    case Subject::kVersions:
      return Run(show, collected.m_versions, context);
    case Subject::kChanges:
      return Run(show, collected.m_changes, context);
  }
  return {};
}

}  // namespace

Wanted WantedBy(Subject subject) {
  Wanted wanted;
  wanted.m_jobs = subject == Subject::kJobs || subject == Subject::kAccounts;
  wanted.m_requests = subject == Subject::kRequests;
  wanted.m_workers = subject == Subject::kWorkers || subject == Subject::kRacks;
  wanted.m_backends = subject == Subject::kBackends;
  wanted.m_instances = subject == Subject::kInstances;
  wanted.m_versions = subject == Subject::kVersions;
  wanted.m_guarantees = subject == Subject::kGuarantees;
  wanted.m_changes = subject == Subject::kChanges;
  return wanted;
}

Table RunQuery(const Show& show, const Configuration& configuration, const Collected& collected) {
  Table table = RunSubject(show, configuration, collected);
  table.m_missing = collected.m_missing;
  return table;
}

std::vector<JobId> SelectJobs(const Filter& where, const Configuration& configuration, const Collected& collected) {
  const ReadyFilter<JobRow> filter(where, RowContext{collected.m_now, &configuration});
  std::vector<JobId> jobs;
  for (const JobRow& row : collected.m_jobs) {
    if (!Ended(row.m_job.m_state) && filter.Fits(row)) jobs.push_back(row.m_job.m_id);
  }
  return jobs;
}

std::vector<AccountRow> AccountRows(const Configuration& configuration, const Collected& collected) {
  std::map<std::pair<MarketId, AccountId>, AccountRow> accounts;
  for (const auto& [id, market] : configuration.m_markets) {
    for (const auto& [name, account] : market->m_accounts) accounts[{id, name}] = {market.get(), &account, 0, 0};
  }
  for (const JobRow& row : collected.m_jobs) {
    const Job& job = row.m_job;
    const auto found = accounts.find({job.m_spec.m_market, job.m_spec.m_account});
    if (found == accounts.end()) continue;
    const bool runs = job.m_state == JobState::kRunning || job.m_state == JobState::kStarting;
    if (runs) found->second.m_running += job.m_spec.m_shape.Accelerators();
    if (job.m_state == JobState::kWaiting) ++found->second.m_waiting;
  }
  std::vector<AccountRow> rows;
  for (const auto& [id, row] : accounts) rows.push_back(row);
  return rows;
}

}  // namespace hickoryquay::operators
