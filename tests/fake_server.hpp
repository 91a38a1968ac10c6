/// A backend server that holds keys, on a fake clock: heartbeats, holds that
/// run out by a clock of its own, releases that take a while.
#ifndef DRAGONFLYVANE_TESTS_FAKE_SERVER_HPP
#define DRAGONFLYVANE_TESTS_FAKE_SERVER_HPP

#include "dragonflyvane/core/backend_server.hpp"
#include "manual_scheduler.hpp"

#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace dragonflyvane {

/// One backend server over all its lives.
class fake_server {
public:
  /// Delivers a heartbeat; nothing when the daemon is away.
  using daemon_call =
      std::function<std::optional<std::optional<grant>>(const heartbeat &)>;

  struct options {
    manual_scheduler &Loop;
    std::string Name;
    std::string FailureDomain;
    daemon_call Call;
    uint64_t Seed = 0;
    /// How fast its clock runs; a hold lasts longer on a slow one.
    double ClockSpeed = 0.98;
    /// Reports a release at once, though it works on.
    bool EarlyRelease = false;
  };

  explicit fake_server(options Options);

  void start();
  void crash();
  void drain() { State = server_state::Draining; }
  bool isUp() const { return Up; }
  bool isDraining() const { return Up && State == server_state::Draining; }
  /// Whether it runs requests for a point now, and under which token.
  std::optional<uint64_t> tokenOf(key_point Point) const;
  const server_incarnation &incarnation() const { return Incarnation; }
  /// Tokens that it was given although it had seen higher ones.
  int staleGrants() const { return StaleGrants; }

private:
  struct hold {
    granted_range Range;
    time_point End;
    /// Set when it was told to release; it works on for a while.
    std::optional<time_point> ReleasedAt;
  };

  void sendHeartbeat();
  void take(const grant &Grant, time_point SentAt);
  void dropEnded();
  void scheduleHeartbeat(duration Delay);
  heartbeat makeHeartbeat();

  options Options;
  std::mt19937_64 Random;
  bool Up = false;
  uint64_t Epoch = 0;
  int Starts = 0;
  server_incarnation Incarnation;
  server_state State = server_state::Ready;
  uint64_t Sequence = 0;
  std::vector<hold> Holds;
  std::vector<released_range> Released;
  int StaleGrants = 0;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_TESTS_FAKE_SERVER_HPP
