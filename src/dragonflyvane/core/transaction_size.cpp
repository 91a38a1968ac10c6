#include "dragonflyvane/core/transaction_size.hpp"

namespace dragonflyvane {

namespace {

/// An upper bound of the bytes that an entry takes beside its key and value:
/// the names of its fields, its table and the digits of its version.
constexpr size_t EntryOverheadBytes = 128;
/// An upper bound of the bytes of a call beside its entries.
constexpr size_t CallOverheadBytes = 128;
/// An upper bound of the bytes of the era row's key.
constexpr size_t EraKeyBytes = 8;

constexpr size_t base64Bytes(size_t Bytes) { return (Bytes + 2) / 3 * 4; }

} // namespace

transaction_size &transaction_size::operator+=(const transaction_size &Other) {
  Entries += Other.Entries;
  Bytes += Other.Bytes;
  return *this;
}

transaction_size sizeOf(const row_condition &Condition) {
  return {1, EntryOverheadBytes + Condition.Id.Key.size()};
}

transaction_size sizeOf(const row_write &Write) {
  size_t ValueBytes = Write.Value ? base64Bytes(Write.Value->size()) : 0;
  return {1, EntryOverheadBytes + Write.Id.Key.size() + ValueBytes};
}

transaction_size sizeOf(const store_transaction &Transaction) {
  transaction_size Size{0, CallOverheadBytes};
  for (const row_condition &Condition : Transaction.Conditions)
    Size += sizeOf(Condition);
  for (const row_write &Write : Transaction.Writes)
    Size += sizeOf(Write);
  return Size;
}

transaction_size maxTransactionSize() {
  return {StoreTransactionLimit.Entries - 1,
          StoreTransactionLimit.Bytes - EntryOverheadBytes - EraKeyBytes};
}

std::string describeExcess(const store_transaction &Transaction,
                           const transaction_size &Limit) {
  for (const row_write &Write : Transaction.Writes)
    if (Write.Value && Write.Value->size() > MaxRowBytes)
      return "row " + Write.Id.Key + " has " +
             std::to_string(Write.Value->size()) + " bytes, the store takes " +
             std::to_string(MaxRowBytes);
  transaction_size Size = sizeOf(Transaction);
  if (Size.fitsIn(Limit))
    return "";
  return "transaction has " + std::to_string(Size.Entries) + " entries and " +
         std::to_string(Size.Bytes) + " bytes, the store takes " +
         std::to_string(Limit.Entries) + " and " + std::to_string(Limit.Bytes);
}

} // namespace dragonflyvane
