/// One connection of an HTTP/1.1 server. Internal to this library.
#ifndef DRAGONFLYVANE_NET_HTTP_SERVER_CONNECTION_HPP
#define DRAGONFLYVANE_NET_HTTP_SERVER_CONNECTION_HPP

#include "dragonflyvane/core/clock.hpp"
#include "dragonflyvane/core/refusal.hpp"
#include "dragonflyvane/net/asio_context.hpp"
#include "dragonflyvane/net/http_server.hpp"
#include "dragonflyvane/net/unanswered_request.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace dragonflyvane {

/// State that all connections of a server share.
struct http_server_state {
  http_limits Limits;
  http_handler Handler;
  /// The memory for the bodies of requests.
  memory_budget &BodyMemory;
  bulk_pacer *Pacer = nullptr;
  /// Whether connections close after their next response.
  bool Closing = false;
  /// Called for each request that ends without a complete response; may be
  /// empty.
  unanswered_callback OnUnanswered;
  /// Learns what arrives from other hosts.
  link_monitor *Monitor = nullptr;
};

/// A connection that serves one request at a time. A read stays pending while a
/// request is served, so that a disconnect of the caller is noticed; it pauses
/// when too many bytes of pipelined requests are buffered.
class http_server_connection
    : public std::enable_shared_from_this<http_server_connection> {
public:
  using socket = boost::asio::ip::tcp::socket;

  http_server_connection(socket Socket,
                         std::shared_ptr<http_server_state> State)
      : Socket(std::move(Socket)), State(std::move(State)) {}

  /// Begins to read from the accepted socket.
  void start();
  /// Closes the connection; a request that is being served is disconnected.
  /// `Reason` is reported if a request has no complete response.
  void close(const char *Reason);
  /// Closes the connection if the timeout of its phase has passed. A request
  /// that was being received is refused first.
  void checkTimeouts(time_point Now);
  /// Ends the connection if it is idle and no request has arrived.
  void endIfIdle();
  /// Refuses the request that is being received, if there is one.
  void refuseArriving();
  /// Whether a request is being received, or has to be expected on a new
  /// connection.
  bool isReceiving(time_point Now) const;
  /// Whether the connection has not been closed.
  bool isOpen() const { return Open; }
  /// Whether a response is being written.
  bool isWriting() const { return Open && Phase == phase::Writing; }

private:
  class exchange;
  using parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  /// `Idle`: waits for a request. `Reading`: receives it. `Serving`: waits for
  /// the handler to respond. `Writing`: sends the response. `Lingering`: closed
  /// for writing; discards what still arrives, since closing a connection with
  /// unread bytes would reset it and could take the response from the caller.
  enum class phase { Idle, Reading, Serving, Writing, Lingering };

  void readMore();
  void onRead(size_t Size);
  void parse();
  void beginRequest();
  /// Responds to a request that is not received completely, and closes the
  /// connection.
  void reject(int Status);
  void reject(const refusal &Refusal);
  void sendContinueIfExpected();
  void serve();
  void respond(http_response Response);
  void write(std::string Head, message_body Body, bool KeepOpen);
  void writePiece(size_t Offset, bool KeepOpen);
  /// The completion condition of a write of all bytes. It notes each time at
  /// which some of them were written.
  std::function<size_t(const boost::system::error_code &, size_t)>
  writeWithProgress();
  void onWritten(bool KeepOpen);
  bool hasUnreadBytes() const;
  /// Whether the server closes connections and no request follows on this one.
  bool mustCloseNow() const;
  /// The request that a close would leave without a complete response.
  std::optional<unanswered_request> unansweredRequest() const;
  /// The header fields of the current request, or of its response once there is
  /// one.
  header_list currentHeaders() const;
  /// Closes the connection for writing, and later for reading.
  void linger();

  socket Socket;
  /// The address of the caller in numeric form.
  std::string RemoteAddress;
  /// Whether the caller is on another host.
  bool IsRemote = false;
  std::shared_ptr<http_server_state> State;
  boot_clock Clock;
  phase Phase = phase::Idle;
  bool Open = true;
  bool ReadPending = false;
  /// Whether a request has begun to arrive since the connection was accepted.
  bool HasReceived = false;
  /// Whether the current request allows the connection to persist.
  bool KeepAlive = true;
  bool IsHeadRequest = false;
  bool ContinueSent = false;
  /// Start of the phase `Idle`, `Reading` or `Writing`, or the last time that
  /// body bytes were read or bytes were written in it.
  time_point LastProgress{};
  boost::beast::flat_buffer Buffer;
  std::optional<parser> Parser;
  /// What the body of the request takes.
  memory_share BodyShare;
  std::weak_ptr<exchange> CurrentExchange;
  /// The bytes of the current request that were read, and when the last of them
  /// were. While the connection lingers, the bytes that were discarded.
  size_t BytesRead = 0;
  time_point LastReadAt{};
  size_t BytesWritten = 0;
  /// Whether the connection lingers after a response, not after being idle.
  bool LingersAfterResponse = false;
  header_list OutHeaders;
  std::string OutHead;
  message_body OutBody;
  /// Set while a large body is sent in pieces.
  bulk_transfer Transfer;
  /// Whether the next piece waits for its turn, so that a lack of progress is
  /// not the caller's.
  bool AwaitsTurn = false;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NET_HTTP_SERVER_CONNECTION_HPP
