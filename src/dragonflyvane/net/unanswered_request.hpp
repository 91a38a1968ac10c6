/// Reports connections that end before a request on them is answered.
#ifndef DRAGONFLYVANE_NET_UNANSWERED_REQUEST_HPP
#define DRAGONFLYVANE_NET_UNANSWERED_REQUEST_HPP

#include "dragonflyvane/core/clock.hpp"
#include "dragonflyvane/core/http_message.hpp"

#include <cstddef>
#include <functional>
#include <string>

namespace dragonflyvane {

/// How far a request had come when its connection or stream ended.
enum class request_phase {
  /// Bytes of it have arrived and are not read.
  Unread,
  /// A part of it has been read.
  Receiving,
  /// It was read completely, and has no response.
  Serving,
  /// Its response was not written completely.
  Responding
};

/// Returns the name of a phase in logs and metrics, such as `receiving`.
std::string toString(request_phase Phase);

/// A request whose connection or stream ended without a complete response.
struct unanswered_request {
  request_phase Phase = request_phase::Receiving;
  /// The header fields of the request; empty before they have arrived.
  header_list Headers;
  /// The bytes of the request that were read, and those of the response that
  /// were written, as far as that is known.
  size_t BytesRead = 0;
  size_t BytesWritten = 0;
  /// The time since bytes of the request were last read.
  duration SinceLastRead{0};
  /// Why the connection or stream ended, such as `caller closed`.
  std::string Reason;
};

/// Called for each request that ends without a complete response.
using unanswered_callback = std::function<void(const unanswered_request &)>;

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NET_UNANSWERED_REQUEST_HPP
