/// The plan of ownership: which backend server is to own which keys. Pure
/// functions from what is known to a new map.
#ifndef DRAGONFLYVANE_CORE_OWNERSHIP_ASSIGNMENT_HPP
#define DRAGONFLYVANE_CORE_OWNERSHIP_ASSIGNMENT_HPP

#include "dragonflyvane/core/ownership/load_rebalancer.hpp"
#include "dragonflyvane/core/ownership/ownership_map.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace dragonflyvane {

/// What the planner may do in one step.
struct plan_options {
  /// The token of every range that gets another owner or life.
  uint64_t Token = 0;
  /// The largest part of all points that may be on the move at once.
  double MaxMovingFraction = 0.2;
};

/// Takes ranges from owners whose leases have lapsed. Returns whether the map
/// changed.
bool unassignRanges(ownership_map &Map, const std::set<std::string> &Expired);

/// Gives ranges without an owner to the candidates that are furthest below
/// their fair part.
bool assignUnownedRanges(ownership_map &Map,
                         const std::vector<candidate> &Candidates,
                         const plan_options &Options);

/// Orders ranges away from hosts that are no candidates, and takes orders back
/// whose receiver is none any more.
bool planMoves(ownership_map &Map, const std::vector<candidate> &Candidates);

/// Orders moves that even out the load or, while none is known, the points.
bool planRebalance(ownership_map &Map, const std::vector<candidate> &Candidates,
                   const std::map<std::string, load_report> &Loads,
                   const plan_options &Options);

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_OWNERSHIP_ASSIGNMENT_HPP
