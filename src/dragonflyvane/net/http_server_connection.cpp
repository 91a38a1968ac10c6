#include "dragonflyvane/net/http_server_connection.hpp"

#include "dragonflyvane/net/http_wire.hpp"

#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>

namespace dragonflyvane {

namespace {

namespace http = boost::beast::http;

constexpr size_t ReadSize = size_t{8} << 10;
/// Bytes of later requests that are kept while one is served.
constexpr size_t MostAhead = size_t{64} << 10;

int statusOf(const boost::system::error_code &Error) {
  if (Error == http::error::header_limit)
    return 431;
  if (Error == http::error::body_limit)
    return 413;
  return 400;
}

bool endsAfterAnswer(const http_response &Response) {
  auto Wish = Response.Headers.find("connection");
  return Wish && equalNames(*Wish, "close");
}

} // namespace

class http_server_connection::exchange final : public http_exchange {
public:
  exchange(std::shared_ptr<http_server_connection> Connection,
           http_request Request)
      : Connection(std::move(Connection)), Request(std::move(Request)) {}

  const http_request &request() const override { return Request; }

  void respond(http_response Response) override {
    Gone = nullptr;
    if (auto Target = std::exchange(Connection, nullptr))
      Target->answer(std::move(Response));
  }

  void closeConnection() override {
    Gone = nullptr;
    if (auto Target = std::exchange(Connection, nullptr))
      Target->close();
  }

  void onDisconnect(std::function<void()> Callback) override {
    if (Connection)
      Gone = std::move(Callback);
  }

  void disconnect() {
    Connection = nullptr;
    if (auto Callback = std::exchange(Gone, nullptr))
      Callback();
  }

private:
  std::shared_ptr<http_server_connection> Connection;
  http_request Request;
  std::function<void()> Gone;
};

void http_server_connection::start() {
  boost::system::error_code Ignored;
  Socket.set_option(boost::asio::ip::tcp::no_delay(true), Ignored);
  LastStep = Clock.now();
  readMore();
}

void http_server_connection::close() {
  if (!Open)
    return;
  Open = false;
  boost::system::error_code Ignored;
  Socket.close(Ignored);
  Transfer = {};
  if (auto Exchange = Current.lock())
    Exchange->disconnect();
}

void http_server_connection::checkTime(time_point Now) {
  bool Late =
      Phase == phase::Reading && Now - LastStep > State->Limits.HeaderTimeout;
  bool Unused = Phase == phase::Idle &&
                (State->Closing || Now - LastStep > State->Limits.IdleTimeout);
  bool Stuck =
      Phase == phase::Writing && Now - LastStep > State->Limits.IdleTimeout;
  if (Late || Unused || Stuck)
    close();
}

void http_server_connection::readMore() {
  if (ReadPending || !Open || Buffer.size() > MostAhead + ReadSize)
    return;
  ReadPending = true;
  Socket.async_read_some(Buffer.prepare(ReadSize),
                         [Self = shared_from_this()](auto Error, size_t Size) {
                           Self->ReadPending = false;
                           if (!Self->Open)
                             return;
                           if (Error)
                             return Self->close();
                           Self->onBytes(Size);
                         });
}

void http_server_connection::onBytes(size_t Size) {
  Buffer.commit(Size);
  if (Phase == phase::Idle)
    beginRequest();
  if (Phase == phase::Reading)
    parse();
  if (Phase == phase::Serving && Buffer.size() > MostAhead)
    return;
  readMore();
}

void http_server_connection::beginRequest() {
  Phase = phase::Reading;
  LastStep = Clock.now();
  ContinueSent = false;
  Parser.emplace();
  Parser->eager(true);
  Parser->header_limit(static_cast<uint32_t>(State->Limits.MaxHeaderBytes));
  Parser->body_limit(State->Limits.MaxBodyBytes);
}

void http_server_connection::parse() {
  while (Buffer.size() > 0 && !Parser->is_done()) {
    bool HadHead = Parser->is_header_done();
    boost::system::error_code Error;
    size_t Used = Parser->put(Buffer.data(), Error);
    Buffer.consume(Used);
    if (Error == http::error::need_more)
      break;
    if (Error)
      return onParseError(Error);
    if (HadHead)
      LastStep = Clock.now();
  }
  if (Parser->is_done())
    return serve();
  if (Parser->is_header_done())
    askForBody();
}

void http_server_connection::askForBody() {
  bool Waits = !ContinueSent &&
               equalNames(std::string(Parser->get()[http::field::expect]),
                          "100-continue");
  if (!Waits)
    return;
  ContinueSent = true;
  static const std::string Text = "HTTP/1.1 100 Continue\r\n\r\n";
  boost::asio::async_write(Socket, boost::asio::buffer(Text),
                           [Self = shared_from_this()](auto, size_t) {});
}

void http_server_connection::onParseError(
    const boost::system::error_code &Error) {
  Phase = phase::Serving;
  KeepAlive = false;
  IsHeadRequest = false;
  answer(jsonResponse(statusOf(Error), "{\"code\":\"bad-request\"}\n"));
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
  Request.Body = std::move(Message.body());
  Parser.reset();
  auto Exchange =
      std::make_shared<exchange>(shared_from_this(), std::move(Request));
  Current = Exchange;
  State->Handler(Exchange);
}

void http_server_connection::answer(http_response Response) {
  if (!Open)
    return;
  Phase = phase::Writing;
  LastStep = Clock.now();
  bool Keep = KeepAlive && !State->Closing && !endsAfterAnswer(Response);
  if (!IsHeadRequest)
    Response.Headers.remove("content-length");
  bool HasLength = Response.Status != 204 && Response.Status != 304;
  std::string Head = encodeHead(Response, Keep, HasLength);
  write(std::move(Head),
        IsHeadRequest ? std::string() : std::move(Response.Body), Keep);
}

void http_server_connection::write(std::string Head, std::string Body,
                                   bool Keep) {
  OutHead = std::move(Head);
  OutBody = std::move(Body);
  if (State->Pacer && State->Pacer->isBulk(OutBody.size())) {
    Transfer = bulk_transfer(*State->Pacer, OutBody.size());
    return writePiece(0, Keep);
  }
  std::array<boost::asio::const_buffer, 2> Out = {boost::asio::buffer(OutHead),
                                                  boost::asio::buffer(OutBody)};
  boost::asio::async_write(
      Socket, Out, [Self = shared_from_this(), Keep](auto Error, size_t) {
        if (Error)
          return Self->close();
        Self->onWritten(Keep);
      });
}

/// Writes the head and the rest of the body, piece by piece.
void http_server_connection::writePiece(size_t Offset, bool Keep) {
  if (Offset == OutBody.size())
    return onWritten(Keep);
  Transfer.awaitTurn([Self = shared_from_this(), Offset, Keep] {
    size_t Size =
        std::min(Self->Transfer.pieceSize(), Self->OutBody.size() - Offset);
    std::array<boost::asio::const_buffer, 2> Out = {
        boost::asio::buffer(Self->OutHead),
        boost::asio::buffer(Self->OutBody.data() + Offset, Size)};
    boost::asio::async_write(
        Self->Socket, Out,
        [Self, End = Offset + Size, Keep](auto Error, size_t) {
          if (Error)
            return Self->close();
          if (!Self->Open)
            return;
          Self->OutHead.clear();
          Self->LastStep = Self->Clock.now();
          Self->writePiece(End, Keep);
        });
  });
}

void http_server_connection::onWritten(bool Keep) {
  if (!Open)
    return;
  Transfer = {};
  OutBody = std::string();
  if (!Keep) {
    boost::system::error_code Ignored;
    Socket.shutdown(socket::shutdown_send, Ignored);
    return close();
  }
  Phase = phase::Idle;
  LastStep = Clock.now();
  if (Buffer.size() > 0) {
    beginRequest();
    parse();
  }
  readMore();
}

} // namespace dragonflyvane
