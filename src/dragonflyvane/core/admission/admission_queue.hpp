/// Queue of the requests that wait for a slot of a backend server. Requests of
/// an urgent priority go first; among those of one priority, requests that can
/// still meet their soft deadlines. Each priority keeps a small share of the
/// slots. A request for which no room is expected is refused at once.
#ifndef DRAGONFLYVANE_CORE_ADMISSION_ADMISSION_QUEUE_HPP
#define DRAGONFLYVANE_CORE_ADMISSION_ADMISSION_QUEUE_HPP

#include "dragonflyvane/core/admission/priority_demand.hpp"
#include "dragonflyvane/core/admission/priority_floor.hpp"
#include "dragonflyvane/core/admission/return_schedule.hpp"
#include "dragonflyvane/core/clock.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace dragonflyvane {

/// Identifies a request in the dispatcher. Ids ascend in the order of arrival.
using dispatch_id = uint64_t;

/// A request that waits for a slot.
struct queued_request {
  dispatch_id Id = 0;
  /// 0 is the most urgent priority.
  int Priority = 0;
  /// The time after which the request is refused.
  time_point Deadline;
  /// The time until which a response is worth most to the caller. Without a
  /// soft timeout it is not before `Deadline`.
  time_point SoftDeadline;
  /// The expected time that the backend server needs to process the request.
  duration ProcessingTime{0};
  /// By how much the processing time usually differs from the expected one.
  duration Deviation{0};
};

/// The two classes of requests of one priority, in the order in which they are
/// served. Requests of one class are served in the order of arrival, so that a
/// new request never makes an admitted one of its priority late.
enum class queue_class {
  /// The request is expected to meet its soft deadline.
  InTime,
  /// The request cannot meet its soft deadline, and takes only the room that
  /// others leave.
  Late,
};

/// How the requests of one priority are ordered and admitted.
enum class queue_policy {
  /// By arrival. A request that cannot meet its soft deadline is admitted if it
  /// can meet its deadline.
  Arrival,
  /// By class and then by arrival, with a floor for each priority.
  Usefulness,
};

/// The requests that wait for one backend server.
class admission_queue {
public:
  /// Applies to the requests that are offered, popped or displaced from now on.
  void setPolicy(queue_policy Value) { Policy = Value; }
  /// Returns the time until the queued request at a position may start, if the
  /// rate of the server is limited.
  using start_delay = std::function<duration(size_t Position)>;

  static duration noDelay(size_t) { return duration{0}; }

  /// Returns the class in which a request that arrives now is expected to be
  /// served, or nothing if it would have too little time left before its
  /// deadline. Counts the work queued ahead of it and the work that usually
  /// arrives and overtakes it. `LinkTime` is the time that the response spends
  /// on the network link after the request is processed.
  std::optional<queue_class> admits(const queued_request &Request,
                                    uint32_t Slots, uint32_t Running,
                                    time_point Now,
                                    duration LinkTime = duration{0},
                                    const start_delay &DelayOf = noDelay) const;
  /// Records the arrival of the request and queues it if `admits` names a
  /// class; returns that class.
  std::optional<queue_class> offer(const queued_request &Request,
                                   uint32_t Slots, uint32_t Running,
                                   time_point Now,
                                   duration LinkTime = duration{0},
                                   const start_delay &DelayOf = noDelay);
  /// Adds a request, whether or not `admits` holds for it.
  void push(const queued_request &Request,
            queue_class Class = queue_class::InTime);
  /// Removes and returns the next request to run, or nothing if the queue is
  /// empty. Requests ahead of it that have too little time left before their
  /// deadlines are removed as well and appended to `TooLate`.
  std::optional<dispatch_id> pop(time_point Now,
                                 std::vector<dispatch_id> &TooLate);
  /// Removes a request. Returns false if it is not queued.
  bool remove(dispatch_id Id);
  /// Removes all requests that will have too little time left before their
  /// deadlines when they may start, and appends them to `TooLate`.
  void expire(time_point Now, std::vector<dispatch_id> &TooLate,
              const start_delay &DelayOf = noDelay);
  /// Removes all requests for which no room is expected any more, since more
  /// urgent requests or requests in time have arrived, and returns them.
  std::vector<dispatch_id> takeDisplaced(uint32_t Slots, time_point Now);
  /// Returns when there is room for a request of this priority that goes behind
  /// all others of it.
  room_forecast forecast(int Priority, uint32_t Slots, time_point Now) const;
  /// Returns the number of queued requests.
  size_t size() const { return Waiting.size(); }
  /// Returns the expected processing time of all queued requests together.
  duration queuedProcessingTime() const { return QueuedProcessingTime; }

private:
  struct queue_key {
    int Priority = 0;
    queue_class Class = queue_class::InTime;
    dispatch_id Id = 0;

    auto operator<=>(const queue_key &) const = default;
  };
  using queue_map = std::map<queue_key, queued_request>;

  /// The queued requests that are served before a new one.
  struct requests_ahead {
    size_t Count = 0;
    duration ProcessingTime{0};
    /// The part of `ProcessingTime` that is of the priority of the new one.
    duration OfPriority{0};
  };

  requests_ahead countAhead(int Priority, queue_class Class) const;
  /// `admits` for `queue_policy::Arrival`.
  bool admitsByArrival(const queued_request &Request, uint32_t Slots,
                       uint32_t Running, time_point Now, duration LinkTime,
                       const start_delay &DelayOf) const;
  /// Returns the time until a request is served behind the given work, either
  /// in its turn or by the floor of its priority.
  duration expectedDelay(const queued_request &Request, queue_class Class,
                         const requests_ahead &Ahead, uint32_t Slots,
                         time_point Now) const;
  /// Returns whether a queued request is expected to start in time, in its turn
  /// or by the floor of its priority. `Left` is the result of `slotsLeft`.
  bool fitsBehind(const queued_request &Request, queue_class Class,
                  const requests_ahead &Ahead, double Slots, double Left,
                  time_point Now) const;
  /// The slots that are left over by the work that usually overtakes a request.
  double slotsLeft(int Priority, queue_class Class, double Slots,
                   time_point Now) const;
  /// The time until a request is served by the floor of its priority.
  duration delayByFloor(const queued_request &Request, queue_class Class,
                        duration WorkAhead, double Slots, time_point Now) const;
  /// The next request to run: the most urgent one, unless the floor of a less
  /// urgent priority is due. The queue must not be empty.
  queue_map::iterator nextToRun();
  /// Returns whether a request that starts at `Now` has too little time left
  /// before its deadline, compared with its expected processing time.
  static bool isTooLate(const queued_request &Request, time_point Now);
  /// Returns whether a request with a soft timeout that starts at `Now` misses
  /// its soft deadline.
  static bool missesSoftDeadline(const queued_request &Request, time_point Now);
  queue_map::iterator erase(queue_map::iterator Position);
  /// Moves requests that can no longer be expected to meet their soft deadlines
  /// to the second class.
  void demoteLate(time_point Now);

  queue_policy Policy = queue_policy::Usefulness;
  queue_map Waiting;
  /// The sum of `queued_request::ProcessingTime` over all queued requests.
  duration QueuedProcessingTime{0};
  priority_demand Demand;
  priority_floor Floor;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_ADMISSION_ADMISSION_QUEUE_HPP
