/// A store for tests that counts calls.
#ifndef DRAGONFLYVANE_TESTS_COUNTING_STORE_HPP
#define DRAGONFLYVANE_TESTS_COUNTING_STORE_HPP

#include "dragonflyvane/core/store.hpp"

#include <vector>

namespace dragonflyvane {

/// Counts calls and forwards them to another store, which must outlive it.
class counting_store final : public store {
public:
  explicit counting_store(store &Inner) : Inner(Inner) {}

  void read(row_kind Kind, read_callback Callback) override {
    ++Reads;
    Inner.read(Kind, std::move(Callback));
  }
  void watch(row_kind Kind, row_version After, std::chrono::milliseconds Wait,
             read_callback Callback) override {
    ++Watches;
    if (KeepsWatches)
      return KeptWatches.push_back(std::move(Callback));
    Inner.watch(Kind, After, Wait, std::move(Callback));
  }
  void transact(const store_transaction &Transaction,
                transaction_callback Callback) override {
    ++Transactions;
    if (!DropsTransactions)
      Inner.transact(Transaction, std::move(Callback));
  }

  int Reads = 0;
  int Watches = 0;
  int Transactions = 0;
  /// Whether transactions are dropped; their callbacks are then never called.
  bool DropsTransactions = false;
  /// Whether watches are kept, so that a test can end them itself.
  bool KeepsWatches = false;
  std::vector<read_callback> KeptWatches;

private:
  store &Inner;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_TESTS_COUNTING_STORE_HPP
