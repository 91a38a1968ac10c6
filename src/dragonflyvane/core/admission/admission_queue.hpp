/// Queue of the requests that wait for a slot of a backend server, ordered by
/// priority and then by arrival. A request that is expected to finish too late
/// is refused at once.
#ifndef DRAGONFLYVANE_CORE_ADMISSION_ADMISSION_QUEUE_HPP
#define DRAGONFLYVANE_CORE_ADMISSION_ADMISSION_QUEUE_HPP

#include "dragonflyvane/core/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>
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
  /// The time until which a response is worth most to the caller.
  time_point SoftDeadline;
  /// The expected time that the backend server needs to process the request.
  duration ProcessingTime{0};
};

/// The requests that wait for one backend server.
class admission_queue {
public:
  /// Returns whether a request that arrives now is expected to finish by its
  /// soft deadline, given the slots and the work queued ahead of it. If even an
  /// immediate start would miss the soft deadline, the deadline counts instead.
  /// The soft deadline limits the queue, since under lasting overload a longer
  /// queue would not serve more requests, only delay each of them. `LinkTime`
  /// is the time that the response spends on the network link after the request
  /// is processed. `TokenDelay` is the time until the request may start at its
  /// place in the queue if the rate of the server is limited.
  bool admits(const queued_request &Request, uint32_t Slots, uint32_t Running,
              time_point Now, duration LinkTime = duration{0},
              duration TokenDelay = duration{0}) const;
  /// Returns the number of queued requests that run before a new request of
  /// this priority.
  size_t countAhead(int Priority) const;
  /// Adds a request, whether or not `admits` holds for it.
  void push(const queued_request &Request);
  /// Removes and returns the next request to run, or nothing if the queue is
  /// empty. Requests ahead of it that have too little time left before their
  /// deadlines are removed as well and appended to `TooLate`.
  std::optional<dispatch_id> pop(time_point Now,
                                 std::vector<dispatch_id> &TooLate);
  /// Removes a request. Returns false if it is not queued.
  bool remove(dispatch_id Id);
  /// Returns the time until the queued request at a position may start.
  using start_delay = std::function<duration(size_t Position)>;
  /// Removes all requests that will have too little time left before their
  /// deadlines when they may start, and appends them to `TooLate`.
  void expire(
      time_point Now, std::vector<dispatch_id> &TooLate,
      const start_delay &DelayOf = [](size_t) { return duration{0}; });
  /// Returns the number of queued requests.
  size_t size() const { return Waiting.size(); }
  /// Returns the expected processing time of all queued requests together.
  duration queuedProcessingTime() const { return QueuedProcessingTime; }

private:
  using queue_key = std::pair<int, dispatch_id>;
  /// Returns the expected processing time of the queued requests that run
  /// before a new request of this priority.
  duration processingTimeAhead(int Priority) const;
  /// Returns whether a request that starts at `Now` has too little time left
  /// before its deadline, compared with its expected processing time.
  static bool isTooLate(const queued_request &Request, time_point Now);

  std::map<queue_key, queued_request> Waiting;
  /// The sum of `queued_request::ProcessingTime` over all queued requests.
  duration QueuedProcessingTime{0};
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_ADMISSION_ADMISSION_QUEUE_HPP
