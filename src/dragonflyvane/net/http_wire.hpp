/// HTTP/1.1 messages as bytes; for sources of this library. Boost.Beast parses,
/// and is included in few sources.
#ifndef DRAGONFLYVANE_NET_HTTP_WIRE_HPP
#define DRAGONFLYVANE_NET_HTTP_WIRE_HPP

#include "dragonflyvane/core/http_message.hpp"

#include <utility> // Boost.Asio 1.74 needs it first.

#include <boost/beast/http/fields.hpp>

#include <string>

namespace dragonflyvane {

/// The head of a response, with a length unless the status has none. The length
/// is the body's, or that of the field if there is one, as in answers to HEAD.
std::string encodeHead(const http_response &Response, bool KeepAlive,
                       bool HasLength);
/// The head of a request, its length included.
std::string encodeHead(const http_request &Request);
/// Copies the fields of a parsed message.
header_list toHeaders(const boost::beast::http::fields &Fields);

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NET_HTTP_WIRE_HPP
