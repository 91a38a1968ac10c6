/// Exchange of the operators' rows between daemons, so that a change reaches
/// hosts that cannot follow the store.
#ifndef DRAGONFLYVANE_NODE_CLUSTER_OPERATOR_EXCHANGE_HPP
#define DRAGONFLYVANE_NODE_CLUSTER_OPERATOR_EXCHANGE_HPP

#include "dragonflyvane/core/cluster/cluster_view.hpp"
#include "dragonflyvane/core/configuration/operator_state.hpp"
#include "dragonflyvane/core/scheduler.hpp"
#include "dragonflyvane/net/http_exchange.hpp"
#include "dragonflyvane/node/cluster/relayed_store.hpp"

#include <functional>
#include <optional>
#include <random>
#include <string>

namespace dragonflyvane {

/// Asks random peers, one after another, for the operators' rows, while this
/// host cannot follow the store or a peer has announced a newer version. The
/// rows come with the versions that the store gave them, so that it does not
/// matter in which order they arrive. Not thread-safe; used on the scheduler's
/// thread.
class operator_exchange {
public:
  /// Constructor arguments; the references must outlive the object.
  struct dependencies {
    std::string Host;
    scheduler &Loop;
    const cluster_view &View;
    const operator_state &OperatorState;
    peer_sender Send;
    /// Whether this host learns of changes from the store without delay.
    std::function<bool()> IsFollowingStore;
    /// Called with rows that a peer has sent because it knows a newer version.
    std::function<void(const row_batch &)> OnRows;
  };

  explicit operator_exchange(dependencies Dependencies);

  /// Called when this host may no longer learn of changes from the store.
  void onStoreLost() { update(); }
  /// Called when a peer has announced the newest version that it knows. The
  /// first peer that is asked for it is `Announcer`.
  void onPeerVersion(row_version Version, const std::string &Announcer);
  /// Responds to a peer that asks for newer rows. Returns false if the exchange
  /// is for something else.
  bool serve(const exchange_pointer &Exchange) const;

private:
  bool isBehind() const {
    return AnnouncedVersion > Deps.OperatorState.newestVersion();
  }
  /// Asks a peer if this host may be behind and no peer is being asked.
  void update();
  /// Returns the peer to ask next: once that which has announced a newer
  /// version, since others may be down or behind as well; otherwise any.
  std::optional<endpoint> choosePeer();
  void scheduleAsk(duration Delay);
  void onResult(const call_result &Result);

  dependencies Deps;
  /// The newest version that a peer has announced, until peers were asked for
  /// it several times without success.
  row_version AnnouncedVersion = 0;
  /// The host that has announced it, until that host was asked.
  std::string Announcer;
  int AsksWithoutNews = 0;
  bool IsAsking = false;
  bool IsAskScheduled = false;
  timer AskTimer;
  std::mt19937_64 Random;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NODE_CLUSTER_OPERATOR_EXCHANGE_HPP
