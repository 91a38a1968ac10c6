#include "dragonflyvane/node/cluster/restorable_store.hpp"

#include "dragonflyvane/core/cluster/era_row.hpp"
#include "dragonflyvane/net/log.hpp"

#include <algorithm>
#include <utility>

namespace dragonflyvane {

namespace {

/// A transaction is sent again this many times if only the condition on the era
/// row did not hold.
constexpr int MaxAttempts = 3;
/// A version that no row has, for conditions that must not hold.
constexpr row_version NoRowsVersion = versionIn(1, 0) - 1;

const row_id EraRow = eraRow();

/// The version by the store for a condition; one that never holds for a
/// condition of an earlier era.
row_version conditionVersion(row_version Version, store_era Era) {
  if (Version == 0)
    return 0;
  return eraOf(Version) == Era ? versionInEra(Version) : NoRowsVersion;
}

transaction_result notCommitted(const std::string &Error) {
  transaction_result Result;
  Result.Outcome = transaction_outcome::NotCommitted;
  Result.Error = Error;
  return Result;
}

} // namespace

restorable_store::restorable_store(store &Direct, scheduler &Loop,
                                   std::function<void()> OnReturn)
    : Direct(Direct), Loop(Loop), OnReturn(std::move(OnReturn)) {}

bool restorable_store::observe(store_era Observed) {
  if (!Era)
    Era = Observed;
  if (Observed <= *Era)
    return Observed == *Era;
  writeLog(log_level::Warning, "store came back from an older copy",
           {{"step", "store"}, {"era", Observed}, {"before", *Era}});
  Era = Observed;
  Loop.post([this, Watch = std::weak_ptr<bool>(Alive)] {
    if (!Watch.expired())
      OnReturn();
  });
  return true;
}

void restorable_store::convert(std::vector<stored_row> &Rows,
                               store_era RowEra) {
  for (stored_row &Row : Rows) {
    if (Row.Id == EraRow)
      observeEraRow(Row);
    if (Row.Version > 0)
      Row.Version = versionIn(RowEra, Row.Version);
  }
}

void restorable_store::convert(read_result &Result) {
  if (Result.Outcome == read_outcome::Failed)
    return;
  if (!observe(Result.Batch.Era)) {
    Result = {};
    Result.Error = "response from before the store came back";
    return;
  }
  LatestStoreTime = Result.Batch.StoreTime;
  convert(Result.Batch.Rows, Result.Batch.Era);
  Result.Batch.Revision = versionIn(Result.Batch.Era, Result.Batch.Revision);
}

void restorable_store::observeEraRow(const stored_row &Row) {
  EraRowVersion = Row.Value ? Row.Version : 0;
  NotedEra = decodeEra(Row.Value).Era;
}

// Reads and watches.

void restorable_store::read(row_kind Kind, read_callback Callback) {
  Direct.read(Kind, [this, Callback = std::move(Callback)](read_result Result) {
    convert(Result);
    Callback(std::move(Result));
  });
}

void restorable_store::watch(row_kind Kind, row_version After,
                             std::chrono::milliseconds Wait,
                             read_callback Callback) {
  read_result Compacted;
  Compacted.Outcome = read_outcome::HistoryCompacted;
  if (Era && eraOf(After) != *Era)
    return Loop.post([Compacted, Callback = std::move(Callback),
                      Watch = std::weak_ptr<bool>(Alive)] {
      if (!Watch.expired())
        Callback(Compacted);
    });
  Direct.watch(Kind, versionInEra(After), Wait,
               [this, After, Compacted,
                Callback = std::move(Callback)](read_result Result) {
                 convert(Result);
                 bool IsOfOtherEra =
                     Result.Outcome == read_outcome::Succeeded &&
                     eraOf(Result.Batch.Revision) != eraOf(After);
                 if (IsOfOtherEra)
                   return Callback(Compacted);
                 Callback(std::move(Result));
               });
}

// Transactions.

void restorable_store::transact(const store_transaction &Transaction,
                                transaction_callback Callback) {
  pending_transaction Pending{Transaction, std::move(Callback)};
  if (isEraNoted())
    return send(std::move(Pending));
  AwaitingEra.push_back(std::move(Pending));
  noteEra();
}

void restorable_store::noteEra() {
  if (std::exchange(IsNoting, true))
    return;
  store_transaction Transaction;
  Transaction.Conditions.push_back({EraRow, EraRowVersion});
  // Before the first response the era is not known, and the first one is
  // assumed.
  store_era Noted = Era.value_or(0);
  std::string Value = encodeEra({Noted, LatestStoreTime});
  if (Noted > 0)
    Transaction.Writes.push_back({EraRow, Value});
  Direct.transact(
      Transaction, [this, Noted, Value](const transaction_result &Result) {
        IsNoting = false;
        if (Result.Era)
          observe(*Result.Era);
        if (Result.Outcome == transaction_outcome::Committed && Noted > 0)
          observeEraRow({EraRow, Result.Revision, Value});
        for (const stored_row &Row : Result.Current)
          if (Row.Id == EraRow)
            observeEraRow(Row);
        onEraNoted(Result);
      });
}

void restorable_store::onEraNoted(const transaction_result &Result) {
  bool IsAnswered = Result.Outcome == transaction_outcome::Committed ||
                    Result.Outcome == transaction_outcome::Conflict;
  if (IsAnswered && !isEraNoted())
    return noteEra();
  for (pending_transaction &Pending : std::exchange(AwaitingEra, {})) {
    if (IsAnswered)
      send(std::move(Pending));
    else
      Pending.Callback(
          notCommitted("the era row could not be written: " + Result.Error));
  }
}

void restorable_store::send(pending_transaction Pending) {
  store_transaction Converted = Pending.Transaction;
  for (row_condition &Condition : Converted.Conditions)
    Condition.Version = conditionVersion(Condition.Version, *Era);
  Converted.Conditions.push_back({EraRow, EraRowVersion});
  ++Pending.Attempt;
  Direct.transact(Converted, [this, Pending = std::move(Pending)](
                                 transaction_result Result) mutable {
    onResult(std::move(Pending), std::move(Result));
  });
}

void restorable_store::onResult(pending_transaction Pending,
                                transaction_result Result) {
  if (Result.Era && !observe(*Result.Era)) {
    transaction_result Lost;
    Lost.Error = "response from before the store came back";
    return Pending.Callback(Lost);
  }
  bool IsEraRowCurrent = true;
  for (const stored_row &Row : Result.Current) {
    if (Row.Id != EraRow)
      continue;
    row_version Current = Row.Value ? Row.Version : 0;
    IsEraRowCurrent = Current == EraRowVersion && isEraNoted();
    observeEraRow(Row);
  }
  bool IsConflict = Result.Outcome == transaction_outcome::Conflict;
  if (IsConflict && !IsEraRowCurrent && Pending.Attempt < MaxAttempts) {
    if (isEraNoted())
      return send(std::move(Pending));
    AwaitingEra.push_back(std::move(Pending));
    return noteEra();
  }
  std::erase_if(Result.Current,
                [](const stored_row &Row) { return Row.Id == EraRow; });
  convert(Result.Current, Result.Era.value_or(0));
  if (Result.Revision > 0)
    Result.Revision = versionIn(Result.Era.value_or(0), Result.Revision);
  Pending.Callback(std::move(Result));
}

} // namespace dragonflyvane
