#include "dragonflyvane/net/http_server.hpp"

#include "dragonflyvane/core/error.hpp"
#include "dragonflyvane/core/refusal.hpp"

#include <pistache/endpoint.h>
#include <pistache/http.h>
#include <pistache/peer.h>

#include <algorithm>
#include <mutex>
#include <sstream>
#include <sys/socket.h>

namespace dragonflyvane {

namespace {

namespace pistache = Pistache;

using peer_pointer = std::shared_ptr<pistache::Tcp::Peer>;

constexpr const char *StateSlot = "dragonflyvane";
constexpr std::string_view HeadEnd = "\r\n\r\n";

/// The part of a request head that has arrived so far.
struct partial_head {
  std::string Bytes;
  bool Complete = false;
  size_t BodyMissing = 0;
};

bool hasNoBody(int Status) {
  return Status / 100 == 1 || Status == 204 || Status == 304;
}

const char *reasonOf(int Status) {
  return pistache::Http::codeString(static_cast<pistache::Http::Code>(Status));
}

bool wantsClose(const header_list &Headers) {
  std::optional<std::string> Connection = Headers.find("connection");
  return Connection && equalNames(*Connection, "close");
}

std::string serialize(const http_response &Response, bool IsHead, bool Close) {
  std::ostringstream Out;
  Out << "HTTP/1.1 " << Response.Status << ' ' << reasonOf(Response.Status)
      << "\r\n";
  bool Bodyless = hasNoBody(Response.Status);
  for (const header &H : Response.Headers.all())
    if (!equalNames(H.Name, "connection") &&
        (IsHead || !equalNames(H.Name, "content-length")))
      Out << H.Name << ": " << H.Value << "\r\n";
  bool NeedsLength =
      !Bodyless && !(IsHead && Response.Headers.find("content-length"));
  if (NeedsLength)
    Out << "Content-Length: " << Response.Body.size() << "\r\n";
  Out << "Connection: " << (Close ? "close" : "keep-alive") << "\r\n\r\n";
  if (!Bodyless && !IsHead)
    Out << Response.Body;
  return Out.str();
}

class pistache_exchange final : public http_exchange {
public:
  pistache_exchange(http_request Request, const peer_pointer &Peer, bool Close)
      : Request(std::move(Request)), Peer(Peer), Close(Close) {}

  const http_request &request() const override { return Request; }

  void answer(const http_response &Response) override {
    std::lock_guard Lock(Mutex);
    peer_pointer Target = Peer.lock();
    if (Done || !Target)
      return;
    Done = true;
    Gone = nullptr;
    Close = Close || wantsClose(Response.Headers);
    std::string Bytes = serialize(Response, Request.Method == "HEAD", Close);
    size_t Size = Bytes.size();
    auto Sent = Target->send(pistache::RawBuffer(std::move(Bytes), Size));
    Target->setIdle(true);
    if (Close)
      closeAfter(Sent, Target);
  }

  void onGone(std::function<void()> Callback) override {
    bool AlreadyGone = false;
    {
      std::lock_guard Lock(Mutex);
      AlreadyGone = Disconnected;
      if (!Done && !Disconnected)
        Gone = Callback;
    }
    if (AlreadyGone)
      Callback();
  }

  void disconnect() {
    std::function<void()> Callback;
    {
      std::lock_guard Lock(Mutex);
      Disconnected = true;
      Callback = Done ? nullptr : std::move(Gone);
      Done = true;
    }
    if (Callback)
      Callback();
  }

  bool answered() const {
    std::lock_guard Lock(Mutex);
    return Done;
  }

  /// Another request came before this one was answered.
  void closeWhenAnswered() {
    std::lock_guard Lock(Mutex);
    Close = true;
  }

private:
  static void closeAfter(pistache::Async::Promise<ssize_t> &Sent,
                         const std::weak_ptr<pistache::Tcp::Peer> &Weak) {
    auto Shut = [Weak] {
      if (peer_pointer Target = Weak.lock())
        ::shutdown(Target->fd(), SHUT_RDWR);
    };
    Sent.then([Shut](ssize_t) { Shut(); },
              [Shut](const std::exception_ptr &) { Shut(); });
  }

  http_request Request;
  std::weak_ptr<pistache::Tcp::Peer> Peer;
  mutable std::mutex Mutex;
  bool Close;
  bool Done = false;
  bool Disconnected = false;
  std::function<void()> Gone;
};

/// Parses what Pistache's own handler parses, but knows where a request ends,
/// so that a pipelined one is never left without an answer: the connection is
/// closed after the first answer, and the caller sends the rest again.
class entrance_handler final : public pistache::Http::Handler {
public:
  entrance_handler(http_limits Limits,
                   std::shared_ptr<const http_handler> Handler)
      : Limits(Limits), Callback(std::move(Handler)) {}

  std::shared_ptr<pistache::Tcp::Handler> clone() const override {
    return std::make_shared<entrance_handler>(*this);
  }

  void onRequest(const pistache::Http::Request &,
                 pistache::Http::ResponseWriter) override {}

  void onInput(const char *Buffer, size_t Length,
               const peer_pointer &Peer) override {
    auto Busy = stateOf(Peer).Exchange;
    if (Busy && !Busy->answered()) {
      Busy->closeWhenAnswered();
      return;
    }
    try {
      consume(std::string_view(Buffer, Length), Peer);
    } catch (const pistache::Http::HttpError &Error) {
      reject(Peer, Error.code(), Error.reason());
    } catch (const std::exception &Error) {
      reject(Peer, 400, Error.what());
    }
  }

  void onDisconnection(const peer_pointer &Peer) override {
    if (auto Exchange = stateOf(Peer).Exchange)
      Exchange->disconnect();
  }

private:
  /// What is kept for each connection.
  struct connection_state {
    partial_head Head;
    std::shared_ptr<pistache_exchange> Exchange;
  };

  static connection_state &stateOf(const peer_pointer &Peer) {
    auto State =
        std::static_pointer_cast<connection_state>(Peer->tryGetData(StateSlot));
    if (!State) {
      State = std::make_shared<connection_state>();
      Peer->putData(StateSlot, State);
    }
    return *State;
  }

  void consume(std::string_view Input, const peer_pointer &Peer) {
    Peer->setIdle(false);
    partial_head &Head = stateOf(Peer).Head;
    if (Head.Complete)
      consumeBody(Input, Peer, Head);
    else
      consumeHead(Input, Peer, Head);
  }

  void consumeHead(std::string_view Input, const peer_pointer &Peer,
                   partial_head &Head) {
    size_t From = std::min(Head.Bytes.size(), HeadEnd.size() - 1);
    size_t Old = Head.Bytes.size();
    Head.Bytes.append(Input);
    size_t End = Head.Bytes.find(HeadEnd, Old - From);
    size_t HeadSize = End == std::string::npos ? Head.Bytes.size() : End;
    if (HeadSize > Limits.MaxHead)
      throw pistache::Http::HttpError(431, "request head too large");
    if (End == std::string::npos)
      return;
    std::string Rest = Head.Bytes.substr(End + HeadEnd.size());
    Head.Bytes.resize(End + HeadEnd.size());
    bool HasBody = declaresBody(Head.Bytes);
    Head.Complete = true;
    if (feed(Head.Bytes, Peer))
      return finish(Peer, !Rest.empty());
    if (!HasBody)
      throw pistache::Http::HttpError(400, "malformed request");
    Head.BodyMissing = declaredLength(Peer);
    if (Head.BodyMissing > Limits.MaxBody)
      throw pistache::Http::HttpError(413, "request body too large");
    if (!Rest.empty())
      consumeBody(Rest, Peer, Head);
  }

  void consumeBody(std::string_view Input, const peer_pointer &Peer,
                   partial_head &Head) {
    bool Chunked = Head.BodyMissing == 0;
    size_t Take =
        Chunked ? Input.size() : std::min(Input.size(), Head.BodyMissing);
    bool Done = feed(Input.substr(0, Take), Peer);
    if (!Chunked)
      Head.BodyMissing -= Take;
    if (Done)
      finish(Peer, Chunked || Take < Input.size());
  }

  /// Whether a body follows. Refuses what proxies disagree about (RFC 9112, 6.1
  /// and 6.3).
  static bool declaresBody(std::string_view Head) {
    size_t Lengths = 0;
    size_t Encodings = 0;
    size_t Line = Head.find("\r\n");
    while (Line + HeadEnd.size() < Head.size()) {
      std::string_view Field = Head.substr(Line + 2);
      std::string_view Name = Field.substr(0, Field.find_first_of(":\r"));
      Lengths += equalNames(Name, "content-length");
      Encodings += equalNames(Name, "transfer-encoding");
      Line = Head.find("\r\n", Line + 2);
    }
    if (Lengths + Encodings > 1)
      throw pistache::Http::HttpError(400, "more than one message length");
    return Lengths + Encodings == 1;
  }

  static bool feed(std::string_view Input, const peer_pointer &Peer) {
    auto Parser = getParser(Peer);
    if (!Parser->feed(Input.data(), Input.size()))
      throw pistache::Http::HttpError(413, "request body too large");
    return Parser->parse() == pistache::Http::Private::State::Done;
  }

  static size_t declaredLength(const peer_pointer &Peer) {
    auto Declared = getParser(Peer)
                        ->request.headers()
                        .tryGet<pistache::Http::Header::ContentLength>();
    return Declared ? Declared->value() : 0;
  }

  void finish(const peer_pointer &Peer, bool MoreFollows) {
    auto Parser = getParser(Peer);
    http_request Request = convert(Parser->request, stateOf(Peer).Head.Bytes);
    bool Close = MoreFollows || wantsClose(Request.Headers) ||
                 Parser->request.version() == pistache::Http::Version::Http10;
    Parser->reset();
    stateOf(Peer).Head = {};
    auto Exchange =
        std::make_shared<pistache_exchange>(std::move(Request), Peer, Close);
    stateOf(Peer).Exchange = Exchange;
    (*Callback)(Exchange);
  }

  /// Pistache keeps one value of a name and re-writes those it knows, so the
  /// fields are taken from the head that it has accepted.
  static http_request convert(const pistache::Http::Request &Parsed,
                              std::string_view Head) {
    http_request Request;
    size_t Line = Head.find("\r\n");
    std::string_view RequestLine = Head.substr(0, Line);
    size_t Space = RequestLine.find(' ');
    size_t TargetEnd = RequestLine.find(' ', Space + 1);
    Request.Method = RequestLine.substr(0, Space);
    Request.Target = RequestLine.substr(Space + 1, TargetEnd - Space - 1);
    while (Line + HeadEnd.size() < Head.size()) {
      size_t Next = Head.find("\r\n", Line + 2);
      std::string_view Field = Head.substr(Line + 2, Next - Line - 2);
      size_t Colon = Field.find(':');
      if (Colon != std::string_view::npos)
        Request.Headers.add(std::string(Field.substr(0, Colon)),
                            trim(Field.substr(Colon + 1)));
      Line = Next;
    }
    Request.Body = Parsed.body();
    return Request;
  }

  static std::string trim(std::string_view Text) {
    size_t First = Text.find_first_not_of(" \t");
    if (First == std::string_view::npos)
      return "";
    return std::string(
        Text.substr(First, Text.find_last_not_of(" \t") - First + 1));
  }

  static void reject(const peer_pointer &Peer, int Status,
                     const std::string &Why) {
    getParser(Peer)->reset();
    refusal Refusal;
    Refusal.Status = Status;
    Refusal.Code = "bad-request";
    Refusal.Step = "entrance: " + Why;
    auto Exchange =
        std::make_shared<pistache_exchange>(http_request(), Peer, true);
    stateOf(Peer).Exchange = Exchange;
    Exchange->answer(toResponse(Refusal));
  }

  http_limits Limits;
  std::shared_ptr<const http_handler> Callback;
};

} // namespace

struct http_server::implementation {
  explicit implementation(const endpoint &Listen)
      : Server(pistache::Address(Listen.Address, Listen.Port)) {}

  pistache::Http::Endpoint Server;
};

http_server::http_server(const endpoint &Listen, int Threads,
                         const http_limits &Limits, http_handler Handler)
    : Implementation(std::make_unique<implementation>(Listen)) {
  using pistache::Tcp::Options;
  auto Settings =
      pistache::Http::Endpoint::options()
          .threads(Threads)
          .backlog(1024)
          .flags(Options::ReuseAddr | Options::NoDelay | Options::CloseOnExec)
          .maxRequestSize(Limits.MaxBody + Limits.MaxHead)
          .headerTimeout(Limits.HeadTimeout)
          .bodyTimeout(Limits.BodyTimeout);
  Implementation->Server.init(Settings);
  Implementation->Server.setHandler(std::make_shared<entrance_handler>(
      Limits, std::make_shared<const http_handler>(std::move(Handler))));
  try {
    Implementation->Server.serveThreaded();
  } catch (const std::exception &Error) {
    throw step_error("listen", toString(Listen), Error.what());
  }
}

http_server::~http_server() { Implementation->Server.shutdown(); }

} // namespace dragonflyvane
