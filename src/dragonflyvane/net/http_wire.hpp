/// HTTP/1.1 messages as bytes; for sources of this library. Boost.Beast parses,
/// and is included in few sources.
#ifndef DRAGONFLYVANE_NET_HTTP_WIRE_HPP
#define DRAGONFLYVANE_NET_HTTP_WIRE_HPP

#include "dragonflyvane/core/http_message.hpp"

#include <utility> // Boost.Asio 1.74 needs it first.

#include <boost/beast/http/fields.hpp>

#include <string>

namespace dragonflyvane {

/// The head of a response, its length included. Fields that frame the message
/// are left out of `Response.Headers`.
std::string encodeHead(const http_response &Response, bool KeepAlive,
                       bool HasBody);
/// The head of a request, its length included.
std::string encodeHead(const http_request &Request);
/// Copies the fields of a parsed message.
header_list toHeaders(const boost::beast::http::fields &Fields);

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NET_HTTP_WIRE_HPP
