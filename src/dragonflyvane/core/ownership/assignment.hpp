/// The plan of ownership: which backend server is to own which keys. Pure
/// functions from what is known to a new map.
#ifndef DRAGONFLYVANE_CORE_OWNERSHIP_ASSIGNMENT_HPP
#define DRAGONFLYVANE_CORE_OWNERSHIP_ASSIGNMENT_HPP

#include "dragonflyvane/core/ownership/ownership_map.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace dragonflyvane {

/// A backend server as the planner sees it.
struct candidate {
  std::string Host;
  server_life Life;
  /// Requests that it can run at once, corrected by its speed.
  double Capacity = 1;
};

/// The keyed load of one host, as it reported it.
struct load_report {
  /// Requests a second.
  double Rate = 0;
  /// The points of some recent requests; each stands for an equal part.
  std::vector<key_point> Sample;
  /// Seconds of backend server time that a second of requests takes, divided
  /// by its slots: above 1 it cannot keep up.
  double Utilization = 0;
};

/// What the planner may do in one step.
struct plan_options {
  /// The token of every range that gets another owner or life.
  uint64_t Token = 0;
  /// The largest part of all points that may be on the move at once.
  double MostMoving = 0.2;
};

/// Takes ranges from owners whose leases have lapsed. Returns whether the map
/// changed.
bool takeOver(ownership_map &Map, const std::set<std::string> &Lapsed);

/// Gives ranges without an owner to the candidates that are furthest below
/// their fair part.
bool assignFree(ownership_map &Map, const std::vector<candidate> &Candidates,
                const plan_options &Options);

/// Orders ranges away from hosts that are no candidates, and takes orders back
/// whose receiver is none any more.
bool orderMoves(ownership_map &Map, const std::vector<candidate> &Candidates);

/// Orders moves towards candidates that own much less than their fair part, or
/// away from those that carry much more load than others.
bool orderBalance(ownership_map &Map, const std::vector<candidate> &Candidates,
                  const std::map<std::string, load_report> &Loads,
                  const plan_options &Options);

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_OWNERSHIP_ASSIGNMENT_HPP
