/// The daemon: wires the parts together and runs them.
#ifndef DRAGONFLYVANE_NODE_DAEMON_HPP
#define DRAGONFLYVANE_NODE_DAEMON_HPP

#include "dragonflyvane/core/backend_server.hpp"
#include "dragonflyvane/core/configuration/operator_state.hpp"
#include "dragonflyvane/core/header_names.hpp"
#include "dragonflyvane/core/store.hpp"
#include "dragonflyvane/net/event_loop.hpp"
#include "dragonflyvane/net/http_client.hpp"
#include "dragonflyvane/net/metrics.hpp"
#include "dragonflyvane/node/settings.hpp"

#include <memory>
#include <optional>

namespace dragonflyvane {

/// What a platform provides.
struct platform_access {
  store &Store;
  operator_row_decoder DecodeOperatorRow;
  /// The rows that decide what is in force.
  std::vector<row_id> OperatorRows;
  header_names Names;
};

/// One daemon. Used on the event loop's thread.
class daemon {
public:
  /// Throws `step_error` when an address cannot be listened on.
  daemon(event_loop &Loop, const settings &Settings, platform_access Platform,
         http_client &Client, metrics &Metrics);
  ~daemon();
  daemon(const daemon &) = delete;
  daemon &operator=(const daemon &) = delete;

  /// Begins to serve; SIGTERM and SIGINT end the event loop gracefully.
  void start();
  /// The local backend server's heartbeat, and the grant to answer with.
  std::optional<grant> onHeartbeat(const heartbeat &Heartbeat);
  /// The local backend server leaves.
  void onLeave(const server_incarnation &Incarnation);
  /// Whether this daemon takes callers.
  bool isReady() const;

private:
  class implementation;
  std::unique_ptr<implementation> Implementation;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NODE_DAEMON_HPP
