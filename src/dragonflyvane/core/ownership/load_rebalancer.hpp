/// Evens out the load of keys: answers a hot range or a slow backend server
/// with moves of the runs of points that carry the excess.
#ifndef DRAGONFLYVANE_CORE_OWNERSHIP_LOAD_REBALANCER_HPP
#define DRAGONFLYVANE_CORE_OWNERSHIP_LOAD_REBALANCER_HPP

#include "dragonflyvane/core/ownership/ownership_map.hpp"

#include <map>
#include <string>
#include <vector>

namespace dragonflyvane {

/// A backend server as the planner sees it.
struct candidate {
  std::string Host;
  server_incarnation Incarnation;
  /// Requests that it can run at once.
  double Capacity = 1;
};

/// The load of one host, as it reported it.
struct load_report {
  /// Requests a second that asked for its backend server, refused ones too.
  double Rate = 0;
  /// The points of some recent requests; each stands for an equal part.
  std::vector<key_point> Sample;
  /// The part of its slots that was in use.
  double Utilization = 0;
  /// Seconds that it works on a request.
  double Work = 0;
};

/// One look at the load of all candidates.
class load_rebalancer {
public:
  load_rebalancer(const std::vector<candidate> &Candidates,
                  const std::map<std::string, load_report> &Loads);

  /// Whether there is any load to go by.
  bool knowsLoad() const;
  /// Orders moves from those that carry too much to those that carry too
  /// little. Returns whether there are any.
  bool order(ownership_map &Map) const;

private:
  /// A point and the requests a second that ask for it.
  struct weighted_point {
    key_point Point = 0;
    double Rate = 0;
  };
  /// A candidate, what it is asked for, and what would be fair.
  struct share {
    std::string Host;
    double Capacity = 0;
    double Rate = 0;
    double Fair = 0;
    std::vector<weighted_point> Points;
  };
  /// A run of points and its rate.
  struct run {
    key_point First = 0;
    key_point Last = 0;
    double Rate = 0;
  };

  std::vector<share> sharesIn(const ownership_map &Map) const;
  bool isUneven(const std::vector<share> &Shares) const;
  static run findRun(const std::vector<weighted_point> &Points, double Most);
  static bool orderRun(ownership_map &Map, share &From, share &To);

  std::vector<share> Candidates;
  std::vector<weighted_point> Points;
  /// Mean work of a request, in seconds.
  double Work = 0;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_OWNERSHIP_LOAD_REBALANCER_HPP
