/// The platform's transactional store, as values: rows with versions, and
/// transactions that commit only while their conditions hold.
#ifndef DRAGONFLYVANE_CORE_STORE_HPP
#define DRAGONFLYVANE_CORE_STORE_HPP

#include "dragonflyvane/core/clock.hpp"

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace dragonflyvane {

/// The store's revision at a row's last write; 0 for a row that is not there.
using row_version = uint64_t;

/// What a row is about; rows of one kind are read and watched together.
enum class row_kind {
  /// Written by operators: the configuration and evacuations.
  Operator,
  /// Written by daemons: hosts and ownership maps.
  Cluster,
  /// Written by daemons: leases, which nobody watches.
  Lease,
};

/// The name of a row.
struct row_id {
  row_kind Kind = row_kind::Cluster;
  std::string Key;

  auto operator<=>(const row_id &) const = default;
};

/// One row. A deleted row has no value.
struct stored_row {
  row_id Id;
  row_version Version = 0;
  std::optional<std::string> Value;
};

/// Rows, the revision they are current at, and the store's own clock then.
struct row_batch {
  row_version Revision = 0;
  std::chrono::milliseconds StoreTime{0};
  std::vector<stored_row> Rows;
};

/// A row that must still have this version; 0 means that it must not exist.
struct row_condition {
  row_id Id;
  row_version Version = 0;
};

/// A new value for a row; none deletes it.
struct row_write {
  row_id Id;
  std::optional<std::string> Value;
};

/// All writes happen, or none does.
struct store_transaction {
  std::vector<row_condition> Conditions;
  std::vector<row_write> Writes;
  /// May be held back for so long, so that it joins those of other hosts.
  std::chrono::milliseconds MaxBatchDelay{0};
};

/// How a transaction ended.
enum class transaction_outcome {
  Committed,
  /// A condition did not hold; nothing was written.
  Conflict,
  /// Certainly nothing was written.
  NotCommitted,
  /// It may have been written, or may yet be: only reading tells.
  Unknown,
};

/// The end of a transaction.
struct transaction_result {
  transaction_outcome Outcome = transaction_outcome::Unknown;
  /// After a commit: the version of the written rows.
  row_version Revision = 0;
  /// The store's own clock at that moment; zero if there was no answer.
  std::chrono::milliseconds StoreTime{0};
  /// After a conflict: the rows of the conditions as they are now.
  std::vector<stored_row> Current;
  /// Why there was no answer.
  std::string Error;
};

/// How a read or a watch ended.
enum class read_outcome { Succeeded, HistoryCompacted, Failed };

/// The end of a read or a watch.
struct read_result {
  read_outcome Outcome = read_outcome::Failed;
  row_batch Batch;
  std::string Error;
};

/// Access to the store. Callbacks come later, on the event loop's thread.
class store {
public:
  virtual ~store() = default;
  using read_callback = std::function<void(read_result)>;
  using transaction_callback = std::function<void(transaction_result)>;

  /// All rows of a kind.
  virtual void read(row_kind Kind, read_callback Callback) = 0;
  /// The rows of a kind that changed after a revision; waits for a change for
  /// at most `Wait`, and answers with no rows if there was none.
  virtual void watch(row_kind Kind, row_version After,
                     std::chrono::milliseconds Wait,
                     read_callback Callback) = 0;
  virtual void transact(const store_transaction &Transaction,
                        transaction_callback Callback) = 0;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_STORE_HPP
