#include "dragonflyvane/net/http_client.hpp"

#include "dragonflyvane/core/clock.hpp"
#include "dragonflyvane/net/asio_context.hpp"
#include "dragonflyvane/net/body_memory.hpp"
#include "dragonflyvane/net/http_wire.hpp"
#include "dragonflyvane/net/response_head.hpp"
#include "dragonflyvane/net/stream_end.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <array>
#include <map>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace dragonflyvane {

namespace {

namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;
using response_parser = http::response_parser<http::string_body>;

constexpr size_t ReadSize = size_t{16} << 10;
/// Number of responses to other requests that a call skips before it fails.
constexpr int MaxMismatchedResponses = 2;
/// Time for the response to a request after one that may be the response to it.
constexpr std::chrono::milliseconds UnprovenTimeout{500};
/// Bounds the head of a response, and all interim responses before it together.
constexpr uint32_t MaxHeaderBytes = 64U << 10;
/// The parser takes bytes of a body at once, but a chunk's size line and a
/// trailer only as a whole.
constexpr size_t MaxUnparsedBytes = MaxHeaderBytes + ReadSize;
/// A connection is reused only until this long before the server closes it, so
/// that no request crosses the close.
constexpr std::chrono::milliseconds KeepAliveMargin{500};

} // namespace

class http_client::implementation
    : public std::enable_shared_from_this<implementation> {
public:
  implementation(event_loop &Loop, size_t MaxBodyBytes)
      : Loop(Loop), MaxBodyBytes(MaxBodyBytes) {}

  call_id send(const endpoint &Remote, const http_request &Request,
               call_options Options, callback Callback);
  void cancel(call_id Id);
  void closeAll();

private:
  struct connection;
  using connection_pointer = std::shared_ptr<connection>;

  /// A connection with at most one call at a time. Once connected, it always
  /// has a pending read, so that a close by the server is noticed while idle.
  struct connection {
    connection(boost::asio::io_context &Io, endpoint Remote)
        : Socket(Io), Timer(Io), Remote(std::move(Remote)) {}

    tcp::socket Socket;
    boost::asio::steady_timer Timer;
    endpoint Remote;
    /// The call in progress; 0 while the connection is idle.
    call_id CallId = 0;
    call_options Options;
    callback Callback;
    bool IsHeadRequest = false;
    /// Whether writing the request has begun.
    bool Sent = false;
    /// Whether a part of the request is still to be written.
    bool IsWriting = false;
    /// The error of the first write that failed.
    boost::system::error_code WriteError;
    bool Closed = false;
    int MismatchedResponses = 0;
    /// Whether a response has arrived on the connection.
    bool HasResponded = false;
    time_point IdleSince{};
    /// The time for which the server keeps the connection open while it is
    /// idle, if its last response says so.
    std::optional<std::chrono::seconds> KeepAliveTimeout;
    /// The time at which `Timer` ends the call.
    time_point Deadline{};
    /// The request. Changes only while `IsWriting` is false.
    std::string OutHead;
    message_body OutBody;
    /// How much of the request the socket has taken.
    size_t WrittenBytes = 0;
    boost::beast::flat_buffer Buffer;
    std::optional<response_parser> Parser;
    /// The fields of the response's head. The parser adds those of a trailer to
    /// its own.
    header_list Headers;
    /// What the parser has taken of the response, and the size of the interim
    /// responses before it.
    size_t ParsedBytes = 0;
    size_t InterimBytes = 0;
    /// What the body of the response takes.
    memory_share BodyShare;
  };

  /// Takes the most recently used idle connection from the pool. Closes it and
  /// tries the next one if it cannot be reused; returns null if none is left.
  connection_pointer takeIdle(const endpoint &Remote,
                              const call_options &Options);
  /// Whether an idle connection is open, and stays so until a request that is
  /// sent now has arrived.
  bool isReusable(connection &C, const call_options &Options) const;
  /// Whether the server has neither closed the connection nor sent bytes that
  /// are not read yet.
  static bool isQuiet(connection &C);
  void closeOldestIdle(const endpoint &Remote);
  void connect(const connection_pointer &C);
  void onConnected(const connection_pointer &C,
                   const boost::system::error_code &Error);
  void write(const connection_pointer &C);
  void writeSome(const connection_pointer &C);
  void awaitWritable(const connection_pointer &C);
  void readMore(const connection_pointer &C);
  void onRead(const connection_pointer &C,
              const boost::system::error_code &Error, size_t Size);
  void parse(const connection_pointer &C);
  /// Lets the parser take bytes of the buffer. Returns why they are no response
  /// that can be used; nothing if they may be one. `Error` is the parser's.
  std::optional<std::string> parseSome(connection &C,
                                       boost::system::error_code &Error);
  void resetParser(connection &C);
  void onResponse(const connection_pointer &C);
  /// Whether the response belongs to the call in progress.
  static response_match matchOf(connection &C, const http_response &Response);
  void skipInterim(const connection_pointer &C);
  void skipResponse(const connection_pointer &C, response_match Match,
                    bool KeepAlive);
  void onClosed(const connection_pointer &C,
                const boost::system::error_code &Error);
  /// Closes the connection and ends its call.
  void fail(const connection_pointer &C, call_outcome Outcome,
            const std::string &Error);
  /// Ends the call as `NotSent` once `send` has returned.
  void failLater(const connection_pointer &C, const std::string &Error);
  /// Ends the call and returns an open connection to the pool.
  void finish(const connection_pointer &C, call_result Result);
  static void close(connection &C);
  void removeIdle(const connection_pointer &C);
  void setTimer(const connection_pointer &C, duration Delay);

  event_loop &Loop;
  size_t MaxBodyBytes;
  boot_clock Clock;
  call_id LastId = 0;
  std::unordered_map<call_id, connection_pointer> Calls;
  std::map<endpoint, std::vector<connection_pointer>> IdleConnections;
};

call_id http_client::implementation::send(const endpoint &Remote,
                                          const http_request &Request,
                                          call_options Options,
                                          callback Callback) {
  connection_pointer C;
  if (Options.MayReuse)
    C = takeIdle(Remote, Options);
  else
    closeOldestIdle(Remote);
  bool IsNew = !C;
  if (IsNew)
    C = std::make_shared<connection>(Loop.internals().Io, Remote);
  C->CallId = ++LastId;
  C->IsHeadRequest = Request.Method == "HEAD";
  C->OutHead = encodeHead(Request);
  C->OutBody = Request.Body;
  C->Sent = false;
  C->MismatchedResponses = 0;
  C->InterimBytes = 0;
  C->Callback = std::move(Callback);
  duration InitialTimeout =
      IsNew ? std::min(Options.ConnectTimeout, Options.Timeout)
            : Options.Timeout;
  C->Options = std::move(Options);
  Calls[C->CallId] = C;
  setTimer(C, InitialTimeout);
  resetParser(*C);
  if (!IsNew)
    write(C);
  else if (C->Options.MayConnect)
    connect(C);
  else
    failLater(C, "no open connection");
  return C->CallId;
}

http_client::implementation::connection_pointer
http_client::implementation::takeIdle(const endpoint &Remote,
                                      const call_options &Options) {
  auto Found = IdleConnections.find(Remote);
  while (Found != IdleConnections.end() && !Found->second.empty()) {
    connection_pointer C = Found->second.back();
    Found->second.pop_back();
    if (isReusable(*C, Options))
      return C;
    close(*C);
  }
  return nullptr;
}

bool http_client::implementation::isReusable(
    connection &C, const call_options &Options) const {
  duration MaxIdle = Options.MaxIdle;
  if (C.KeepAliveTimeout)
    MaxIdle =
        std::min<duration>(MaxIdle, *C.KeepAliveTimeout - KeepAliveMargin);
  return !C.Closed && Clock.now() - C.IdleSince < MaxIdle && isQuiet(C);
}

bool http_client::implementation::isQuiet(connection &C) {
  // The pending read notices a close only when the event loop runs again.
  std::array<char, 1> Byte{};
  boost::system::error_code Error;
  C.Socket.receive(boost::asio::buffer(Byte), tcp::socket::message_peek, Error);
  return Error == boost::asio::error::would_block;
}

void http_client::implementation::closeOldestIdle(const endpoint &Remote) {
  auto Found = IdleConnections.find(Remote);
  if (Found == IdleConnections.end() || Found->second.empty())
    return;
  close(*Found->second.front());
  Found->second.erase(Found->second.begin());
}

void http_client::implementation::connect(const connection_pointer &C) {
  C->Socket.async_connect(toAsio(C->Remote),
                          [Weak = weak_from_this(), C](auto Error) {
                            if (auto Self = Weak.lock())
                              Self->onConnected(C, Error);
                          });
}

void http_client::implementation::onConnected(
    const connection_pointer &C, const boost::system::error_code &Error) {
  if (C->Closed)
    return;
  if (Error) {
    bool Refused = Error == boost::asio::error::connection_refused;
    return fail(
        C, Refused ? call_outcome::ConnectionRefused : call_outcome::NotSent,
        Error.message());
  }
  boost::system::error_code Ignored;
  C->Socket.set_option(tcp::no_delay(true), Ignored);
  C->Socket.non_blocking(true, Ignored);
  setTimer(C, C->Options.Timeout);
  write(C);
  if (!C->Closed)
    readMore(C);
}

void http_client::implementation::write(const connection_pointer &C) {
  if (C->Options.MaySend && !C->Options.MaySend())
    return failLater(C, "request may no longer be sent");
  C->Sent = true;
  C->IsWriting = true;
  C->WrittenBytes = 0;
  writeSome(C);
}

/// Writes what the socket takes at once, and the rest when it takes more. An
/// error does not end the call: the server may have responded before it closed
/// the connection.
void http_client::implementation::writeSome(const connection_pointer &C) {
  size_t HeadBytes = std::min(C->WrittenBytes, C->OutHead.size());
  std::array<boost::asio::const_buffer, 2> Buffers = {
      boost::asio::buffer(C->OutHead) + HeadBytes,
      boost::asio::buffer(C->OutBody.text()) + (C->WrittenBytes - HeadBytes)};
  boost::system::error_code Error;
  C->WrittenBytes += C->Socket.write_some(Buffers, Error);
  if (Error && Error != boost::asio::error::would_block)
    C->WriteError = Error;
  bool IsWhole = C->WrittenBytes == C->OutHead.size() + C->OutBody.size();
  if (!IsWhole && !C->WriteError)
    return awaitWritable(C);
  C->IsWriting = false;
  C->OutBody = {};
}

void http_client::implementation::awaitWritable(const connection_pointer &C) {
  C->Socket.async_wait(tcp::socket::wait_write,
                       [Weak = weak_from_this(), C](auto) {
                         auto Self = Weak.lock();
                         if (Self && !C->Closed)
                           Self->writeSome(C);
                       });
}

void http_client::implementation::failLater(const connection_pointer &C,
                                            const std::string &Error) {
  Loop.post([Weak = weak_from_this(), C, Id = C->CallId, Error] {
    auto Self = Weak.lock();
    if (Self && C->CallId == Id && !C->Closed)
      Self->fail(C, call_outcome::NotSent, Error);
  });
}

void http_client::implementation::readMore(const connection_pointer &C) {
  C->Socket.async_read_some(
      C->Buffer.prepare(ReadSize),
      [Weak = weak_from_this(), C](auto Error, size_t Size) {
        auto Self = Weak.lock();
        if (Self && !C->Closed)
          Self->onRead(C, Error, Size);
      });
}

void http_client::implementation::onRead(const connection_pointer &C,
                                         const boost::system::error_code &Error,
                                         size_t Size) {
  if (Error)
    return onClosed(C, Error);
  C->Buffer.commit(Size);
  if (C->CallId == 0) {
    // Bytes outside a call would be taken for the next response.
    close(*C);
    return removeIdle(C);
  }
  parse(C);
  if (!C->Closed)
    readMore(C);
}

void http_client::implementation::resetParser(connection &C) {
  C.Parser.emplace();
  C.Parser->header_limit(MaxHeaderBytes);
  C.Parser->body_limit(MaxBodyBytes);
  C.Parser->skip(C.IsHeadRequest);
  C.Headers = {};
  C.ParsedBytes = 0;
  C.BodyShare = memory_share(Loop.bodyMemory());
}

void http_client::implementation::parse(const connection_pointer &C) {
  while (C->CallId != 0 && C->Buffer.size() > 0 && !C->Closed) {
    boost::system::error_code Error;
    auto Fault = parseSome(*C, Error);
    if (Fault)
      return fail(C, call_outcome::ConnectionLost, *Fault);
    if (C->Parser->is_done())
      onResponse(C);
    else if (Error == http::error::need_more)
      return;
  }
}

std::optional<std::string>
http_client::implementation::parseSome(connection &C,
                                       boost::system::error_code &Error) {
  bool HadHead = C.Parser->is_header_done();
  boost::asio::const_buffer Bytes = C.Buffer.data();
  size_t Consumed = C.Parser->put(Bytes, Error);
  C.Buffer.consume(Consumed);
  C.ParsedBytes += Consumed;
  if (Error == http::error::need_more && C.Buffer.size() > MaxUnparsedBytes)
    return "a line of the response is too long";
  if (Error && Error != http::error::need_more)
    return "invalid response: " + Error.message();
  if (!HadHead && C.Parser->is_header_done()) {
    std::string_view Head(static_cast<const char *>(Bytes.data()), Consumed);
    auto Fault = describeFault(C.Parser->get(), Head);
    if (Fault)
      return "invalid response: " + *Fault;
    C.Headers = toHeaders(C.Parser->get());
  }
  if (!reserveBody(*C.Parser, C.BodyShare))
    return "no memory for the body of the response";
  return std::nullopt;
}

void http_client::implementation::onResponse(const connection_pointer &C) {
  auto &Message = C->Parser->get();
  call_result Result;
  Result.Outcome = call_outcome::Completed;
  Result.Response.Status = static_cast<int>(Message.result_int());
  Result.Response.Headers = std::move(C->Headers);
  Result.Response.Body = {std::move(Message.body()), std::move(C->BodyShare)};
  bool KeepAlive = Message.keep_alive();
  if (Result.Response.Status < 200)
    return skipInterim(C);
  C->KeepAliveTimeout = keepAliveTimeout(Result.Response.Headers);
  response_match Match = matchOf(*C, Result.Response);
  if (Match != response_match::Matches)
    return skipResponse(C, Match, KeepAlive);
  // Bytes after the response would be taken for the next response. A server
  // that responds before it has read the request would take the next request
  // for the rest of it.
  if (!KeepAlive || C->Buffer.size() > 0 || C->IsWriting || C->WriteError)
    close(*C);
  finish(C, std::move(Result));
}

response_match
http_client::implementation::matchOf(connection &C,
                                     const http_response &Response) {
  bool IsFirst = !std::exchange(C.HasResponded, true);
  if (!C.Options.Match)
    return response_match::Matches;
  return C.Options.Match(Response, IsFirst);
}

void http_client::implementation::skipInterim(const connection_pointer &C) {
  C->InterimBytes += C->ParsedBytes;
  if (C->InterimBytes > MaxHeaderBytes)
    return fail(C, call_outcome::ConnectionLost, "too many interim responses");
  resetParser(*C);
}

void http_client::implementation::skipResponse(const connection_pointer &C,
                                               response_match Match,
                                               bool KeepAlive) {
  if (++C->MismatchedResponses > MaxMismatchedResponses || !KeepAlive)
    return fail(C, call_outcome::ConnectionLost, "response to another request");
  if (Match == response_match::Unproven)
    setTimer(C, std::min<duration>(C->Deadline - Clock.now(), UnprovenTimeout));
  resetParser(*C);
}

void http_client::implementation::onClosed(
    const connection_pointer &C, const boost::system::error_code &Error) {
  if (C->CallId == 0) {
    close(*C);
    return removeIdle(C);
  }
  // A response without a length ends when the server ends its stream.
  if (isOrderlyEnd(Error, C->WriteError) && C->Parser->got_some() &&
      C->Parser->is_header_done()) {
    boost::system::error_code ParseError;
    C->Parser->put_eof(ParseError);
    if (!ParseError && C->Parser->is_done())
      return onResponse(C);
  }
  const auto &Cause = C->WriteError ? C->WriteError : Error;
  fail(C, C->Sent ? call_outcome::ConnectionLost : call_outcome::NotSent,
       Cause.message());
}

void http_client::implementation::fail(const connection_pointer &C,
                                       call_outcome Outcome,
                                       const std::string &Error) {
  close(*C);
  finish(C, {Outcome, {}, Error});
}

void http_client::implementation::finish(const connection_pointer &C,
                                         call_result Result) {
  C->Timer.cancel();
  Calls.erase(C->CallId);
  C->CallId = 0;
  callback Callback = std::exchange(C->Callback, nullptr);
  if (!C->Closed) {
    C->IdleSince = Clock.now();
    IdleConnections[C->Remote].push_back(C);
  }
  if (Callback)
    Callback(std::move(Result));
}

void http_client::implementation::close(connection &C) {
  C.Closed = true;
  boost::system::error_code Ignored;
  C.Socket.close(Ignored);
  C.Timer.cancel();
  // Pending operations keep the connection; the memory is free at once.
  C.OutBody = {};
  C.Parser.reset();
  C.Headers = {};
  C.BodyShare = {};
}

void http_client::implementation::removeIdle(const connection_pointer &C) {
  auto Found = IdleConnections.find(C->Remote);
  if (Found != IdleConnections.end())
    std::erase(Found->second, C);
}

void http_client::implementation::setTimer(const connection_pointer &C,
                                           duration Delay) {
  C->Deadline = Clock.now() + Delay;
  C->Timer.expires_after(Delay);
  C->Timer.async_wait([Weak = weak_from_this(), C, Id = C->CallId](auto Error) {
    auto Self = Weak.lock();
    if (Error || !Self || C->CallId != Id || C->Closed)
      return;
    Self->fail(C, C->Sent ? call_outcome::TimedOut : call_outcome::NotSent,
               "timed out");
  });
}

void http_client::implementation::cancel(call_id Id) {
  auto Found = Calls.find(Id);
  if (Found == Calls.end())
    return;
  connection_pointer C = Found->second;
  C->Callback = nullptr;
  fail(C, call_outcome::ConnectionLost, "cancelled");
}

void http_client::implementation::closeAll() {
  for (auto &[Id, C] : Calls)
    close(*C);
  for (auto &[Remote, Connections] : IdleConnections)
    for (const connection_pointer &C : Connections)
      close(*C);
  Calls.clear();
  IdleConnections.clear();
}

http_client::http_client(event_loop &Loop, size_t MaxBodyBytes)
    : Implementation(std::make_shared<implementation>(Loop, MaxBodyBytes)) {}

http_client::~http_client() { Implementation->closeAll(); }

call_id http_client::send(const endpoint &Remote, const http_request &Request,
                          call_options Options, callback Callback) {
  return Implementation->send(Remote, Request, std::move(Options),
                              std::move(Callback));
}

void http_client::cancel(call_id Id) { Implementation->cancel(Id); }

} // namespace dragonflyvane
