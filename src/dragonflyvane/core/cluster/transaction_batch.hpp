/// Batching of small transactions of several hosts into a single store call,
/// whose result is split into a result for each of them.
#ifndef DRAGONFLYVANE_CORE_CLUSTER_TRANSACTION_BATCH_HPP
#define DRAGONFLYVANE_CORE_CLUSTER_TRANSACTION_BATCH_HPP

#include "dragonflyvane/core/store.hpp"
#include "dragonflyvane/core/transaction_size.hpp"

#include <map>
#include <optional>
#include <vector>

namespace dragonflyvane {

/// Transactions, the members of the batch, that are sent to the store as a
/// single transaction. Their conditions on the same row require the same
/// version, and no member has a condition on, or writes, a row that another
/// member writes.
class transaction_batch {
public:
  /// Adds a transaction. Returns false if the transaction is incompatible with
  /// the members or makes the batch too large; it then needs another batch.
  bool add(const store_transaction &Transaction);
  bool isEmpty() const { return Members.empty(); }
  size_t size() const { return Members.size(); }

  /// Returns a transaction with the conditions and writes of all members.
  store_transaction joinedTransaction() const;
  /// Returns the result of each member in the order of `add`. After a conflict,
  /// a member whose own conditions hold has no result: it was not committed
  /// because of another member, and must be sent again.
  std::vector<std::optional<transaction_result>>
  split(const transaction_result &Result) const;

private:
  bool isCompatible(const store_transaction &Transaction) const;
  transaction_size sizeWith(const store_transaction &Transaction) const;

  std::vector<store_transaction> Members;
  /// The size of `joinedTransaction`.
  transaction_size Size = sizeOf(store_transaction{});
  std::map<row_id, row_version> Conditions;
  std::map<row_id, std::optional<std::string>> Writes;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_CLUSTER_TRANSACTION_BATCH_HPP
