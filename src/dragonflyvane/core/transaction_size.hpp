/// The size of a transaction, and the largest one that the store accepts.
#ifndef DRAGONFLYVANE_CORE_TRANSACTION_SIZE_HPP
#define DRAGONFLYVANE_CORE_TRANSACTION_SIZE_HPP

#include "dragonflyvane/core/store.hpp"

#include <cstddef>
#include <string>

namespace dragonflyvane {

/// The size of a transaction or of a part of it.
struct transaction_size {
  /// The number of conditions and writes.
  size_t Entries = 0;
  /// An upper bound of the bytes of the call to the store.
  size_t Bytes = 0;

  transaction_size &operator+=(const transaction_size &Other);
  /// Whether neither the entries nor the bytes exceed those of the limit.
  bool fitsIn(const transaction_size &Limit) const {
    return Entries <= Limit.Entries && Bytes <= Limit.Bytes;
  }
  bool operator==(const transaction_size &) const = default;
};

/// Returns the size of an entry.
transaction_size sizeOf(const row_condition &Condition);
/// Returns the size of an entry.
transaction_size sizeOf(const row_write &Write);
/// Returns the size of a transaction with all its entries.
transaction_size sizeOf(const store_transaction &Transaction);

/// The longest key of a row in bytes.
inline constexpr size_t MaxRowKeyBytes = 200;
/// The largest value of a row in bytes.
inline constexpr size_t MaxRowBytes = 65'536;
/// The largest transaction that the store accepts.
inline constexpr transaction_size StoreTransactionLimit{100, 1'000'000};

/// Returns the largest transaction that a caller of a store may send: the
/// store's limit less the condition on the era row, which is added to each.
transaction_size maxTransactionSize();

/// Returns why the store would refuse the transaction for the size of the whole
/// or of a row; empty if it is small enough.
std::string describeExcess(const store_transaction &Transaction,
                           const transaction_size &Limit);

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_TRANSACTION_SIZE_HPP
