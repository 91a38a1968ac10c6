/// The daemon of one host: connects its components and runs them.
#ifndef DRAGONFLYVANE_NODE_DAEMON_HPP
#define DRAGONFLYVANE_NODE_DAEMON_HPP

#include "dragonflyvane/core/backend_server.hpp"
#include "dragonflyvane/core/configuration/operator_state.hpp"
#include "dragonflyvane/core/header_names.hpp"
#include "dragonflyvane/core/store.hpp"
#include "dragonflyvane/net/event_loop.hpp"
#include "dragonflyvane/net/http_client.hpp"
#include "dragonflyvane/net/metrics.hpp"
#include "dragonflyvane/net/stoppable_server.hpp"
#include "dragonflyvane/node/cluster/ownership_manager.hpp"
#include "dragonflyvane/node/settings.hpp"

#include <memory>
#include <optional>

namespace dragonflyvane {

/// Access to the platform that the daemon runs on.
struct platform_access {
  /// The transactional store.
  store &Store;
  /// Decodes operator rows.
  operator_row_decoder DecodeOperatorRow;
  /// The operator rows whose versions the store confirms with each lease
  /// renewal.
  std::vector<row_id> OperatorRows;
  /// Names of the platform's header fields.
  header_names Names;
  /// Calls the local backend server to grant and release keys.
  key_call_sender SendKeyCall;
  /// Encodes the row in which operators read how a rollout stands.
  rollout_status_encoder EncodeRolloutStatus;
};

/// One daemon with all its components. Not thread-safe; used on the event
/// loop's thread.
class daemon {
public:
  /// Throws `step_error` if listening on an address fails.
  daemon(event_loop &Loop, const settings &Settings, platform_access Platform,
         http_client &Client, metrics &Metrics);
  ~daemon();
  daemon(const daemon &) = delete;
  daemon &operator=(const daemon &) = delete;

  /// Includes a server of the platform's adapter in the graceful shutdown: it
  /// serves until the end of the process, and its last responses are awaited.
  /// It must exist until the event loop has stopped.
  void addControlServer(stoppable_server &Server);
  /// Starts serving. SIGTERM and SIGINT start a graceful shutdown, which stops
  /// the event loop at its end.
  void start();
  /// Handles a heartbeat of the local backend server. Returns the grant to
  /// respond with, if any. Throws `step_error` if the heartbeat cannot come
  /// from that server.
  std::optional<grant> onHeartbeat(const heartbeat &Heartbeat);
  /// Handles the announcement of the local backend server that it is leaving.
  /// Throws `step_error` if it cannot come from that server.
  void onLeave(const leave_notice &Notice);
  /// Whether this daemon accepts callers: a configuration is in force, the
  /// confirmation age is below the maximum, and no shutdown has started.
  bool isReady() const;

private:
  class implementation;
  std::unique_ptr<implementation> Implementation;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NODE_DAEMON_HPP
