#include "dragonflyvane/net/peer_session.hpp"

namespace dragonflyvane {

namespace {

/// The flow-control window of the connection in bytes.
constexpr int32_t ConnectionWindow = 16 << 20;
/// nghttp2 sends no head that it estimates to be larger. It counts 12 bytes for
/// each field besides its name and value, three times as many as
/// `PeerFieldOverhead`.
constexpr size_t MaxEstimatedHeadBytes = 4 * MaxPeerHeadBytes;
/// Streams that the peer may have open at once.
constexpr uint32_t MaxStreams = 4096;

peer_session_events &eventsOf(void *User) {
  return *static_cast<peer_session_events *>(User);
}

std::string toString(const uint8_t *Data, size_t Size) {
  return {reinterpret_cast<const char *>(Data), Size};
}

int onBeginHeaders(nghttp2_session *, const nghttp2_frame *Frame, void *User) {
  if (Frame->headers.cat == NGHTTP2_HCAT_REQUEST)
    eventsOf(User).onRequestBegin(Frame->hd.stream_id);
  return 0;
}

int onHeader(nghttp2_session *, const nghttp2_frame *Frame, const uint8_t *Name,
             size_t NameSize, const uint8_t *Value, size_t ValueSize, uint8_t,
             void *User) {
  eventsOf(User).onHeader(Frame->hd.stream_id, toString(Name, NameSize),
                          toString(Value, ValueSize));
  return 0;
}

int onData(nghttp2_session *, uint8_t, int32_t Stream, const uint8_t *Data,
           size_t Size, void *User) {
  eventsOf(User).onData(Stream, Data, Size);
  return 0;
}

int onFrameReceived(nghttp2_session *, const nghttp2_frame *Frame, void *User) {
  eventsOf(User).onFrameReceived(*Frame);
  return 0;
}

int onFrameSent(nghttp2_session *, const nghttp2_frame *Frame, void *User) {
  eventsOf(User).onFrameSent(*Frame);
  return 0;
}

int onStreamClose(nghttp2_session *, int32_t Stream, uint32_t ErrorCode,
                  void *User) {
  eventsOf(User).onStreamClose(Stream, ErrorCode);
  return 0;
}

nghttp2_session_callbacks *makeCallbacks() {
  nghttp2_session_callbacks *Callbacks = nullptr;
  nghttp2_session_callbacks_new(&Callbacks);
  nghttp2_session_callbacks_set_on_begin_headers_callback(Callbacks,
                                                          &onBeginHeaders);
  nghttp2_session_callbacks_set_on_header_callback(Callbacks, &onHeader);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(Callbacks, &onData);
  nghttp2_session_callbacks_set_on_frame_recv_callback(Callbacks,
                                                       &onFrameReceived);
  nghttp2_session_callbacks_set_on_frame_send_callback(Callbacks, &onFrameSent);
  nghttp2_session_callbacks_set_on_stream_close_callback(Callbacks,
                                                         &onStreamClose);
  return Callbacks;
}

nghttp2_option *makeOptions() {
  nghttp2_option *Option = nullptr;
  nghttp2_option_new(&Option);
  // Turns off nghttp2's checks of messages: both ends are daemons. Names and
  // values of fields are checked one by one.
  nghttp2_option_set_no_http_messaging(Option, 1);
  nghttp2_option_set_no_auto_window_update(Option, 1);
  nghttp2_option_set_max_send_header_block_length(Option,
                                                  MaxEstimatedHeadBytes);
  return Option;
}

} // namespace

peer_session makePeerSession(peer_role Role, int32_t StreamWindow,
                             peer_session_events &Events) {
  nghttp2_session *Session = nullptr;
  nghttp2_session_callbacks *Callbacks = makeCallbacks();
  nghttp2_option *Option = makeOptions();
  if (Role == peer_role::Client)
    nghttp2_session_client_new2(&Session, Callbacks, &Events, Option);
  else
    nghttp2_session_server_new2(&Session, Callbacks, &Events, Option);
  nghttp2_option_del(Option);
  nghttp2_session_callbacks_del(Callbacks);
  const nghttp2_settings_entry Settings[] = {
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, MaxStreams},
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE,
       static_cast<uint32_t>(StreamWindow)}};
  nghttp2_submit_settings(Session, NGHTTP2_FLAG_NONE, Settings, 2);
  nghttp2_session_set_local_window_size(Session, NGHTTP2_FLAG_NONE, 0,
                                        ConnectionWindow);
  return peer_session(Session);
}

} // namespace dragonflyvane
