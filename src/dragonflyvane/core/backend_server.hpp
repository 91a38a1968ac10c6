/// The heartbeats that a backend server sends to its daemon.
#ifndef DRAGONFLYVANE_CORE_BACKEND_SERVER_HPP
#define DRAGONFLYVANE_CORE_BACKEND_SERVER_HPP

#include "dragonflyvane/core/ownership/granted_keys.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace dragonflyvane {

/// Whether a backend server accepts new work.
enum class server_state {
  /// Accepts requests and key ranges.
  Ready,
  /// Finishes the requests that it has, and must get no new ones.
  Draining,
};

/// The content of one heartbeat.
struct heartbeat {
  server_incarnation Incarnation;
  std::string Service;
  /// `IP:PORT` at which the backend server accepts requests.
  std::string Address;
  std::string FailureDomain;
  /// The release that the backend server runs; empty if it names none.
  std::string Version;
  /// The number of requests that the backend server runs at the same time.
  uint32_t Slots = 1;
  server_state State = server_state::Ready;
  /// Time until the backend server has warmed up; zero once it is warm.
  std::chrono::milliseconds ColdRemaining{0};
  /// Increases with each heartbeat of an incarnation.
  uint64_t Sequence = 0;
  /// The ranges that the backend server holds or has released. None if the
  /// heartbeat does not say, which is not the same as holding nothing.
  std::optional<held_keys> Keys;
};

/// The announcement of a backend server that it leaves.
struct leave_notice {
  server_incarnation Incarnation;
  /// Empty if the announcement does not name it.
  std::string Service;
};

/// What the settings of a daemon say about the backend server of its host. They
/// do not depend on any message.
struct server_identity {
  std::string Service;
  /// `IP:PORT`; empty if the settings do not name it.
  std::string Address;
  std::string FailureDomain;
};

/// Throws `step_error` unless the heartbeat names the service, the address and
/// the failure domain of the backend server. Other programs can reach the
/// control endpoint too, and their messages say nothing about this server.
void requireSender(const server_identity &Server, const heartbeat &Heartbeat);

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_BACKEND_SERVER_HPP
