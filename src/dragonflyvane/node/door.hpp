/// The only way to the local backend server: counts what runs there, checks
/// ownership just before each dispatch, and cancels when the lease ends.
#ifndef DRAGONFLYVANE_NODE_DOOR_HPP
#define DRAGONFLYVANE_NODE_DOOR_HPP

#include "dragonflyvane/core/clock.hpp"
#include "dragonflyvane/core/concurrency_limit.hpp"
#include "dragonflyvane/core/fair_queue.hpp"
#include "dragonflyvane/core/member.hpp"
#include "dragonflyvane/core/refusal.hpp"
#include "dragonflyvane/net/http_client.hpp"
#include "dragonflyvane/net/metrics.hpp"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace dragonflyvane {

/// A request at the door.
struct door_request {
  std::string Service;
  /// None on spread routes.
  std::optional<uint32_t> Slice;
  std::string Workspace;
  /// Hash of the caller key; empty on open routes.
  std::string CallerHash;
  request_class Class = request_class::Normal;
  time_point Deadline;
  http_request Request;
};

/// Identifies a request for `cancel`.
using door_id = uint64_t;

/// Dispatches to the backend servers of this host, one for each service. Used
/// on the event loop's thread.
class door final : public in_flight_source {
public:
  using callback = std::function<void(http_response)>;
  /// Says whether a caller key still stands; asked again after queueing.
  using caller_check = std::function<bool(const door_request &)>;
  /// A workspace's share of the slots when they are scarce.
  using weight_of = std::function<double(const std::string &)>;

  door(std::string Host, http_client &Client, const clock_source &Clock,
       const member &Member, metrics &Metrics, caller_check CallerCheck,
       weight_of WeightOf);

  /// A backend server announced itself, or announced itself again.
  void setBackend(const std::string &Service, const endpoint &Address,
                  uint32_t Slots);
  void removeBackend(const std::string &Service);

  door_id submit(door_request Request, callback Callback);
  /// The caller is gone.
  void cancel(door_id Id);

  /// Ends requests whose deadline passed in the queue, and, when the lease has
  /// ended, everything that runs under it.
  void tick();

  // in_flight_source
  size_t ofSlice(const slice_id &Slice) const override;
  size_t total() const override { return Running; }

  size_t queued() const;
  /// Requests of each slice since the last call.
  std::map<slice_id, uint64_t> takeCounts();

private:
  struct entry {
    door_id Id = 0;
    door_request Request;
    callback Callback;
    call_id Call = 0;
    bool Dispatched = false;
    time_point Arrived;
    time_point Sent;
  };
  struct backend {
    endpoint Address;
    uint32_t Slots = 1;
    uint32_t Busy = 0;
    concurrency_limit Limit;
    fair_queue<door_id> Queue;
  };

  void pump(const std::string &Service);
  void dispatch(backend &Backend, entry &Entry);
  std::optional<refusal> refusalFor(const entry &Entry,
                                    std::optional<fencing_token> &Token) const;
  void onResult(door_id Id, call_result Result);
  void learn(const entry &Entry, const call_result &Result);
  void finish(door_id Id, http_response Response);
  void refuse(door_id Id, int Status, const std::string &Code, run_state Ran);
  void giveUp(door_id Id, const std::string &Code);
  void release(entry &Entry);
  void cancelRunning();

  std::string Host;
  http_client &Client;
  const clock_source &Clock;
  const member &Member;
  metrics &Metrics;
  caller_check CallerCheck;
  weight_of WeightOf;
  std::map<std::string, backend> Backends;
  std::map<door_id, entry> Entries;
  std::map<slice_id, size_t> InFlight;
  std::map<slice_id, uint64_t> Counts;
  size_t Running = 0;
  door_id LastId = 0;
  /// Read on the client's thread just before a request is sent.
  std::shared_ptr<std::atomic<int64_t>> ServesUntil;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NODE_DOOR_HPP
