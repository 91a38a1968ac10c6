/// The heartbeats that a backend server sends to its daemon.
#ifndef DRAGONFLYVANE_CORE_BACKEND_SERVER_HPP
#define DRAGONFLYVANE_CORE_BACKEND_SERVER_HPP

#include "dragonflyvane/core/ownership/granted_keys.hpp"

#include <chrono>
#include <cstdint>
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
  /// The number of requests that the backend server runs at the same time.
  uint32_t Slots = 1;
  server_state State = server_state::Ready;
  /// Time until the backend server has warmed up; zero once it is warm.
  std::chrono::milliseconds ColdRemaining{0};
  /// Increases with each heartbeat of an incarnation.
  uint64_t Sequence = 0;
  /// The ranges that the backend server holds or has released.
  held_keys Keys;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_BACKEND_SERVER_HPP
