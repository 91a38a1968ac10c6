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

/// A connection in a state that tests set.
struct fake_connection final : monitored_connection {
  uint64_t unacceptedBytes() override { return Unaccepted; }
  std::optional<time_point> oldestPing() const override { return Ping; }

  uint64_t Unaccepted = 0;
  std::optional<time_point> Ping;
};

struct monitored_link {
  bool hasMetric(const std::string &Line) const {
    std::string Text = "\n" + Metrics.exposition();
    return Text.find("\ndragonflyvane_" + Line + "\n") != std::string::npos;
  }

  manual_scheduler Loop;
  metrics Metrics;
  std::vector<link_report> Reports;
  endpoint Near{"10.0.0.1", 7};
  endpoint Far{"10.0.0.2", 7};
  link_monitor Monitor{
      Loop, Loop.clock(), Metrics, 1'250'000,
      [this](const link_report &Report) { Reports.push_back(Report); }};
};

} // namespace

// Guards against late messages without a trace of the reason: one report has
// what tells a full link from a cut.
TEST_CASE("late messages are reported with the bytes of the same second") {
  monitored_link Link;
  Link.Monitor.onPeerBytesReceived(900'000);
  Link.Monitor.onPeerBytesReceived(300'000);
  Link.Monitor.onCallerBytesReceived(40'000);
  Link.Monitor.onMessage({message_kind::Request, milliseconds(150)}, Link.Near);
  Link.Monitor.onMessage({message_kind::Request, milliseconds(700)}, Link.Near);
  Link.Monitor.onMessage(
      {message_kind::Response, milliseconds(900), milliseconds(10), 360'000},
      Link.Far);
  Link.Monitor.onMessage(
      {message_kind::Request, milliseconds(800), milliseconds(790), 300},
      Link.Near);
  CHECK(Link.Reports.empty());
  Link.Loop.runFor(seconds(1));
  REQUIRE(Link.Reports.size() == 1);
  const link_report &Report = Link.Reports[0];
  CHECK((Report.Late.Peer == Link.Far));
  CHECK((Report.Late.Worst.Kind == message_kind::Response));
  CHECK(Report.Late.Worst.TransitDelay == milliseconds(900));
  CHECK(Report.Late.Worst.Bytes == 360'000);
  CHECK(Report.Late.HeaderDelay == milliseconds(790));
  CHECK(Report.Late.Count == 3);
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
  Link.Monitor.onMessage({message_kind::Request, milliseconds(700)}, Link.Near);
  Link.Loop.runFor(seconds(3));
  Link.Monitor.onPeerBytesReceived(5'000'000);
  Link.Monitor.onMessage({message_kind::Request, milliseconds(200)}, Link.Near);
  Link.Loop.runFor(seconds(2));
  CHECK(Link.Reports.size() == 1);
}

TEST_CASE("bytes and transit delays are in the metrics within a second") {
  monitored_link Link;
  Link.Monitor.onPeerBytesReceived(1'000);
  Link.Monitor.onPeerBytesSent(20);
  Link.Monitor.onCallerBytesReceived(3);
  Link.Monitor.onMessage({message_kind::Request, milliseconds(400)}, Link.Near);
  Link.Monitor.onMessage({message_kind::Request, milliseconds(700)}, Link.Near);
  Link.Monitor.onMessage({message_kind::Response, milliseconds(1)}, Link.Near);
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

// Guards against a cut that looks like a full link: the report of lost
// connections has what was received meanwhile.
TEST_CASE("lost connections are reported and counted by reason") {
  monitored_link Link;
  fake_connection Silent;
  fake_connection Reset;
  Link.Monitor.add(Silent);
  Link.Monitor.add(Reset);
  Silent.Ping = Link.Loop.now();
  Link.Loop.runFor(milliseconds(500));
  Link.Monitor.onConnectionLost(Silent, Link.Near, "no response to PING");
  Link.Monitor.remove(Silent);
  Link.Monitor.onConnectionLost(Reset, Link.Far, "write failed");
  Link.Monitor.remove(Reset);
  Link.Loop.runFor(seconds(2));
  REQUIRE(Link.Reports.size() == 1);
  CHECK(Link.Reports[0].Lost.Count == 2);
  CHECK((Link.Reports[0].Lost.Peer == Link.Far));
  CHECK(Link.Reports[0].Lost.Reason == "write failed");
  CHECK(Link.Reports[0].Late.Count == 0);
  CHECK(Link.Reports[0].PeerBytes == 0);
  CHECK(Link.hasMetric(
      R"(peer_connections_lost_total{reason="no response to PING"} 1)"));
  CHECK(Link.hasMetric(
      R"(peer_connections_lost_total{reason="write failed"} 1)"));
  CHECK(Link.hasMetric("peer_connections_silent_total 1"));
}

TEST_CASE("the state of open connections is in the metrics") {
  monitored_link Link;
  fake_connection First;
  fake_connection Second;
  First.Unaccepted = 9'000;
  First.Ping = Link.Loop.now() + milliseconds(400);
  Second.Unaccepted = 500;
  Second.Ping = Link.Loop.now() + milliseconds(500);
  Link.Monitor.add(First);
  Link.Monitor.add(Second);
  Link.Loop.runFor(seconds(1));
  CHECK(Link.hasMetric("peer_unaccepted_bytes 9500"));
  CHECK(Link.hasMetric("peer_oldest_ping_seconds 0.6"));
  Link.Monitor.remove(First);
  Second.Ping.reset();
  Link.Monitor.onPingAnswered(milliseconds(600));
  Link.Monitor.onPingAnswered(milliseconds(2));
  Link.Loop.runFor(seconds(1));
  CHECK(Link.hasMetric("peer_unaccepted_bytes 500"));
  CHECK(Link.hasMetric("peer_oldest_ping_seconds 0"));
  CHECK(Link.hasMetric("peer_ping_seconds_count 2"));
  CHECK(Link.hasMetric("peer_connections_silent_total 1"));
}

// Guards against a host with a full link on which nothing shows that it is
// full.
TEST_CASE("uploads that fill the link of a host are reported there") {
  constexpr size_t Rate = 125'000;
  event_loop Loop;
  boot_clock Clock;
  metrics Metrics;
  std::vector<link_report> Reports;
  link_monitor Monitor(Loop, Clock, Metrics, Rate,
                       [&](const link_report &Report) {
                         Reports.push_back(Report);
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
  // An upload takes 480 ms.
  timer Uploads = Loop.every(milliseconds(400), [&] {
    Client.send(Link.localEndpoint(), Upload, seconds(20),
                [](const call_result &) {});
  });
  timer Limit = Loop.after(seconds(10), [&] { Loop.stop(); });
  Loop.run();
  REQUIRE(Reports.size() == 1);
  CHECK(Reports[0].Late.Peer.Address == "127.0.0.1");
  CHECK((Reports[0].Late.Worst.Kind == message_kind::Request));
  CHECK(Reports[0].Late.Worst.TransitDelay > milliseconds(200));
  CHECK(Reports[0].Late.Worst.Bytes >= 60'000);
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

namespace {

/// A client with a monitor that calls a peer which responds after 600 ms, over
/// a link with these delays.
struct monitored_client {
  explicit monitored_client(milliseconds LinkDelay)
      : Link(Listen, {LinkDelay, 0}, {}) {}

  void call() {
    Client.send(Link.localEndpoint(), {}, seconds(20),
                [this](const call_result &) { Loop.stop(); });
    timer Limit = Loop.after(seconds(10), [&] { Loop.stop(); });
    Loop.run();
    // Until the next publication.
    timer Later = Loop.after(milliseconds(1'100), [&] { Loop.stop(); });
    Loop.run();
  }

  bool hasMetric(const std::string &Line) const {
    return Metrics.exposition().find("dragonflyvane_" + Line) !=
           std::string::npos;
  }

  event_loop Loop;
  boot_clock Clock;
  metrics Metrics;
  std::vector<link_report> Reports;
  link_monitor Monitor{
      Loop, Clock, Metrics, 1'250'000,
      [this](const link_report &Report) { Reports.push_back(Report); }};
  timer Response;
  endpoint Listen{"127.0.0.1", freePort()};
  peer_server Server{
      Loop, Listen, 1 << 20, [this](const exchange_pointer &Exchange) {
        Response = Loop.after(milliseconds(600),
                              [Exchange] { Exchange->respond({}); });
      }};
  slow_link Link;
  peer_client Client{Loop, 1 << 20, {.Monitor = &Monitor}};
};

} // namespace

TEST_CASE("the round trip of a PING is in the metrics") {
  monitored_client Peers(milliseconds(20));
  Peers.call();
  CHECK(Peers.hasMetric("peer_ping_seconds_count "));
  CHECK(!Peers.hasMetric("peer_ping_seconds_count 0\n"));
  CHECK(Peers.hasMetric("peer_ping_seconds_bucket{le=\"0.012\"} 0\n"));
  CHECK(Peers.hasMetric("peer_oldest_ping_seconds 0\n"));
  CHECK(Peers.hasMetric("peer_unaccepted_bytes 0\n"));
  CHECK(Peers.Reports.empty());
}

TEST_CASE("a connection to a peer that is gone is reported as lost") {
  monitored_client Peers(std::chrono::hours(1));
  Peers.call();
  REQUIRE(Peers.Reports.size() == 1);
  CHECK(Peers.Reports[0].Lost.Count == 1);
  CHECK((Peers.Reports[0].Lost.Peer == Peers.Link.localEndpoint()));
  CHECK(Peers.hasMetric("peer_connections_silent_total 1\n"));
  CHECK(Peers.hasMetric("peer_ping_seconds_count 0\n"));
}
