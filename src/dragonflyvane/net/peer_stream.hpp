/// The state of one HTTP/2 stream of a connection between daemons. Internal to
/// this library.
#ifndef DRAGONFLYVANE_NET_PEER_STREAM_HPP
#define DRAGONFLYVANE_NET_PEER_STREAM_HPP

#include "dragonflyvane/core/admission/bulk_pacer.hpp"
#include "dragonflyvane/core/admission/receive_credit.hpp"
#include "dragonflyvane/core/clock.hpp"
#include "dragonflyvane/core/http_message.hpp"
#include "dragonflyvane/core/memory_budget.hpp"
#include "dragonflyvane/net/call_result.hpp"
#include "dragonflyvane/net/peer_fields.hpp"
#include "dragonflyvane/net/silence_policy.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace dragonflyvane {

/// The body that a stream sends.
struct outgoing_body {
  message_body Body;
  size_t Offset = 0;
  /// Set for a body that is sent in pieces.
  bulk_transfer Transfer;
  /// Bytes of the current piece that are not sent yet.
  size_t SendableBytes = 0;
  /// The number of the message's last byte among all bytes that the
  /// connection sends, once it is queued.
  std::optional<uint64_t> EndPosition;
};

/// The request and response of a stream. The client fills `Response` from the
/// received frames, the server `Request`.
struct peer_stream {
  /// Receives the result of a call; may be called from within
  /// `peer_connection::call`.
  using call_callback = std::function<void(call_result)>;

  http_request Request;
  http_response Response;
  /// The size of the received head, with a part for each field.
  size_t HeadBytes = 0;
  /// What has been received of the body.
  std::string Received;
  /// The memory that the received head and body take.
  memory_share ReceivedShare;
  /// What the peer tells of the message.
  message_facts Facts;
  /// Set once body bytes were received that a pacer of the incoming link
  /// bounds.
  std::unique_ptr<receive_credit> Credit;
  /// Server: the bytes of the request's fields and body that were read, and
  /// when the last of them were.
  size_t BytesRead = 0;
  time_point LastReadAt{};
  /// When the send time of the message arrived, and how late it was then;
  /// none if the peer sends no time.
  std::optional<time_point> HeaderArrivedAt;
  duration HeaderDelay{0};
  /// Whether the message from the peer has arrived completely.
  bool HasArrived = false;
  /// Whether the response was passed to the session.
  bool IsResponding = false;
  /// Whether this side resets the stream.
  bool IsRejected = false;
  outgoing_body Out;
  silence_policy Policy = silence_policy::End;
  call_callback Callback;
  std::shared_ptr<class peer_exchange> Exchange;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NET_PEER_STREAM_HPP
