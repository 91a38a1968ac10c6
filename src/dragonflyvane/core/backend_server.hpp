/// What a backend server tells its daemon about itself.
#ifndef DRAGONFLYVANE_CORE_BACKEND_SERVER_HPP
#define DRAGONFLYVANE_CORE_BACKEND_SERVER_HPP

#include "dragonflyvane/core/ownership/grant_tracker.hpp"

#include <chrono>
#include <cstdint>
#include <string>

namespace dragonflyvane {

/// Whether a backend server takes work.
enum class server_state {
  Ready,
  /// It serves what it has and is to get nothing new.
  Draining,
};

/// One heartbeat.
struct heartbeat {
  server_incarnation Incarnation;
  std::string Service;
  /// `IP:PORT` for requests.
  std::string Address;
  std::string FailureDomain;
  uint32_t Slots = 1;
  server_state State = server_state::Ready;
  /// How much longer it is cold; zero when it is warm.
  std::chrono::milliseconds ColdRemaining{0};
  /// Rises with each heartbeat of a life.
  uint64_t Sequence = 0;
  held_keys Keys;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_BACKEND_SERVER_HPP
