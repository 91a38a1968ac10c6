/// The backend server beside this daemon: what it says of itself, and what it
/// is granted.
#ifndef DRAGONFLYVANE_NODE_LOCAL_SERVER_HPP
#define DRAGONFLYVANE_NODE_LOCAL_SERVER_HPP

#include "dragonflyvane/core/backend_server.hpp"
#include "dragonflyvane/core/clock.hpp"
#include "dragonflyvane/core/cluster/host_info.hpp"
#include "dragonflyvane/core/ownership/grant_tracker.hpp"
#include "dragonflyvane/net/endpoint.hpp"
#include "dragonflyvane/node/settings.hpp"

#include <optional>

namespace dragonflyvane {

/// The ownership that the local backend server's grants follow.
struct grant_context {
  /// The map of its service; null while unknown.
  const ownership_map *Map = nullptr;
  /// Its failure domain is evacuated.
  bool Evacuated = false;
  time_point Until{};
};

/// One backend server over all its lives.
class local_server {
public:
  local_server(const settings &Settings, const clock_source &Clock);

  /// Takes a heartbeat in; the grant to answer with, if any. Late heartbeats
  /// of earlier lives change nothing.
  std::optional<grant> onHeartbeat(const heartbeat &Heartbeat,
                                   const grant_context &Context);
  /// The server says that it leaves.
  void onLeave(const server_incarnation &Incarnation);
  /// It refused a connection. If it goes on to, and sends no heartbeat, this
  /// life has ended.
  void onRefusedConnection();
  /// Notices silence.
  void tick();

  server_availability availability() const { return Availability; }
  const std::string &service() const { return Service; }
  const server_incarnation &incarnation() const { return Incarnation; }
  const endpoint &address() const { return Address; }
  uint32_t slots() const { return Slots; }
  bool isCold(time_point Now) const { return Now < ColdUntil; }
  /// Whether requests may still be sent to it: it is ready, or has not been
  /// leaving, or its failure domain evacuated, for long.
  bool acceptsRequests(time_point Now) const;
  bool holds(key_point Point, time_point Now) const {
    return Grants.holds(Point, Now);
  }
  /// Its ranges are to go elsewhere.
  bool mustReleaseAll(const grant_context &Context) const {
    return Availability != server_availability::Ready || Context.Evacuated;
  }
  /// Takes note of news of the map or of an evacuation.
  void updateOwnership(const grant_context &Context);
  std::vector<releasable_range>
  releasableRanges(const grant_context &Context) const;
  void relinquish(const owned_range &Range) { Grants.relinquish(Range); }
  /// How the host's row is to tell of it.
  void writeTo(host_info &Info) const;

private:
  void startIncarnation(const heartbeat &Heartbeat);

  const clock_source &Clock;
  std::chrono::milliseconds DrainTimeout;
  std::chrono::milliseconds HeartbeatInterval;
  grant_tracker Grants;
  server_availability Availability = server_availability::None;
  server_incarnation Incarnation;
  std::string Service;
  endpoint Address;
  uint32_t Slots = 0;
  uint64_t Sequence = 0;
  time_point LastHeard{};
  /// The refusals that followed each other up to now.
  time_point FirstRefusal{};
  time_point LastRefusal{};
  time_point LeavingSince{};
  std::optional<time_point> EvacuatedSince;
  time_point ColdUntil{};
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NODE_LOCAL_SERVER_HPP
