/// Calls between daemons over HTTP/2: a client with one connection to each
/// peer, and a server for connections of peers.
#ifndef DRAGONFLYVANE_NET_PEER_TRANSPORT_HPP
#define DRAGONFLYVANE_NET_PEER_TRANSPORT_HPP

#include "dragonflyvane/core/endpoint.hpp"
#include "dragonflyvane/net/call_result.hpp"
#include "dragonflyvane/net/event_loop.hpp"
#include "dragonflyvane/net/http_exchange.hpp"
#include "dragonflyvane/net/peer_options.hpp"
#include "dragonflyvane/net/silence_policy.hpp"
#include "dragonflyvane/net/stoppable_server.hpp"
#include "dragonflyvane/net/unanswered_request.hpp"

#include <memory>

namespace dragonflyvane {

/// Calls other daemons. The connection to a peer is opened by the first call to
/// it, and replaced by the next call after it closed or the peer began to close
/// it; then it closes once its calls have ended. If the peer falls silent while
/// calls wait, another connection is opened at once, and takes further calls.
/// The waiting calls end if the peer refuses that connection, if only it is
/// answered, or if the silence lasts. Never retries a request. Used on the
/// event loop's thread, on which it also calls back.
class peer_client {
public:
  /// A call whose response body exceeds `MaxBodyBytes` ends as
  /// `ConnectionLost`.
  peer_client(event_loop &Loop, size_t MaxBodyBytes,
              const peer_options &Options = {});
  /// Closes all connections; open calls are not called back.
  ~peer_client();
  peer_client(const peer_client &) = delete;
  peer_client &operator=(const peer_client &) = delete;

  /// Receives the result of a call; may be called before `send` has returned.
  using callback = std::function<void(call_result)>;

  /// Sends a request. The timeout covers opening a connection, sending the
  /// request and receiving the whole response. A call whose last byte was not
  /// sent ends as `NotSent` when the peer falls silent, whatever the policy.
  call_id send(const endpoint &Peer, http_request Request,
               std::chrono::milliseconds Timeout, callback Callback,
               silence_policy Policy = silence_policy::End);
  /// Cancels a call without calling back. Does nothing if the call has ended.
  void cancel(call_id Id);

private:
  class implementation;
  std::shared_ptr<implementation> Implementation;
};

/// Accepts connections of other daemons. Used on the event loop's thread, on
/// which it also calls the handler.
class peer_server final : public stoppable_server {
public:
  /// Listens at once. The stream of a request whose body exceeds `MaxBodyBytes`
  /// is reset. Throws `step_error` if the endpoint cannot be bound, as when it
  /// is in use.
  peer_server(event_loop &Loop, const endpoint &Listen, size_t MaxBodyBytes,
              http_handler Handler, const peer_options &Options = {});
  /// Closes the listening socket and all connections.
  ~peer_server() override;
  peer_server(const peer_server &) = delete;
  peer_server &operator=(const peer_server &) = delete;

  /// Sets the function that is called for each request whose stream ends
  /// without a complete response, also when the server is destroyed. Requests
  /// that were refused are not reported.
  void onUnanswered(unanswered_callback Callback);

  /// Has no effect: peers are told when no more connections are accepted.
  void startClosing() override {}
  /// Also asks the peers to begin no more requests on their connections. Those
  /// that are on their way already are served.
  void stopAccepting() override;
  void refuseArriving() override;
  /// Also tells the peers which requests are certainly not processed.
  void finishClosing() override;
  server_activity activity() const override;

private:
  class implementation;
  std::shared_ptr<implementation> Implementation;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NET_PEER_TRANSPORT_HPP
