/// The HTTP/2 session of a connection between two daemons, as nghttp2 has it.
/// Internal to this library.
#ifndef DRAGONFLYVANE_NET_PEER_SESSION_HPP
#define DRAGONFLYVANE_NET_PEER_SESSION_HPP

#include <nghttp2/nghttp2.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace dragonflyvane {

/// The largest head of a message, with `PeerFieldOverhead` for each field. More
/// than any head that a daemon takes from a caller or a backend server.
inline constexpr size_t MaxPeerHeadBytes = 128 << 10;
/// What a field takes on the wire of HTTP/1.1 besides its name and value.
inline constexpr size_t PeerFieldOverhead = 4;

/// The role of this process on a connection.
enum class peer_role { Client, Server };

/// What happens on a session while bytes are received and sent. Streams are
/// given by their HTTP/2 identifier.
class peer_session_events {
public:
  /// Server: a request begins on a new stream.
  virtual void onRequestBegin(int32_t Stream) = 0;
  virtual void onHeader(int32_t Stream, std::string Name,
                        std::string Value) = 0;
  virtual void onData(int32_t Stream, const uint8_t *Data, size_t Size) = 0;
  virtual void onFrameReceived(const nghttp2_frame &Frame) = 0;
  virtual void onFrameSent(const nghttp2_frame &Frame) = 0;
  virtual void onStreamClose(int32_t Stream, uint32_t ErrorCode) = 0;

protected:
  ~peer_session_events() = default;
};

/// Deletes a session.
struct peer_session_deleter {
  void operator()(nghttp2_session *Session) const {
    nghttp2_session_del(Session);
  }
};
using peer_session = std::unique_ptr<nghttp2_session, peer_session_deleter>;

/// Creates a session and submits its settings. The streams of the peer begin
/// with a flow-control window of `StreamWindow` bytes; the application grants
/// further bytes. `Events` must outlive the session.
peer_session makePeerSession(peer_role Role, int32_t StreamWindow,
                             peer_session_events &Events);

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NET_PEER_SESSION_HPP
