#include "dragonflyvane/net/http_server_connection.hpp"

#include "dragonflyvane/net/body_memory.hpp"
#include "dragonflyvane/net/http_wire.hpp"
#include "dragonflyvane/net/run_guarded.hpp"

#include <boost/asio/completion_condition.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>

namespace dragonflyvane {

namespace {

namespace http = boost::beast::http;

constexpr size_t ReadSize = size_t{8} << 10;
/// Reading pauses while more bytes of pipelined requests than this are
/// buffered.
constexpr size_t MaxPipelinedBytes = size_t{64} << 10;
/// A connection that is closed for writing is closed for reading after this
/// time, if the caller has not closed it.
constexpr std::chrono::milliseconds LingerTimeout{1000};
/// Time after which there is likely to be memory for a request again.
constexpr std::chrono::milliseconds NoMemoryRetryAfter{200};
/// A caller that has just opened a connection sends its request within this
/// time.
constexpr std::chrono::milliseconds FirstRequestTime{500};

int statusForParseError(const boost::system::error_code &Error) {
  if (Error == http::error::header_limit)
    return 431;
  if (Error == http::error::body_limit)
    return 413;
  return 400;
}

const char *readErrorReason(const boost::system::error_code &Error) {
  return Error == boost::asio::error::eof ? "caller closed" : "read failed";
}

bool hasConnectionClose(const http_response &Response) {
  auto ConnectionField = Response.Headers.find("connection");
  return ConnectionField && equalNames(*ConnectionField, "close");
}

} // namespace

/// The exchange of the request that is being served.
class http_server_connection::exchange final : public http_exchange {
public:
  exchange(std::shared_ptr<http_server_connection> Connection,
           http_request Request)
      : Connection(std::move(Connection)), Request(std::move(Request)) {}

  const http_request &request() const override { return Request; }

  std::string remoteAddress() const override {
    return Connection ? Connection->RemoteAddress : "";
  }

  void respond(http_response Response) override {
    OnDisconnect = nullptr;
    if (auto Target = std::exchange(Connection, nullptr))
      Target->respond(std::move(Response));
  }

  void closeConnection() override {
    OnDisconnect = nullptr;
    if (auto Target = std::exchange(Connection, nullptr))
      Target->close("closed by the handler");
  }

  void onDisconnect(std::function<void(disconnect_cause)> Callback) override {
    if (Connection)
      OnDisconnect = std::move(Callback);
  }

  void disconnect() {
    Connection = nullptr;
    if (auto Callback = std::exchange(OnDisconnect, nullptr))
      Callback(disconnect_cause::Cancelled);
  }

private:
  std::shared_ptr<http_server_connection> Connection;
  http_request Request;
  std::function<void(disconnect_cause)> OnDisconnect;
};

void http_server_connection::start() {
  boost::system::error_code Ignored;
  Socket.set_option(boost::asio::ip::tcp::no_delay(true), Ignored);
  auto Remote = Socket.remote_endpoint(Ignored);
  if (!Ignored)
    RemoteAddress = Remote.address().to_string();
  auto Local = Socket.local_endpoint(Ignored);
  IsRemote = Remote.address() != Local.address();
  LastProgress = Clock.now();
  readMore();
}

void http_server_connection::close(const char *Reason) {
  if (!Open)
    return;
  auto Unanswered = unansweredRequest();
  Open = false;
  if (Unanswered && State->OnUnanswered) {
    Unanswered->Reason = Reason;
    runGuarded("unanswered request", [&] { State->OnUnanswered(*Unanswered); });
  }
  boost::system::error_code Ignored;
  Socket.close(Ignored);
  Transfer = {};
  Parser.reset();
  BodyShare = {};
  if (auto Exchange = CurrentExchange.lock())
    Exchange->disconnect();
}

std::optional<unanswered_request>
http_server_connection::unansweredRequest() const {
  unanswered_request Request;
  switch (Phase) {
  case phase::Idle:
    if (!hasUnreadBytes())
      return std::nullopt;
    Request.Phase = request_phase::Unread;
    break;
  case phase::Lingering:
    if (LingersAfterResponse || BytesRead == 0)
      return std::nullopt;
    Request.Phase = request_phase::Unread;
    break;
  case phase::Reading:
    Request.Phase = request_phase::Receiving;
    break;
  case phase::Serving:
    Request.Phase = request_phase::Serving;
    break;
  case phase::Writing:
    Request.Phase = request_phase::Responding;
    break;
  }
  Request.Headers = currentHeaders();
  Request.BytesRead = BytesRead;
  Request.BytesWritten = BytesWritten;
  if (BytesRead > 0)
    Request.SinceLastRead = Clock.now() - LastReadAt;
  return Request;
}

header_list http_server_connection::currentHeaders() const {
  if (Phase == phase::Reading && Parser && Parser->is_header_done())
    return toHeaders(Parser->get());
  if (auto Exchange = CurrentExchange.lock())
    return Exchange->request().Headers;
  return Phase == phase::Writing ? OutHeaders : header_list();
}

void http_server_connection::checkTimeouts(time_point Now) {
  bool ReadTimedOut = Phase == phase::Reading &&
                      Now - LastProgress > State->Limits.HeaderTimeout;
  // A request may have arrived that is not read yet.
  bool IdleTimedOut = Phase == phase::Idle &&
                      Now - LastProgress > State->Limits.IdleTimeout &&
                      !hasUnreadBytes();
  bool WriteTimedOut = Phase == phase::Writing && !AwaitsTurn &&
                       Now - LastProgress > State->Limits.IdleTimeout;
  bool LingerTimedOut =
      Phase == phase::Lingering && Now - LastProgress > LingerTimeout;
  if (ReadTimedOut)
    return reject(408);
  if (IdleTimedOut)
    return linger();
  if (WriteTimedOut)
    return close("write timeout");
  if (LingerTimedOut)
    close("idle");
}

bool http_server_connection::hasUnreadBytes() const {
  boost::system::error_code Error;
  return Socket.available(Error) > 0;
}

void http_server_connection::endIfIdle() {
  if (Open && Phase == phase::Idle && !hasUnreadBytes())
    linger();
}

void http_server_connection::refuseArriving() {
  if (Open && Phase == phase::Reading)
    reject({503, "stopping", run_state::NotRun, RestartRetryAfter});
}

bool http_server_connection::isReceiving(time_point Now) const {
  if (!Open)
    return false;
  if (Phase != phase::Idle)
    return Phase == phase::Reading;
  bool IsNew = !HasReceived && Now - LastProgress < FirstRequestTime;
  return IsNew || hasUnreadBytes();
}

bool http_server_connection::mustCloseNow() const {
  bool HasNextRequest = Buffer.size() > 0 || hasUnreadBytes();
  return State->Closing && !HasNextRequest;
}

void http_server_connection::linger() {
  boost::system::error_code Ignored;
  Socket.shutdown(socket::shutdown_send, Ignored);
  LingersAfterResponse = Phase == phase::Writing;
  Phase = phase::Lingering;
  LastProgress = Clock.now();
  BytesRead = 0;
  Buffer.consume(Buffer.size());
  readMore();
}

void http_server_connection::readMore() {
  if (ReadPending || !Open || Buffer.size() > MaxPipelinedBytes + ReadSize)
    return;
  ReadPending = true;
  Socket.async_read_some(Buffer.prepare(ReadSize),
                         [Self = shared_from_this()](auto Error, size_t Size) {
                           Self->ReadPending = false;
                           if (!Self->Open)
                             return;
                           if (Error)
                             return Self->close(readErrorReason(Error));
                           Self->onRead(Size);
                         });
}

void http_server_connection::onRead(size_t Size) {
  Buffer.commit(Size);
  if (IsRemote && State->Monitor)
    State->Monitor->onCallerBytesReceived(Size);
  LastReadAt = Clock.now();
  if (Phase == phase::Lingering) {
    BytesRead += Size;
    Buffer.consume(Buffer.size());
    return readMore();
  }
  if (Phase == phase::Idle)
    beginRequest();
  if (Phase == phase::Reading)
    parse();
  if (Phase == phase::Serving && Buffer.size() > MaxPipelinedBytes)
    return;
  readMore();
}

void http_server_connection::beginRequest() {
  Phase = phase::Reading;
  HasReceived = true;
  LastProgress = Clock.now();
  ContinueSent = false;
  BytesRead = 0;
  BytesWritten = 0;
  OutHeaders = {};
  Parser.emplace();
  Parser->header_limit(static_cast<uint32_t>(State->Limits.MaxHeaderBytes));
  Parser->body_limit(
      std::min(State->Limits.MaxBodyBytes, State->BodyMemory.largestShare()));
  BodyShare = memory_share(State->BodyMemory);
}

void http_server_connection::parse() {
  while (Buffer.size() > 0 && !Parser->is_done()) {
    bool HadHeader = Parser->is_header_done();
    boost::system::error_code Error;
    size_t Consumed = Parser->put(Buffer.data(), Error);
    Buffer.consume(Consumed);
    BytesRead += Consumed;
    if (Error && Error != http::error::need_more)
      return reject(statusForParseError(Error));
    if (!HadHeader && Parser->is_header_done() &&
        !hasKnownCoding(Parser->get()))
      return reject(400);
    if (!reserveBody(*Parser, BodyShare))
      return reject(503);
    if (HadHeader)
      LastProgress = Clock.now();
    if (Error)
      break;
  }
  if (Parser->is_done())
    return serve();
  if (Parser->is_header_done())
    sendContinueIfExpected();
}

void http_server_connection::sendContinueIfExpected() {
  bool ShouldSend = !ContinueSent &&
                    equalNames(std::string(Parser->get()[http::field::expect]),
                               "100-continue");
  if (!ShouldSend)
    return;
  ContinueSent = true;
  static const std::string Text = "HTTP/1.1 100 Continue\r\n\r\n";
  boost::asio::async_write(Socket, boost::asio::buffer(Text),
                           [Self = shared_from_this()](auto, size_t) {});
}

void http_server_connection::reject(int Status) {
  if (Status == 503)
    return reject({503, "no-memory", run_state::NotRun, NoMemoryRetryAfter});
  const char *Code = Status == 408 ? "request-timeout" : "bad-request";
  reject({Status, Code, run_state::NotRun, {}});
}

void http_server_connection::reject(const refusal &Refusal) {
  Phase = phase::Serving;
  KeepAlive = false;
  IsHeadRequest = Parser && Parser->get().method() == http::verb::head;
  Parser.reset();
  BodyShare = {};
  respond(toResponse(Refusal));
}

void http_server_connection::serve() {
  Phase = phase::Serving;
  auto &Message = Parser->get();
  KeepAlive = Message.keep_alive();
  IsHeadRequest = Message.method() == http::verb::head;
  http_request Request;
  Request.Method = std::string(Message.method_string());
  Request.Target = std::string(Message.target());
  Request.Headers = toHeaders(Message);
  Request.Body = {std::move(Message.body()), std::move(BodyShare)};
  Parser.reset();
  auto Exchange =
      std::make_shared<exchange>(shared_from_this(), std::move(Request));
  CurrentExchange = Exchange;
  serveGuarded(State->Handler, Exchange);
}

void http_server_connection::respond(http_response Response) {
  if (!Open)
    return;
  Phase = phase::Writing;
  LastProgress = Clock.now();
  bool KeepOpen = KeepAlive && !mustCloseNow() && !hasConnectionClose(Response);
  // Only a response to HEAD may state a length other than that of its body.
  if (!IsHeadRequest)
    Response.Headers.remove("content-length");
  bool HasLength = Response.Status != 204 && Response.Status != 304;
  std::string Head = encodeHead(Response, KeepOpen, HasLength);
  OutHeaders = std::move(Response.Headers);
  write(std::move(Head),
        IsHeadRequest ? message_body() : std::move(Response.Body), KeepOpen);
}

void http_server_connection::write(std::string Head, message_body Body,
                                   bool KeepOpen) {
  OutHead = std::move(Head);
  OutBody = std::move(Body);
  if (State->Pacer && State->Pacer->isBulk(OutBody.size())) {
    Transfer = bulk_transfer(*State->Pacer, OutBody.size());
    return writePiece(0, KeepOpen);
  }
  std::array<boost::asio::const_buffer, 2> Buffers = {
      boost::asio::buffer(OutHead), boost::asio::buffer(OutBody.text())};
  boost::asio::async_write(
      Socket, Buffers, writeWithProgress(),
      [Self = shared_from_this(), KeepOpen](auto Error, size_t) {
        if (Error)
          return Self->close("write failed");
        Self->onWritten(KeepOpen);
      });
}

std::function<size_t(const boost::system::error_code &, size_t)>
http_server_connection::writeWithProgress() {
  return [Self = shared_from_this(), Written = size_t{0}](
             const boost::system::error_code &Error, size_t Size) mutable {
    if (std::exchange(Written, Size) != Size)
      Self->LastProgress = Self->Clock.now();
    return boost::asio::transfer_all()(Error, Size);
  };
}

/// Writes the body from `Offset` in pieces. The head is written together with
/// the first piece.
void http_server_connection::writePiece(size_t Offset, bool KeepOpen) {
  if (Offset == OutBody.size())
    return onWritten(KeepOpen);
  AwaitsTurn = true;
  Transfer.awaitTurn([Self = shared_from_this(), Offset, KeepOpen] {
    Self->AwaitsTurn = false;
    Self->LastProgress = Self->Clock.now();
    size_t Size =
        std::min(Self->Transfer.pieceSize(), Self->OutBody.size() - Offset);
    std::array<boost::asio::const_buffer, 2> Buffers = {
        boost::asio::buffer(Self->OutHead),
        boost::asio::buffer(Self->OutBody.text().data() + Offset, Size)};
    boost::asio::async_write(
        Self->Socket, Buffers, Self->writeWithProgress(),
        [Self, End = Offset + Size, KeepOpen](auto Error, size_t) {
          if (Error)
            return Self->close("write failed");
          if (!Self->Open)
            return;
          Self->BytesWritten = End;
          Self->OutHead.clear();
          Self->LastProgress = Self->Clock.now();
          Self->writePiece(End, KeepOpen);
        });
  });
}

void http_server_connection::onWritten(bool KeepOpen) {
  if (!Open)
    return;
  Transfer = {};
  OutBody = {};
  if (!KeepOpen)
    return linger();
  Phase = phase::Idle;
  LastProgress = Clock.now();
  if (Buffer.size() > 0) {
    beginRequest();
    parse();
  }
  readMore();
}

} // namespace dragonflyvane
