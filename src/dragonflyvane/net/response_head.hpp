/// Checks of the head of a response that Boost.Beast's parser leaves to its
/// user. Internal to this library.
#ifndef DRAGONFLYVANE_NET_RESPONSE_HEAD_HPP
#define DRAGONFLYVANE_NET_RESPONSE_HEAD_HPP

#include <utility> // Must precede the headers of Boost.Asio 1.74.

#include <boost/beast/http/message.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace dragonflyvane {

/// The head of a response, as the parser has read it.
using response_head = boost::beast::http::response_header<>;

/// Returns why a response with this head cannot be used; nothing if it can.
/// `Bytes` are those from which the head was read.
std::optional<std::string> describeFault(const response_head &Head,
                                         std::string_view Bytes);

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NET_RESPONSE_HEAD_HPP
