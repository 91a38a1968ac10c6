/// Joins small transactions of several hosts into one call to the store, and
/// tells each its own result.
#ifndef DRAGONFLYVANE_CORE_CLUSTER_TRANSACTION_BATCH_HPP
#define DRAGONFLYVANE_CORE_CLUSTER_TRANSACTION_BATCH_HPP

#include "dragonflyvane/core/store.hpp"

#include <map>
#include <optional>
#include <vector>

namespace dragonflyvane {

/// Transactions that go to the store as one. They agree on the versions of the
/// rows that several of them name, and none touches a row that another writes.
class transaction_batch {
public:
  /// Takes a transaction in; false if it has to wait for another batch.
  bool add(const store_transaction &Transaction);
  bool isEmpty() const { return Members.empty(); }
  size_t size() const { return Members.size(); }

  store_transaction joined() const;
  /// The result of each transaction, in the order of `add`. None for one whose
  /// own conditions hold while those of another do not: it was not done and is
  /// to be sent again.
  std::vector<std::optional<transaction_result>>
  split(const transaction_result &Result) const;

private:
  bool agrees(const store_transaction &Transaction) const;
  size_t entriesWith(const store_transaction &Transaction) const;

  std::vector<store_transaction> Members;
  std::map<row_id, row_version> Conditions;
  std::map<row_id, std::optional<std::string>> Writes;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_CLUSTER_TRANSACTION_BATCH_HPP
