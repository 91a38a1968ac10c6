#include "dragonflyvane/core/admission/return_schedule.hpp"

#include <algorithm>

namespace dragonflyvane {

namespace {

/// No caller is told to return later than this. Demand changes within seconds,
/// so a longer forecast would be wrong.
constexpr std::chrono::seconds MaxReturnDelay{5};
/// Callers wait for at most their time left divided by this, whatever they are
/// told.
constexpr int MaxWaitDivisor = 3;

} // namespace

duration return_schedule::reserve(const refused_request &Request,
                                  const room_forecast &Forecast,
                                  time_point Now) {
  time_point ReturnAt = Now + Forecast.UntilRoom;
  for (const auto &[Priority, Until] : ReservedUntil) {
    if (Priority > Request.Priority)
      break;
    ReturnAt = std::max(ReturnAt, Until);
  }
  duration Delay = ReturnAt - Now;
  if (Delay <= Request.TimeLeft / MaxWaitDivisor)
    ReservedUntil[Request.Priority] =
        ReturnAt +
        std::chrono::duration_cast<duration>(Request.Work / Forecast.SlotsLeft);
  return std::min<duration>(Delay, MaxReturnDelay);
}

} // namespace dragonflyvane
