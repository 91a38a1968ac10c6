/// Observes what crosses the link of this host, so that a full link, a process
/// that did not run and a cut can be told apart.
#ifndef DRAGONFLYVANE_NET_LINK_MONITOR_HPP
#define DRAGONFLYVANE_NET_LINK_MONITOR_HPP

#include "dragonflyvane/core/endpoint.hpp"
#include "dragonflyvane/core/scheduler.hpp"
#include "dragonflyvane/net/event_loop_delay.hpp"
#include "dragonflyvane/net/metrics.hpp"

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace dragonflyvane {

/// What a message between daemons is.
enum class message_kind : uint8_t { Request, Response };

/// A message of a peer that has arrived completely.
struct arrived_message {
  message_kind Kind = message_kind::Request;
  /// The transit delay of the whole message, and of its header, which does not
  /// wait for the body.
  duration TransitDelay{0};
  duration HeaderDelay{0};
  size_t Bytes = 0;
};

/// Messages of peers that arrived late.
struct late_messages {
  /// The message with the longest transit delay, and its sender.
  arrived_message Worst;
  endpoint Peer;
  /// The longest delay of a header: the queue on the link, without the time
  /// that large messages take themselves.
  duration HeaderDelay{0};
  /// Number of late messages.
  uint64_t Count = 0;
};

/// Connections to peers that closed with open streams.
struct lost_connections {
  /// The last of them.
  endpoint Peer;
  std::string Reason;
  /// Their number.
  uint64_t Count = 0;
};

/// What went wrong on the connections to peers in a period of about a second,
/// and what this host did in that time.
struct link_report {
  late_messages Late;
  lost_connections Lost;
  /// Bytes received in the period.
  uint64_t PeerBytes = 0;
  uint64_t CallerBytes = 0;
  duration Period{0};
  /// Bandwidth of the link of this host in bytes per second.
  double LinkRate = 0;
  /// The longest delay of the event loop.
  duration LoopDelay{0};
};

/// A connection whose state a `link_monitor` reads once a second.
class monitored_connection {
public:
  virtual ~monitored_connection() = default;
  /// The bytes that were handed to the kernel and that the peer's host has not
  /// accepted.
  virtual uint64_t unacceptedBytes() = 0;
  /// When the first unanswered PING was sent; none if all are answered.
  virtual std::optional<time_point> oldestPing() const = 0;
};

/// Counts bytes, late messages and lost connections. Observations are cheap;
/// once a second they are added to the metrics, and what went wrong is logged.
/// Used on the event loop's thread.
class link_monitor {
public:
  /// Called after a period in which messages were late or connections lost.
  using report_callback = std::function<void(const link_report &)>;

  /// `Loop`, `Clock` and `Metrics` must outlive this object.
  link_monitor(scheduler &Loop, const clock_source &Clock, metrics &Metrics,
               double LinkRate, report_callback OnReport = writeToLog);

  /// To be called with the number of bytes that were read from a connection of
  /// a peer, or handed to the socket of one.
  void onPeerBytesReceived(size_t Bytes) { Counts.PeerReceived += Bytes; }
  void onPeerBytesSent(size_t Bytes) { Counts.PeerSent += Bytes; }
  /// The same for bytes of callers on other hosts.
  void onCallerBytesReceived(size_t Bytes) { Counts.CallerReceived += Bytes; }
  /// To be called when a message of a peer has arrived completely.
  void onMessage(const arrived_message &Message, const endpoint &Peer);
  /// To be called when a peer has answered a PING.
  void onPingAnswered(duration RoundTrip);
  /// Begins and ends the observation of an open connection.
  void add(monitored_connection &Connection);
  void remove(monitored_connection &Connection);
  /// To be called when a connection closes with open streams, before `remove`.
  void onConnectionLost(monitored_connection &Connection, const endpoint &Peer,
                        const std::string &Reason);

private:
  /// Bytes since the last publication.
  struct byte_counts {
    uint64_t PeerReceived = 0;
    uint64_t PeerSent = 0;
    uint64_t CallerReceived = 0;
  };

  static void writeToLog(const link_report &Report);
  void publish();
  void publishTimes();
  void publishConnections(time_point Now);

  const clock_source &Clock;
  metrics &Metrics;
  double LinkRate;
  report_callback OnReport;
  event_loop_delay LoopDelay;
  byte_counts Counts;
  /// The transit delays since the last publication, by kind of message.
  std::array<std::vector<duration>, 2> TransitDelays;
  std::vector<duration> RoundTrips;
  late_messages Late;
  lost_connections Lost;
  std::set<monitored_connection *> Connections;
  time_point PublishedAt;
  timer Tick;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NET_LINK_MONITOR_HPP
