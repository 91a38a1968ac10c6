#include "dragonflyvane/core/clock.hpp"

#include <ctime>

namespace dragonflyvane {

time_point boot_clock::now() const {
  timespec Reading{};
  clock_gettime(CLOCK_BOOTTIME, &Reading);
  return time_point(std::chrono::seconds(Reading.tv_sec) +
                    std::chrono::nanoseconds(Reading.tv_nsec));
}

} // namespace dragonflyvane
