/// Writes of ownership maps: planned updates, and maps that the store has lost
/// in a return from an older copy.
#ifndef DRAGONFLYVANE_NODE_CLUSTER_MAP_WRITER_HPP
#define DRAGONFLYVANE_NODE_CLUSTER_MAP_WRITER_HPP

#include "dragonflyvane/core/clock.hpp"
#include "dragonflyvane/core/cluster/cluster_view.hpp"
#include "dragonflyvane/core/cluster/era_tracker.hpp"
#include "dragonflyvane/core/ownership/host_lease.hpp"
#include "dragonflyvane/core/scheduler.hpp"
#include "dragonflyvane/core/store.hpp"

#include <functional>
#include <map>
#include <random>
#include <string>

namespace dragonflyvane {

/// An update of an ownership map.
struct map_update {
  /// Service whose map is updated.
  std::string Service;
  /// Modifies a copy of the current map, using the given fencing token for new
  /// owners, and returns whether there is anything to write. Called again after
  /// a conflict.
  std::function<bool(ownership_map &, uint64_t Token)> Edit;
  /// Adds the condition that the lease row is unchanged since its last renewal
  /// by this run of the daemon. Without it, a write that the store applies late
  /// could take effect after the run has ended.
  bool RequiresLease = false;
  /// Returns further conditions and writes of the same transaction. Called
  /// after `Edit`, if set.
  std::function<store_transaction()> ExtraOperations = {};
  /// Called with the transaction and each result, before a conflict is retried,
  /// if set.
  std::function<void(const store_transaction &, const transaction_result &)>
      OnResult = {};
};

/// Writes the maps of all services for one host. Not thread-safe; used on the
/// scheduler's thread.
class map_writer {
public:
  /// Constructor arguments; the references must outlive the object.
  struct dependencies {
    std::string Host;
    scheduler &Loop;
    const clock_source &Clock;
    const cluster_view &View;
    const era_tracker &Eras;
    std::mt19937_64 &Random;
    /// Whether the view has all cluster rows; false while they are being read.
    std::function<bool()> IsViewComplete;
    /// Returns the condition that this run of the daemon holds the lease.
    std::function<row_condition()> LeaseCondition;
    /// Sends a transaction; the view has been updated with its result when the
    /// callback runs.
    std::function<void(const store_transaction &, store::transaction_callback)>
        Transact;
  };

  explicit map_writer(dependencies Dependencies);

  /// Starts an update of a map. Drops it while the map is not settled, and
  /// while another update of the same map is in flight or all cluster rows are
  /// being read; the caller requests it again on the next change or tick.
  void update(const map_update &Update);
  /// Settles the map of a service after a return of the store, if it needs that
  /// and the quarantine is over; until then it must not be changed.
  void settle(const std::string &Service, const lease_tracker &Leases);
  /// Writes maps again that the store has lost, after `MinDelay` or later.
  void scheduleRestore(duration MinDelay = duration{0});

private:
  void restoreLostMaps();
  void write(const std::string &Service, const ownership_map &Map);
  void tryUpdate(const map_update &Update, int Attempt);
  void retryUpdate(const map_update &Update, int Attempt);
  bool isLeaseVersionCurrent(const transaction_result &Result) const;

  dependencies Deps;
  timer RestoreTimer;
  bool IsRestoreScheduled = false;
  /// For each service, whether an update of its map is in flight.
  std::map<std::string, bool> UpdatesInFlight;
  /// Delays of updates that conflicted, by service.
  std::map<std::string, timer> RetryTimers;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NODE_CLUSTER_MAP_WRITER_HPP
