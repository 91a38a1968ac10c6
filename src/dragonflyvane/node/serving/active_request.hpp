/// The state of one request in the request router. This header is internal to
/// the library.
#ifndef DRAGONFLYVANE_NODE_SERVING_ACTIVE_REQUEST_HPP
#define DRAGONFLYVANE_NODE_SERVING_ACTIVE_REQUEST_HPP

#include "dragonflyvane/node/serving/request_router.hpp"

#include <set>

namespace dragonflyvane {

/// Handles one request of a caller, from its arrival to the single response.
/// Callbacks and timers keep the object alive until the request ends.
class request_router::active_request
    : public std::enable_shared_from_this<active_request> {
public:
  /// Copies the request from `Exchange`; `begin` starts processing it.
  active_request(request_router &Router, exchange_pointer Exchange);
  ~active_request();

  /// Finds the route, authenticates the caller and requests admission.
  void begin();
  /// Chooses a host again if the request waits for one.
  void retryHostLookup();
  /// Ends the request now, since the process is about to end.
  void end();

private:
  /// Sets the deadline and the metadata that follow from the route.
  void applyRoute(const route &Route);
  /// Sets the workspace and the priority. On failure, refuses the request and
  /// returns false. Accepts all callers if no workspaces are configured.
  bool authenticate(const route &Route);
  /// Whether the backend server of this host makes the request while it runs
  /// another.
  bool isNestedCall() const;
  /// Whether the request may begin although the process may be shutting down.
  bool isAdmittedByShutdown() const;
  /// Gives a nested call the priority of its parent.
  void inheritPriority();
  /// Called with the decision of the rate limiter.
  void onAdmitted(bool Admitted, duration RetryAfter);
  /// Draws one of the services of the route by weight.
  void chooseService();
  /// Returns the owner of the key, or a selected host if the service has no
  /// keys. Returns nothing if no such host is known.
  std::optional<std::string> chooseHost();
  /// Returns the host that has an open trial of this request, if it has not
  /// refused it yet.
  std::optional<std::string> chooseTrialHost() const;
  /// Chooses a host and sends the request, waits for a host, or refuses the
  /// request.
  void dispatch();
  void send(const std::string &Host);
  void sendToPeer(const std::string &Host, const host_info &Info);
  /// Only a request that another host can run ends when its peer falls silent.
  silence_policy silencePolicy() const;
  void onPeerResult(const std::string &Host, call_result Result);
  void onResult(const std::string &Host, forward_result Result);
  /// Whether the request may be sent again. Takes a retry from the budget only
  /// if the last attempt reached a backend server.
  bool mayRetry(const forward_result &Result);
  /// Posts another `dispatch` to the event loop.
  void scheduleRetry();
  /// Waits for a host until `HostWaitDeadline`, then refuses with `Code`.
  void waitForHost(const std::string &Code);
  /// Ends the request without a response, since the caller disconnected.
  void cancel();
  /// Cancels the dispatch and the call to a peer, if there is one.
  void cancelForwarding();

  /// Sends the response and ends the request. Refunds the token if no backend
  /// server has run the request.
  void respond(http_response Response);
  /// Logs a refusal and sends it as the response.
  void refuse(int Status, const std::string &Code, run_state Ran,
              duration RetryAfter = {});
  /// Refuses with status 503 if no backend server has begun the request. If a
  /// backend server may have begun it, the status is 504 if too little time
  /// is left for another attempt, and 502 otherwise.
  void refuseUnserved(const std::string &Code,
                      std::chrono::milliseconds RetryAfter);
  /// Refuses a request for which the server has no room; with overload control
  /// no earlier than the given time, since it would be refused again.
  void refuseUntilRoom(const std::string &Code,
                       std::chrono::milliseconds RetryAfter);
  /// As `refuseUnserved`, but tells the caller to return after the given time
  /// or somewhat later, never earlier.
  void refuseNoEarlier(const std::string &Code,
                       std::chrono::milliseconds RetryAfter);
  /// `Mean` times a random factor from 0.5 to 1.5, so that refused callers do
  /// not all return at the same time.
  duration withJitter(duration Mean);
  std::string requestId() const;
  /// Time until the deadline; negative after it.
  duration timeLeft() const;

  request_router &Router;
  exchange_pointer Exchange;
  http_request Request;
  forward_metadata Metadata;
  std::shared_ptr<const configuration> Config;
  const route *Route = nullptr;
  bool IsNestedCall = false;
  bool IsKeyed = false;
  time_point StartedAt;
  time_point Deadline;
  /// The request may wait for a host until this time.
  time_point HostWaitDeadline{};
  /// Attempts that reached a backend server.
  uint32_t ServerAttempts = 0;
  /// Attempts that no backend server has run.
  uint32_t RefusalCount = 0;
  /// Whether the rate limiter admitted the request, so that a token may have
  /// to be refunded.
  bool HasToken = false;
  /// Whether a backend server may have begun the request.
  bool MayHaveRun = false;
  /// The host of the current or last attempt.
  std::string TargetHost;
  std::set<std::string> TriedHosts;
  bool IsWaitingForHost = false;
  bool IsDone = false;
  /// The refusal code if the wait for a host fails.
  std::string HostWaitCode;
  /// The request in the local dispatcher; 0 if none.
  dispatch_id LocalDispatch = 0;
  /// The call to a peer; 0 if none.
  call_id PeerCall = 0;
  timer Timer;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NODE_SERVING_ACTIVE_REQUEST_HPP
