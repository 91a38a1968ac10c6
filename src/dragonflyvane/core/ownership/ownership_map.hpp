/// The owners of the keys of a service: ranges of key points with owner and
/// fencing token, kept in one row of the store and changed by compare-and-set.
#ifndef DRAGONFLYVANE_CORE_OWNERSHIP_OWNERSHIP_MAP_HPP
#define DRAGONFLYVANE_CORE_OWNERSHIP_OWNERSHIP_MAP_HPP

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace dragonflyvane {

/// The position of a key, from 0 to `LastPoint`.
using key_point = uint32_t;
/// The largest key point.
inline constexpr key_point LastPoint = 65535;

/// One run of a backend server. A restarted server holds none of the state of
/// its earlier incarnations.
struct server_incarnation {
  /// The id of the server's instance.
  std::string Instance;
  /// The start time in milliseconds since the epoch, by the server's own clock;
  /// 0 if the server does not report it.
  int64_t StartedAtMs = 0;

  auto operator<=>(const server_incarnation &) const = default;
};

/// Adjacent key points with one owner.
struct owned_range {
  /// The first key point of the range.
  key_point First = 0;
  /// The last key point of the range, inclusive.
  key_point Last = LastPoint;
  /// The host whose backend server owns the range; empty if it is unowned.
  std::string Owner;
  /// The incarnation of the backend server that the range was assigned to.
  server_incarnation Incarnation;
  /// The fencing token, which increases with each change of owner or
  /// incarnation.
  uint64_t Token = 0;
  /// The handover: the text that the last owner sent when it released the range
  /// and that the next owner receives; empty if there was no release.
  std::string Handover;
  /// The host that the range is planned to move to; empty if it stays.
  std::string NextOwner;

  /// Returns the number of key points.
  key_point size() const { return Last - First + 1; }
  bool operator==(const owned_range &) const = default;
};

/// The ranges of one service in ascending order, without gaps, over all key
/// points.
struct ownership_map {
  /// Initially one unowned range over all key points.
  std::vector<owned_range> Ranges = {owned_range{}};
  /// The era of the store in which the map was written.
  uint64_t Era = 0;
  /// The lineage of a map that a host has written again after the store came
  /// back from an older copy, and that is not settled yet; else 0.
  uint64_t RestoredFrom = 0;

  /// Returns the range that contains the key point.
  const owned_range &find(key_point Point) const;
  /// Splits the range that contains the key point so that a range begins at it.
  void splitBefore(key_point Point);
  /// Merges adjacent ranges that differ only in their key points.
  void mergeAdjacent();
  bool operator==(const ownership_map &) const = default;
};

/// Returns the fencing token for a change to a map whose row has this version.
/// It is larger than all tokens written before.
inline uint64_t nextToken(uint64_t RowVersion) { return RowVersion + 1; }

/// Encodes the map as the value of its row.
std::string encodeMap(const ownership_map &Map);
/// Decodes the value of a row. Throws `step_error` if the text is not a map or
/// its ranges overlap or leave gaps.
ownership_map decodeMap(const std::string &Text);

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_OWNERSHIP_OWNERSHIP_MAP_HPP
