// Fields: what the columns of each subject are read from.
#pragma once

#include <vector>

#include "hickoryquay/operators/backend.h"
#include "hickoryquay/operators/columns.h"

namespace hickoryquay::operators {

// Rows that are derived from the configuration and from what was collected.
struct RackRow {
  RackId m_rack;
  DomainId m_domain;
  int m_position = 0;
  int m_workers = 0;
  int m_accelerators = 0;
  int m_free = 0;   // On live workers.
  int m_whole = 0;  // Workers that are live and wholly free.
};

struct AccountRow {
  const Market* m_market = nullptr;
  const ClientAccount* m_account = nullptr;
  int m_running = 0;  // Accelerators.
  int m_waiting = 0;  // Jobs.
};

struct GuaranteeRow {
  const Market* m_market = nullptr;
  const ClientAccount* m_account = nullptr;
  const GuaranteedShape* m_shape = nullptr;
  const BrokenGuarantee* m_broken = nullptr;  // nullptr: it holds.
};

struct ClassRow {
  const Market* m_market = nullptr;
  const ClassOfWork* m_class = nullptr;
};

using MarketRow = const Market*;

// What getters read besides the row.
struct RowContext {
  Instant m_now;  // Wall time.
  const Configuration* m_configuration = nullptr;
};

template <typename Row>
struct Field {
  const char* m_name = nullptr;
  CellKind m_kind = CellKind::kText;
  Cell (*m_get)(const Row&, const RowContext&) = nullptr;
};

// One specialisation for each kind of row, in fields.cc.
template <typename Row>
const std::vector<Field<Row>>& FieldsOf();

template <>
const std::vector<Field<JobRow>>& FieldsOf();
template <>
const std::vector<Field<RequestRow>>& FieldsOf();
template <>
const std::vector<Field<WorkerRow>>& FieldsOf();
template <>
const std::vector<Field<BackendRow>>& FieldsOf();
template <>
const std::vector<Field<RackRow>>& FieldsOf();
template <>
const std::vector<Field<MarketRow>>& FieldsOf();
template <>
const std::vector<Field<AccountRow>>& FieldsOf();
template <>
const std::vector<Field<GuaranteeRow>>& FieldsOf();
template <>
const std::vector<Field<ClassRow>>& FieldsOf();
template <>
const std::vector<Field<InstanceRow>>& FieldsOf();
template <>
const std::vector<Field<VersionRow>>& FieldsOf();
template <>
const std::vector<Field<ChangeRow>>& FieldsOf();

// Accelerators a client account is guaranteed, over all its shapes.
int Guaranteed(const ClientAccount& account);

// "2026-01-01T12:00:00.000Z"; "" for the epoch itself.
std::string UtcText(Instant at);

}  // namespace hickoryquay::operators
