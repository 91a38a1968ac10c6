/// Takes the memory for the body of a message while Boost.Beast parses it.
/// Internal to this library.
#ifndef DRAGONFLYVANE_NET_BODY_MEMORY_HPP
#define DRAGONFLYVANE_NET_BODY_MEMORY_HPP

#include "dragonflyvane/core/memory_budget.hpp"

#include <utility> // Must precede the headers of Boost.Asio 1.74.

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace dragonflyvane {

/// To be called each time the parser has taken bytes. Takes memory for the
/// whole body once its length is known, and otherwise for what has arrived.
/// Returns false if there is not enough; the message must be given up then.
/// Lets the parser go on with the body, so it must not be eager at first.
template <bool IsRequest>
[[nodiscard]] bool
reserveBody(boost::beast::http::parser<IsRequest,
                                       boost::beast::http::string_body> &Parser,
            memory_share &Share) {
  if (!Parser.is_header_done())
    return true;
  Parser.eager(true);
  // A response to HEAD states a length, but has no body.
  auto Length = Parser.is_done() ? boost::none : Parser.content_length();
  return Share.resize(Length ? static_cast<size_t>(*Length)
                             : Parser.get().body().size());
}

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NET_BODY_MEMORY_HPP
