/// An asynchronous HTTP/1.1 client on the event loop, with Boost.Beast's
/// parser.
#ifndef DRAGONFLYVANE_NET_HTTP_CLIENT_HPP
#define DRAGONFLYVANE_NET_HTTP_CLIENT_HPP

#include "dragonflyvane/core/endpoint.hpp"
#include "dragonflyvane/core/http_message.hpp"
#include "dragonflyvane/net/call_result.hpp"
#include "dragonflyvane/net/event_loop.hpp"

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace dragonflyvane {

/// Whether a response belongs to the request of a call.
enum class response_match {
  Matches,
  /// It belongs to an earlier request, and is skipped.
  Other,
  /// It may belong to this or to an earlier request. It is skipped, and the
  /// call times out unless a response that matches follows within half a
  /// second.
  Unproven,
};

/// Options of one call.
struct call_options {
  /// Time to send the request and receive the whole response, counted from when
  /// the connection is open. `ConnectTimeout` limits the time before that.
  std::chrono::milliseconds Timeout{10'000};
  /// Time to open a connection, at most `Timeout`.
  std::chrono::milliseconds ConnectTimeout{500};
  /// An idle connection is reused only if it was idle for less than this, and
  /// clearly less than the `Keep-Alive` timeout that the server stated. One on
  /// which the server has closed its side, or has sent bytes, is never reused.
  std::chrono::milliseconds MaxIdle{4000};
  /// Whether a connection may be opened. If not, and if there is no idle one,
  /// the call ends as `NotSent`.
  bool MayConnect = true;
  /// Whether an idle connection may be used. If not, a new one takes the place
  /// of the oldest idle one.
  bool MayReuse = true;
  /// Called once connected, just before the first byte is sent; if it returns
  /// false, the call ends as `NotSent`. If empty, the request is always sent.
  std::function<bool()> MaySend;
  /// Whether a response belongs to this request. `IsFirst` is true if it is the
  /// first response on its connection, so that it cannot belong to an earlier
  /// request. The third response that does not match, or one after which the
  /// server closes the connection, ends the call as `ConnectionLost`. If empty,
  /// every response matches.
  std::function<response_match(const http_response &, bool IsFirst)> Match;
};

/// A client with a pool of idle connections. Never retries a request. Used on
/// the event loop's thread, on which it also calls back.
class http_client {
public:
  /// A call whose response body exceeds `MaxBodyBytes`, or for whose body the
  /// loop has no memory, ends as `ConnectionLost`.
  explicit http_client(event_loop &Loop,
                       size_t MaxBodyBytes = size_t{64} << 20);
  /// Closes all connections; open calls are not called back.
  ~http_client();
  http_client(const http_client &) = delete;
  http_client &operator=(const http_client &) = delete;

  /// Receives the result of a call; never called before `send` has returned.
  using callback = std::function<void(call_result)>;

  /// Sends a request on an idle or a new connection.
  call_id send(const endpoint &Remote, const http_request &Request,
               call_options Options, callback Callback);
  /// Cancels a call without calling back, by closing its connection. Does
  /// nothing if the call has ended.
  void cancel(call_id Id);

private:
  class implementation;
  std::shared_ptr<implementation> Implementation;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NET_HTTP_CLIENT_HPP
