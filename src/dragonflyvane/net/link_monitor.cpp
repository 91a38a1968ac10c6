#include "dragonflyvane/net/link_monitor.hpp"

#include "dragonflyvane/net/log.hpp"

#include <utility>

namespace dragonflyvane {

namespace {

constexpr std::chrono::seconds PublishPeriod{1};
/// A message with a longer transit delay is late.
constexpr std::chrono::milliseconds LateTransit{200};

const char *toString(message_kind Kind) {
  return Kind == message_kind::Request ? "request" : "response";
}

} // namespace

link_monitor::link_monitor(scheduler &Loop, const clock_source &Clock,
                           metrics &Metrics, double LinkRate,
                           late_callback OnLate)
    : Clock(Clock), Metrics(Metrics), LinkRate(LinkRate),
      OnLate(std::move(OnLate)), LoopDelay(Loop, Clock, Metrics),
      PublishedAt(Clock.now()) {
  Metrics.set("link_bytes_per_second", {}, LinkRate);
  Tick = Loop.every(PublishPeriod, [this] { publish(); });
}

void link_monitor::onMessage(message_kind Kind, duration TransitDelay,
                             const endpoint &Peer) {
  TransitDelays[static_cast<size_t>(Kind)].push_back(TransitDelay);
  if (TransitDelay <= LateTransit)
    return;
  ++Late.Count;
  if (TransitDelay <= Late.TransitDelay)
    return;
  Late.TransitDelay = TransitDelay;
  Late.Kind = Kind;
  Late.Peer = Peer;
}

void link_monitor::publish() {
  time_point Now = Clock.now();
  byte_counts Recent = std::exchange(Counts, {});
  Metrics.count("peer_received_bytes_total", {}, Recent.PeerReceived);
  Metrics.count("peer_sent_bytes_total", {}, Recent.PeerSent);
  Metrics.count("caller_received_bytes_total", {}, Recent.CallerReceived);
  publishTransitDelays();
  late_messages Report = std::exchange(Late, {});
  Report.PeerBytes = Recent.PeerReceived;
  Report.CallerBytes = Recent.CallerReceived;
  Report.Period = Now - std::exchange(PublishedAt, Now);
  Report.LinkRate = LinkRate;
  Report.LoopDelay = LoopDelay.publish();
  if (Report.Count > 0)
    OnLate(Report);
}

void link_monitor::publishTransitDelays() {
  for (message_kind Kind : {message_kind::Request, message_kind::Response})
    Metrics.observe(
        "peer_transit_seconds", {{"direction", toString(Kind)}},
        std::exchange(TransitDelays[static_cast<size_t>(Kind)], {}));
}

void link_monitor::logLateMessages(const late_messages &Late) {
  writeLog(log_level::Warning, "messages from a peer are late",
           {{"step", "peers"},
            {"peer", dragonflyvane::toString(Late.Peer)},
            {"direction", toString(Late.Kind)},
            {"transit_ms", inMilliseconds(Late.TransitDelay)},
            {"late_messages", Late.Count},
            {"peer_bytes", Late.PeerBytes},
            {"caller_bytes", Late.CallerBytes},
            {"period_ms", inMilliseconds(Late.Period)},
            {"link_bytes_per_s", static_cast<int64_t>(Late.LinkRate)},
            {"loop_late_ms", inMilliseconds(Late.LoopDelay)}});
}

} // namespace dragonflyvane
