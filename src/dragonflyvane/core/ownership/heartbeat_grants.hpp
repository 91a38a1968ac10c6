/// Grants in responses to heartbeats: which ranges the local backend server was
/// granted, and which ranges it may still hold.
#ifndef DRAGONFLYVANE_CORE_OWNERSHIP_HEARTBEAT_GRANTS_HPP
#define DRAGONFLYVANE_CORE_OWNERSHIP_HEARTBEAT_GRANTS_HPP

#include "dragonflyvane/core/ownership/grant_policy.hpp"

#include <optional>
#include <string>
#include <vector>

namespace dragonflyvane {

/// The grants to a backend server whose heartbeats list the ranges that it
/// holds.
class heartbeat_grants {
public:
  /// No hold of a server lasts longer than `MaxHold`. Grants of an earlier run
  /// of the daemon may be in force for this long after `Now`.
  heartbeat_grants(duration MaxHold, time_point Now)
      : MaxHold(MaxHold), LastHoldExpiry(Now + MaxHold) {}

  /// Processes a heartbeat and returns the grant to respond with. The grant
  /// ends before `Until`, the end of the host's lease; returns nothing if too
  /// little time is left.
  std::optional<grant> onHeartbeat(const grant_policy &Policy,
                                   const held_keys &Keys,
                                   const ownership_map &Map, time_point Until,
                                   time_point Now);

  // The operations of `grant_method`.
  void startIncarnation(time_point Now);
  void onServerTerminated();
  bool holds(key_point Point, time_point Now) const;
  bool mayHold(const owned_range &Range, time_point Now) const;
  std::string handoverOf(const owned_range &Range) const;

private:
  /// Withholds one key point from the grant, so that the backend server sends
  /// its next heartbeat at once.
  void withholdOnePoint(const grant_policy &Policy,
                        std::vector<granted_range> &Ranges);

  duration MaxHold;
  /// Whether `Held` is known: false from the start of the daemon until the
  /// first heartbeat or until the backend server has terminated.
  bool IsHeldKnown = false;
  /// The ranges of the latest grant.
  std::vector<granted_range> Granted;
  /// The ranges reported as held or in use by the latest heartbeat.
  std::vector<held_range> Held;
  /// The releases of the current incarnation, oldest first.
  std::vector<released_range> Released;
  /// Whether the last key point was withheld most recently, and not the key
  /// point before it.
  bool WithheldLastPoint = false;
  /// The time by which every hold has expired, even by the slowest clock of a
  /// backend server.
  time_point LastHoldExpiry;
  /// The time until which requests may be sent under the latest grant.
  time_point GrantExpiry{};
};

static_assert(grant_method<heartbeat_grants>);

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_OWNERSHIP_HEARTBEAT_GRANTS_HPP
