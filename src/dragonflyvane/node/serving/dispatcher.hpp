/// Queues, admits and sends requests to the local backend server, and
/// classifies the results. No other component sends requests to the server.
#ifndef DRAGONFLYVANE_NODE_SERVING_DISPATCHER_HPP
#define DRAGONFLYVANE_NODE_SERVING_DISPATCHER_HPP

#include "dragonflyvane/core/admission/admission_queue.hpp"
#include "dragonflyvane/core/admission/bulk_pacer.hpp"
#include "dragonflyvane/core/admission/call_pressure.hpp"
#include "dragonflyvane/core/admission/dispatch_allowance.hpp"
#include "dragonflyvane/core/admission/graceful_shutdown.hpp"
#include "dragonflyvane/core/admission/hot_points.hpp"
#include "dragonflyvane/core/admission/in_flight_bytes.hpp"
#include "dragonflyvane/core/admission/return_schedule.hpp"
#include "dragonflyvane/core/admission/route_costs.hpp"
#include "dragonflyvane/core/admission/sent_requests.hpp"
#include "dragonflyvane/core/clock.hpp"
#include "dragonflyvane/core/configuration/feature_switch.hpp"
#include "dragonflyvane/core/configuration/operator_state.hpp"
#include "dragonflyvane/core/header_names.hpp"
#include "dragonflyvane/core/ownership/assignment.hpp"
#include "dragonflyvane/core/ownership/point_sample.hpp"
#include "dragonflyvane/core/rollout/departure_gate.hpp"
#include "dragonflyvane/core/rollout/version_outcomes.hpp"
#include "dragonflyvane/core/scheduler.hpp"
#include "dragonflyvane/net/http_client.hpp"
#include "dragonflyvane/net/metrics.hpp"
#include "dragonflyvane/node/serving/crash_guard.hpp"
#include "dragonflyvane/node/serving/forwarding.hpp"
#include "dragonflyvane/node/serving/learned_capacity.hpp"
#include "dragonflyvane/node/serving/local_server.hpp"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace dragonflyvane {

/// Dispatches requests to the local backend server. All functions run on the
/// thread of the event loop.
class dispatcher {
public:
  /// Receives the result of a request; called once unless the request is
  /// cancelled.
  using callback = std::function<void(forward_result)>;

  /// The objects that the dispatcher uses; they must outlive it.
  struct dependencies {
    scheduler &Loop;
    const clock_source &Clock;
    /// Sends a request to the backend server.
    std::function<call_id(const endpoint &, const http_request &, call_options,
                          http_client::callback)>
        Send;
    /// Cancels a request that `Send` has sent.
    std::function<void(call_id)> CancelCall;
    const local_server &Server;
    crash_guard &CrashGuard;
    const operator_state &OperatorState;
    const header_names &Names;
    metrics &Metrics;
    /// Paces large messages on the outgoing link of this host.
    const bulk_pacer &Link;
    const graceful_shutdown &Shutdown;
    /// Returns whether this host owns the key point in the ownership map.
    std::function<bool(const std::string &Service, key_point)> IsOwner;
    /// Called when the current incarnation of the server refused a connection.
    std::function<void()> OnRefusedConnection;
    /// Called when the current incarnation of the server refused a request
    /// because it does not hold the key point.
    std::function<void(key_point)> OnKeyRefused;
    /// Called when a response of the current incarnation of the server shows
    /// another condition, or its first one.
    std::function<void(const server_condition &)> OnCondition;
    /// Called with the condition of the server that a peer knows.
    std::function<void(const condition_report &)> OnReportedCondition;
    /// Whether the concurrency limit and the speed of the server are learned
    /// from its responses.
    feature_mode LearnedCapacity = feature_mode::On;
    /// Whether requests are ordered and refused by the deadlines that they can
    /// still meet, with floors for priorities and limits for hot key points.
    feature_mode OverloadControl = feature_mode::On;
    /// Divides the incoming link among the large requests of peers; none if
    /// they are not divided.
    const bulk_pacer *IncomingLink = nullptr;
  };

  /// Starts the periodic check for timeouts and crashes.
  explicit dispatcher(dependencies Deps);

  /// Queues or dispatches a request. Returns 0 if the request was refused
  /// at once; `Callback` has been called then.
  dispatch_id submit(forward_metadata Metadata, http_request Request,
                     callback Callback);
  /// Drops a request whose caller disconnected, without calling its callback.
  /// Does nothing if the request has ended.
  void cancel(dispatch_id Id);
  /// To be called when the connection to the peer that sent a request has
  /// ended. A request that may not be repeated goes on if the server has it, so
  /// that its effect is whole; any other is dropped as by `cancel`.
  void onConnectionEnded(dispatch_id Id);
  /// Dispatches waiting requests for which slots and grants are available. To
  /// be called after a change of ownership, grants or configuration.
  void dispatchWaiting();
  /// Number of requests that run or wait.
  size_t activeCount() const { return Entries.size(); }
  /// Whether a request runs at the server.
  bool isServerRunning() const { return Running > 0; }
  /// The priority of the most urgent request that runs; none if none runs.
  std::optional<int> mostUrgentRunning() const;
  /// To be called when a nested call of the backend server was refused.
  void onNestedCallRefused(const std::string &Code);
  /// To be called when a graceful shutdown begins. Requests that wait must end
  /// before the process does.
  void onShutdownBegin();
  /// Ends all requests: refuses those that wait, and ends those that run with
  /// an unknown outcome.
  void endAll();
  /// The current load, which is sent with each result.
  dispatcher_load load() const;
  /// To be called when the rollout that concerns the server has changed:
  /// whether there is one, whether the server must leave, and the sequence
  /// number of its state.
  void onRollout(bool IsConcerned, bool MustLeave, uint64_t Sequence);
  /// The load since the last call; resets the counts.
  load_report takeLoadReport();
  /// The learned capacity of the server.
  learned_capacity &capacity() { return Capacity; }

private:
  struct entry {
    forward_metadata Metadata;
    http_request Request;
    callback Callback;
    /// After this time the request is refused.
    time_point Deadline;
    /// Until this time a response is worth most to the caller.
    time_point SoftDeadline;
    time_point SentAt{};
    call_id Call = 0;
    /// The requests in flight when this one was sent, with this one.
    uint32_t InFlight = 0;
    bool IsRunning = false;
    /// Whether the server may have the request, which is not so while the
    /// connection to it is opened.
    bool WasSent = false;
    /// The incarnation of the server that the request was sent to.
    server_incarnation Incarnation;
  };

  /// The code with which a request must be refused now; empty if it may run.
  std::string refusalCode(const forward_metadata &Metadata) const;
  /// The same for a request that arrives now.
  std::string arrivalRefusalCode(const entry &Entry);
  /// Counts and logs a request whose time ran out on its way.
  void reportExpired(const entry &Entry);
  bool mustWaitForGrant(const forward_metadata &Metadata) const;
  queued_request makeQueuedRequest(dispatch_id Id, const entry &Entry) const;
  /// Queues the request if the response is expected to be ready, and sent over
  /// the link, in time. Returns whether it is queued.
  bool enqueue(const entry &Entry, const queued_request &Queued);
  /// Refuses the queued requests that no longer fit.
  void refuseDisplaced();
  /// Refuses a request for a hot key point that asks for more than its share of
  /// the server. Returns whether it did.
  bool refuseHotPoint(dispatch_id Id);
  static request_fingerprint fingerprintOf(const entry &Entry);
  /// Refuses a quarantined request, unless it is a trial. Returns whether it
  /// did.
  bool refuseQuarantined(dispatch_id Id);
  /// Whether the server has run the request, as its response shows.
  bool wasRun(const call_result &Result) const;
  /// The requests per second that the server can process.
  double processableRate() const;
  /// Number of requests that the server may run at the same time.
  uint32_t slotCount() const;
  /// The warm-up rate of a cold server; none for a warm server and for a
  /// service without a warm-up rate, 0 while the configuration of the service
  /// is unknown.
  std::optional<double> warmupRate() const;
  /// Applies the rates that the server takes now.
  void updateAllowance();
  void dispatch(dispatch_id Id);
  /// Whether the server may get the body of the request now. A large body does
  /// not overtake one that waits, which would otherwise wait for ever.
  bool fitsInFlight(const entry &Entry, bool IsOvertaking) const;
  /// Queues requests again whose bodies exceed the allowance of bytes now.
  void requeue(const std::vector<dispatch_id> &Ids);
  /// Counts the end of a call to the server.
  void countBytes(const entry &Entry, call_outcome Outcome);
  call_options makeCallOptions(dispatch_id Id, const entry &Entry);
  /// Checks the conditions of the dispatch again once the connection is open:
  /// ownership, grant and incarnation may have changed meanwhile.
  bool maySend(dispatch_id Id) const;
  /// Notes that the request is sent, if it may be. Returns whether it may.
  bool beginSending(dispatch_id Id);
  /// Sets the header fields that backend servers expect.
  http_request makeServerRequest(const entry &Entry) const;
  void onResult(dispatch_id Id, call_result Result);
  /// Learns the capacity of the server from a response.
  void observeCapacity(const entry &Entry, const call_result &Result,
                       duration Elapsed);
  /// Logs why a call of the server ended without a response.
  void logFailure(const entry &Entry, const call_result &Result) const;
  /// Counts a response, or its absence until the deadline, by version.
  void countOutcome(const entry &Entry, const call_result &Result,
                    duration Elapsed);
  /// Learns the condition of the server from its response to a request.
  void observeCondition(const entry &Entry, const call_result &Result);
  /// Decides whether the server responded, has not run the request, or may have
  /// run it.
  forward_result classifyResult(const entry &Entry, call_result Result) const;
  /// Whether the response has the signature field of a backend server and is
  /// not re-encoded.
  bool isFromServer(const http_response &Response) const;
  void finish(dispatch_id Id, forward_result Result);
  void refuse(dispatch_id Id, const std::string &Code);
  void refuse(dispatch_id Id, const std::string &Code,
              std::chrono::milliseconds RetryAfter);
  /// The time until room is expected for the request if it returns.
  /// Room is reserved if the request is refused for want of it.
  std::chrono::milliseconds retryAfter(const entry &Entry, bool IsForRoom);
  /// Reserves room for the return of a refused request.
  duration reserveReturn(const entry &Entry, time_point Now);
  /// Learns from a response whether nested calls found room.
  void observePressure(const entry &Entry, const call_result &Result);
  /// Checks for a crash of the server, and refuses requests that have waited
  /// too long.
  void tick();

  dependencies Deps;
  feature_switch OverloadControl;
  std::unordered_map<dispatch_id, entry> Entries;
  admission_queue Queue;
  /// Requests for keys that the server does not hold yet, in order of arrival.
  std::deque<dispatch_id> AwaitingGrant;
  uint32_t Running = 0;
  /// Bytes of the bodies that the server holds.
  in_flight_bytes InFlight;
  dispatch_id LastId = 0;
  /// The dispatches that the server takes.
  dispatch_allowance Allowance;
  sent_requests SentRequests;
  route_costs Costs;
  learned_capacity Capacity;
  return_schedule Returns;
  call_pressure Pressure;
  point_sample Sample;
  hot_points HotPoints;
  /// Whether a rollout concerns the service of the server. Only then responses
  /// are counted by version.
  bool IsInRollout = false;
  departure_gate Departure;
  outcome_counter Outcomes;
  /// Submitted requests, and time for which slots were in use, since
  /// `ReportedAt`.
  uint64_t Arrivals = 0;
  duration BusyTime{0};
  time_point ReportedAt;
  timer Tick;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NODE_SERVING_DISPATCHER_HPP
