/// Carries out the graceful shutdown of a process, in the time plan of
/// `graceful_shutdown`.
#ifndef DRAGONFLYVANE_NODE_SERVING_SHUTDOWN_SEQUENCE_HPP
#define DRAGONFLYVANE_NODE_SERVING_SHUTDOWN_SEQUENCE_HPP

#include "dragonflyvane/core/admission/graceful_shutdown.hpp"
#include "dragonflyvane/core/scheduler.hpp"
#include "dragonflyvane/net/stoppable_server.hpp"

#include <functional>
#include <optional>
#include <vector>

namespace dragonflyvane {

/// Lets the requests of a process end, then closes its servers, then ends the
/// process:
///
/// 1. While requests may begin or are open, all servers go on.
/// 2. When none is open, the servers accept no more connections. Requests that
///    are arriving are waited for, and answered.
/// 3. Idle connections are closed, and the callers get time to close them too.
///    The control servers, which have gone on until now, close as well; their
///    callers are not waited for.
///
/// What is left at the time of the last response is answered then, whatever the
/// step, and the process ends in time in any case.
class shutdown_sequence {
public:
  struct dependencies {
    scheduler &Loop;
    const clock_source &Clock;
    graceful_shutdown &Shutdown;
    /// Whether a request is open, or a response waits to be written.
    std::function<bool()> HasWork;
    /// Responds to all open requests.
    std::function<void()> EndWork;
    /// Ends the process.
    std::function<void()> OnEnd;
  };

  explicit shutdown_sequence(dependencies Deps) : Deps(std::move(Deps)) {}
  shutdown_sequence(const shutdown_sequence &) = delete;
  shutdown_sequence &operator=(const shutdown_sequence &) = delete;

  /// Adds a server, which must exist until the end of the shutdown.
  void add(stoppable_server &Server) { Servers.push_back(&Server); }
  /// Adds a control server: one whose requests come all the time, hold no step
  /// up, and must be answered for as long as the process serves others.
  void addControl(stoppable_server &Server) {
    ControlServers.push_back(&Server);
  }
  /// Starts the shutdown; later calls have no effect.
  void begin();

private:
  enum class step { Serving, AwaitingRequests, Closing };

  void check();
  /// Goes to the next step, once nothing is left to do in the current one or
  /// the time for responses is over.
  void advance(bool IsOver);
  bool isArrivalTimeOver() const;
  void refuseArriving(bool OfControlServers);
  bool isDone() const;
  void closeServers();
  /// What the connections of all servers but the control servers are doing.
  server_activity activity() const;
  /// Whether requests or responses are on their way.
  bool isBusy() const;
  bool isControlBusy() const;

  dependencies Deps;
  std::vector<stoppable_server *> Servers;
  std::vector<stoppable_server *> ControlServers;
  step Step = step::Serving;
  std::optional<time_point> AwaitingSince;
  std::optional<time_point> ClosingSince;
  timer CheckTimer;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NODE_SERVING_SHUTDOWN_SEQUENCE_HPP
