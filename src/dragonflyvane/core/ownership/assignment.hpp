/// Plans which backend server owns which keys. The functions change an
/// ownership map according to leases, candidates and load, and have no other
/// effects.
#ifndef DRAGONFLYVANE_CORE_OWNERSHIP_ASSIGNMENT_HPP
#define DRAGONFLYVANE_CORE_OWNERSHIP_ASSIGNMENT_HPP

#include "dragonflyvane/core/ownership/load_rebalancer.hpp"
#include "dragonflyvane/core/ownership/ownership_map.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace dragonflyvane {

/// Options of one planning step.
struct plan_options {
  /// The fencing token of every range that gets a new owner or incarnation.
  uint64_t Token = 0;
  /// Without load data, no further moves are planned while at least this
  /// fraction of all key points is moving.
  double MaxMovingFraction = 0.2;
};

/// Removes owner, handover and planned move of each range whose owner is one of
/// the hosts with expired leases. Returns whether the map changed.
bool unassignRanges(ownership_map &Map, const std::set<std::string> &Expired);

/// Assigns each range without an owner to its planned next owner, if that host
/// is a candidate, and otherwise to the candidates that are furthest below
/// their fair share. Returns whether the map changed.
bool assignUnownedRanges(ownership_map &Map,
                         const std::vector<candidate> &Candidates,
                         const plan_options &Options);

/// Assigns each range of a candidate whose backend server has been replaced to
/// the server's new incarnation, which holds nothing yet. Returns whether the
/// map changed.
bool renewIncarnations(ownership_map &Map,
                       const std::vector<candidate> &Candidates,
                       const plan_options &Options);

/// Plans moves of ranges away from hosts that are not candidates, and cancels
/// planned moves to such hosts. The ranges of the hosts in `Unleased`, which
/// lack nothing but a lease, stay: they get their lease back, or their ranges
/// are taken over. Returns whether the map changed.
bool planMoves(ownership_map &Map, const std::vector<candidate> &Candidates,
               const std::set<std::string> &Unleased = {});

/// Plans moves that even out the load or, without load data, the key points.
/// Returns whether the map changed.
bool planRebalance(ownership_map &Map, const std::vector<candidate> &Candidates,
                   const std::map<std::string, load_report> &Loads,
                   const plan_options &Options);

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_OWNERSHIP_ASSIGNMENT_HPP
