/// Search for the newest configuration at a start beside a return of the store.
#ifndef DRAGONFLYVANE_NODE_CLUSTER_NEWEST_CONFIGURATION_HPP
#define DRAGONFLYVANE_NODE_CLUSTER_NEWEST_CONFIGURATION_HPP

#include "dragonflyvane/core/cluster/cluster_view.hpp"
#include "dragonflyvane/core/configuration/operator_state.hpp"
#include "dragonflyvane/core/scheduler.hpp"
#include "dragonflyvane/node/cluster/relayed_store.hpp"

#include <random>

namespace dragonflyvane {

/// Asks peers, one after another, for the configuration that they have in
/// force, for as long as the operator state awaits the newest one. A peer that
/// has run since before the return knows what operators had written, and that
/// the copy may have lost. Not thread-safe; used on the scheduler's thread.
class newest_configuration {
public:
  /// Constructor arguments; the references must outlive the object.
  struct dependencies {
    std::string Host;
    scheduler &Loop;
    const clock_source &Clock;
    const cluster_view &View;
    operator_state &OperatorState;
    peer_sender Send;
    /// Called when a configuration was taken up.
    std::function<void()> OnChange;
  };

  explicit newest_configuration(dependencies Dependencies);

  /// Asks a peer if the newest configuration is awaited and no peer is being
  /// asked. To be called after changes of the cluster.
  void update();

private:
  void ask(const endpoint &Peer);
  void onResult(time_point SentAt, const call_result &Result);

  dependencies Deps;
  bool IsAsking = false;
  timer RetryTimer;
  std::mt19937_64 Random;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NODE_CLUSTER_NEWEST_CONFIGURATION_HPP
