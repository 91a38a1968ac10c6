/// A request that is being served, independent of the protocol it came by.
#ifndef DRAGONFLYVANE_NET_HTTP_EXCHANGE_HPP
#define DRAGONFLYVANE_NET_HTTP_EXCHANGE_HPP

#include "dragonflyvane/core/clock.hpp"
#include "dragonflyvane/core/http_message.hpp"

#include <functional>
#include <memory>
#include <string>

namespace dragonflyvane {

/// Why an exchange closes before it has a response.
enum class disconnect_cause {
  /// The caller has left, or the peer has cancelled the request.
  Cancelled,
  /// The connection to the peer has ended, which says nothing about the
  /// request.
  ConnectionEnded
};

/// One request of a caller or peer, with at most one response.
class http_exchange {
public:
  virtual ~http_exchange() = default;
  /// The request, with its whole body.
  virtual const http_request &request() const = 0;
  /// The address that the connection comes from, in numeric form; empty if it
  /// is unknown.
  virtual std::string remoteAddress() const { return ""; }
  /// How much longer than usual the request of a peer was on its way, up to the
  /// arrival of its last byte; zero if it is not known.
  virtual duration transitDelay() const { return duration{0}; }
  /// Sends a whole response. Does nothing if the connection or stream has
  /// closed, or a response was sent already.
  virtual void respond(http_response Response) = 0;
  /// Closes the connection without a response. Does nothing on HTTP/2, where
  /// other requests share the connection.
  virtual void closeConnection() {}
  /// Sets the callback that runs if the connection or stream closes before
  /// `respond`. It replaces an earlier callback, and never runs if the
  /// connection or stream has closed already.
  virtual void onDisconnect(std::function<void(disconnect_cause)> Callback) = 0;
};

/// A handler keeps the pointer until it responds. If it drops the pointer
/// earlier, the request gets no response.
using exchange_pointer = std::shared_ptr<http_exchange>;
/// Serves a request by calling `respond` on its exchange, at once or later.
using http_handler = std::function<void(exchange_pointer)>;

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NET_HTTP_EXCHANGE_HPP
