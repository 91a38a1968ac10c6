/// Which servers of a service may get requests or keys while a rollout moves
/// the service to another version, and after it.
#ifndef DRAGONFLYVANE_CORE_ROLLOUT_VERSION_FILTER_HPP
#define DRAGONFLYVANE_CORE_ROLLOUT_VERSION_FILTER_HPP

#include "dragonflyvane/core/cluster/cluster_view.hpp"
#include "dragonflyvane/core/configuration/operator_state.hpp"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace dragonflyvane {

/// What a server of a service may get.
enum class version_use {
  /// Requests and keys, as far as no rollout is concerned.
  Any,
  /// The share of the new version.
  Share,
  /// What the share of the new version leaves.
  Rest,
  /// Requests only if no other server of the service is left.
  LastResort,
  /// Nothing.
  Barred,
};

/// The rollout of one service as one host knows it. Without a rollout, all
/// servers of the service are alike.
class version_filter {
public:
  version_filter(const cluster_view &View, const operator_state &OperatorState,
                 const std::string &Service);

  /// Whether a rollout sets the servers of the service apart.
  bool isActive() const { return State.has_value(); }
  /// The share of the requests that goes to servers of use `Share`.
  double share() const { return State ? State->Share : 0; }
  /// Returns what a server may get.
  version_use useOf(const std::string &Host, const host_info &Info) const;
  /// Returns the hosts, of all that could serve a request without a key, among
  /// which one is to be selected. `Draw` is a random number from 0 to 1, and
  /// the share of the new version gets the requests with a smaller one.
  std::vector<std::string>
  select(const std::vector<std::pair<std::string, const host_info *>> &Hosts,
         double Draw) const;
  /// Returns the sequence number of the state; 0 if there is none.
  uint64_t sequence() const { return State ? State->Sequence : 0; }
  /// Whether a server has to get rid of its requests and keys now.
  bool mustLeave(const std::string &Host, const host_info &Info) const;

private:
  std::optional<rollout_state> State;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_ROLLOUT_VERSION_FILTER_HPP
