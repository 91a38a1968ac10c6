#include "dragonflyvane/core/cluster/transaction_batch.hpp"

#include <algorithm>

namespace dragonflyvane {

namespace {

/// Conditions and writes that one call to the store may hold.
constexpr size_t MostEntries = 100;

/// The rows among the current ones that a transaction has conditions on.
std::vector<stored_row> rowsOf(const store_transaction &Transaction,
                               const std::vector<stored_row> &Current) {
  std::vector<stored_row> Rows;
  for (const row_condition &Condition : Transaction.Conditions)
    for (const stored_row &Row : Current)
      if (Row.Id == Condition.Id)
        Rows.push_back(Row);
  return Rows;
}

/// The version of a row among the current ones; 0 if it does not stand.
row_version standingVersion(const row_id &Id,
                            const std::vector<stored_row> &Current) {
  for (const stored_row &Row : Current)
    if (Row.Id == Id)
      return Row.Value ? Row.Version : 0;
  return 0;
}

bool hold(const std::vector<row_condition> &Conditions,
          const std::vector<stored_row> &Current) {
  return std::all_of(Conditions.begin(), Conditions.end(),
                     [&](const row_condition &Condition) {
                       return standingVersion(Condition.Id, Current) ==
                              Condition.Version;
                     });
}

} // namespace

bool transaction_batch::agrees(const store_transaction &Transaction) const {
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

size_t
transaction_batch::entriesWith(const store_transaction &Transaction) const {
  size_t Entries =
      Conditions.size() + Writes.size() + Transaction.Writes.size();
  for (const row_condition &Condition : Transaction.Conditions)
    Entries += !Conditions.contains(Condition.Id);
  return Entries;
}

bool transaction_batch::add(const store_transaction &Transaction) {
  if (!agrees(Transaction) || entriesWith(Transaction) > MostEntries)
    return false;
  Members.push_back(Transaction);
  for (const row_condition &Condition : Transaction.Conditions)
    Conditions[Condition.Id] = Condition.Version;
  for (const row_write &Write : Transaction.Writes)
    Writes[Write.Id] = Write.Value;
  return true;
}

store_transaction transaction_batch::joined() const {
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
    transaction_result Own = Result;
    Own.Current = rowsOf(Member, Result.Current);
    if (hold(Member.Conditions, Own.Current) && Members.size() > 1)
      Results.emplace_back(std::nullopt);
    else
      Results.emplace_back(std::move(Own));
  }
  return Results;
}

} // namespace dragonflyvane
