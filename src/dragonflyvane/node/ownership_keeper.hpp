/// Everything that decides who owns keys, for one host: the store's rows, the
/// local backend server, and the plan if this host makes it. Speaks to others
/// only through the store and in the answers to heartbeats.
#ifndef DRAGONFLYVANE_NODE_OWNERSHIP_KEEPER_HPP
#define DRAGONFLYVANE_NODE_OWNERSHIP_KEEPER_HPP

#include "dragonflyvane/core/scheduler.hpp"
#include "dragonflyvane/node/cluster_sync.hpp"
#include "dragonflyvane/node/local_server.hpp"
#include "dragonflyvane/node/steward.hpp"

#include <functional>
#include <optional>
#include <string>

namespace dragonflyvane {

/// Used on the scheduler's thread.
class ownership_keeper {
public:
  struct parts {
    const settings &Settings;
    scheduler &Loop;
    const clock_source &Clock;
    store &Store;
    order_book &Orders;
    /// Orders, hosts, maps or the lease have changed.
    std::function<void()> OnChange;
    /// Whether this host calls the store for others too.
    std::function<bool()> IsCollector;
  };

  explicit ownership_keeper(parts Parts);

  void start();
  /// The local backend server's heartbeat, and the grant to answer with.
  std::optional<grant> onHeartbeat(const heartbeat &Heartbeat);
  void onLeave(const server_life &Life);
  /// The local backend server refused a connection.
  void onRefusedConnection();

  const cluster_view &view() const { return Sync.view(); }
  const cluster_sync &sync() const { return Sync; }
  const local_server &server() const { return Server; }
  /// A peer has seen a cluster row of this version.
  void onNews(row_version Version) { Sync.onNews(Version); }
  steward &planner() { return Steward; }
  const steward &planner() const { return Steward; }
  /// Whether the map gives a point to the local backend server's present life.
  bool isOwner(const std::string &Service, key_point Point) const;

private:
  grant_terms termsOf(const std::string &Service) const;
  void onClusterChange();
  void announce();
  void freeRanges();
  bool freeIn(ownership_map &Map, uint64_t Token);
  void passOn(owned_range &Range, const std::string &Handover,
              uint64_t Token) const;
  void tick();

  parts Parts;
  cluster_sync Sync;
  local_server Server;
  steward Steward;
  std::optional<host_info> Announced;
  time_point StartedAt{};
  timer Tick;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NODE_OWNERSHIP_KEEPER_HPP
