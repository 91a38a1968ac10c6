#include "dragonflyvane/core/configuration/operator_state.hpp"

#include <algorithm>

namespace dragonflyvane {

bool operator_state::apply(const stored_row &Row) {
  if (Row.Id.Kind != row_kind::Operator)
    return false;
  row_version &KnownVersion = Versions[Row.Id];
  bool IsDeleted = !Row.Value;
  bool IsStale = IsDeleted ? KnownVersion == 0 : Row.Version <= KnownVersion;
  if (IsStale)
    return false;
  KnownVersion = IsDeleted ? 0 : Row.Version;
  if (IsDeleted) {
    auto Domain = DomainOfRow.find(Row.Id);
    if (Domain == DomainOfRow.end())
      return false;
    Evacuated.erase(Domain->second);
    return true;
  }
  std::optional<operator_row> OperatorRow = Decode(Row);
  if (!OperatorRow)
    return false;
  if (OperatorRow->Configuration)
    Config = OperatorRow->Configuration;
  if (!OperatorRow->EvacuatedFailureDomain.empty()) {
    DomainOfRow[Row.Id] = OperatorRow->EvacuatedFailureDomain;
    Evacuated.insert(OperatorRow->EvacuatedFailureDomain);
  }
  return true;
}

bool operator_state::applyAll(const row_batch &Batch) {
  bool Changed = false;
  for (const row_id &Id : Rows) {
    bool Exists =
        std::any_of(Batch.Rows.begin(), Batch.Rows.end(),
                    [&](const stored_row &Row) { return Row.Id == Id; });
    if (!Exists)
      Changed |= apply({Id, Batch.Revision, std::nullopt});
  }
  for (const stored_row &Row : Batch.Rows)
    Changed |= apply(Row);
  return Changed;
}

void operator_state::confirm(time_point SentAt) {
  ConfirmedAt = std::max(ConfirmedAt, SentAt);
}

std::vector<row_condition> operator_state::conditions() const {
  std::vector<row_condition> Conditions;
  for (const row_id &Id : Rows) {
    auto Known = Versions.find(Id);
    Conditions.push_back({Id, Known == Versions.end() ? 0 : Known->second});
  }
  return Conditions;
}

} // namespace dragonflyvane
