#include "dragonflyvane/core/configuration/order_book.hpp"

#include <algorithm>

namespace dragonflyvane {

bool order_book::apply(const stored_row &Row) {
  if (Row.Id.Kind != row_kind::Order)
    return false;
  row_version &Known = Versions[Row.Id];
  bool IsGone = !Row.Value;
  bool IsOld = IsGone ? Known == 0 : Row.Version <= Known;
  if (IsOld)
    return false;
  Known = IsGone ? 0 : Row.Version;
  if (IsGone) {
    auto Domain = DomainOfRow.find(Row.Id);
    if (Domain == DomainOfRow.end())
      return false;
    Evacuated.erase(Domain->second);
    return true;
  }
  std::optional<operator_order> Order = Decode(Row);
  if (!Order)
    return false;
  if (Order->Configuration)
    Config = Order->Configuration;
  if (!Order->EvacuatedDomain.empty()) {
    DomainOfRow[Row.Id] = Order->EvacuatedDomain;
    Evacuated.insert(Order->EvacuatedDomain);
  }
  return true;
}

bool order_book::applyAll(const row_batch &Batch) {
  bool Changed = false;
  for (const row_id &Id : Rows) {
    bool Stands =
        std::any_of(Batch.Rows.begin(), Batch.Rows.end(),
                    [&](const stored_row &Row) { return Row.Id == Id; });
    if (!Stands)
      Changed |= apply({Id, Batch.Revision, std::nullopt});
  }
  for (const stored_row &Row : Batch.Rows)
    Changed |= apply(Row);
  return Changed;
}

void order_book::confirm(time_point SentAt) {
  ConfirmedAt = std::max(ConfirmedAt, SentAt);
}

std::vector<row_condition> order_book::conditions() const {
  std::vector<row_condition> Conditions;
  for (const row_id &Id : Rows) {
    auto Known = Versions.find(Id);
    Conditions.push_back({Id, Known == Versions.end() ? 0 : Known->second});
  }
  return Conditions;
}

} // namespace dragonflyvane
