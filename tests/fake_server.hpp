/// A simulated backend server that holds ranges, granted in responses to its
/// heartbeats or by call: it lets holds expire by a clock of its own speed, and
/// takes time to release ranges.
#ifndef DRAGONFLYVANE_TESTS_FAKE_SERVER_HPP
#define DRAGONFLYVANE_TESTS_FAKE_SERVER_HPP

#include "dragonflyvane/core/backend_server.hpp"
#include "manual_scheduler.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace dragonflyvane {

/// A backend server through all its incarnations, on a manual clock.
class fake_server {
public:
  /// Delivers a heartbeat to the daemon. Returns nothing if the daemon does not
  /// respond, else the grant if the response holds one.
  using daemon_call =
      std::function<std::optional<std::optional<grant>>(const heartbeat &)>;

  struct options {
    manual_scheduler &Loop;
    std::string Name;
    std::string FailureDomain;
    daemon_call Call;
    uint64_t Seed = 0;
    /// The speed of the server's clock relative to the manual clock. Holds last
    /// longer on a slower clock.
    double ClockSpeed = 0.98;
    /// Whether the server has a defect: it reports a range as released while
    /// requests on the range still run.
    bool EarlyRelease = false;
    /// How the server is granted keys.
    grant_way GrantWay = grant_way::Heartbeat;
  };

  /// Receives the result of a call that granted or released keys.
  using result_callback = std::function<void(const key_call_result &)>;

  explicit fake_server(options Options);

  /// Starts a new incarnation, under the previous instance name every other
  /// time.
  void start();
  /// Ends the incarnation without notice.
  void crash();
  /// Begins a graceful shutdown.
  void drain() { State = server_state::Draining; }
  /// Receives a call that grants or releases keys. The call or its response may
  /// be lost, and the call may be applied seconds after its arrival; `Callback`
  /// is not called then.
  void receiveCall(const key_call &Call, const result_callback &Callback);
  /// Ends the loss and the delay of calls.
  void endCallFaults() { HasCallFaults = false; }
  bool isUp() const { return Up; }
  /// Increases with each start and crash, which close all connections.
  uint64_t epoch() const { return Epoch; }
  bool isDraining() const { return Up && State == server_state::Draining; }
  /// Returns the fencing token under which the server runs requests for a key
  /// point now, or nothing if it runs none.
  std::optional<uint64_t> tokenOf(key_point Point) const;
  /// Whether the server only finishes requests for the key point, and begins no
  /// new ones.
  bool isReleasing(key_point Point) const;
  const server_incarnation &incarnation() const { return Incarnation; }
  /// The number of granted ranges that overlapped a hold with a higher token.
  int staleGrants() const { return StaleGrants; }

private:
  struct hold {
    granted_range Range;
    time_point End;
    /// The time at which the remaining work ends; set when the server has to
    /// release the range.
    std::optional<time_point> ReleasedAt;
  };

  bool isInForce(const hold &Hold, key_point Point) const;
  void sendHeartbeat();
  void applyGrant(const grant &Grant, time_point SentAt);
  void removeEndedHolds();
  /// Applies a call that arrived at `ArrivedAt`.
  void applyCall(const key_call &Call, time_point ArrivedAt,
                 const result_callback &Callback);
  key_call_outcome applyGrantCall(const key_call &Call, time_point ArrivedAt);
  /// Removes the range from all holds and returns what was removed.
  std::vector<hold> takeHolds(const granted_range &Range);
  /// The start time of a new incarnation by the wall clock, which is sometimes
  /// seconds off.
  int64_t wallClockMs();
  void scheduleHeartbeat(duration Delay);
  heartbeat makeHeartbeat();

  options Options;
  std::mt19937_64 Random;
  bool Up = false;
  bool HasCallFaults = true;
  /// Increases with each start and crash; cancels heartbeats scheduled before.
  uint64_t Epoch = 0;
  int Starts = 0;
  server_incarnation Incarnation;
  server_state State = server_state::Ready;
  uint64_t Sequence = 0;
  std::vector<hold> Holds;
  std::vector<released_range> Released;
  /// The tokens of all ranges that calls granted to the incarnation.
  std::vector<held_range> SeenTokens;
  int StaleGrants = 0;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_TESTS_FAKE_SERVER_HPP
