/// Access to a store that may come back from an older copy.
#ifndef DRAGONFLYVANE_NODE_RESTORABLE_STORE_HPP
#define DRAGONFLYVANE_NODE_RESTORABLE_STORE_HPP

#include "dragonflyvane/core/store.hpp"

#include <optional>

namespace dragonflyvane {

/// Notices in which era the store responds.
class restorable_store final : public store {
public:
  /// `Direct` gets all calls.
  explicit restorable_store(store &Direct) : Direct(Direct) {}

  void read(row_kind Kind, read_callback Callback) override;
  void watch(row_kind Kind, row_version After, std::chrono::milliseconds Wait,
             read_callback Callback) override;
  void transact(const store_transaction &Transaction,
                transaction_callback Callback) override;

private:
  void observe(store_era Observed);

  store &Direct;
  /// The latest era in which the store has responded.
  std::optional<store_era> Era;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NODE_RESTORABLE_STORE_HPP
