/// A daemon's copy of the cluster's rows in the store: hosts, ownership maps
/// and the coordinator.
#ifndef DRAGONFLYVANE_CORE_CLUSTER_CLUSTER_VIEW_HPP
#define DRAGONFLYVANE_CORE_CLUSTER_CLUSTER_VIEW_HPP

#include "dragonflyvane/core/cluster/host_info.hpp"
#include "dragonflyvane/core/rollout/rollout_order.hpp"
#include "dragonflyvane/core/store.hpp"

#include <map>
#include <set>
#include <string>

namespace dragonflyvane {

/// The decoded content of a row, and the version of the row.
template <typename Value> struct versioned {
  Value Content;
  row_version Version = 0;
};

/// The newest ownership map that is known, and the map that the store has. They
/// differ after the store has come back from an older copy.
struct known_map {
  ownership_map Content;
  /// The version of the row in the store, for conditions; 0 if there is no row.
  row_version Version = 0;
  /// The version under which `Content` was first written. It orders maps over
  /// all eras: copying a map does not change its lineage.
  row_version Lineage = 0;
  /// The lineage of the map that the store has.
  row_version StoredLineage = 0;

  /// Whether the store has an older map.
  bool isStoreBehind() const { return StoredLineage < Lineage; }
  /// Whether the store has this map, written or confirmed in the era of the
  /// row. Only such a map may be changed.
  bool isSettled() const {
    return !isStoreBehind() && Content.RestoredFrom == 0 &&
           Content.Era == eraOf(Version);
  }
};

/// The newest state of a rollout that is known, and what the store has. They
/// differ after the store has come back from an older copy.
struct known_rollout {
  rollout_state Content;
  /// The version of the row in the store, for conditions; 0 if there is no row.
  row_version Version = 0;
  /// The sequence number of the state that the store has.
  uint64_t StoredSequence = 0;

  /// Whether the store has an older state, which must be written again.
  bool isStoreBehind() const { return StoredSequence < Content.Sequence; }
};

/// Returns the lineage of a map that was read from a row of this version.
row_version lineageOf(const ownership_map &Map, row_version RowVersion);

/// Returns the row of a host.
row_id hostRow(const std::string &Host);
/// Returns the row of the ownership map of a service.
row_id mapRow(const std::string &Service);
/// Returns the row of the rollout of a service.
row_id rolloutRow(const std::string &Service);
/// Returns the row in which operators read how the rollout of a service stands.
row_id rolloutStatusRow(const std::string &Service);
/// Returns the row that holds the name of the coordinator.
row_id coordinatorRow();
/// Returns the row of the lease of a host.
row_id leaseRow(const std::string &Holder);

/// Hosts, ownership maps, rollouts and the coordinator. An existing row is
/// replaced only by a newer version of it; the versions of deleted rows are not
/// kept. A map is replaced only by one of the same or a newer lineage, and the
/// state of a rollout only by one with a higher sequence number.
class cluster_view {
public:
  /// Applies a row that was read or watched. Returns whether the view changed.
  /// Throws `step_error` if the value cannot be decoded, once for each version;
  /// the view then keeps the older content.
  bool apply(const stored_row &Row);
  /// Removes a row that a conflict has shown to be missing, if it is still
  /// known with the version that the condition named. Returns whether it was.
  bool removeMissingRow(const row_condition &Condition);
  /// Removes the rows that are missing from a batch of all cluster rows.
  /// Keeps maps and rollouts that are missing because the store came back from
  /// an older copy.
  void removeMissing(const row_batch &Batch);

  const std::map<std::string, versioned<host_info>> &hosts() const {
    return Hosts;
  }
  const std::map<std::string, known_map> &maps() const { return Maps; }
  /// Returns the ownership map of a service, or null.
  const known_map *map(const std::string &Service) const;
  const std::map<std::string, known_rollout> &rollouts() const {
    return Rollouts;
  }
  /// Returns the rollout of a service, or null.
  const known_rollout *rollout(const std::string &Service) const;
  /// Returns a host, or null.
  const host_info *host(const std::string &Name) const;
  /// Returns the hosts that have a row, even an unreadable one, or own keys.
  std::set<std::string> knownHosts() const;
  /// Returns the version of a host's row, which need not be readable; 0 if
  /// there is none.
  row_version hostVersion(const std::string &Name) const;
  /// Whether the latest value of the row could be decoded, if there is one.
  bool isReadable(const row_id &Id) const { return !Unreadable.contains(Id); }
  size_t unreadableRows() const { return Unreadable.size(); }
  /// Returns the name of the coordinator, which is empty if there is none, and
  /// the version of its row.
  const versioned<std::string> &coordinatorHost() const {
    return CoordinatorHost;
  }

private:
  bool applyReadable(const stored_row &Row);
  bool applyMap(const std::string &Service, const stored_row &Row);
  bool applyRollout(const std::string &Service, const stored_row &Row);

  std::map<std::string, versioned<host_info>> Hosts;
  std::map<std::string, known_map> Maps;
  std::map<std::string, known_rollout> Rollouts;
  versioned<std::string> CoordinatorHost;
  /// The rows whose latest value cannot be decoded, with its version.
  std::map<row_id, row_version> Unreadable;
};

/// Returns the number of other hosts with a ready server of the same service as
/// the host's; 1 if no other host has a server of that service.
size_t otherReadyServers(const cluster_view &View, const std::string &Host);

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_CLUSTER_CLUSTER_VIEW_HPP
