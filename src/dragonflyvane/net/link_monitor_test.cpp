#include "dragonflyvane/net/link_monitor.hpp"

#include "dragonflyvane/net/event_loop.hpp"
#include "dragonflyvane/net/http_server.hpp"
#include "dragonflyvane/net/peer_transport.hpp"
#include "manual_scheduler.hpp"
#include "raw_connection.hpp"
#include "slow_link.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace dragonflyvane;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct monitored_link {
  bool hasMetric(const std::string &Line) const {
    std::string Text = "\n" + Metrics.exposition();
    return Text.find("\ndragonflyvane_" + Line + "\n") != std::string::npos;
  }

  manual_scheduler Loop;
  metrics Metrics;
  std::vector<late_messages> Reports;
  endpoint Near{"10.0.0.1", 7};
  endpoint Far{"10.0.0.2", 7};
  link_monitor Monitor{
      Loop, Loop.clock(), Metrics, 1'250'000,
      [this](const late_messages &Late) { Reports.push_back(Late); }};
};

} // namespace

// Guards against late messages without a trace of the reason: one report has
// what tells a full link from a cut.
TEST_CASE("late messages are reported with the bytes of the same second") {
  monitored_link Link;
  Link.Monitor.onPeerBytesReceived(900'000);
  Link.Monitor.onPeerBytesReceived(300'000);
  Link.Monitor.onCallerBytesReceived(40'000);
  Link.Monitor.onMessage(message_kind::Request, milliseconds(150), Link.Near);
  Link.Monitor.onMessage(message_kind::Request, milliseconds(700), Link.Near);
  Link.Monitor.onMessage(message_kind::Response, milliseconds(900), Link.Far);
  Link.Monitor.onMessage(message_kind::Request, milliseconds(800), Link.Near);
  CHECK(Link.Reports.empty());
  Link.Loop.runFor(seconds(1));
  REQUIRE(Link.Reports.size() == 1);
  const late_messages &Report = Link.Reports[0];
  CHECK((Report.Peer == Link.Far));
  CHECK((Report.Kind == message_kind::Response));
  CHECK(Report.TransitDelay == milliseconds(900));
  CHECK(Report.Count == 3);
  CHECK(Report.PeerBytes == 1'200'000);
  CHECK(Report.CallerBytes == 40'000);
  CHECK(Report.Period == seconds(1));
  CHECK(Report.LinkRate == 1'250'000);
  CHECK(Report.LoopDelay == duration{0});
}

// Guards against a log that repeats old reports, or fills while nothing is
// late.
TEST_CASE("there is no report of a second without late messages") {
  monitored_link Link;
  Link.Monitor.onMessage(message_kind::Request, milliseconds(700), Link.Near);
  Link.Loop.runFor(seconds(3));
  Link.Monitor.onPeerBytesReceived(5'000'000);
  Link.Monitor.onMessage(message_kind::Request, milliseconds(200), Link.Near);
  Link.Loop.runFor(seconds(2));
  CHECK(Link.Reports.size() == 1);
}

TEST_CASE("bytes and transit delays are in the metrics within a second") {
  monitored_link Link;
  Link.Monitor.onPeerBytesReceived(1'000);
  Link.Monitor.onPeerBytesSent(20);
  Link.Monitor.onCallerBytesReceived(3);
  Link.Monitor.onMessage(message_kind::Request, milliseconds(400), Link.Near);
  Link.Monitor.onMessage(message_kind::Request, milliseconds(700), Link.Near);
  Link.Monitor.onMessage(message_kind::Response, milliseconds(1), Link.Near);
  Link.Loop.runFor(seconds(1));
  Link.Monitor.onPeerBytesReceived(1);
  Link.Loop.runFor(seconds(1));
  CHECK(Link.hasMetric("link_bytes_per_second 1.25e+06"));
  CHECK(Link.hasMetric("peer_received_bytes_total 1001"));
  CHECK(Link.hasMetric("peer_sent_bytes_total 20"));
  CHECK(Link.hasMetric("caller_received_bytes_total 3"));
  CHECK(Link.hasMetric(
      R"(peer_transit_seconds_bucket{direction="request",le="0.5"} 1)"));
  CHECK(Link.hasMetric(R"(peer_transit_seconds_count{direction="request"} 2)"));
  CHECK(
      Link.hasMetric(R"(peer_transit_seconds_count{direction="response"} 1)"));
}

// Guards against a host with a full link on which nothing shows that it is
// full.
TEST_CASE("uploads that fill the link of a host are reported there") {
  constexpr size_t Rate = 125'000;
  event_loop Loop;
  boot_clock Clock;
  metrics Metrics;
  std::vector<late_messages> Reports;
  link_monitor Monitor(Loop, Clock, Metrics, Rate,
                       [&](const late_messages &Late) {
                         Reports.push_back(Late);
                         Loop.stop();
                       });
  endpoint Listen{"127.0.0.1", freePort()};
  peer_server Server(
      Loop, Listen, 1 << 20,
      [](const exchange_pointer &Exchange) { Exchange->respond({}); },
      {.Monitor = &Monitor});
  slow_link Link(Listen, {{}, Rate}, {});
  peer_client Client(Loop, 1 << 20);
  http_request Upload{"POST", "/", {}, std::string(60'000, 'x')};
  for (int I = 0; I < 4; ++I)
    Client.send(Link.localEndpoint(), Upload, seconds(20),
                [](const call_result &) {});
  timer Limit = Loop.after(seconds(10), [&] { Loop.stop(); });
  Loop.run();
  REQUIRE(Reports.size() == 1);
  CHECK(Reports[0].Peer.Address == "127.0.0.1");
  CHECK((Reports[0].Kind == message_kind::Request));
  CHECK(Reports[0].TransitDelay > milliseconds(200));
  CHECK(Reports[0].PeerBytes > 60'000);
}

// Requests of the backend server on the same host do not cross the link.
TEST_CASE("only bytes of callers on other hosts are counted") {
  event_loop Loop;
  boot_clock Clock;
  metrics Metrics;
  link_monitor Monitor(Loop, Clock, Metrics, 1'000);
  int Handled = 0;
  auto Serve = [&](const exchange_pointer &Exchange) {
    Exchange->respond({});
    ++Handled;
  };
  // Connections to this address come from 127.0.0.1.
  endpoint Far{"127.0.0.2", freePort()};
  endpoint Near{"127.0.0.1", freePort()};
  http_server FarServer(Loop, Far, {}, Serve, nullptr, &Monitor);
  http_server NearServer(Loop, Near, {}, Serve, nullptr, &Monitor);
  const std::string Request =
      "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\n" +
      std::string(100, 'x');
  raw_connection FarCaller(Far);
  raw_connection NearCaller(Near);
  FarCaller.send(Request);
  NearCaller.send(Request);
  std::string Line =
      "caller_received_bytes_total " + std::to_string(Request.size()) + "\n";
  timer Limit = Loop.after(seconds(10), [&] { Loop.stop(); });
  timer Check = Loop.every(milliseconds(20), [&] {
    if (Handled == 2 && Metrics.exposition().find(Line) != std::string::npos)
      Loop.stop();
  });
  Loop.run();
  CHECK(Handled == 2);
  CHECK(Metrics.exposition().find(Line) != std::string::npos);
}
