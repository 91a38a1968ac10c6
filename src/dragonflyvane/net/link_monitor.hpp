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
#include <vector>

namespace dragonflyvane {

/// What a message between daemons is.
enum class message_kind : uint8_t { Request, Response };

/// The messages of peers that arrived late in a period of about a second, and
/// what this host did in that time.
struct late_messages {
  /// The message with the longest transit delay.
  endpoint Peer;
  message_kind Kind = message_kind::Request;
  duration TransitDelay{0};
  /// Number of late messages.
  uint64_t Count = 0;
  /// Bytes received in the period.
  uint64_t PeerBytes = 0;
  uint64_t CallerBytes = 0;
  duration Period{0};
  /// Bandwidth of the link of this host in bytes per second.
  double LinkRate = 0;
  /// The longest delay of the event loop.
  duration LoopDelay{0};
};

/// Counts bytes and late messages. Observations are cheap; once a second they
/// are added to the metrics, and late messages are logged in one line. Used on
/// the event loop's thread.
class link_monitor {
public:
  using late_callback = std::function<void(const late_messages &)>;

  /// `Loop`, `Clock` and `Metrics` must outlive this object.
  link_monitor(scheduler &Loop, const clock_source &Clock, metrics &Metrics,
               double LinkRate, late_callback OnLate = logLateMessages);

  /// To be called with the number of bytes that were read from a connection of
  /// a peer, or handed to the socket of one.
  void onPeerBytesReceived(size_t Bytes) { Counts.PeerReceived += Bytes; }
  void onPeerBytesSent(size_t Bytes) { Counts.PeerSent += Bytes; }
  /// The same for bytes of callers on other hosts.
  void onCallerBytesReceived(size_t Bytes) { Counts.CallerReceived += Bytes; }
  /// To be called when a message of a peer has arrived completely.
  void onMessage(message_kind Kind, duration TransitDelay,
                 const endpoint &Peer);

private:
  /// Bytes since the last publication.
  struct byte_counts {
    uint64_t PeerReceived = 0;
    uint64_t PeerSent = 0;
    uint64_t CallerReceived = 0;
  };

  static void logLateMessages(const late_messages &Late);
  void publish();
  void publishTransitDelays();

  const clock_source &Clock;
  metrics &Metrics;
  double LinkRate;
  late_callback OnLate;
  event_loop_delay LoopDelay;
  byte_counts Counts;
  /// The transit delays since the last publication, by kind of message.
  std::array<std::vector<duration>, 2> TransitDelays;
  late_messages Late;
  time_point PublishedAt;
  timer Tick;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NET_LINK_MONITOR_HPP
