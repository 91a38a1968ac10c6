/// The Boost.Asio context behind `event_loop`; for sources of this library.
#ifndef DRAGONFLYVANE_NET_ASIO_CONTEXT_HPP
#define DRAGONFLYVANE_NET_ASIO_CONTEXT_HPP

#include "dragonflyvane/net/event_loop.hpp"

#include <utility> // Boost.Asio 1.74 needs it first.

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

namespace dragonflyvane {

struct event_loop::context {
  boost::asio::io_context Io{1};
  boost::asio::signal_set Signals{Io};
  boost::asio::signal_set Reloads{Io};
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NET_ASIO_CONTEXT_HPP
