/// An asynchronous HTTP/1.1 client on Boost.Beast's parser and the event loop.
#ifndef DRAGONFLYVANE_NET_HTTP_CLIENT_HPP
#define DRAGONFLYVANE_NET_HTTP_CLIENT_HPP

#include "dragonflyvane/core/http_message.hpp"
#include "dragonflyvane/net/call_result.hpp"
#include "dragonflyvane/net/endpoint.hpp"
#include "dragonflyvane/net/event_loop.hpp"

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace dragonflyvane {

/// How a request is sent.
struct call_options {
  /// From now to the whole response.
  std::chrono::milliseconds Timeout{10'000};
  /// From now to a connection.
  std::chrono::milliseconds ConnectTimeout{500};
  /// A kept connection is used only if it was idle for less than this.
  std::chrono::milliseconds MaxIdle{4000};
  /// Asked once connected, just before the request's first byte; false ends
  /// the call as `NotSent`.
  std::function<bool()> MaySend;
  /// Whether a response belongs to this request; one that does not is skipped,
  /// as a late answer to an earlier request. None accepts all.
  std::function<bool(const http_response &)> MatchesRequest;
};

/// A client with a pool of connections. Never repeats a request by itself.
/// Calls back on the event loop's thread.
class http_client {
public:
  explicit http_client(event_loop &Loop,
                       size_t MaxBodyBytes = size_t{64} << 20);
  ~http_client();
  http_client(const http_client &) = delete;
  http_client &operator=(const http_client &) = delete;

  using callback = std::function<void(call_result)>;

  call_id send(const endpoint &Peer, const http_request &Request,
               call_options Options, callback Callback);
  /// Ends a call by closing its connection; it is not called back.
  void cancel(call_id Id);

private:
  class implementation;
  std::shared_ptr<implementation> Implementation;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NET_HTTP_CLIENT_HPP
