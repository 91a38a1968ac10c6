/// The cluster as the store last showed it: hosts and ownership maps.
#ifndef DRAGONFLYVANE_CORE_CLUSTER_CLUSTER_VIEW_HPP
#define DRAGONFLYVANE_CORE_CLUSTER_CLUSTER_VIEW_HPP

#include "dragonflyvane/core/cluster/host_info.hpp"
#include "dragonflyvane/core/store.hpp"

#include <map>
#include <string>

namespace dragonflyvane {

/// A decoded row and its version.
template <typename Value> struct versioned {
  Value Content;
  row_version Version = 0;
};

/// Names of the cluster's rows.
row_id hostRow(const std::string &Host);
row_id mapRow(const std::string &Service);
/// Tells who plans ownership at present.
row_id coordinatorRow();
row_id leaseRow(const std::string &Holder);

/// Hosts, maps and steward. Rows never go back to an older version.
class cluster_view {
public:
  /// Returns whether the row changed anything. Throws `step_error` if its
  /// value cannot be read; the row then counts as seen.
  bool apply(const stored_row &Row);
  /// Forgets rows that the batch, a whole read, does not have.
  void keepOnly(const row_batch &Batch);

  const std::map<std::string, versioned<host_info>> &hosts() const {
    return Hosts;
  }
  const std::map<std::string, versioned<ownership_map>> &maps() const {
    return Maps;
  }
  const versioned<ownership_map> *map(const std::string &Service) const;
  const host_info *host(const std::string &Name) const;
  const versioned<std::string> &coordinatorHost() const {
    return CoordinatorHost;
  }

private:
  std::map<std::string, versioned<host_info>> Hosts;
  std::map<std::string, versioned<ownership_map>> Maps;
  versioned<std::string> CoordinatorHost;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_CLUSTER_CLUSTER_VIEW_HPP
