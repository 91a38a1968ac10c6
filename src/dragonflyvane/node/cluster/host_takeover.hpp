/// Takeover of what hosts with expired leases own, in transactions that the
/// store accepts.
#ifndef DRAGONFLYVANE_NODE_CLUSTER_HOST_TAKEOVER_HPP
#define DRAGONFLYVANE_NODE_CLUSTER_HOST_TAKEOVER_HPP

#include "dragonflyvane/core/ownership/host_lease.hpp"
#include "dragonflyvane/node/cluster/cluster_sync.hpp"

#include <cstdint>
#include <memory>
#include <set>
#include <string>

namespace dragonflyvane {

/// Takes the ranges of expired hosts from them and removes the rows of hosts
/// that own nothing.
///
/// A takeover of many hosts has several parts, one transaction each, which
/// overwrites the leases of some hosts and unassigns their ranges. So each part
/// is safe alone: if the coordinator ends after it, the map still names the
/// owners that remain, and their leases have expired for the next coordinator
/// as well. A part follows as soon as the one before it is committed. A host
/// that has renewed its lease meanwhile drops out of its part. Not thread-safe;
/// used on the scheduler's thread.
class host_takeover {
public:
  /// Constructor arguments; the references must outlive the object.
  struct dependencies {
    /// The host that takes over, which is never taken over itself.
    std::string Host;
    cluster_sync &Sync;
    lease_tracker &Leases;
  };

  explicit host_takeover(dependencies Dependencies)
      : Deps(std::move(Dependencies)) {}

  /// Handles a new observation of the leases: continues takeovers that have
  /// failed, and removes rows of hosts.
  void onLeasesObserved();
  /// Starts the takeovers that are due and not in flight.
  void takeOverRanges();

  /// What has been done since the start, for metrics.
  struct counters {
    uint64_t Hosts = 0;
    uint64_t Transactions = 0;
    uint64_t FailedTransactions = 0;
  };
  const counters &counts() const { return Counts; }

private:
  /// The hosts of one part, which the edit of the map chooses.
  using part = std::shared_ptr<std::set<std::string>>;

  void takeOverService(const std::string &Service);
  std::set<std::string> expiredHosts() const;
  std::set<std::string> chooseOwners(const ownership_map &Map) const;
  /// Returns the operations that overwrite the leases of some hosts, on the
  /// condition that they are unchanged.
  store_transaction fence(const std::set<std::string> &Owners) const;
  void onPartResult(const std::string &Service, const part &Part,
                    const store_transaction &Transaction,
                    const transaction_result &Result);
  void noteCommit(const std::string &Service, const part &Part,
                  const transaction_result &Result);
  void noteFailure(const std::string &Service, const part &Part,
                   const store_transaction &Transaction,
                   const transaction_result &Result);
  void observeLeases(const transaction_result &Result);
  void removeHosts();
  void removeBatch(const store_transaction &Batch);
  /// Returns the owners of all maps.
  std::set<std::string> owners() const;

  dependencies Deps;
  /// The services whose latest part has failed since the leases were observed.
  std::set<std::string> FailedServices;
  bool IsRemovalInFlight = false;
  counters Counts;
  /// Expires with this object, so that results that arrive later are ignored.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NODE_CLUSTER_HOST_TAKEOVER_HPP
