#include "hickoryquay/operators/columns.h"

#include <array>

#include "hickoryquay/operators/fields.h"

namespace hickoryquay::operators {

namespace {

template <typename Row>
std::vector<Column> ColumnsFor() {
  std::vector<Column> columns;
  for (const Field<Row>& field : FieldsOf<Row>()) columns.push_back({field.m_name, field.m_kind});
  return columns;
}

// Indexed by Subject.
const std::array<std::vector<Column>, 12>& AllColumns() {
  static const std::array<std::vector<Column>, 12> columns = {
      ColumnsFor<JobRow>(),   ColumnsFor<RequestRow>(),  ColumnsFor<WorkerRow>(),  ColumnsFor<BackendRow>(),
      ColumnsFor<RackRow>(),  ColumnsFor<MarketRow>(),   ColumnsFor<AccountRow>(), ColumnsFor<GuaranteeRow>(),
      ColumnsFor<ClassRow>(), ColumnsFor<InstanceRow>(), ColumnsFor<VersionRow>(), ColumnsFor<ChangeRow>()};
  return columns;
}

}  // namespace

const std::vector<Column>& ColumnsOf(Subject subject) {
  return AllColumns().at(static_cast<std::size_t>(subject));
}

int ColumnIndex(Subject subject, const std::string& name) {
  const std::vector<Column>& columns = ColumnsOf(subject);
  for (std::size_t i = 0; i < columns.size(); ++i) {
    if (columns[i].m_name == name) return static_cast<int>(i);
  }
  return -1;
}

std::vector<std::string> ColumnNames(Subject subject) {
  std::vector<std::string> names;
  for (const Column& column : ColumnsOf(subject)) names.push_back(column.m_name);
  return names;
}

const char* ToString(CellKind kind) {
  constexpr std::array<const char*, 3> kNames = {"a text", "a number", "a duration with its unit"};
  return kNames.at(static_cast<std::size_t>(kind));
}

}  // namespace hickoryquay::operators
