/// Calls between daemons: a client with one connection to each peer, and the
/// server they reach.
#ifndef DRAGONFLYVANE_NET_PEER_TRANSPORT_HPP
#define DRAGONFLYVANE_NET_PEER_TRANSPORT_HPP

#include "dragonflyvane/core/admission/bulk_pacer.hpp"
#include "dragonflyvane/net/call_result.hpp"
#include "dragonflyvane/net/endpoint.hpp"
#include "dragonflyvane/net/event_loop.hpp"
#include "dragonflyvane/net/http_exchange.hpp"

#include <memory>

namespace dragonflyvane {

/// Calls other daemons over HTTP/2 streams; one connection to each, made when
/// first needed and replaced when it fails. Used on the event loop's thread.
class peer_client {
public:
  peer_client(event_loop &Loop, size_t MaxBodyBytes);
  ~peer_client();
  peer_client(const peer_client &) = delete;
  peer_client &operator=(const peer_client &) = delete;

  using callback = std::function<void(call_result)>;

  call_id send(const endpoint &Peer, http_request Request,
               std::chrono::milliseconds Timeout, callback Callback);
  /// Gives a call up; it is not called back.
  void cancel(call_id Id);

private:
  class implementation;
  std::shared_ptr<implementation> Implementation;
};

/// Accepts connections of other daemons. The handler is called on the event
/// loop's thread.
class peer_server {
public:
  /// With a pacer, large answers go out in pieces. Throws `step_error` when
  /// the address is taken.
  peer_server(event_loop &Loop, const endpoint &Listen, size_t MaxBodyBytes,
              http_handler Handler, bulk_pacer *Pacer = nullptr);
  ~peer_server();
  peer_server(const peer_server &) = delete;
  peer_server &operator=(const peer_server &) = delete;

private:
  class implementation;
  std::shared_ptr<implementation> Implementation;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NET_PEER_TRANSPORT_HPP
