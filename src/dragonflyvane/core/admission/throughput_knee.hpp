/// Finds the number of requests in flight beyond which the throughput of a
/// server no longer grows.
#ifndef DRAGONFLYVANE_CORE_ADMISSION_THROUGHPUT_KNEE_HPP
#define DRAGONFLYVANE_CORE_ADMISSION_THROUGHPUT_KNEE_HPP

#include "dragonflyvane/core/clock.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace dragonflyvane {

/// A response of the server to a request.
struct server_response {
  std::string Route;
  duration TimeAtServer{0};
  /// The requests in flight when this one was sent, with this one.
  uint32_t InFlight = 1;
};

/// Compares responses that are close in time, so that a server which is slow
/// for a while (and has more requests in flight therefore) shows no knee.
class throughput_knee {
public:
  /// Sets the number of requests that the server runs at the same time.
  void setSlots(uint32_t Count) { Slots = Count; }
  /// Adds a response that arrived at `Now`.
  void observe(const server_response &Response, time_point Now);
  /// The number of requests in flight to allow, from 1 to the slots. A knee
  /// that was found long ago is checked again by allowing more at intervals.
  uint32_t limit(time_point Now) const;
  /// The same without the requests that a check allows at intervals.
  uint32_t settledLimit(time_point Now) const;

private:
  /// What the responses of one block of time show.
  struct comparison {
    /// The mean number in flight of the half with more requests in flight.
    double InFlight = 0;
    /// The number in flight that would give its throughput at the time at the
    /// server of the other half (Little's law).
    double Equivalent = 0;
  };

  /// Returns nothing if the numbers in flight hardly differ or stay far below
  /// those that are allowed.
  std::optional<comparison> compareHalves() const;
  void closeBlock(time_point Now);
  void decide(time_point Now);

  uint32_t Slots = 1;
  std::vector<server_response> Block;
  time_point BlockStart{};
  std::deque<comparison> Comparisons;
  /// The number of requests in flight beyond which throughput no longer grows;
  /// none if no such number was found.
  std::optional<uint32_t> Knee;
  time_point FoundAt{};
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_ADMISSION_THROUGHPUT_KNEE_HPP
