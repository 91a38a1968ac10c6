/// Requests that wait for a slot of a backend server: by priority, then by
/// arrival; what cannot be served in time is refused at once.
#ifndef DRAGONFLYVANE_CORE_ADMISSION_ADMISSION_QUEUE_HPP
#define DRAGONFLYVANE_CORE_ADMISSION_ADMISSION_QUEUE_HPP

#include "dragonflyvane/core/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace dragonflyvane {

/// Identifies a request at the door.
using dispatch_id = uint64_t;

/// A request that waits.
struct queued_request {
  dispatch_id Id = 0;
  /// 0 is the most urgent.
  int Priority = 0;
  time_point Deadline;
  /// Until when an answer is worth most to the caller.
  time_point SoftDeadline;
  /// How long a backend server works on its like.
  duration Work{0};
};

/// The queue of one backend server.
class admission_queue {
public:
  /// Whether a request that came now would end by its aim, or by its deadline
  /// if its aim has passed, given slots and the work ahead of it. In a lasting
  /// overload a longer queue serves no more requests, only later ones. `Link`
  /// is what the answer needs beyond that, on its way back.
  bool admits(const queued_request &Request, uint32_t Slots, uint32_t Running,
              time_point Now, duration Link = duration{0}) const;
  void push(const queued_request &Request);
  /// The next to run; those that would end too late go to `TooLate`.
  std::optional<dispatch_id> pop(time_point Now,
                                 std::vector<dispatch_id> &TooLate);
  void remove(dispatch_id Id);
  /// Takes out what cannot end in time any more.
  void expire(time_point Now, std::vector<dispatch_id> &TooLate);
  size_t size() const { return Waiting.size(); }
  /// The work of all that wait.
  duration work() const { return Work; }

private:
  using place = std::pair<int, dispatch_id>;
  duration workAhead(int Priority) const;
  static bool isTooLate(const queued_request &Request, time_point Now);

  std::map<place, queued_request> Waiting;
  duration Work{0};
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_ADMISSION_ADMISSION_QUEUE_HPP
