#include "hickoryquay/operators/fields.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>

namespace hickoryquay::operators {

namespace {

constexpr CellKind kText = CellKind::kText;
constexpr CellKind kNumber = CellKind::kNumber;
constexpr CellKind kDuration = CellKind::kDuration;

using Context = RowContext;

Cell Number(std::int64_t number) {
  return static_cast<double>(number);
}

Cell YesNo(bool flag) {
  return std::string(flag ? "yes" : "no");
}

// From `from` to `to`; nothing where `from` never came.
Cell Between(Instant from, Instant to) {
  if (from == Instant{}) return {};
  return std::max(to - from, Millis{0});
}

// From acceptance to the last start, or to now while it waits.
Cell Waited(const JobRow& row, const Context& context) {
  const Job& job = row.m_job;
  const bool waits = job.m_state == JobState::kWaiting || job.m_started == Instant{};
  return Between(job.m_accepted, !waits ? job.m_started : Ended(job.m_state) ? job.m_ended : context.m_now);
}

Cell Ran(const JobRow& row, const Context& context) {
  const Job& job = row.m_job;
  if (job.m_state == JobState::kWaiting) return job.m_attained;
  return Between(job.m_started, Ended(job.m_state) ? job.m_ended : context.m_now);
}

// Until the deadline; negative once it is past.
Cell Left(const JobRow& row, const Context& context) {
  const Job& job = row.m_job;
  if (job.m_spec.m_deadline == Instant{} || Ended(job.m_state)) return {};
  return job.m_spec.m_deadline - context.m_now;
}

Cell Once(const JobRow& row, const Context& context) {
  const JobSpec& spec = row.m_job.m_spec;
  const Market* market = context.m_configuration->FindMarket(spec.m_market);
  const ClassOfWork* work = market == nullptr ? nullptr : market->FindClass(spec.m_class);
  return YesNo(work == nullptr ? spec.m_once : RunsOnce(spec, *work));
}

std::string Joined(const std::vector<DomainId>& domains) {
  std::string text;
  for (const DomainId& domain : domains) text += (text.empty() ? "" : ",") + domain.m_value;
  return text;
}

std::string Joined(const std::map<DomainId, int>& blocks_by_domain) {
  std::string text;
  for (const auto& [domain, blocks] : blocks_by_domain) {
    text += (text.empty() ? "" : ",") + domain.m_value + ":" + std::to_string(blocks);
  }
  return text;
}

}  // namespace

int Guaranteed(const ClientAccount& account) {
  int accelerators = 0;
  for (const GuaranteedShape& shape : account.m_guarantees) {
    accelerators += shape.m_blocks * shape.m_accelerators_per_block;
  }
  return accelerators;
}

std::string UtcText(Instant at) {
  if (at == Instant{}) return "";
  const std::time_t seconds = at.m_ms / 1000;
  std::tm parts{};
  if (gmtime_r(&seconds, &parts) == nullptr) return "";
  std::array<char, 32> day{};
  std::strftime(day.data(), day.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  std::array<char, 48> text{};
  std::snprintf(text.data(), text.size(), "%s.%03dZ", day.data(), static_cast<int>(at.m_ms % 1000));
  return text.data();
}

template <>
const std::vector<Field<JobRow>>& FieldsOf() {
  static const std::vector<Field<JobRow>> fields = {
      {"job", kText, [](const JobRow& r, const Context&) -> Cell { return hickoryquay::ToString(r.m_job.m_id); }},
      {"market", kText, [](const JobRow& r, const Context&) -> Cell { return r.m_job.m_spec.m_market.m_value; }},
      {"account", kText, [](const JobRow& r, const Context&) -> Cell { return r.m_job.m_spec.m_account.m_value; }},
      {"class", kText, [](const JobRow& r, const Context&) -> Cell { return r.m_job.m_spec.m_class.m_value; }},
      {"domain", kText, [](const JobRow& r, const Context&) -> Cell { return r.m_job.m_domain.m_value; }},
      {"state", kText, [](const JobRow& r, const Context&) -> Cell { return std::string(ToString(r.m_job.m_state)); }},
      {"tasks", kNumber, [](const JobRow& r, const Context&) { return Number(r.m_job.m_spec.m_shape.m_tasks); }},
      {"accelerators", kNumber,
       [](const JobRow& r, const Context&) { return Number(r.m_job.m_spec.m_shape.Accelerators()); }},
      {"attempt", kNumber, [](const JobRow& r, const Context&) { return Number(Raw(r.m_job.m_attempt)); }},
      {"failures", kNumber, [](const JobRow& r, const Context&) { return Number(r.m_job.m_failures); }},
      {"workers", kNumber,
       [](const JobRow& r, const Context&) { return Number(static_cast<std::int64_t>(r.m_job.m_placements.size())); }},
      {"waited", kDuration, &Waited},
      {"ran", kDuration, &Ran},
      {"left", kDuration, &Left},
      {"once", kText, &Once},
      {"why", kText, [](const JobRow& r, const Context&) -> Cell { return r.m_why.empty() ? r.m_job.m_why : r.m_why; }},
  };
  return fields;
}

template <>
const std::vector<Field<RequestRow>>& FieldsOf() {
  static const std::vector<Field<RequestRow>> fields = {
      {"request", kText, [](const RequestRow& r, const Context&) -> Cell { return r.m_id; }},
      {"market", kText, [](const RequestRow& r, const Context&) -> Cell { return r.m_market.m_value; }},
      {"account", kText, [](const RequestRow& r, const Context&) -> Cell { return r.m_account.m_value; }},
      {"class", kText, [](const RequestRow& r, const Context&) -> Cell { return r.m_class.m_value; }},
      {"state", kText, [](const RequestRow& r, const Context&) -> Cell { return r.m_state; }},
      {"instance", kText, [](const RequestRow& r, const Context&) -> Cell { return r.m_instance.m_value; }},
      {"backend", kText, [](const RequestRow& r, const Context&) -> Cell { return r.m_backend.m_value; }},
      {"age", kDuration, [](const RequestRow& r, const Context&) -> Cell { return r.m_age; }},
      {"why", kText, [](const RequestRow& r, const Context&) -> Cell { return r.m_why; }},
  };
  return fields;
}

template <>
const std::vector<Field<WorkerRow>>& FieldsOf() {
  static const std::vector<Field<WorkerRow>> fields = {
      {"worker", kText, [](const WorkerRow& r, const Context&) -> Cell { return r.m_worker.m_id.m_value; }},
      {"domain", kText, [](const WorkerRow& r, const Context&) -> Cell { return r.m_worker.m_domain.m_value; }},
      {"rack", kText, [](const WorkerRow& r, const Context&) -> Cell { return r.m_worker.m_rack.m_value; }},
      {"state", kText, [](const WorkerRow& r, const Context&) -> Cell { return r.m_state; }},
      {"accelerators", kNumber,
       [](const WorkerRow& r, const Context&) { return Number(r.m_worker.m_capacity.m_accelerators); }},
      {"free", kNumber,
       [](const WorkerRow& r, const Context&) {
         return Number(r.m_worker.m_capacity.m_accelerators - r.m_taken.m_accelerators);
       }},
      {"jobs", kNumber, [](const WorkerRow& r, const Context&) { return Number(r.m_jobs); }},
      {"why", kText, [](const WorkerRow& r, const Context&) -> Cell { return r.m_why; }},
  };
  return fields;
}

template <>
const std::vector<Field<BackendRow>>& FieldsOf() {
  static const std::vector<Field<BackendRow>> fields = {
      {"backend", kText, [](const BackendRow& r, const Context&) -> Cell { return r.m_id.m_value; }},
      {"market", kText, [](const BackendRow& r, const Context&) -> Cell { return r.m_market.m_value; }},
      {"domain", kText, [](const BackendRow& r, const Context&) -> Cell { return r.m_domain.m_value; }},
      {"state", kText, [](const BackendRow& r, const Context&) -> Cell { return r.m_state; }},
      {"slots", kNumber, [](const BackendRow& r, const Context&) { return Number(r.m_slots); }},
      {"busy", kNumber, [](const BackendRow& r, const Context&) { return Number(r.m_busy); }},
      {"connections", kNumber, [](const BackendRow& r, const Context&) { return Number(r.m_connections); }},
  };
  return fields;
}

template <>
const std::vector<Field<RackRow>>& FieldsOf() {
  static const std::vector<Field<RackRow>> fields = {
      {"rack", kText, [](const RackRow& r, const Context&) -> Cell { return r.m_rack.m_value; }},
      {"domain", kText, [](const RackRow& r, const Context&) -> Cell { return r.m_domain.m_value; }},
      {"position", kNumber, [](const RackRow& r, const Context&) { return Number(r.m_position); }},
      {"workers", kNumber, [](const RackRow& r, const Context&) { return Number(r.m_workers); }},
      {"accelerators", kNumber, [](const RackRow& r, const Context&) { return Number(r.m_accelerators); }},
      {"free", kNumber, [](const RackRow& r, const Context&) { return Number(r.m_free); }},
      {"whole", kNumber, [](const RackRow& r, const Context&) { return Number(r.m_whole); }},
  };
  return fields;
}

template <>
const std::vector<Field<MarketRow>>& FieldsOf() {
  static const std::vector<Field<MarketRow>> fields = {
      {"market", kText, [](const MarketRow& r, const Context&) -> Cell { return r->m_id.m_value; }},
      {"version", kNumber,
       [](const MarketRow& r, const Context&) { return Number(static_cast<std::int64_t>(Raw(r->m_version))); }},
      {"domains", kText, [](const MarketRow& r, const Context&) -> Cell { return Joined(r->m_domains); }},
      {"weight", kNumber, [](const MarketRow& r, const Context&) -> Cell { return r->m_completion_weight; }},
      {"accounts", kNumber,
       [](const MarketRow& r, const Context&) { return Number(static_cast<std::int64_t>(r->m_accounts.size())); }},
      {"classes", kNumber,
       [](const MarketRow& r, const Context&) { return Number(static_cast<std::int64_t>(r->m_classes.size())); }},
  };
  return fields;
}

template <>
const std::vector<Field<AccountRow>>& FieldsOf() {
  static const std::vector<Field<AccountRow>> fields = {
      {"account", kText, [](const AccountRow& r, const Context&) -> Cell { return r.m_account->m_id.m_value; }},
      {"market", kText, [](const AccountRow& r, const Context&) -> Cell { return r.m_market->m_id.m_value; }},
      {"guaranteed", kNumber, [](const AccountRow& r, const Context&) { return Number(Guaranteed(*r.m_account)); }},
      {"running", kNumber, [](const AccountRow& r, const Context&) { return Number(r.m_running); }},
      {"borrowed", kNumber,
       [](const AccountRow& r, const Context&) { return Number(std::max(0, r.m_running - Guaranteed(*r.m_account))); }},
      {"waiting", kNumber, [](const AccountRow& r, const Context&) { return Number(r.m_waiting); }},
      {"max_accelerators", kNumber,
       [](const AccountRow& r, const Context&) { return Number(r.m_account->m_max_accelerators); }},
      {"max_waiting", kNumber,
       [](const AccountRow& r, const Context&) { return Number(r.m_account->m_max_waiting_jobs); }},
  };
  return fields;
}

template <>
const std::vector<Field<GuaranteeRow>>& FieldsOf() {
  static const std::vector<Field<GuaranteeRow>> fields = {
      {"guarantee", kText, [](const GuaranteeRow& r, const Context&) -> Cell { return r.m_shape->m_name; }},
      {"market", kText, [](const GuaranteeRow& r, const Context&) -> Cell { return r.m_market->m_id.m_value; }},
      {"account", kText, [](const GuaranteeRow& r, const Context&) -> Cell { return r.m_account->m_id.m_value; }},
      {"blocks", kNumber, [](const GuaranteeRow& r, const Context&) { return Number(r.m_shape->m_blocks); }},
      {"accelerators", kNumber,
       [](const GuaranteeRow& r, const Context&) { return Number(r.m_shape->m_accelerators_per_block); }},
      {"adjacent", kText,
       [](const GuaranteeRow& r, const Context&) -> Cell { return std::string(ToString(r.m_shape->m_adjacency)); }},
      {"split", kText,
       [](const GuaranteeRow& r, const Context&) -> Cell { return Joined(r.m_shape->m_blocks_by_domain); }},
      {"state", kText,
       [](const GuaranteeRow& r, const Context&) -> Cell {
         return std::string(r.m_broken == nullptr ? "honoured" : "broken");
       }},
      {"why", kText,
       [](const GuaranteeRow& r, const Context&) -> Cell {
         return r.m_broken == nullptr ? std::string() : r.m_broken->m_why;
       }},
  };
  return fields;
}

template <>
const std::vector<Field<ClassRow>>& FieldsOf() {
  static const std::vector<Field<ClassRow>> fields = {
      {"class", kText, [](const ClassRow& r, const Context&) -> Cell { return r.m_class->m_id.m_value; }},
      {"market", kText, [](const ClassRow& r, const Context&) -> Cell { return r.m_market->m_id.m_value; }},
      {"urgency", kNumber, [](const ClassRow& r, const Context&) { return Number(r.m_class->m_urgency); }},
      {"deadline", kDuration,
       [](const ClassRow& r, const Context&) -> Cell {
         return r.m_class->m_default_deadline.count() == 0 ? Cell{} : Cell{r.m_class->m_default_deadline};
       }},
      {"repeatable", kText, [](const ClassRow& r, const Context&) { return YesNo(r.m_class->m_repeatable); }},
      {"checkpointable", kText, [](const ClassRow& r, const Context&) { return YesNo(r.m_class->m_checkpointable); }},
      {"preemptible", kText, [](const ClassRow& r, const Context&) { return YesNo(r.m_class->m_preemptible); }},
  };
  return fields;
}

template <>
const std::vector<Field<InstanceRow>>& FieldsOf() {
  static const std::vector<Field<InstanceRow>> fields = {
      {"instance", kText, [](const InstanceRow& r, const Context&) -> Cell { return r.m_id.m_value; }},
      {"domain", kText, [](const InstanceRow& r, const Context&) -> Cell { return r.m_domain.m_value; }},
      {"state", kText, [](const InstanceRow& r, const Context&) -> Cell { return r.m_state; }},
      {"address", kText, [](const InstanceRow& r, const Context&) -> Cell { return r.m_address; }},
      {"placer", kText, [](const InstanceRow& r, const Context&) { return YesNo(r.m_placer); }},
      {"epoch", kNumber,
       [](const InstanceRow& r, const Context&) { return Number(static_cast<std::int64_t>(Raw(r.m_epoch))); }},
      {"silent", kDuration, [](const InstanceRow& r, const Context&) -> Cell { return r.m_silent; }},
  };
  return fields;
}

template <>
const std::vector<Field<VersionRow>>& FieldsOf() {
  static const std::vector<Field<VersionRow>> fields = {
      {"market", kText, [](const VersionRow& r, const Context&) -> Cell { return r.m_market.m_value; }},
      {"instance", kText, [](const VersionRow& r, const Context&) -> Cell { return r.m_instance.m_value; }},
      {"version", kNumber,
       [](const VersionRow& r, const Context&) { return Number(static_cast<std::int64_t>(Raw(r.m_version))); }},
  };
  return fields;
}

template <>
const std::vector<Field<ChangeRow>>& FieldsOf() {
  static const std::vector<Field<ChangeRow>> fields = {
      {"at", kText, [](const ChangeRow& r, const Context&) -> Cell { return UtcText(r.m_at); }},
      {"who", kText, [](const ChangeRow& r, const Context&) -> Cell { return r.m_who; }},
      {"market", kText, [](const ChangeRow& r, const Context&) -> Cell { return r.m_market.m_value; }},
      {"from", kNumber,
       [](const ChangeRow& r, const Context&) { return Number(static_cast<std::int64_t>(Raw(r.m_from))); }},
      {"to", kNumber,
       [](const ChangeRow& r, const Context&) { return Number(static_cast<std::int64_t>(Raw(r.m_to))); }},
      {"statement", kText, [](const ChangeRow& r, const Context&) -> Cell { return r.m_statement; }},
  };
  return fields;
}

}  // namespace hickoryquay::operators
