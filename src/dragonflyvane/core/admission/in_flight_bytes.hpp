/// Bounds the bytes of the requests that a backend server holds at once, since
/// a server crashes if they exceed its memory.
#ifndef DRAGONFLYVANE_CORE_ADMISSION_IN_FLIGHT_BYTES_HPP
#define DRAGONFLYVANE_CORE_ADMISSION_IN_FLIGHT_BYTES_HPP

#include "dragonflyvane/core/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <limits>

namespace dragonflyvane {

/// Counts the bytes of the request bodies in flight to one server. The
/// allowance for them starts low, and rises a little above what the server held
/// when it completed a request. A crash cuts it, and keeps it below what the
/// server held then for a limited time, because the crash may have had another
/// cause; the time doubles with each crash.
class in_flight_bytes {
public:
  /// Whether a body is so small that it always passes and is not counted: all
  /// slots of a server together hold few bytes of such bodies.
  static bool isSmall(size_t Bytes) { return Bytes <= SmallBody; }
  /// Returns whether a request with a body of this size may be sent now. Always
  /// true for a small body, and if no other body is in flight.
  bool admits(size_t Bytes) const;
  /// Returns how many requests with bodies of this size may be in flight at
  /// once; at least 1.
  uint32_t concurrencyOf(size_t Bytes) const;
  /// To be called when a request is sent.
  void onSent(size_t Bytes) { InFlight += countedBytes(Bytes); }
  /// To be called when a request has ended without a response.
  void onEnded(size_t Bytes) { InFlight -= countedBytes(Bytes); }
  /// To be called when the server has responded to a request.
  void onCompleted(size_t Bytes, time_point Now);
  /// To be called when the connection of a request was lost. The request has
  /// ended then.
  void onConnectionLost(size_t Bytes, time_point Now);
  /// To be called when the server's process has ended; repeated calls have no
  /// effect. Returns whether the allowance was cut: connections were lost
  /// shortly before, and the requests on them may have been the cause.
  bool onServerEnded(time_point Now);
  /// Returns the bytes in flight.
  size_t inFlight() const { return InFlight; }
  /// Returns the bytes that may be in flight at once.
  size_t allowance() const { return Allowance; }

private:
  static constexpr size_t SmallBody = size_t{16} << 10;
  static size_t countedBytes(size_t Bytes) {
    return isSmall(Bytes) ? 0 : Bytes;
  }
  /// Bytes that any server is expected to hold.
  static constexpr size_t InitialAllowance = size_t{256} << 10;

  size_t InFlight = 0;
  size_t Allowance = InitialAllowance;
  /// The most bytes that the server held when connections were lost lately.
  size_t HeldAtLoss = 0;
  time_point LostAt{};
  /// The allowance does not rise above this before `CeilingUntil`.
  size_t Ceiling = std::numeric_limits<size_t>::max();
  time_point CeilingUntil{};
  duration CeilingTime{0};
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_ADMISSION_IN_FLIGHT_BYTES_HPP
