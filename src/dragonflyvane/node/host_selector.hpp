/// Which hosts can take a request, judged by what they said and how calls to
/// them ended.
#ifndef DRAGONFLYVANE_NODE_HOST_SELECTOR_HPP
#define DRAGONFLYVANE_NODE_HOST_SELECTOR_HPP

#include "dragonflyvane/core/clock.hpp"
#include "dragonflyvane/core/cluster/cluster_view.hpp"
#include "dragonflyvane/core/configuration/operator_state.hpp"
#include "dragonflyvane/node/forwarding.hpp"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>

namespace dragonflyvane {

/// Loads and failures of hosts, as one entrance sees them.
class host_selector {
public:
  host_selector(const cluster_view &View, const operator_state &OperatorState,
                const clock_source &Clock, std::string Host,
                std::string FailureDomain)
      : View(View), OperatorState(OperatorState), Clock(Clock),
        Host(std::move(Host)), FailureDomain(std::move(FailureDomain)),
        Random(std::random_device{}()) {}

  /// The best by expected time of two random hosts of a service and this one;
  /// for large answers, of all hosts in its failure domain too. Hosts of
  /// `Tried` only if there is no other.
  std::optional<std::string> pick(const std::string &Service, size_t Bytes,
                                  const std::set<std::string> &Tried);

  void onSent(const std::string &Host) { ++Hosts[Host].Outstanding; }
  void onEnded(const std::string &Host, const dispatcher_load &Load);
  /// The host could not be reached.
  void onUnreachable(const std::string &Host);
  /// Whether the host could not be reached just now.
  bool isSuspect(const std::string &Host) const;

private:
  struct state {
    uint32_t Outstanding = 0;
    dispatcher_load Load;
    time_point LoadAt{};
    time_point SuspectUntil{};
  };

  bool isNear(const std::string &Name) const;
  double expectedTime(const std::string &Name, size_t Bytes) const;

  const cluster_view &View;
  const operator_state &OperatorState;
  const clock_source &Clock;
  std::string Host;
  std::string FailureDomain;
  std::map<std::string, state> Hosts;
  std::mt19937_64 Random;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NODE_HOST_SELECTOR_HPP
