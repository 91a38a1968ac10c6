/// How calls to other processes end.
#ifndef DRAGONFLYVANE_NET_CALL_RESULT_HPP
#define DRAGONFLYVANE_NET_CALL_RESULT_HPP

#include "dragonflyvane/core/http_message.hpp"

#include <cstdint>
#include <string>

namespace dragonflyvane {

/// How a call ended.
enum class call_outcome {
  /// The whole response is here.
  Completed,
  /// The other side refused the connection: nothing listens there.
  ConnectionRefused,
  /// No byte of the request left this process.
  NotSent,
  /// The request may have been received; there is no whole response.
  ConnectionLost,
  /// As `ConnectionLost`, since the time ran out.
  TimedOut,
};

/// The end of a call.
struct call_result {
  call_outcome Outcome = call_outcome::ConnectionLost;
  http_response Response;
  std::string Error;
};

/// Identifies a call for `cancel`.
using call_id = uint64_t;

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NET_CALL_RESULT_HPP
