/// The row in which the first writer of each era of the store notes the era.
#ifndef DRAGONFLYVANE_CORE_CLUSTER_ERA_ROW_HPP
#define DRAGONFLYVANE_CORE_CLUSTER_ERA_ROW_HPP

#include "dragonflyvane/core/store.hpp"

#include <optional>
#include <string>

namespace dragonflyvane {

/// The content of the era row.
struct era_note {
  /// The noted era; 0 if there is no row.
  store_era Era = 0;
  /// The store's clock when the era was noted; zero if not known, as in rows of
  /// earlier versions of the daemon.
  std::chrono::milliseconds NotedAt{0};
};

/// Returns the id of the era row.
row_id eraRow();
/// Encodes the row as the era and the time, separated by a space.
std::string encodeEra(const era_note &Note);
/// Decodes the row. A missing or unreadable value counts as no row.
era_note decodeEra(const std::optional<std::string> &Text);

/// What a daemon that starts learns about the latest return of the store.
struct return_age {
  /// How long operators may still need to write their rows again; zero if the
  /// store has not come back lately.
  std::chrono::milliseconds SettlingLeft{0};
  /// Rows of later versions were written after the return; 0 if not known.
  row_version NotedVersion = 0;
};

/// Returns the age of the latest return, from a batch of all cluster rows.
/// Operators write their rows again within `SettlingTime` of a return.
return_age returnAge(const row_batch &Batch,
                     std::chrono::milliseconds SettlingTime);

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_CLUSTER_ERA_ROW_HPP
