/// One HTTP/2 connection between two daemons, as client or server, with
/// nghttp2. Internal to this library.
#ifndef DRAGONFLYVANE_NET_PEER_CONNECTION_HPP
#define DRAGONFLYVANE_NET_PEER_CONNECTION_HPP

#include "dragonflyvane/core/admission/receive_credit.hpp"
#include "dragonflyvane/core/clock.hpp"
#include "dragonflyvane/core/http_message.hpp"
#include "dragonflyvane/core/memory_budget.hpp"
#include "dragonflyvane/core/silence_watch.hpp"
#include "dragonflyvane/core/transit_delay.hpp"
#include "dragonflyvane/net/asio_context.hpp"
#include "dragonflyvane/net/call_result.hpp"
#include "dragonflyvane/net/http_exchange.hpp"
#include "dragonflyvane/net/peer_fields.hpp"
#include "dragonflyvane/net/peer_options.hpp"
#include "dragonflyvane/net/peer_session.hpp"
#include "dragonflyvane/net/peer_stream.hpp"
#include "dragonflyvane/net/silence_policy.hpp"
#include "dragonflyvane/net/stoppable_server.hpp"
#include "dragonflyvane/net/unanswered_request.hpp"
#include "dragonflyvane/net/write_buffer.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nghttp2/nghttp2.h>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace dragonflyvane {

/// A connection with its streams. While streams are open and nothing is
/// received, it checks the peer with an HTTP/2 PING. If the peer then shows no
/// sign of life, `silence_watch` decides whether it is closed or waits for
/// longer. A client closes it when it takes no more calls and none is open.
class peer_connection : public monitored_connection,
                        private peer_session_events,
                        public std::enable_shared_from_this<peer_connection> {
public:
  using socket = boost::asio::ip::tcp::socket;
  /// The HTTP/2 stream identifier.
  using stream_id = int32_t;
  using call_callback = peer_stream::call_callback;

  /// `Handler` serves requests on the server side; a client has none. A stream
  /// is reset when the body received on it exceeds `MaxBodyBytes`, or when
  /// `BodyMemory` has no room for it.
  peer_connection(socket Socket, peer_role Role, size_t MaxBodyBytes,
                  memory_budget &BodyMemory, http_handler Handler,
                  const peer_options &Options);
  ~peer_connection() override;
  peer_connection(const peer_connection &) = delete;
  peer_connection &operator=(const peer_connection &) = delete;

  /// Begins to read from and write to the connected socket.
  void start();
  /// Closes the connection. Open calls end as `ConnectionLost` with the reason,
  /// or as `NotSent` if their last byte was never handed to the socket, and
  /// open exchanges are disconnected.
  void close(const std::string &Reason);
  /// Whether the connection has not been closed.
  bool isOpen() const { return Open; }
  /// Whether no stream is open.
  bool isIdle() const { return Streams.empty(); }
  /// Server: what the streams are doing.
  server_activity activity() const;
  /// Server: sets the function that is called for each request whose stream
  /// ends without a complete response, except for those that were refused.
  void onUnanswered(unanswered_callback Callback) {
    OnUnanswered = std::move(Callback);
  }
  /// Server: asks the peer to open no more streams. Those that it opens before
  /// it knows are served. Later calls have no effect.
  void sendShutdownNotice();
  /// Server: refuses the requests that have not arrived completely, which are
  /// certainly not processed.
  void refuseArriving();
  /// Server: tells the peer that no further streams are processed, refuses the
  /// requests that have not arrived completely, and closes the connection for
  /// writing once no stream is open. Later calls have no effect.
  void finishClosing();
  /// Client: whether the peer processes further streams. False for good once
  /// the peer has fallen silent while calls waited.
  bool acceptsCalls();
  /// When bytes were last received; at first, when the object was created.
  time_point lastReadTime() const { return Silence.lastReceived(); }
  /// Client: sets the function that is called each time that the peer falls
  /// silent while calls wait.
  void onSilent(std::function<void()> Callback) {
    OnSilent = std::move(Callback);
  }
  /// Client: calls back once the peer has answered a PING that is sent now;
  /// never if the connection ends before. Replaces an earlier callback.
  void probe(std::function<void()> Callback);
  /// To be called when the peer's process has answered on another connection.
  void onPeerRuns() { Silence.onPeerRuns(Clock.now()); }

  /// Client: sends a request on a new stream, which has waited for the
  /// connection. If the request cannot be submitted, calls back with `NotSent`
  /// and then returns 0.
  stream_id call(const http_request &Request, duration Waited,
                 silence_policy Policy, call_callback Callback);
  /// Client: cancels a call without calling back, by resetting its stream.
  /// Returns whether the peer may process the request: false if its end is not
  /// sent any more.
  bool cancel(stream_id Id);
  /// Server: sends the response on the stream of its request.
  void respond(stream_id Id, const http_response &Response);

  uint64_t unacceptedBytes() override;
  std::optional<time_point> oldestPing() const override;

private:
  using stream = peer_stream;

  /// How far the peer knows that it must open no more streams.
  enum class shutdown_notice { None, Submitted, Confirmed };

  void onRequestBegin(stream_id Id) override { openStream(Id); }
  void onFrameReceived(const nghttp2_frame &Frame) override;
  void onFrameSent(const nghttp2_frame &Frame) override;
  void observeRoundTrip();
  void readMore();
  void readAvailable();
  void onRead(const uint8_t *Data, size_t Size);
  /// Serves the requests that have arrived, unless more bytes can be read.
  void serveArrived();
  /// Tells the peer of received bytes while a message is incomplete, so that it
  /// sees progress.
  void reportProgress();
  void flush();
  /// Collects frames for the next write. Returns false if the session failed,
  /// which closes the connection.
  bool fillWriteBuffer();
  /// Hands `WriteBuffer` to the socket as far as the socket takes it.
  void writeAvailable();
  void awaitWritable();
  /// Records the end positions of the frames that ended with the bytes queued
  /// last.
  void notePositions();
  /// Whether the peer has closed the connection, which this side has not read
  /// yet.
  bool wasClosedByPeer();
  /// The number of sent bytes that the peer's host has accepted.
  uint64_t acceptedBytes();
  /// Whether the peer may have the whole message that the stream sends.
  bool mayHaveArrived(const stream &Stream) const;
  /// Closes the connection if it has served its purpose: on the client side for
  /// reading and writing, on the server side for writing.
  void endIfDone();
  /// Whether streams may be on their way that the peer opened before it knew of
  /// the shutdown.
  bool awaitsConfirmation() const;
  bool isReceiving() const;
  bool isWriting() const;
  void setBody(outgoing_body &Out, const message_body &Body);
  /// The flow-control window that the streams of the peer begin with, in bytes.
  int32_t initialWindow() const;
  /// The peer's settings have arrived, and with them its first window.
  void onSettings();
  /// Waits for the pacer's next turn, then resumes sending a deferred body.
  void awaitPiece(stream_id Id, outgoing_body &Body);
  /// Checks the peer periodically while streams are open.
  void checkLiveness();
  /// Does what a check asks for. Returns whether the connection stays open.
  bool applyCheck(silence_action Action);
  /// Whether the stream waits although the peer is silent. All requests wait on
  /// the server side: a peer that is only late gets its responses.
  bool isWaiting(const stream &Stream) const;
  /// Whether any stream waits although the peer is silent.
  bool hasWaiting() const;
  /// Ends the calls that do not wait for a silent peer.
  void endOnSilence();
  void endOnSilence(stream_id Id);
  /// Returns the stream with this identifier, created if it is new. Starts the
  /// liveness check if it is not active.
  stream &openStream(stream_id Id);
  void submit(stream_id Id, stream &Stream, const header_list &Pseudo,
              const header_list &Headers);
  void onHeader(stream_id Id, std::string Name, std::string Value) override;
  /// Notes how late the head of a message is, if the peer told when it was
  /// sent.
  void noteArrival(stream &Stream);
  /// How late the message of a stream is, which has arrived completely now.
  duration transitDelay(const stream &Stream) const;
  /// Reports a message that has arrived completely to the monitor.
  void reportArrival(const stream &Stream);
  void onData(stream_id Id, const uint8_t *Data, size_t Size) override;
  /// Lets the peer send further bytes of a body, of which some were received.
  void returnCredit(stream_id Id, stream &Stream, size_t Size);
  std::unique_ptr<receive_credit> makeCredit(stream_id Id,
                                             const stream &Stream);
  /// Takes memory for what has been received on a stream and for further bytes.
  /// Returns false if there is not enough.
  [[nodiscard]] static bool reserveReceived(stream &Stream,
                                            size_t FurtherBytes);
  /// Resets a stream on which too much was received.
  void rejectReceived(stream_id Id, stream &Stream);
  void onMessageEnd(stream_id Id);
  void onPingAnswered(const uint8_t *Data);
  void onStreamClose(stream_id Id, uint32_t ErrorCode) override;
  /// Resets a stream before its message has arrived, and frees its memory.
  void reject(stream_id Id, stream &Stream, uint32_t ErrorCode);
  /// Tells the monitor that the connection closes.
  void reportClose(const std::string &Reason);
  /// Logs what is known of the open streams, of the bytes on their way and of
  /// the last signs of life. Those of the streams that do not wait have ended
  /// or end now.
  void logState(const std::string &Message, const std::string &Reason);
  /// Server: describes the request of a stream that ends.
  unanswered_request describe(stream Ended) const;
  void reportUnanswered(unanswered_request Request, const std::string &Reason);
  void finishCall(stream &Stream, call_outcome Outcome,
                  const std::string &Error);

  static ssize_t readBody(nghttp2_session *, int32_t, uint8_t *Buffer,
                          size_t Length, uint32_t *Flags,
                          nghttp2_data_source *Source, void *);

  socket Socket;
  boost::asio::steady_timer LivenessTimer;
  boot_clock Clock;
  peer_role Role;
  size_t MaxBodyBytes;
  memory_budget &BodyMemory;
  http_handler Handler;
  peer_options Options;
  peer_session SessionOwner;
  nghttp2_session *Session = nullptr;
  endpoint Peer;
  bool Open = true;
  /// Whether frames are collected or written; nothing else may be sent then.
  bool Writing = false;
  /// Whether `nghttp2_session_mem_recv` is running, or requests are served;
  /// nothing may be sent then.
  bool Receiving = false;
  /// Complete requests that are not served yet.
  std::vector<stream_id> ArrivedRequests;
  int ReadsBeforeServing = 0;
  /// Whether the peer's settings have arrived. Bodies wait for them, unless
  /// they are small.
  bool HasPeerSettings = false;
  write_buffer WriteBuffer;
  /// The streams whose messages, and whether a PING, end with the bytes that
  /// the session returns next.
  std::vector<stream_id> EndingStreams;
  bool PingEnding = false;
  silence_watch Silence;
  std::function<void()> OnSilent;
  std::function<void()> OnProbed;
  bool LivenessCheckActive = false;
  transit_delay Transit;
  /// When the PINGs that the peer has not answered were sent.
  std::deque<time_point> UnansweredPings;
  /// When the peer was last told of received bytes.
  time_point ProgressReportedAt{};
  std::map<stream_id, stream> Streams;
  unanswered_callback OnUnanswered;
  /// The requests whose responses end in `WriteBuffer`.
  std::vector<unanswered_request> BeingWritten;
  shutdown_notice ShutdownNotice = shutdown_notice::None;
  time_point ShutdownNoticeAt{};
  /// Whether the connection ends once no stream is open.
  bool Finishing = false;
  bool ClosedForWriting = false;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NET_PEER_CONNECTION_HPP
