#include "dragonflyvane/core/cluster/transaction_batch.hpp"

#include <algorithm>

namespace dragonflyvane {

namespace {

/// Returns the current rows that the conditions of a transaction refer to.
std::vector<stored_row> conditionRows(const store_transaction &Transaction,
                                      const std::vector<stored_row> &Current) {
  std::vector<stored_row> Rows;
  for (const row_condition &Condition : Transaction.Conditions)
    for (const stored_row &Row : Current)
      if (Row.Id == Condition.Id)
        Rows.push_back(Row);
  return Rows;
}

/// Returns the version of a row among the current rows; 0 if the row does not
/// exist.
row_version currentVersion(const row_id &Id,
                           const std::vector<stored_row> &Current) {
  for (const stored_row &Row : Current)
    if (Row.Id == Id)
      return Row.Value ? Row.Version : 0;
  return 0;
}

/// Returns whether all conditions hold for the current rows.
bool conditionsHold(const std::vector<row_condition> &Conditions,
                    const std::vector<stored_row> &Current) {
  return std::all_of(Conditions.begin(), Conditions.end(),
                     [&](const row_condition &Condition) {
                       return currentVersion(Condition.Id, Current) ==
                              Condition.Version;
                     });
}

} // namespace

bool transaction_batch::isCompatible(
    const store_transaction &Transaction) const {
  for (const row_condition &Condition : Transaction.Conditions) {
    auto Known = Conditions.find(Condition.Id);
    bool Differs =
        Known != Conditions.end() && Known->second != Condition.Version;
    if (Differs || Writes.contains(Condition.Id))
      return false;
  }
  return std::none_of(Transaction.Writes.begin(), Transaction.Writes.end(),
                      [&](const row_write &Write) {
                        return Writes.contains(Write.Id) ||
                               Conditions.contains(Write.Id);
                      });
}

transaction_size
transaction_batch::sizeWith(const store_transaction &Transaction) const {
  transaction_size Total = Size;
  for (const row_condition &Condition : Transaction.Conditions)
    if (!Conditions.contains(Condition.Id))
      Total += sizeOf(Condition);
  for (const row_write &Write : Transaction.Writes)
    Total += sizeOf(Write);
  return Total;
}

bool transaction_batch::add(const store_transaction &Transaction) {
  transaction_size NewSize = sizeWith(Transaction);
  if (!isCompatible(Transaction) || !NewSize.fitsIn(maxTransactionSize()))
    return false;
  Size = NewSize;
  Members.push_back(Transaction);
  for (const row_condition &Condition : Transaction.Conditions)
    Conditions[Condition.Id] = Condition.Version;
  for (const row_write &Write : Transaction.Writes)
    Writes[Write.Id] = Write.Value;
  return true;
}

store_transaction transaction_batch::joinedTransaction() const {
  store_transaction Joined;
  for (const auto &[Id, Version] : Conditions)
    Joined.Conditions.push_back({Id, Version});
  for (const auto &[Id, Value] : Writes)
    Joined.Writes.push_back({Id, Value});
  return Joined;
}

std::vector<std::optional<transaction_result>>
transaction_batch::split(const transaction_result &Result) const {
  std::vector<std::optional<transaction_result>> Results;
  for (const store_transaction &Member : Members) {
    if (Result.Outcome != transaction_outcome::Conflict) {
      Results.emplace_back(Result);
      continue;
    }
    transaction_result MemberResult = Result;
    MemberResult.Current = conditionRows(Member, Result.Current);
    // A batch of one member keeps the conflict, since no other member caused
    // it.
    if (conditionsHold(Member.Conditions, MemberResult.Current) &&
        Members.size() > 1)
      Results.emplace_back(std::nullopt);
    else
      Results.emplace_back(std::move(MemberResult));
  }
  return Results;
}

} // namespace dragonflyvane
