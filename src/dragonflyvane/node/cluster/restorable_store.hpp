/// Access to a store that may come back from an older copy. What was written
/// since that copy is lost then, and the store gives out versions again.
#ifndef DRAGONFLYVANE_NODE_CLUSTER_RESTORABLE_STORE_HPP
#define DRAGONFLYVANE_NODE_CLUSTER_RESTORABLE_STORE_HPP

#include "dragonflyvane/core/scheduler.hpp"
#include "dragonflyvane/core/store.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace dragonflyvane {

/// Gives out versions that rise over all eras, and keeps callers that know only
/// an earlier era from writing.
///
/// Every transaction has a condition on the era row, in which the first writer
/// of each era notes the era. So the conditions of a transaction hold only in
/// the era in which their versions were read, although the store compares
/// versions that it may have given out twice. Not thread-safe; used on the
/// scheduler's thread.
class restorable_store final : public store {
public:
  /// `Direct` gets all calls, with the versions of the store. `OnReturn` is
  /// called when the store has come back from an older copy.
  restorable_store(store &Direct, scheduler &Loop,
                   std::function<void()> OnReturn);

  void read(row_kind Kind, read_callback Callback) override;
  /// Ends with `HistoryCompacted` if `After` is of an earlier era.
  void watch(row_kind Kind, row_version After, std::chrono::milliseconds Wait,
             read_callback Callback) override;
  /// Ends with a conflict if a condition is of an earlier era.
  void transact(const store_transaction &Transaction,
                transaction_callback Callback) override;

private:
  struct pending_transaction {
    store_transaction Transaction;
    transaction_callback Callback;
    int Attempt = 0;
  };

  /// Processes the era of a response. Returns false if the response is of an
  /// earlier era than the known one and must not be believed.
  bool observe(store_era Observed);
  /// Converts the versions of a result to those that rise over all eras.
  void convert(read_result &Result);
  void convert(std::vector<stored_row> &Rows, store_era RowEra);
  /// Learns the version of the era row, and whether it is of the current era.
  void observeEraRow(const stored_row &Row);
  bool isEraNoted() const { return Era && NotedEra == *Era; }
  /// Writes the era row, then sends the transactions that wait for it.
  void noteEra();
  void onEraNoted(const transaction_result &Result);
  void send(pending_transaction Pending);
  void onResult(pending_transaction Pending, transaction_result Result);

  store &Direct;
  scheduler &Loop;
  std::function<void()> OnReturn;
  /// The latest era in which the store has responded.
  std::optional<store_era> Era;
  /// The store's clock at its latest response.
  std::chrono::milliseconds LatestStoreTime{0};
  /// The era in the era row, and the row's version by the store. There is no
  /// row in the first era.
  store_era NotedEra = 0;
  row_version EraRowVersion = 0;
  bool IsNoting = false;
  std::vector<pending_transaction> AwaitingEra;
  /// Expires with this object, so that posted functions do nothing afterwards.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NODE_CLUSTER_RESTORABLE_STORE_HPP
