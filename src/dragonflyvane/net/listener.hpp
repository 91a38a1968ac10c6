/// A listening socket. Internal to this library.
#ifndef DRAGONFLYVANE_NET_LISTENER_HPP
#define DRAGONFLYVANE_NET_LISTENER_HPP

#include "dragonflyvane/core/endpoint.hpp"
#include "dragonflyvane/net/asio_context.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>

namespace dragonflyvane {

/// Accepts connections until it is closed.
class listener : public std::enable_shared_from_this<listener> {
public:
  using socket = boost::asio::ip::tcp::socket;

  /// `OnAccepted` is called for each connection.
  listener(event_loop &Loop, std::function<void(socket)> OnAccepted)
      : Loop(Loop), Acceptor(Loop.internals().Io),
        OnAccepted(std::move(OnAccepted)) {}

  /// Begins to listen. Throws `step_error` if the endpoint cannot be bound, as
  /// when it is in use.
  void listen(const endpoint &Listen);
  /// Accepts the connections that are established already, which closing the
  /// socket would reset, and then closes it.
  void acceptWaitingAndClose();
  /// Closes the socket.
  void close();

private:
  void accept();

  event_loop &Loop;
  boost::asio::ip::tcp::acceptor Acceptor;
  std::function<void(socket)> OnAccepted;
  timer RetryTimer;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NET_LISTENER_HPP
