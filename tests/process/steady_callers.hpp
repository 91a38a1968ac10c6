/// Callers that send one request after another, each on a connection that it
/// keeps as long as the daemon does.
#ifndef DRAGONFLYVANE_TESTS_PROCESS_STEADY_CALLERS_HPP
#define DRAGONFLYVANE_TESTS_PROCESS_STEADY_CALLERS_HPP

#include "dragonflyvane/core/clock.hpp"
#include "dragonflyvane/core/endpoint.hpp"
#include "dragonflyvane/net/call_result.hpp"
#include "dragonflyvane/net/event_loop.hpp"
#include "dragonflyvane/net/http_client.hpp"

#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace dragonflyvane {

/// A request of a caller that has ended.
struct ended_call {
  time_point SentAt;
  duration Took{0};
  call_outcome Outcome = call_outcome::NotSent;
  std::string RequestId;
  /// 0 without a response.
  int Status = 0;
  bool Idempotent = false;

  /// Whether the request was sent and ended without a response.
  bool isLost() const {
    return Outcome == call_outcome::ConnectionLost ||
           Outcome == call_outcome::TimedOut;
  }
};

/// Runs callers on a thread of its own.
class steady_callers {
public:
  /// Each of `Count` callers waits for `Pause` after a response. They begin one
  /// after the other within `Spread`. Every second caller sends requests that
  /// may not be repeated, unless `Target` is the target of all requests.
  steady_callers(const endpoint &Daemon, int Count,
                 std::chrono::milliseconds Pause,
                 std::chrono::milliseconds Spread, std::string Target = "");
  ~steady_callers();
  steady_callers(const steady_callers &) = delete;
  steady_callers &operator=(const steady_callers &) = delete;

  /// Stops the callers, and returns all calls that have ended.
  std::vector<ended_call> finish();

private:
  struct caller;

  void sendNext(caller &Caller);
  void onResult(caller &Caller, ended_call Call, const call_result &Result);

  endpoint Daemon;
  std::chrono::milliseconds Pause;
  std::string Target;
  boot_clock Clock;
  event_loop Loop;
  std::vector<std::unique_ptr<caller>> Callers;
  std::vector<ended_call> Calls;
  uint64_t LastId = 0;
  std::thread Thread;
};

/// Sends a daemon requests for a second, so that it learns how long they take
/// and admits requests late in a planned stop.
void warmUp(const endpoint &Daemon);

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_TESTS_PROCESS_STEADY_CALLERS_HPP
