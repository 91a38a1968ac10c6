#include "dragonflyvane/net/peer_connection.hpp"

#include "dragonflyvane/net/log.hpp"
#include "dragonflyvane/net/peer_exchange.hpp"
#include "dragonflyvane/net/run_guarded.hpp"

#include "dragonflyvane/core/endpoint.hpp"
#include "dragonflyvane/core/error.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <string_view>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <system_error>

namespace dragonflyvane {

namespace {

constexpr size_t ReadSize = size_t{64} << 10;
/// Requests are served after at most this many reads that leave bytes unread.
constexpr int MaxReadsBeforeServing = 4;
/// Frames are collected for one write until they reach this size in bytes.
constexpr size_t WriteBatchSize = size_t{16} << 10;
/// The kernel takes no more bytes while it holds this many that are not sent.
/// Later bytes stay in this process, where small messages go first and the end
/// of a request is not lost with the connection.
constexpr int MaxUnsentInKernel = 16 << 10;
/// The flow-control window of a stream in bytes.
constexpr int32_t StreamWindow = 1 << 20;
constexpr std::chrono::milliseconds LivenessCheckPeriod{200};
/// While a message arrives, the peer is told of received bytes after this many
/// bytes or this time, well before its PING times out on a slow link.
constexpr int32_t ProgressReportSize = 16 << 10;
constexpr std::chrono::milliseconds ProgressReportPeriod{100};
/// A peer that has not confirmed a shutdown notice after this time is not
/// waited for.
constexpr std::chrono::milliseconds ConfirmationTimeout{500};
/// The opaque data of a PING.
using ping_data = std::array<uint8_t, 8>;
/// That of the PING that follows a shutdown notice, and of a probe; others have
/// zeros.
constexpr ping_data ShutdownPing{'s', 'h', 'u', 't', 'd', 'o', 'w', 'n'};
constexpr ping_data ProbePing{'p', 'r', 'o', 'b', 'e'};
/// Why calls and connections of a silent peer end.
constexpr const char *NoResponse = "connection timed out: no response to PING";

/// A body of at most this size is sent before the peer's settings have told how
/// much the peer takes at once.
constexpr size_t MaxBodyBeforeSettings = 4 << 10;

} // namespace

peer_connection::peer_connection(socket Socket, peer_role Role,
                                 size_t MaxBodyBytes, memory_budget &BodyMemory,
                                 http_handler Handler,
                                 const peer_options &Options)
    : Socket(std::move(Socket)), LivenessTimer(this->Socket.get_executor()),
      Role(Role), MaxBodyBytes(MaxBodyBytes), BodyMemory(BodyMemory),
      Handler(std::move(Handler)), Options(Options), Silence(Clock.now()) {
  SessionOwner = makePeerSession(Role, initialWindow(), *this);
  Session = SessionOwner.get();
}

peer_connection::~peer_connection() {
  if (Open && Options.Monitor)
    Options.Monitor->remove(*this);
  // While everything still exists that the session refers to.
  SessionOwner.reset();
}

int32_t peer_connection::initialWindow() const {
  if (!Options.Incoming)
    return StreamWindow;
  return static_cast<int32_t>(Options.Incoming->smallSize());
}

void peer_connection::start() {
  boost::system::error_code Ignored;
  Socket.set_option(boost::asio::ip::tcp::no_delay(true), Ignored);
  Socket.non_blocking(true, Ignored);
  using not_sent_limit =
      boost::asio::detail::socket_option::integer<IPPROTO_TCP,
                                                  TCP_NOTSENT_LOWAT>;
  Socket.set_option(not_sent_limit(MaxUnsentInKernel), Ignored);
  auto Remote = Socket.remote_endpoint(Ignored);
  Peer = {Remote.address().to_string(), Remote.port()};
  if (Options.Monitor)
    Options.Monitor->add(*this);
  readMore();
  // Later, so that the first request leaves together with the preface.
  boost::asio::post(Socket.get_executor(),
                    [Self = shared_from_this()] { Self->flush(); });
}

void peer_connection::close(const std::string &Reason) {
  if (!Open)
    return;
  Open = false;
  // While the socket can still tell what the peer's host has not accepted.
  if (!Streams.empty())
    logState("peer connection closed with open streams", Reason);
  reportClose(Reason);
  boost::system::error_code Ignored;
  Socket.close(Ignored);
  LivenessTimer.cancel();
  for (unanswered_request &Request : std::exchange(BeingWritten, {}))
    reportUnanswered(std::move(Request), Reason);
  std::map<stream_id, stream> Ended;
  Ended.swap(Streams);
  for (auto &[Id, Stream] : Ended) {
    if (Stream.Exchange)
      Stream.Exchange->disconnect(disconnect_cause::ConnectionEnded);
    finishCall(Stream,
               mayHaveArrived(Stream) ? call_outcome::ConnectionLost
                                      : call_outcome::NotSent,
               Reason);
    if (Role == peer_role::Server && !Stream.IsRejected)
      reportUnanswered(describe(std::move(Stream)), Reason);
  }
}

void peer_connection::logState(const std::string &Message,
                               const std::string &Reason) {
  time_point Now = Clock.now();
  auto Waiting =
      std::count_if(Streams.begin(), Streams.end(), [this](const auto &Entry) {
        return isWaiting(Entry.second);
      });
  auto LastPing = Silence.lastPing();
  writeLog(
      log_level::Warning, Message,
      {{"step", "peers"},
       {"role", Role == peer_role::Client ? "client" : "server"},
       {"peer", toString(Peer)},
       {"reason", Reason},
       {"streams", Streams.size()},
       {"waiting", Waiting},
       {"unwritten_bytes", WriteBuffer.remaining().size()},
       {"unaccepted_bytes", unacceptedBytes()},
       {"since_read_ms", inMilliseconds(Now - Silence.lastReceived())},
       {"since_ping_ms", LastPing ? inMilliseconds(Now - *LastPing) : -1}});
}

void peer_connection::reportClose(const std::string &Reason) {
  if (!Options.Monitor)
    return;
  if (!Streams.empty())
    Options.Monitor->onConnectionLost(*this, Peer, Reason);
  Options.Monitor->remove(*this);
}

server_activity peer_connection::activity() const {
  if (!Open)
    return {};
  return {isReceiving(), isWriting(), true};
}

bool peer_connection::isReceiving() const {
  return awaitsConfirmation() ||
         std::any_of(Streams.begin(), Streams.end(), [](const auto &Entry) {
           const stream &Stream = Entry.second;
           return !Stream.IsRejected && !Stream.HasArrived;
         });
}

bool peer_connection::isWriting() const {
  return Writing ||
         std::any_of(Streams.begin(), Streams.end(), [](const auto &Entry) {
           return Entry.second.IsResponding;
         });
}

bool peer_connection::awaitsConfirmation() const {
  return ShutdownNotice == shutdown_notice::Submitted && !Finishing &&
         Clock.now() - ShutdownNoticeAt <= ConfirmationTimeout;
}

void peer_connection::sendShutdownNotice() {
  if (!Open || ShutdownNotice != shutdown_notice::None)
    return;
  ShutdownNotice = shutdown_notice::Submitted;
  ShutdownNoticeAt = Clock.now();
  nghttp2_submit_shutdown_notice(Session);
  flush();
}

void peer_connection::refuseArriving() {
  for (auto &[Id, Stream] : Streams)
    if (!Stream.IsRejected && !Stream.HasArrived)
      reject(Id, Stream, NGHTTP2_REFUSED_STREAM);
  flush();
}

void peer_connection::finishClosing() {
  if (!Open || Finishing)
    return;
  refuseArriving();
  // Only now: flushing without open streams ends the connection for writing,
  // and the peer must get the GOAWAY before.
  Finishing = true;
  nghttp2_submit_goaway(Session, NGHTTP2_FLAG_NONE,
                        nghttp2_session_get_last_proc_stream_id(Session),
                        NGHTTP2_NO_ERROR, nullptr, 0);
  flush();
}

void peer_connection::endIfDone() {
  if (!Streams.empty())
    return;
  if (Role == peer_role::Client) {
    if (!acceptsCalls())
      close("peer accepts no more calls");
    return;
  }
  if (!Finishing)
    return;
  // Closing for reading too could reset the connection, and take from the peer
  // what it has not read yet.
  ClosedForWriting = true;
  boost::system::error_code Ignored;
  Socket.shutdown(socket::shutdown_send, Ignored);
}

bool peer_connection::acceptsCalls() {
  return Open && !Silence.wasSilent() &&
         nghttp2_session_check_request_allowed(Session) != 0 &&
         !wasClosedByPeer();
}

void peer_connection::probe(std::function<void()> Callback) {
  OnProbed = std::move(Callback);
  nghttp2_submit_ping(Session, NGHTTP2_FLAG_NONE, ProbePing.data());
  flush();
}

bool peer_connection::wasClosedByPeer() {
  char Next = 0;
  ssize_t Size = recv(Socket.native_handle(), &Next, sizeof(Next),
                      MSG_PEEK | MSG_DONTWAIT);
  bool HasError = Size < 0 && errno != EAGAIN && errno != EINTR;
  return Size == 0 || HasError;
}

void peer_connection::readMore() {
  Socket.async_wait(socket::wait_read, [Self = shared_from_this()](auto Error) {
    if (!Self->Open)
      return;
    if (Error)
      return Self->close("peer closed the connection");
    Self->readAvailable();
  });
}

void peer_connection::readAvailable() {
  // Shared by all connections, since each consumes its input before the next
  // read.
  thread_local std::vector<uint8_t> Buffer(ReadSize);
  boost::system::error_code Error;
  size_t Size = Socket.read_some(boost::asio::buffer(Buffer), Error);
  if (Error == boost::asio::error::would_block)
    return readMore();
  if (Error)
    return close("peer closed the connection");
  onRead(Buffer.data(), Size);
}

void peer_connection::onRead(const uint8_t *Data, size_t Size) {
  Silence.onReceived(Clock.now());
  if (Options.Monitor)
    Options.Monitor->onPeerBytesReceived(Size);
  Receiving = true;
  ssize_t Consumed = nghttp2_session_mem_recv(Session, Data, Size);
  Receiving = false;
  if (Consumed < 0)
    return close(nghttp2_strerror(static_cast<int>(Consumed)));
  serveArrived();
  reportProgress();
  flush();
  if (Open)
    readMore();
}

/// After a delay on the link, a request and its cancellation arrive together;
/// the request must not start then. So what can be read is read first.
void peer_connection::serveArrived() {
  if (ArrivedRequests.empty())
    return;
  boost::system::error_code Ignored;
  bool HasMore = Socket.available(Ignored) > 0;
  if (HasMore && ++ReadsBeforeServing < MaxReadsBeforeServing)
    return;
  ReadsBeforeServing = 0;
  Receiving = true;
  for (stream_id Id : std::exchange(ArrivedRequests, {})) {
    auto Found = Streams.find(Id);
    if (Found == Streams.end() || Found->second.IsRejected)
      continue;
    // A copy, since a response releases the one of the stream.
    std::shared_ptr<peer_exchange> Exchange = Found->second.Exchange;
    if (Exchange)
      serveGuarded(Handler, Exchange);
  }
  Receiving = false;
}

void peer_connection::reportProgress() {
  int32_t Unreported = nghttp2_session_get_effective_recv_data_length(Session);
  time_point Now = Clock.now();
  bool IsDue =
      Unreported >= ProgressReportSize ||
      (Unreported > 0 && Now - ProgressReportedAt >= ProgressReportPeriod);
  bool MessageArrives =
      IsDue && std::any_of(Streams.begin(), Streams.end(), [](const auto &S) {
        return !S.second.HasArrived && !S.second.Received.empty();
      });
  if (!MessageArrives)
    return;
  ProgressReportedAt = Now;
  nghttp2_submit_window_update(Session, NGHTTP2_FLAG_NONE, 0, Unreported);
}

void peer_connection::flush() {
  if (Writing || Receiving || !Open || ClosedForWriting)
    return;
  Writing = true;
  if (fillWriteBuffer())
    writeAvailable();
}

bool peer_connection::fillWriteBuffer() {
  WriteBuffer.beginBatch();
  while (WriteBuffer.batchSize() < WriteBatchSize) {
    const uint8_t *Data = nullptr;
    ssize_t Size = nghttp2_session_mem_send(Session, &Data);
    // A callback may have closed the connection.
    if (!Open)
      return false;
    if (Size < 0) {
      close(nghttp2_strerror(static_cast<int>(Size)));
      return false;
    }
    if (Size == 0)
      break;
    WriteBuffer.append(Data, static_cast<size_t>(Size));
    notePositions();
  }
  return true;
}

void peer_connection::notePositions() {
  for (stream_id Id : std::exchange(EndingStreams, {})) {
    auto Found = Streams.find(Id);
    if (Found != Streams.end())
      Found->second.Out.EndPosition = WriteBuffer.queuedBytes();
  }
  if (std::exchange(PingEnding, false))
    Silence.onPingQueued(WriteBuffer.queuedBytes());
}

void peer_connection::writeAvailable() {
  // Written without an asynchronous operation, so that `handedBytes` is exact
  // whenever a call ends.
  while (!WriteBuffer.remaining().empty()) {
    boost::system::error_code Error;
    size_t Size =
        Socket.write_some(boost::asio::buffer(WriteBuffer.remaining()), Error);
    if (Error == boost::asio::error::would_block)
      return awaitWritable();
    if (Error)
      // Later, since the caller may be in the middle of a call.
      return boost::asio::post(
          Socket.get_executor(),
          [Self = shared_from_this()] { Self->close("write failed"); });
    WriteBuffer.onHanded(Size);
    if (Options.Monitor)
      Options.Monitor->onPeerBytesSent(Size);
  }
  BeingWritten.clear();
  // Lets other connections have their turn before the next batch.
  if (WriteBuffer.batchSize() >= WriteBatchSize)
    return awaitWritable();
  Writing = false;
  endIfDone();
}

void peer_connection::awaitWritable() {
  Socket.async_wait(socket::wait_write,
                    [Self = shared_from_this()](auto Error) {
                      if (!Self->Open)
                        return;
                      if (Error)
                        return Self->close("write failed");
                      if (!Self->WriteBuffer.remaining().empty())
                        return Self->writeAvailable();
                      Self->Writing = false;
                      Self->flush();
                    });
}

uint64_t peer_connection::acceptedBytes() {
  int Held = 0;
  if (ioctl(Socket.native_handle(), SIOCOUTQ, &Held) != 0 || Held < 0)
    return 0;
  uint64_t Handed = WriteBuffer.handedBytes();
  return Handed - std::min(Handed, static_cast<uint64_t>(Held));
}

uint64_t peer_connection::unacceptedBytes() {
  return WriteBuffer.handedBytes() - acceptedBytes();
}

std::optional<time_point> peer_connection::oldestPing() const {
  if (UnansweredPings.empty())
    return std::nullopt;
  return UnansweredPings.front();
}

bool peer_connection::mayHaveArrived(const stream &Stream) const {
  return Stream.Out.EndPosition &&
         *Stream.Out.EndPosition <= WriteBuffer.handedBytes();
}

void peer_connection::checkLiveness() {
  LivenessCheckActive = !Streams.empty();
  if (!LivenessCheckActive)
    return;
  LivenessTimer.expires_after(LivenessCheckPeriod);
  LivenessTimer.async_wait([Weak = weak_from_this()](auto Error) {
    auto Self = Weak.lock();
    if (Error || !Self || !Self->Open)
      return;
    boost::system::error_code Ignored;
    bool HasInput = Self->Socket.available(Ignored) > 0;
    silence_action Action =
        Self->Streams.empty()
            ? silence_action::None
            : Self->Silence.check(Self->acceptedBytes(), HasInput,
                                  Self->hasWaiting(), Self->Clock.now());
    if (Self->applyCheck(Action))
      Self->checkLiveness();
  });
}

bool peer_connection::applyCheck(silence_action Action) {
  switch (Action) {
  case silence_action::None:
    break;
  case silence_action::SendPing:
    nghttp2_submit_ping(Session, NGHTTP2_FLAG_NONE, nullptr);
    flush();
    break;
  case silence_action::Wait:
    logState("peer is silent", NoResponse);
    if (OnSilent)
      OnSilent();
    endOnSilence();
    break;
  case silence_action::Close:
    close(NoResponse);
    break;
  }
  return Open;
}

bool peer_connection::isWaiting(const stream &Stream) const {
  if (Role == peer_role::Server)
    return !Stream.IsRejected;
  return Stream.Callback && Stream.Policy == silence_policy::Wait &&
         Stream.Out.EndPosition;
}

bool peer_connection::hasWaiting() const {
  return std::any_of(Streams.begin(), Streams.end(), [this](const auto &Entry) {
    return isWaiting(Entry.second);
  });
}

void peer_connection::endOnSilence() {
  if (Role == peer_role::Server)
    return;
  std::vector<stream_id> Ended;
  for (const auto &[Id, Stream] : Streams)
    if (Stream.Callback && !isWaiting(Stream))
      Ended.push_back(Id);
  // A callback may end further streams, or the connection.
  for (stream_id Id : Ended)
    endOnSilence(Id);
  flush();
}

void peer_connection::endOnSilence(stream_id Id) {
  auto Found = Streams.find(Id);
  if (Found == Streams.end() || Found->second.IsRejected)
    return;
  stream &Stream = Found->second;
  // An end that is in `WriteBuffer` is still handed to the socket.
  bool MayArrive = Stream.Out.EndPosition.has_value();
  // Frees the link at once, although the connection may take no bytes now.
  Stream.Out.Transfer = {};
  reject(Id, Stream, NGHTTP2_CANCEL);
  finishCall(Stream,
             MayArrive ? call_outcome::ConnectionLost : call_outcome::NotSent,
             NoResponse);
}

void peer_connection::setBody(outgoing_body &Out, const message_body &Body) {
  Out.Body = Body;
  if (Options.Outgoing && Options.Outgoing->isBulk(Body.size()))
    Out.Transfer = bulk_transfer(*Options.Outgoing, Body.size());
}

void peer_connection::awaitPiece(stream_id Id, outgoing_body &Body) {
  Body.Transfer.awaitTurn([Weak = weak_from_this(), Id] {
    auto Self = Weak.lock();
    if (!Self || !Self->Open)
      return;
    outgoing_body &Out = Self->Streams.at(Id).Out;
    Out.SendableBytes = Out.Transfer.pieceSize();
    nghttp2_session_resume_data(Self->Session, Id);
    Self->flush();
  });
}

ssize_t peer_connection::readBody(nghttp2_session *, int32_t Id,
                                  uint8_t *Buffer, size_t Length,
                                  uint32_t *Flags, nghttp2_data_source *Source,
                                  void *User) {
  auto &Connection =
      static_cast<peer_connection &>(*static_cast<peer_session_events *>(User));
  auto &Body = *static_cast<outgoing_body *>(Source->ptr);
  const std::string &Bytes = Body.Body.text();
  if (!Connection.HasPeerSettings && Bytes.size() > MaxBodyBeforeSettings)
    return NGHTTP2_ERR_DEFERRED;
  size_t Size = std::min(Length, Bytes.size() - Body.Offset);
  if (Body.Transfer) {
    if (Body.SendableBytes == 0) {
      Connection.awaitPiece(Id, Body);
      return NGHTTP2_ERR_DEFERRED;
    }
    Size = std::min(Size, Body.SendableBytes);
    Body.SendableBytes -= Size;
  }
  std::copy_n(Bytes.data() + Body.Offset, Size, Buffer);
  Body.Offset += Size;
  if (Body.Offset == Bytes.size())
    *Flags |= NGHTTP2_DATA_FLAG_EOF;
  return static_cast<ssize_t>(Size);
}

peer_connection::stream_id peer_connection::call(const http_request &Request,
                                                 duration Waited,
                                                 silence_policy Policy,
                                                 call_callback Callback) {
  header_list Fields = makeRequestFields(Request, Clock.now(), Waited);
  std::vector<nghttp2_nv> Pairs = toNameValuePairs(Fields);
  stream_id Id = nghttp2_session_get_next_stream_id(Session);
  stream &Stream = openStream(Id);
  setBody(Stream.Out, Request.Body);
  Stream.Policy = Policy;
  Stream.Callback = std::move(Callback);
  nghttp2_data_provider Provider{{.ptr = &Stream.Out}, &readBody};
  int32_t Submitted = nghttp2_submit_request(
      Session, nullptr, Pairs.data(), Pairs.size(),
      Request.Body.empty() ? nullptr : &Provider, nullptr);
  if (Submitted < 0) {
    stream Failed = std::move(Stream);
    Streams.erase(Id);
    finishCall(Failed, call_outcome::NotSent, nghttp2_strerror(Submitted));
    return 0;
  }
  flush();
  return Id;
}

peer_connection::stream &peer_connection::openStream(stream_id Id) {
  auto [Found, IsNew] = Streams.try_emplace(Id);
  stream &Stream = Found->second;
  if (IsNew)
    Stream.ReceivedShare = memory_share(BodyMemory);
  if (!LivenessCheckActive) {
    Silence.onActive(Clock.now());
    checkLiveness();
  }
  return Stream;
}

bool peer_connection::cancel(stream_id Id) {
  auto Found = Streams.find(Id);
  if (!Open || Found == Streams.end())
    return true;
  Found->second.Callback = nullptr;
  // An end that is in `WriteBuffer` is still handed to the socket.
  bool MayArrive = Found->second.Out.EndPosition.has_value();
  // Frees the links at once, although the connection may take no bytes now.
  Found->second.Out.Transfer = {};
  Found->second.Credit.reset();
  nghttp2_submit_rst_stream(Session, NGHTTP2_FLAG_NONE, Id, NGHTTP2_CANCEL);
  flush();
  return MayArrive;
}

void peer_connection::respond(stream_id Id, const http_response &Response) {
  auto Found = Streams.find(Id);
  if (!Open || Found == Streams.end())
    return;
  stream &Stream = Found->second;
  Stream.Exchange.reset();
  Stream.IsResponding = true;
  header_list Fields = makeResponseFields(Response, Clock.now());
  std::vector<nghttp2_nv> Pairs = toNameValuePairs(Fields);
  setBody(Stream.Out, Response.Body);
  nghttp2_data_provider Provider{{.ptr = &Stream.Out}, &readBody};
  nghttp2_submit_response(Session, Id, Pairs.data(), Pairs.size(),
                          Response.Body.empty() ? nullptr : &Provider);
  Stream.Response.Headers = std::move(Fields);
  flush();
}

void peer_connection::onFrameReceived(const nghttp2_frame &Frame) {
  bool EndsStream = (Frame.hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
  switch (Frame.hd.type) {
  case NGHTTP2_HEADERS:
  case NGHTTP2_DATA:
    if (EndsStream)
      onMessageEnd(Frame.hd.stream_id);
    break;
  case NGHTTP2_SETTINGS:
    if ((Frame.hd.flags & NGHTTP2_FLAG_ACK) == 0)
      onSettings();
    break;
  case NGHTTP2_PING:
    if ((Frame.hd.flags & NGHTTP2_FLAG_ACK) != 0)
      onPingAnswered(Frame.ping.opaque_data);
    break;
  default:
    break;
  }
}

void peer_connection::onSettings() {
  if (std::exchange(HasPeerSettings, true))
    return;
  // Has no effect on streams that did not wait.
  for (auto &[Id, Stream] : Streams)
    nghttp2_session_resume_data(Session, Id);
}

void peer_connection::onPingAnswered(const uint8_t *Data) {
  observeRoundTrip();
  if (std::equal(ShutdownPing.begin(), ShutdownPing.end(), Data))
    ShutdownNotice = shutdown_notice::Confirmed;
  if (!std::equal(ProbePing.begin(), ProbePing.end(), Data))
    return;
  // Called from within nghttp2, which no exception may cross.
  if (auto Callback = std::exchange(OnProbed, nullptr))
    runGuarded("probe", Callback);
}

void peer_connection::observeRoundTrip() {
  // A peer answers in the order of the PINGs, and may send answers to none.
  if (UnansweredPings.empty())
    return;
  duration RoundTrip = Clock.now() - UnansweredPings.front();
  UnansweredPings.pop_front();
  if (Options.Monitor)
    Options.Monitor->onPingAnswered(RoundTrip);
}

void peer_connection::onFrameSent(const nghttp2_frame &Frame) {
  // The PING must follow the notice, so that its acknowledgement tells that the
  // peer has received the notice and all its streams have arrived.
  bool IsMessage =
      Frame.hd.type == NGHTTP2_HEADERS || Frame.hd.type == NGHTTP2_DATA;
  if (IsMessage && (Frame.hd.flags & NGHTTP2_FLAG_END_STREAM) != 0)
    EndingStreams.push_back(Frame.hd.stream_id);
  if (Frame.hd.type == NGHTTP2_PING &&
      (Frame.hd.flags & NGHTTP2_FLAG_ACK) == 0) {
    PingEnding = true;
    UnansweredPings.push_back(Clock.now());
  }
  if (Frame.hd.type == NGHTTP2_GOAWAY &&
      ShutdownNotice == shutdown_notice::Submitted && !Finishing)
    nghttp2_submit_ping(Session, NGHTTP2_FLAG_NONE, ShutdownPing.data());
}

void peer_connection::onHeader(stream_id Id, std::string Name,
                               std::string Value) {
  // A stream that was reset may have ended in the middle of a head.
  auto Found = Streams.find(Id);
  if (Found == Streams.end() || Found->second.IsRejected)
    return;
  stream &Stream = Found->second;
  if (!isWellFormed(Name, Value))
    return reject(Id, Stream, NGHTTP2_PROTOCOL_ERROR);
  Stream.HeadBytes += Name.size() + Value.size() + PeerFieldOverhead;
  if (Stream.HeadBytes > MaxPeerHeadBytes || !reserveReceived(Stream, 0))
    return rejectReceived(Id, Stream);
  Stream.BytesRead += Name.size() + Value.size();
  Stream.LastReadAt = Silence.lastReceived();
  if (readFact(Name, Value, Stream.Facts))
    return noteArrival(Stream);
  if (Role == peer_role::Client) {
    if (Name == ":status")
      std::from_chars(Value.data(), Value.data() + Value.size(),
                      Stream.Response.Status);
    else
      Stream.Response.Headers.add(std::move(Name), std::move(Value));
  } else if (Name == ":method") {
    Stream.Request.Method = std::move(Value);
  } else if (Name == ":path") {
    Stream.Request.Target = std::move(Value);
  } else if (Name.front() != ':') {
    Stream.Request.Headers.add(std::move(Name), std::move(Value));
  }
}

void peer_connection::noteArrival(stream &Stream) {
  if (!Stream.Facts.SendTime || Stream.HeaderArrivedAt)
    return;
  const send_time &Time = *Stream.Facts.SendTime;
  Stream.HeaderArrivedAt = Silence.lastReceived();
  Stream.HeaderDelay =
      Transit.observe(Time.SentAt, *Stream.HeaderArrivedAt) + Time.Waited;
}

duration peer_connection::transitDelay(const stream &Stream) const {
  // A peer of an earlier version sends no time, and has subtracted the expected
  // time of the transfer from the time that it left.
  if (!Stream.HeaderArrivedAt)
    return duration{0};
  return Stream.HeaderDelay +
         (Silence.lastReceived() - *Stream.HeaderArrivedAt);
}

void peer_connection::reportArrival(const stream &Stream) {
  if (!Options.Monitor || !Stream.HeaderArrivedAt)
    return;
  message_kind Kind = Role == peer_role::Server ? message_kind::Request
                                                : message_kind::Response;
  Options.Monitor->onMessage(
      {Kind, transitDelay(Stream), Stream.HeaderDelay, Stream.BytesRead}, Peer);
}

void peer_connection::onData(stream_id Id, const uint8_t *Data, size_t Size) {
  nghttp2_session_consume_connection(Session, Size);
  auto Found = Streams.find(Id);
  if (Found == Streams.end() || Found->second.IsRejected)
    return;
  stream &Stream = Found->second;
  Stream.BytesRead += Size;
  Stream.LastReadAt = Silence.lastReceived();
  if (Stream.Received.size() + Size > MaxBodyBytes ||
      !reserveReceived(Stream, Size))
    return rejectReceived(Id, Stream);
  Stream.Received.append(reinterpret_cast<const char *>(Data), Size);
  returnCredit(Id, Stream, Size);
}

bool peer_connection::reserveReceived(stream &Stream, size_t FurtherBytes) {
  return Stream.ReceivedShare.resize(Stream.HeadBytes + Stream.Received.size() +
                                     FurtherBytes);
}

void peer_connection::rejectReceived(stream_id Id, stream &Stream) {
  // A request that is refused has certainly not been processed.
  reject(Id, Stream,
         Role == peer_role::Server ? NGHTTP2_REFUSED_STREAM
                                   : NGHTTP2_ENHANCE_YOUR_CALM);
}

void peer_connection::returnCredit(stream_id Id, stream &Stream, size_t Size) {
  if (!Options.Incoming) {
    nghttp2_session_consume_stream(Session, Id, Size);
    return;
  }
  if (!Stream.Credit)
    Stream.Credit = makeCredit(Id, Stream);
  Stream.Credit->onReceived(Size);
}

std::unique_ptr<receive_credit>
peer_connection::makeCredit(stream_id Id, const stream &Stream) {
  // More than the largest body is never granted.
  std::optional<size_t> Length = Stream.Facts.BodyBytes;
  if (Length && *Length > MaxBodyBytes)
    Length.reset();
  return std::make_unique<receive_credit>(
      *Options.Incoming, Length, [Weak = weak_from_this(), Id](size_t Bytes) {
        auto Self = Weak.lock();
        if (!Self || !Self->Open)
          return;
        nghttp2_submit_window_update(Self->Session, NGHTTP2_FLAG_NONE, Id,
                                     static_cast<int32_t>(Bytes));
        Self->flush();
      });
}

void peer_connection::reject(stream_id Id, stream &Stream, uint32_t ErrorCode) {
  Stream.IsRejected = true;
  // Frees the memory at once; the stream ends later.
  Stream.Received = std::string();
  Stream.Request.Headers = {};
  Stream.Response.Headers = {};
  Stream.ReceivedShare = {};
  Stream.Credit.reset();
  nghttp2_submit_rst_stream(Session, NGHTTP2_FLAG_NONE, Id, ErrorCode);
}

void peer_connection::onMessageEnd(stream_id Id) {
  auto Found = Streams.find(Id);
  if (Found == Streams.end() || Found->second.IsRejected)
    return;
  stream &Stream = Found->second;
  Stream.HasArrived = true;
  Stream.Credit.reset();
  reportArrival(Stream);
  message_body Body(std::move(Stream.Received),
                    std::move(Stream.ReceivedShare));
  if (Role == peer_role::Client) {
    Stream.Response.Body = std::move(Body);
    if (!isResponseStatus(Stream.Response.Status))
      return finishCall(Stream, call_outcome::ConnectionLost,
                        "invalid response: status " +
                            std::to_string(Stream.Response.Status));
    return finishCall(Stream, call_outcome::Completed, "");
  }
  Stream.Request.Body = std::move(Body);
  auto Exchange = std::make_shared<peer_exchange>(
      weak_from_this(), Id, std::move(Stream.Request), transitDelay(Stream));
  Stream.Exchange = std::move(Exchange);
  ArrivedRequests.push_back(Id);
}

void peer_connection::onStreamClose(stream_id Id, uint32_t ErrorCode) {
  auto Found = Streams.find(Id);
  if (Found == Streams.end())
    return;
  stream Ended = std::move(Found->second);
  Streams.erase(Found);
  if (Ended.Exchange)
    Ended.Exchange->disconnect(disconnect_cause::Cancelled);
  // If this side resets the stream, what is in `WriteBuffer` still arrives.
  bool MayArrive = Ended.IsRejected ? Ended.Out.EndPosition.has_value()
                                    : mayHaveArrived(Ended);
  bool IsNotSent = ErrorCode == NGHTTP2_REFUSED_STREAM || !MayArrive;
  finishCall(Ended,
             IsNotSent ? call_outcome::NotSent : call_outcome::ConnectionLost,
             nghttp2_http2_strerror(ErrorCode));
  if (Role == peer_role::Client || Ended.IsRejected)
    return;
  if (Ended.IsResponding && ErrorCode == NGHTTP2_NO_ERROR)
    BeingWritten.push_back(describe(std::move(Ended)));
  else
    reportUnanswered(describe(std::move(Ended)), "cancelled by the peer");
}

unanswered_request peer_connection::describe(stream Ended) const {
  unanswered_request Request;
  Request.BytesRead = Ended.BytesRead;
  Request.BytesWritten = Ended.Out.Offset;
  Request.SinceLastRead = Clock.now() - Ended.LastReadAt;
  if (Ended.IsResponding) {
    Request.Phase = request_phase::Responding;
    Request.Headers = std::move(Ended.Response.Headers);
  } else if (Ended.Exchange) {
    Request.Phase = request_phase::Serving;
    Request.Headers = Ended.Exchange->request().Headers;
  } else {
    Request.Headers = std::move(Ended.Request.Headers);
  }
  return Request;
}

void peer_connection::reportUnanswered(unanswered_request Request,
                                       const std::string &Reason) {
  if (!OnUnanswered)
    return;
  Request.Reason = Reason;
  // Called from within nghttp2, which no exception may cross.
  runGuarded("unanswered request", [&] { OnUnanswered(Request); });
}

void peer_connection::finishCall(stream &Stream, call_outcome Outcome,
                                 const std::string &Error) {
  if (!Stream.Callback)
    return;
  call_callback Callback = std::move(Stream.Callback);
  Stream.Callback = nullptr;
  // Called from within nghttp2, which no exception may cross.
  runGuarded("peer result", [&] {
    Callback({Outcome, std::move(Stream.Response), Error,
              Outcome == call_outcome::Completed ? transitDelay(Stream)
                                                 : duration{0},
              Silence.isAnsweredElsewhere()});
  });
}

} // namespace dragonflyvane
