/// What a graceful shutdown asks of the servers of a process.
#ifndef DRAGONFLYVANE_NET_STOPPABLE_SERVER_HPP
#define DRAGONFLYVANE_NET_STOPPABLE_SERVER_HPP

namespace dragonflyvane {

/// What the connections of a server are doing.
struct server_activity {
  /// Whether a request is arriving: a part of it has, or a connection is so new
  /// that its first request must be expected, or a peer has not confirmed yet
  /// that it begins no more.
  bool IsReceiving = false;
  /// Whether a response is not written completely.
  bool IsWriting = false;
  /// Whether a connection is open, idle ones included.
  bool HasConnections = false;
};

/// A server that takes part in a graceful shutdown, in the order of the
/// functions below. `refuseArriving` may be left out or called repeatedly, also
/// after `finishClosing`.
class stoppable_server {
public:
  virtual ~stoppable_server() = default;

  /// Serves all requests as before, but makes callers leave: each connection
  /// closes after its next response, where the protocol allows that.
  virtual void startClosing() = 0;
  /// Accepts no more connections, except those that are established already.
  virtual void stopAccepting() = 0;
  /// Answers the requests that have not arrived completely as not processed.
  virtual void refuseArriving() = 0;
  /// Closes the connections on which nothing is open: first for writing, so
  /// that the callers send nothing more, and for reading once they have closed
  /// them too.
  virtual void finishClosing() = 0;
  virtual server_activity activity() const = 0;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NET_STOPPABLE_SERVER_HPP
