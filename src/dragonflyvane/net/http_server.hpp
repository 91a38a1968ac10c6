/// An HTTP/1.1 server on Boost.Beast's parser and the event loop. It hands over
/// whole requests, which may be answered later.
#ifndef DRAGONFLYVANE_NET_HTTP_SERVER_HPP
#define DRAGONFLYVANE_NET_HTTP_SERVER_HPP

#include "dragonflyvane/core/admission/bulk_pacer.hpp"
#include "dragonflyvane/net/endpoint.hpp"
#include "dragonflyvane/net/event_loop.hpp"
#include "dragonflyvane/net/http_exchange.hpp"

#include <chrono>
#include <memory>

namespace dragonflyvane {

/// Limits that hostile or broken callers meet.
struct http_limits {
  size_t MaxBodyBytes = size_t{8} << 20;
  size_t MaxHeaderBytes = size_t{32} << 10;
  /// Time to send a whole head, and between two pieces of a body.
  std::chrono::milliseconds HeaderTimeout{10'000};
  /// How long a connection may wait for its next request.
  std::chrono::milliseconds IdleTimeout{60'000};
};

/// A listening server. The handler is called on the event loop's thread.
///
///     http_server Server(Loop, {"127.0.0.1", 8080}, {}, [](auto Exchange) {
///       Exchange->answer({200, {}, "hello\n"});
///     });
class http_server {
public:
  /// Listens at once; with a pacer, large answers go out in pieces. Throws
  /// `step_error` when the address is taken.
  http_server(event_loop &Loop, const endpoint &Listen,
              const http_limits &Limits, http_handler Handler,
              bulk_pacer *Pacer = nullptr);
  ~http_server();
  http_server(const http_server &) = delete;
  http_server &operator=(const http_server &) = delete;

  /// Takes effect for what begins from now on.
  void setLimits(const http_limits &Limits);
  /// From now on answers end their connections, and so do idle connections.
  void startClosing();
  /// Whether some answer has not left whole yet.
  bool isWriting() const;

private:
  class implementation;
  std::shared_ptr<implementation> Implementation;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NET_HTTP_SERVER_HPP
