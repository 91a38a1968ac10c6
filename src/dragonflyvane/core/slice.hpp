/// Slices: the unit of ownership. Keys hash to a fixed number of them for each
/// service.
#ifndef DRAGONFLYVANE_CORE_SLICE_HPP
#define DRAGONFLYVANE_CORE_SLICE_HPP

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace dragonflyvane {

/// One slice of one service.
struct slice_id {
  std::string Service;
  uint32_t Index = 0;

  auto operator<=>(const slice_id &) const = default;
};

/// Slices whose succession lists share one row of the table.
inline constexpr uint32_t SlicesPerRow = 32;

/// The slice of a key, by XXH3 over service and key.
///
///     uint32_t Index = sliceOf("bookings", "treadle-17", 4096);
uint32_t sliceOf(std::string_view Service, std::string_view Key,
                 uint32_t SliceCount);

/// The service whose slices are the homes of workspaces' token buckets. Every
/// host serves it.
inline constexpr const char *RateService = "@rate";
inline constexpr uint32_t RateSliceCount = 64;

/// The slice whose owner is the home of a workspace's bucket.
slice_id rateSliceOf(std::string_view Workspace);

/// A 64-bit hash of two texts, for rendezvous choices.
uint64_t rendezvousHash(std::string_view A, std::string_view B);

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_SLICE_HPP
