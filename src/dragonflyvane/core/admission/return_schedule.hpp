/// Decides when refused callers are told to return.
#ifndef DRAGONFLYVANE_CORE_ADMISSION_RETURN_SCHEDULE_HPP
#define DRAGONFLYVANE_CORE_ADMISSION_RETURN_SCHEDULE_HPP

#include "dragonflyvane/core/clock.hpp"

#include <map>

namespace dragonflyvane {

/// When a backend server is expected to have capacity for a request that is
/// refused now.
struct room_forecast {
  /// Time until the work that goes first is expected to be done.
  duration UntilRoom{0};
  /// The slots that requests which go first are expected to leave over.
  double SlotsLeft = 1;
};

/// A refused request.
struct refused_request {
  int Priority = 0;
  /// Its expected processing time.
  duration Work{0};
  /// Time until its deadline.
  duration TimeLeft{0};
};

/// Spreads the returns of refused callers over the room that is expected. Each
/// return reserves its work behind those of the same and of more urgent
/// priorities.
///
/// A caller returns after a third of its time left at the latest, whatever it
/// is told. A later time is given all the same, since a request that returns
/// earlier would be refused again, but it reserves nothing.
class return_schedule {
public:
  /// Returns the time after which the caller is told to return, and reserves
  /// room for it.
  duration reserve(const refused_request &Request,
                   const room_forecast &Forecast, time_point Now);

private:
  /// For each priority, the time at which the reserved room ends.
  std::map<int, time_point> ReservedUntil;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_ADMISSION_RETURN_SCHEDULE_HPP
