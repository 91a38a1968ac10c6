/// The Boost.Asio context behind `event_loop`. Internal to this library, so
/// that public headers do not include Boost.Asio.
#ifndef DRAGONFLYVANE_NET_ASIO_CONTEXT_HPP
#define DRAGONFLYVANE_NET_ASIO_CONTEXT_HPP

#include "dragonflyvane/core/endpoint.hpp"
#include "dragonflyvane/net/event_loop.hpp"

#include <utility> // Must precede the headers of Boost.Asio 1.74.

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>

namespace dragonflyvane {

/// The I/O context and the signal sets of an event loop.
struct event_loop::context {
  boost::asio::io_context Io{1};
  boost::asio::signal_set TerminationSignals{Io};
  boost::asio::signal_set ReloadSignals{Io};
};

/// Converts an endpoint for Boost.Asio. Throws `boost::system::system_error` if
/// the address is not a numeric IP address.
inline boost::asio::ip::tcp::endpoint toAsio(const endpoint &Endpoint) {
  return {boost::asio::ip::make_address(Endpoint.Address), Endpoint.Port};
}

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NET_ASIO_CONTEXT_HPP
