/// Batching of small transactions of several hosts into a single store call,
/// whose result is split into a result for each of them.
#ifndef DRAGONFLYVANE_CORE_CLUSTER_TRANSACTION_BATCH_HPP
#define DRAGONFLYVANE_CORE_CLUSTER_TRANSACTION_BATCH_HPP

#include "dragonflyvane/core/store.hpp"

#include <map>
#include <optional>
#include <vector>

namespace dragonflyvane {

/// Transactions that are sent to the store as one. Their conditions on the same
/// row require the same version, and no transaction has a condition on, or
/// writes, a row that another one writes.
class transaction_batch {
public:
  /// Adds a transaction. Returns false if it is incompatible with the batch or
  /// does not fit, and has to go into another batch.
  bool add(const store_transaction &Transaction);
  bool isEmpty() const { return Members.empty(); }
  size_t size() const { return Members.size(); }

  /// Returns the transaction that replaces all members.
  store_transaction joinedTransaction() const;
  /// Returns the result of each member in the order of `add`. After a conflict,
  /// a member whose own conditions hold has no result: it was not committed
  /// because of another member, and must be sent again.
  std::vector<std::optional<transaction_result>>
  split(const transaction_result &Result) const;

private:
  bool isCompatible(const store_transaction &Transaction) const;
  size_t entryCountWith(const store_transaction &Transaction) const;

  std::vector<store_transaction> Members;
  std::map<row_id, row_version> Conditions;
  std::map<row_id, std::optional<std::string>> Writes;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_CLUSTER_TRANSACTION_BATCH_HPP
