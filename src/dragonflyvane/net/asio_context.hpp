/// The Boost.Asio context behind `event_loop`; for sources of this library.
#ifndef DRAGONFLYVANE_NET_ASIO_CONTEXT_HPP
#define DRAGONFLYVANE_NET_ASIO_CONTEXT_HPP

#include "dragonflyvane/net/endpoint.hpp"
#include "dragonflyvane/net/event_loop.hpp"

#include <utility> // Boost.Asio 1.74 needs it first.

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>

namespace dragonflyvane {

struct event_loop::context {
  boost::asio::io_context Io{1};
  boost::asio::signal_set Signals{Io};
  boost::asio::signal_set Reloads{Io};
};

/// The library's form of an address. Throws when it is no IP number.
inline boost::asio::ip::tcp::endpoint toAsio(const endpoint &Endpoint) {
  return {boost::asio::ip::make_address(Endpoint.Address), Endpoint.Port};
}

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NET_ASIO_CONTEXT_HPP
