/// The only way to the local backend server: queues, limits, dispatches, and
/// judges what comes back.
#ifndef DRAGONFLYVANE_NODE_DISPATCHER_HPP
#define DRAGONFLYVANE_NODE_DISPATCHER_HPP

#include "dragonflyvane/core/admission/admission_queue.hpp"
#include "dragonflyvane/core/admission/bulk_pacer.hpp"
#include "dragonflyvane/core/admission/route_costs.hpp"
#include "dragonflyvane/core/clock.hpp"
#include "dragonflyvane/core/configuration/operator_state.hpp"
#include "dragonflyvane/core/header_names.hpp"
#include "dragonflyvane/core/ownership/assignment.hpp"
#include "dragonflyvane/core/ownership/point_sample.hpp"
#include "dragonflyvane/core/rate/token_bucket.hpp"
#include "dragonflyvane/net/event_loop.hpp"
#include "dragonflyvane/net/http_client.hpp"
#include "dragonflyvane/net/metrics.hpp"
#include "dragonflyvane/node/crash_guard.hpp"
#include "dragonflyvane/node/forwarding.hpp"
#include "dragonflyvane/node/local_server.hpp"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace dragonflyvane {

/// Used on the event loop's thread.
class dispatcher {
public:
  using callback = std::function<void(forward_result)>;

  struct dependencies {
    event_loop &Loop;
    const clock_source &Clock;
    http_client &Client;
    const local_server &Server;
    crash_guard &Guard;
    const operator_state &OperatorState;
    const header_names &Names;
    metrics &Metrics;
    const bulk_pacer &Link;
    /// Whether the map says that this host owns a point.
    std::function<bool(const std::string &Service, key_point)> IsOwner;
    /// The server refused a connection.
    std::function<void()> OnRefusedConnection;
  };

  explicit dispatcher(dependencies Deps);

  dispatch_id submit(forward_metadata Metadata, http_request Request,
                     callback Callback);
  /// The caller is gone; there is no call back.
  void cancel(dispatch_id Id);
  /// Something changed that requests may wait for.
  void dispatchWaiting();
  size_t activeCount() const { return Entries.size(); }
  /// From now on nothing new is taken; what runs ends.
  void startClosing();
  dispatcher_load load() const;
  /// What the server was asked for since the last call.
  load_report takeLoadReport();

private:
  struct entry {
    forward_metadata Metadata;
    http_request Request;
    callback Callback;
    time_point Deadline;
    time_point SoftDeadline;
    time_point SentAt{};
    call_id Call = 0;
    bool IsRunning = false;
    server_incarnation Incarnation;
  };

  std::string whyNot(const forward_metadata &Metadata) const;
  bool mustWaitForGrant(const forward_metadata &Metadata) const;
  queued_request waitingOf(dispatch_id Id, const entry &Entry) const;
  bool hasRoom(const entry &Entry, const queued_request &Waiting) const;
  uint32_t room() const;
  bool mayDispatchCold();
  void dispatch(dispatch_id Id);
  /// Whether what held at the dispatch still holds, once connected.
  bool maySend(dispatch_id Id) const;
  http_request toServer(const entry &Entry) const;
  void onResult(dispatch_id Id, call_result Result);
  forward_result judge(const entry &Entry, call_result Result) const;
  bool isFromServer(const http_response &Response) const;
  void finish(dispatch_id Id, forward_result Result);
  void refuse(dispatch_id Id, const std::string &Code);
  std::chrono::milliseconds retryAfter() const;
  void tick();

  dependencies Deps;
  std::unordered_map<dispatch_id, entry> Entries;
  admission_queue Queue;
  std::deque<dispatch_id> AwaitingGrant;
  uint32_t Running = 0;
  bool IsClosing = false;
  dispatch_id LastId = 0;
  token_bucket Cold;
  route_costs Costs;
  point_sample Sample;
  uint64_t Arrivals = 0;
  duration BusyTime{0};
  time_point ReportedAt;
  timer Tick;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NODE_DISPATCHER_HPP
