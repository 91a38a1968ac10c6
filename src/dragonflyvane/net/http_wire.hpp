/// Encodes HTTP/1.1 message heads, and converts the fields that Boost.Beast
/// parsed. Internal to this library, so that few sources include Boost.Beast.
#ifndef DRAGONFLYVANE_NET_HTTP_WIRE_HPP
#define DRAGONFLYVANE_NET_HTTP_WIRE_HPP

#include "dragonflyvane/core/http_message.hpp"

#include <utility> // Must precede the headers of Boost.Asio 1.74.

#include <boost/beast/http/fields.hpp>

#include <chrono>
#include <optional>
#include <string>

namespace dragonflyvane {

/// Encodes the status line and header fields of a response. With `HasLength` it
/// adds `Content-Length`: the value of that field if `Response` has it, as in
/// responses to HEAD, and the size of the body otherwise. Without `KeepAlive`
/// it adds `Connection: close`.
std::string encodeHead(const http_response &Response, bool KeepAlive,
                       bool HasLength);
/// Encodes the request line and header fields of a request. Adds
/// `Content-Length`, unless the body is empty and the method is one that
/// usually has no body: GET, HEAD, DELETE or OPTIONS.
std::string encodeHead(const http_request &Request);
/// Copies the header fields of a parsed message.
header_list toHeaders(const boost::beast::http::fields &Fields);
/// Whether the body of a message is in no transfer coding, or in the one that
/// Boost.Beast's parser decodes. With others, the parser finds a body that is
/// not the sender's.
bool hasKnownCoding(const boost::beast::http::fields &Fields);
/// Returns the parameter `timeout` of `Keep-Alive`: the time for which the
/// sender keeps the connection open while it is idle. Returns nothing if the
/// parameter is missing or malformed.
std::optional<std::chrono::seconds>
keepAliveTimeout(const header_list &Headers);

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NET_HTTP_WIRE_HPP
