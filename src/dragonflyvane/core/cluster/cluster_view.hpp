/// A daemon's copy of the cluster's rows in the store: hosts, ownership maps
/// and the coordinator.
#ifndef DRAGONFLYVANE_CORE_CLUSTER_CLUSTER_VIEW_HPP
#define DRAGONFLYVANE_CORE_CLUSTER_CLUSTER_VIEW_HPP

#include "dragonflyvane/core/cluster/host_info.hpp"
#include "dragonflyvane/core/store.hpp"

#include <map>
#include <string>

namespace dragonflyvane {

/// The decoded content of a row, and the version of the row.
template <typename Value> struct versioned {
  Value Content;
  row_version Version = 0;
};

/// Returns the row of a host.
row_id hostRow(const std::string &Host);
/// Returns the row of the ownership map of a service.
row_id mapRow(const std::string &Service);
/// Returns the row that holds the name of the coordinator.
row_id coordinatorRow();
/// Returns the row of the lease of a host.
row_id leaseRow(const std::string &Holder);

/// Hosts, ownership maps and the coordinator. An existing row is replaced only
/// by a newer version of it; the versions of deleted rows are not kept.
class cluster_view {
public:
  /// Applies a row that was read or watched. Returns whether the view changed.
  /// Throws `step_error` if the value cannot be decoded; the view then keeps
  /// the older row.
  bool apply(const stored_row &Row);
  /// Removes the rows that are missing from a batch of all cluster rows.
  void removeMissing(const row_batch &Batch);

  const std::map<std::string, versioned<host_info>> &hosts() const {
    return Hosts;
  }
  const std::map<std::string, versioned<ownership_map>> &maps() const {
    return Maps;
  }
  /// Returns the ownership map of a service, or null.
  const versioned<ownership_map> *map(const std::string &Service) const;
  /// Returns a host, or null.
  const host_info *host(const std::string &Name) const;
  /// Returns the name of the coordinator, which is empty if there is none, and
  /// the version of its row.
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
