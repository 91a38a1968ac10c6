/// What the hosts have reported about the old and the new version of a service
/// since a rollout was ordered.
#ifndef DRAGONFLYVANE_CORE_ROLLOUT_ROLLOUT_EVIDENCE_HPP
#define DRAGONFLYVANE_CORE_ROLLOUT_ROLLOUT_EVIDENCE_HPP

#include "dragonflyvane/core/rollout/version_outcomes.hpp"

#include <map>
#include <string>
#include <vector>

namespace dragonflyvane {

/// Responses of both versions on one route.
struct version_pair {
  response_counts New;
  response_counts Old;
};

/// Evidence of a span of time.
struct rollout_sample {
  std::map<std::string, version_pair> Routes;
  /// Servers of the new version that sent enough responses to be judged by.
  size_t NewServers = 0;
  /// The time between the first and the last report about the new version.
  duration Span{0};

  /// The counts of all routes together.
  version_pair total() const;
};

/// Collects the reports of all hosts for one rollout.
class rollout_evidence {
public:
  /// Adds what a host reports at `Now` about its server, which is of the new
  /// version or of another one.
  void add(time_point Now, const std::string &Host, bool IsNew,
           const std::vector<version_outcomes> &Outcomes);
  /// Returns what was reported at `Since` or later.
  rollout_sample since(time_point Since) const;
  /// Returns all that was reported.
  rollout_sample all() const { return since(time_point{}); }
  /// Forgets everything, for another order.
  void clear() {
    Entries.clear();
    Summarized.clear();
  }

private:
  struct entry {
    time_point At;
    std::string Host;
    bool IsNew = false;
    std::string Route;
    response_counts Counts;
  };

  /// Replaces the older half of the entries with their sums by route.
  void summarizeOld();

  std::vector<entry> Entries;
  /// The sums of entries that are no longer kept. They are older than any span
  /// of time that is asked for.
  std::map<std::string, version_pair> Summarized;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_ROLLOUT_ROLLOUT_EVIDENCE_HPP
