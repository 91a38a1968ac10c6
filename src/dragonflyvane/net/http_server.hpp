/// An HTTP/1.1 server on the event loop, with Boost.Beast's parser. It passes
/// whole requests to a handler, which may respond later.
#ifndef DRAGONFLYVANE_NET_HTTP_SERVER_HPP
#define DRAGONFLYVANE_NET_HTTP_SERVER_HPP

#include "dragonflyvane/core/admission/bulk_pacer.hpp"
#include "dragonflyvane/core/endpoint.hpp"
#include "dragonflyvane/net/event_loop.hpp"
#include "dragonflyvane/net/http_exchange.hpp"
#include "dragonflyvane/net/link_monitor.hpp"
#include "dragonflyvane/net/stoppable_server.hpp"
#include "dragonflyvane/net/unanswered_request.hpp"

#include <chrono>
#include <memory>

namespace dragonflyvane {

/// Limits that protect a server from hostile or faulty callers. Besides, a
/// request for whose body the loop has no memory is refused with status 503.
struct http_limits {
  /// Larger request bodies are refused with status 413.
  size_t MaxBodyBytes = size_t{8} << 20;
  /// Larger request headers are refused with status 431.
  size_t MaxHeaderBytes = size_t{32} << 10;
  /// A request is refused with status 408 if receiving its header takes longer
  /// than this, or if no part of its body arrives for this long.
  std::chrono::milliseconds HeaderTimeout{10'000};
  /// A connection is closed if its next request does not begin within this
  /// time, or if the caller takes no part of a response that is being written
  /// for this long.
  std::chrono::milliseconds IdleTimeout{60'000};
};

/// A listening server. Used on the event loop's thread, on which it also calls
/// the handler.
///
///     http_server Server(Loop, {"127.0.0.1", 8080}, {}, [](auto Exchange) {
///       Exchange->respond({200, {}, "hello\n"});
///     });
class http_server final : public stoppable_server {
public:
  /// Listens at once. With a pacer, large responses are sent in pieces. A
  /// monitor learns what arrives from other hosts. Throws `step_error` if the
  /// endpoint cannot be bound, as when it is in use.
  http_server(event_loop &Loop, const endpoint &Listen,
              const http_limits &Limits, http_handler Handler,
              bulk_pacer *Pacer = nullptr, link_monitor *Monitor = nullptr);
  /// Closes the listening socket and all connections.
  ~http_server() override;
  http_server(const http_server &) = delete;
  http_server &operator=(const http_server &) = delete;

  /// Sets new limits. Sizes apply to requests that begin later, timeouts to all
  /// connections.
  void setLimits(const http_limits &Limits);
  /// Sets the function that is called for each request whose connection ends
  /// without a complete response, also when the server is destroyed.
  void onUnanswered(unanswered_callback Callback);

  /// Closes each connection after its next response. Idle connections stay
  /// open, since a request may be on its way.
  void startClosing() override;
  void stopAccepting() override;
  /// Responds with status 503 to the requests that have not arrived completely.
  void refuseArriving() override;
  void finishClosing() override;
  server_activity activity() const override;

private:
  class implementation;
  std::shared_ptr<implementation> Implementation;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NET_HTTP_SERVER_HPP
