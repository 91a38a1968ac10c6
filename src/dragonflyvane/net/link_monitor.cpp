#include "dragonflyvane/net/link_monitor.hpp"

#include "dragonflyvane/net/log.hpp"

#include <algorithm>
#include <utility>

namespace dragonflyvane {

namespace {

constexpr std::chrono::seconds PublishPeriod{1};
/// A message with a longer transit delay is late.
constexpr std::chrono::milliseconds LateTransit{200};

/// A connection whose peer does not answer a PING within this time is silent.
constexpr std::chrono::milliseconds SilentAfter{250};

const char *toString(message_kind Kind) {
  return Kind == message_kind::Request ? "request" : "response";
}

} // namespace

link_monitor::link_monitor(scheduler &Loop, const clock_source &Clock,
                           metrics &Metrics, double LinkRate,
                           report_callback OnReport)
    : Clock(Clock), Metrics(Metrics), LinkRate(LinkRate),
      OnReport(std::move(OnReport)), LoopDelay(Loop, Clock, Metrics),
      PublishedAt(Clock.now()) {
  Metrics.set("link_bytes_per_second", {}, LinkRate);
  Tick = Loop.every(PublishPeriod, [this] { publish(); });
}

void link_monitor::onMessage(const arrived_message &Message,
                             const endpoint &Peer) {
  TransitDelays[static_cast<size_t>(Message.Kind)].push_back(
      Message.TransitDelay);
  Late.HeaderDelay = std::max(Late.HeaderDelay, Message.HeaderDelay);
  if (Message.TransitDelay <= LateTransit)
    return;
  ++Late.Count;
  if (Message.TransitDelay <= Late.Worst.TransitDelay)
    return;
  Late.Worst = Message;
  Late.Peer = Peer;
}

void link_monitor::publish() {
  time_point Now = Clock.now();
  byte_counts Recent = std::exchange(Counts, {});
  Metrics.count("peer_received_bytes_total", {}, Recent.PeerReceived);
  Metrics.count("peer_sent_bytes_total", {}, Recent.PeerSent);
  Metrics.count("caller_received_bytes_total", {}, Recent.CallerReceived);
  publishTimes();
  publishConnections(Now);
  link_report Report;
  Report.Late = std::exchange(Late, {});
  Report.Lost = std::exchange(Lost, {});
  Report.PeerBytes = Recent.PeerReceived;
  Report.CallerBytes = Recent.CallerReceived;
  Report.Period = Now - std::exchange(PublishedAt, Now);
  Report.LinkRate = LinkRate;
  Report.LoopDelay = LoopDelay.publish();
  if (Report.Late.Count > 0 || Report.Lost.Count > 0)
    OnReport(Report);
}

void link_monitor::publishTimes() {
  for (message_kind Kind : {message_kind::Request, message_kind::Response})
    Metrics.observe(
        "peer_transit_seconds", {{"direction", toString(Kind)}},
        std::exchange(TransitDelays[static_cast<size_t>(Kind)], {}));
  Metrics.observe("peer_ping_seconds", {}, std::exchange(RoundTrips, {}));
}

void link_monitor::publishConnections(time_point Now) {
  uint64_t UnacceptedBytes = 0;
  duration PingAge{0};
  for (monitored_connection *Connection : Connections) {
    UnacceptedBytes += Connection->unacceptedBytes();
    PingAge = std::max(PingAge, Now - Connection->oldestPing().value_or(Now));
  }
  Metrics.set("peer_unaccepted_bytes", {},
              static_cast<double>(UnacceptedBytes));
  Metrics.set("peer_oldest_ping_seconds", {},
              std::chrono::duration<double>(PingAge).count());
}

void link_monitor::onPingAnswered(duration RoundTrip) {
  RoundTrips.push_back(RoundTrip);
  if (RoundTrip > SilentAfter)
    Metrics.count("peer_connections_silent_total");
}

void link_monitor::add(monitored_connection &Connection) {
  Connections.insert(&Connection);
}

void link_monitor::remove(monitored_connection &Connection) {
  Connections.erase(&Connection);
}

void link_monitor::onConnectionLost(monitored_connection &Connection,
                                    const endpoint &Peer,
                                    const std::string &Reason) {
  time_point Now = Clock.now();
  if (Now - Connection.oldestPing().value_or(Now) > SilentAfter)
    Metrics.count("peer_connections_silent_total");
  Metrics.count("peer_connections_lost_total", {{"reason", Reason}});
  Lost = {Peer, Reason, Lost.Count + 1};
}

void link_monitor::writeToLog(const link_report &Report) {
  const late_messages &Late = Report.Late;
  if (Late.Count > 0)
    writeLog(log_level::Warning, "messages from a peer are late",
             {{"step", "peers"},
              {"peer", dragonflyvane::toString(Late.Peer)},
              {"direction", toString(Late.Worst.Kind)},
              {"transit_ms", inMilliseconds(Late.Worst.TransitDelay)},
              {"message_bytes", Late.Worst.Bytes},
              {"header_ms", inMilliseconds(Late.HeaderDelay)},
              {"late_messages", Late.Count},
              {"peer_bytes", Report.PeerBytes},
              {"caller_bytes", Report.CallerBytes},
              {"period_ms", inMilliseconds(Report.Period)},
              {"link_bytes_per_s", static_cast<int64_t>(Report.LinkRate)},
              {"loop_late_ms", inMilliseconds(Report.LoopDelay)}});
  const lost_connections &Lost = Report.Lost;
  if (Lost.Count > 0)
    writeLog(log_level::Warning, "connections to peers were lost",
             {{"step", "peers"},
              {"peer", dragonflyvane::toString(Lost.Peer)},
              {"reason", Lost.Reason},
              {"connections", Lost.Count},
              {"peer_bytes", Report.PeerBytes},
              {"caller_bytes", Report.CallerBytes},
              {"period_ms", inMilliseconds(Report.Period)},
              {"link_bytes_per_s", static_cast<int64_t>(Report.LinkRate)},
              {"loop_late_ms", inMilliseconds(Report.LoopDelay)}});
}

} // namespace dragonflyvane
