/// One HTTP/2 connection between two daemons, either side of it, on nghttp2.
#ifndef DRAGONFLYVANE_NET_PEER_CONNECTION_HPP
#define DRAGONFLYVANE_NET_PEER_CONNECTION_HPP

#include "dragonflyvane/core/admission/bulk_pacer.hpp"
#include "dragonflyvane/core/clock.hpp"
#include "dragonflyvane/core/http_message.hpp"
#include "dragonflyvane/net/asio_context.hpp"
#include "dragonflyvane/net/call_result.hpp"
#include "dragonflyvane/net/http_exchange.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nghttp2/nghttp2.h>

#include <map>
#include <memory>
#include <string>

namespace dragonflyvane {

/// Which side of the connection this process is.
enum class peer_role { Client, Server };

/// A connection with its streams. It ends itself when the other side stays
/// silent although it was asked (HTTP/2 PING).
class peer_connection : public std::enable_shared_from_this<peer_connection> {
public:
  using socket = boost::asio::ip::tcp::socket;
  using stream_id = int32_t;
  using call_callback = std::function<void(call_result)>;

  /// With a pacer, large bodies go out in pieces.
  peer_connection(socket Socket, peer_role Role, size_t MaxBodyBytes,
                  http_handler Handler, bulk_pacer *Pacer = nullptr);
  ~peer_connection();
  peer_connection(const peer_connection &) = delete;
  peer_connection &operator=(const peer_connection &) = delete;

  /// Begins to read and write on a connected socket.
  void start();
  /// Ends the connection; open calls are lost.
  void close(const std::string &Why);
  bool isOpen() const { return Open; }
  bool isIdle() const { return Streams.empty(); }
  time_point lastUse() const { return LastRead; }

  /// Client: sends a request on a stream of its own.
  stream_id call(const http_request &Request, call_callback Callback);
  /// Client: gives a call up.
  void cancel(stream_id Id);
  /// Server: answers a stream.
  void answer(stream_id Id, const http_response &Response);

private:
  struct outgoing_body {
    std::string Bytes;
    size_t Offset = 0;
    /// Set for a body that goes out in pieces.
    bulk_transfer Transfer;
    /// Bytes that may go now.
    size_t Allowed = 0;
  };
  struct stream {
    http_request Request;
    http_response Response;
    outgoing_body Out;
    call_callback Callback;
    std::shared_ptr<class peer_exchange> Exchange;
  };

  void setUpSession();
  void readMore();
  void readNow();
  void onRead(const uint8_t *Data, size_t Size);
  void flush();
  void setBody(outgoing_body &Out, const std::string &Bytes);
  void awaitPiece(stream_id Id, outgoing_body &Body);
  void checkSilence();
  /// The stream, made if it is new.
  stream &openStream(stream_id Id);
  void submit(stream_id Id, stream &Stream, const header_list &Pseudo,
              const header_list &Headers);
  void onHeader(stream_id Id, std::string Name, std::string Value);
  void onData(stream_id Id, const uint8_t *Data, size_t Size);
  void onMessageEnd(stream_id Id);
  void onStreamClose(stream_id Id, uint32_t ErrorCode);
  void finishCall(stream &Stream, call_outcome Outcome,
                  const std::string &Error);

  static ssize_t readBody(nghttp2_session *, int32_t, uint8_t *Buffer,
                          size_t Length, uint32_t *Flags,
                          nghttp2_data_source *Source, void *);
  static nghttp2_session_callbacks *makeCallbacks();

  socket Socket;
  boost::asio::steady_timer SilenceTimer;
  boot_clock Clock;
  peer_role Role;
  size_t MaxBodyBytes;
  http_handler Handler;
  bulk_pacer *Pacer;
  nghttp2_session *Session = nullptr;
  bool Open = true;
  bool Writing = false;
  bool Feeding = false;
  std::string WriteBuffer;
  time_point LastRead;
  /// When there were streams again after a time without.
  time_point QuietSince;
  time_point PingSent;
  bool CheckingSilence = false;
  bool PingPending = false;
  std::map<stream_id, stream> Streams;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NET_PEER_CONNECTION_HPP
