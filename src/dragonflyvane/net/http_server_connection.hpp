/// One connection of an HTTP server; for sources of this library.
#ifndef DRAGONFLYVANE_NET_HTTP_SERVER_CONNECTION_HPP
#define DRAGONFLYVANE_NET_HTTP_SERVER_CONNECTION_HPP

#include "dragonflyvane/core/clock.hpp"
#include "dragonflyvane/net/asio_context.hpp"
#include "dragonflyvane/net/http_server.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace dragonflyvane {

/// What all connections of a server share.
struct http_server_state {
  http_limits Limits;
  http_handler Handler;
  bulk_pacer *Pacer = nullptr;
  bool Closing = false;
};

/// Reads one request after the other; a read is always pending, so that a
/// caller that leaves is noticed while its request is served.
class http_server_connection
    : public std::enable_shared_from_this<http_server_connection> {
public:
  using socket = boost::asio::ip::tcp::socket;

  http_server_connection(socket Socket,
                         std::shared_ptr<http_server_state> State)
      : Socket(std::move(Socket)), State(std::move(State)) {}

  void start();
  void close();
  /// Ends a connection whose time is up.
  void checkTime(time_point Now);
  bool isOpen() const { return Open; }
  bool isWriting() const { return Open && Phase == phase::Writing; }

private:
  class exchange;
  using parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  enum class phase { Idle, Reading, Serving, Writing };

  void readMore();
  void onBytes(size_t Size);
  void parse();
  void beginRequest();
  void onParseError(const boost::system::error_code &Error);
  void askForBody();
  void serve();
  void answer(http_response Response);
  void write(std::string Head, std::string Body, bool KeepAlive);
  void writePiece(size_t Offset, bool KeepAlive);
  void onWritten(bool KeepAlive);

  socket Socket;
  std::shared_ptr<http_server_state> State;
  boot_clock Clock;
  phase Phase = phase::Idle;
  bool Open = true;
  bool ReadPending = false;
  bool KeepAlive = true;
  bool IsHeadRequest = false;
  bool ContinueSent = false;
  time_point LastStep{};
  boost::beast::flat_buffer Buffer;
  std::optional<parser> Parser;
  std::weak_ptr<exchange> Current;
  std::string OutHead;
  std::string OutBody;
  /// Set while a large body goes out in pieces.
  bulk_transfer Transfer;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NET_HTTP_SERVER_CONNECTION_HPP
