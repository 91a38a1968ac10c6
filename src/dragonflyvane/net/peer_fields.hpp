/// The header fields of messages between daemons: those of HTTP/2, and a few
/// that only the connections at both ends see. Internal to this library.
#ifndef DRAGONFLYVANE_NET_PEER_FIELDS_HPP
#define DRAGONFLYVANE_NET_PEER_FIELDS_HPP

#include "dragonflyvane/core/clock.hpp"
#include "dragonflyvane/core/http_message.hpp"

#include <nghttp2/nghttp2.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace dragonflyvane {

/// When the sender passed a message to the connection, by its clock, and how
/// long it had waited there for the connection.
struct send_time {
  std::chrono::milliseconds SentAt{0};
  std::chrono::milliseconds Waited{0};
};

/// What a message tells the connection that receives it, besides its own
/// fields. Peers of earlier versions tell nothing.
struct message_facts {
  std::optional<send_time> SendTime;
  /// The size of the body in bytes; none if there is no body.
  std::optional<size_t> BodyBytes;
};

/// Returns all fields of a request that is sent now and has waited for the
/// connection.
header_list makeRequestFields(const http_request &Request, time_point Now,
                              duration Waited);
/// Returns all fields of a response that is sent now.
header_list makeResponseFields(const http_response &Response, time_point Now);
/// Returns the fields as nghttp2 takes them. `Fields` must outlive the result.
std::vector<nghttp2_nv> toNameValuePairs(header_list &Fields);
/// Whether the name and the value are those of a field in HTTP/2 (RFC 9113,
/// 8.2.1). In HTTP/1.1, others could end a line or a head.
bool isWellFormed(const std::string &Name, const std::string &Value);
/// Reads a field that only connections see. Returns false, and changes nothing,
/// if it is another one. Values that cannot be read are ignored.
bool readFact(const std::string &Name, const std::string &Value,
              message_facts &Facts);

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NET_PEER_FIELDS_HPP
