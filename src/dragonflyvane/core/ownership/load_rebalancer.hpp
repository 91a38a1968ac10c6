/// Evens out the load of backend servers: for a hot range or a slow server,
/// plans moves of the spans of key points that carry the excess load.
#ifndef DRAGONFLYVANE_CORE_OWNERSHIP_LOAD_REBALANCER_HPP
#define DRAGONFLYVANE_CORE_OWNERSHIP_LOAD_REBALANCER_HPP

#include "dragonflyvane/core/ownership/ownership_map.hpp"
#include "dragonflyvane/core/rollout/version_outcomes.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace dragonflyvane {

/// A backend server that ranges may be assigned to.
struct candidate {
  std::string Host;
  server_incarnation Incarnation;
  /// The number of requests that the server can run at once.
  double Capacity = 1;
};

/// The load that one host reports about its backend server.
struct load_report {
  /// Requests per second that arrived for the backend server, including refused
  /// ones.
  double Rate = 0;
  /// The key points of some recent requests; each represents an equal part of
  /// `Rate`.
  std::vector<key_point> Sample;
  /// The fraction of the server's slots that was in use.
  double Utilization = 0;
  /// The mean processing time of a request in seconds; zero if not known.
  double ProcessingTime = 0;
  /// The requests per second that the server takes; none if it names no limit.
  std::optional<double> RateLimit = std::nullopt;
  /// The requests in flight that the server takes well; none if not learned.
  std::optional<double> ConcurrencyLimit = std::nullopt;
  /// How much faster the server works than the service usually does; 1 if not
  /// learned.
  double Speed = 1;
  /// The responses of the server by version and route; empty unless a rollout
  /// concerns its service.
  std::vector<version_outcomes> Outcomes = {};
  /// Requests that the dispatcher holds or has sent to the server.
  uint32_t InFlight = 0;
  /// The sequence number of the rollout state of the service that the host
  /// routes by; 0 if there is none.
  uint64_t RolloutSequence = 0;
};

/// Plans moves from one snapshot of the load of all candidates.
class load_rebalancer {
public:
  /// `Loads` holds the reports by host name.
  load_rebalancer(const std::vector<candidate> &Candidates,
                  const std::map<std::string, load_report> &Loads);

  /// Returns whether there is enough load data to plan moves.
  bool hasLoadData() const;
  /// Plans moves from candidates above their fair rate to candidates below it.
  /// Returns whether any move was planned.
  bool plan(ownership_map &Map) const;

private:
  /// A key point and the requests per second for it.
  struct weighted_point {
    key_point Point = 0;
    double Rate = 0;
  };
  /// A candidate with the requests per second that arrive for it, and its fair
  /// rate according to its capacity.
  struct host_load {
    std::string Host;
    double Capacity = 0;
    /// The rate that the server may be planned for; none without a rate limit.
    std::optional<double> MaxRate;
    double Rate = 0;
    double FairRate = 0;
    std::vector<weighted_point> Points;
  };
  /// A span of key points and the requests per second for it.
  struct point_span {
    key_point First = 0;
    key_point Last = 0;
    double Rate = 0;
  };

  /// The slots of a candidate as slots of a server of usual speed. Takes the
  /// learned limit and speed if the candidate reports them, else its processing
  /// time relative to the mean. `Report` is null if there is none.
  double capacityOf(const candidate &Candidate,
                    const load_report *Report) const;
  /// Returns the load of each candidate once all planned moves are done.
  std::vector<host_load> hostLoadsIn(const ownership_map &Map) const;
  /// The requests per second that the server of a candidate can process.
  double processableRate(const host_load &HostLoad) const;
  /// Shares out the rate of all candidates. If there is more than all servers
  /// together can process, each gets the same multiple of what it can.
  void assignFairRates(std::vector<host_load> &HostLoads) const;
  /// Shares out a rate by capacity. What a rate limit keeps from one candidate
  /// is shared out over the others.
  static void assignByCapacity(std::vector<host_load> &HostLoads, double Rate);
  bool isOverloaded(const host_load &HostLoad) const;
  /// Returns whether a candidate is overloaded or underloaded.
  bool isUneven(const std::vector<host_load> &HostLoads) const;
  /// Returns the span with the highest rate that does not exceed `MaxRate`.
  static point_span findSpan(const std::vector<weighted_point> &Points,
                             double MaxRate);
  /// Plans to move a span between two candidates. Returns whether any span was
  /// worth a move.
  static bool planSpanMove(ownership_map &Map, host_load &From, host_load &To);

  /// The candidates, with their capacity scaled by speed and without rates.
  std::vector<host_load> Candidates;
  /// All reported key points in ascending order.
  std::vector<weighted_point> Points;
  /// The mean processing time of a request in seconds.
  double MeanProcessingTime = 0;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_OWNERSHIP_LOAD_REBALANCER_HPP
