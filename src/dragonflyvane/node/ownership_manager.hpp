/// Everything that decides who owns keys, for one host: the store's rows, the
/// local backend server, and the plan if this host makes it. Speaks to others
/// only through the store and in the answers to heartbeats.
#ifndef DRAGONFLYVANE_NODE_OWNERSHIP_MANAGER_HPP
#define DRAGONFLYVANE_NODE_OWNERSHIP_MANAGER_HPP

#include "dragonflyvane/core/scheduler.hpp"
#include "dragonflyvane/node/cluster_coordinator.hpp"
#include "dragonflyvane/node/cluster_sync.hpp"
#include "dragonflyvane/node/local_server.hpp"

#include <functional>
#include <optional>
#include <string>

namespace dragonflyvane {

/// Used on the scheduler's thread.
class ownership_manager {
public:
  struct dependencies {
    const settings &Settings;
    scheduler &Loop;
    const clock_source &Clock;
    store &Store;
    operator_state &OperatorState;
    /// Orders, hosts, maps or the lease have changed.
    std::function<void()> OnChange;
    /// Whether this host calls the store for others too.
    std::function<bool()> IsRelay;
  };

  explicit ownership_manager(dependencies Deps);

  void start();
  /// The local backend server's heartbeat, and the grant to answer with.
  std::optional<grant> onHeartbeat(const heartbeat &Heartbeat);
  void onLeave(const server_incarnation &Incarnation);
  /// The local backend server refused a connection.
  void onRefusedConnection();

  const cluster_view &view() const { return Sync.view(); }
  const cluster_sync &sync() const { return Sync; }
  const local_server &server() const { return Server; }
  /// A peer has seen a cluster row of this version.
  void onClusterVersion(row_version Version) { Sync.onClusterVersion(Version); }
  cluster_coordinator &coordinator() { return Coordinator; }
  const cluster_coordinator &coordinator() const { return Coordinator; }
  /// Whether the map gives a point to the local backend server's present life.
  bool isOwner(const std::string &Service, key_point Point) const;

private:
  grant_context termsOf(const std::string &Service) const;
  void onClusterChange();
  void announce();
  void releaseRanges();
  bool freeIn(ownership_map &Map, uint64_t Token);
  void passOn(owned_range &Range, const std::string &Handover,
              uint64_t Token) const;
  void tick();

  dependencies Deps;
  cluster_sync Sync;
  local_server Server;
  cluster_coordinator Coordinator;
  std::optional<host_info> Announced;
  time_point StartedAt{};
  timer Tick;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NODE_OWNERSHIP_MANAGER_HPP
