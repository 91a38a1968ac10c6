/// Who owns which keys of a service: ranges of points with owner and fencing
/// token, kept as one row of the store and changed by compare-and-set.
#ifndef DRAGONFLYVANE_CORE_OWNERSHIP_OWNERSHIP_MAP_HPP
#define DRAGONFLYVANE_CORE_OWNERSHIP_OWNERSHIP_MAP_HPP

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace dragonflyvane {

/// The place of a key, from 0 to `LastPoint`.
using key_point = uint32_t;
inline constexpr key_point LastPoint = 65535;

/// One start of a backend server. A restarted one knows nothing of before.
struct server_incarnation {
  std::string Instance;
  /// When it started, in milliseconds since the epoch, by its own clock.
  int64_t StartedAtMs = 0;

  auto operator<=>(const server_incarnation &) const = default;
};

/// A run of points with one owner.
struct owned_range {
  key_point First = 0;
  /// The last point, included.
  key_point Last = LastPoint;
  /// The host whose backend server owns it; empty when nobody does.
  std::string Owner;
  /// The life that the range was given to.
  server_incarnation Incarnation;
  /// Rises with each change of owner or life.
  uint64_t Token = 0;
  /// What the last owner said when it released the range; empty if it did not.
  std::string Handover;
  /// The host that the range is to move to; empty when it stays.
  std::string NextOwner;

  key_point size() const { return Last - First + 1; }
  bool operator==(const owned_range &) const = default;
};

/// Ranges in order, without gaps, over all points.
struct ownership_map {
  std::vector<owned_range> Ranges = {owned_range{}};

  const owned_range &find(key_point Point) const;
  /// Cuts so that a range begins at the point.
  void splitBefore(key_point Point);
  /// Joins neighbours that differ in nothing but their points.
  void mergeAdjacent();
  bool operator==(const ownership_map &) const = default;
};

/// The token of a change to a map whose row has this version: larger than any
/// token written before.
inline uint64_t nextToken(uint64_t RowVersion) { return RowVersion + 1; }

std::string encodeMap(const ownership_map &Map);
/// Throws `step_error` if the text is no map without gaps.
ownership_map decodeMap(const std::string &Text);

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_OWNERSHIP_OWNERSHIP_MAP_HPP
