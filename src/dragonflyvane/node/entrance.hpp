/// Where requests come in: finds route, workspace and owner, forwards, tries
/// again where that is allowed, and answers.
#ifndef DRAGONFLYVANE_NODE_ENTRANCE_HPP
#define DRAGONFLYVANE_NODE_ENTRANCE_HPP

#include "dragonflyvane/core/admission/bulk_pacer.hpp"
#include "dragonflyvane/core/admission/retry_budget.hpp"
#include "dragonflyvane/core/admission/route_costs.hpp"
#include "dragonflyvane/core/clock.hpp"
#include "dragonflyvane/core/wire_names.hpp"
#include "dragonflyvane/net/event_loop.hpp"
#include "dragonflyvane/net/http_exchange.hpp"
#include "dragonflyvane/net/metrics.hpp"
#include "dragonflyvane/net/peer_link.hpp"
#include "dragonflyvane/node/door.hpp"
#include "dragonflyvane/node/peer_directory.hpp"
#include "dragonflyvane/node/rate_gate.hpp"
#include "dragonflyvane/node/settings.hpp"

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace dragonflyvane {

/// Serves callers. Used on the event loop's thread.
class entrance {
public:
  struct parts {
    const settings &Settings;
    event_loop &Loop;
    const clock_source &Clock;
    const order_book &Orders;
    const cluster_view &View;
    door &Door;
    peer_client &Peers;
    rate_gate &Rates;
    const wire_names &Names;
    metrics &Metrics;
    const bulk_pacer &Link;
  };

  explicit entrance(parts Parts);
  ~entrance();

  /// A request of a caller.
  void serve(const exchange_pointer &Exchange);
  /// Owners or hosts have changed: requests that wait for one look again.
  void onClusterChange();
  /// From now on new requests are refused, "not run"; what is here ends.
  void startClosing() { IsClosing = true; }
  /// Requests that are not answered yet.
  size_t open() const { return Open; }

private:
  class journey;
  friend class journey;

  retry_budget &budgetOf(const std::string &Service);

  parts Parts;
  peer_directory Directory;
  /// Of answers as callers got them.
  route_costs Costs;
  std::map<std::string, retry_budget> Budgets;
  std::vector<std::weak_ptr<journey>> Waiting;
  std::mt19937_64 Random;
  size_t Open = 0;
  bool IsClosing = false;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NODE_ENTRANCE_HPP
