#include "dragonflyvane/node/serving/host_selector.hpp"

#include "dragonflyvane/core/admission/capacity_estimator.hpp"
#include "dragonflyvane/core/admission/route_costs.hpp"

#include <doctest/doctest.h>

#include <array>
#include <deque>
#include <random>

using namespace dragonflyvane;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr size_t Small = 1'000;
constexpr size_t Large = 90'000;

/// The selector of host `own`, with servers on this host, on another host of
/// its failure domain and on two hosts of another failure domain.
struct host_selector_fixture {
  host_selector_fixture() {
    add("own", "west");
    add("near", "west");
    add("far-1", "east");
    add("far-2", "east");
  }

  void add(const std::string &Name, const std::string &Domain) {
    host_info Info;
    Info.PeerEndpoint = {"127.0.0.1", 7780};
    Info.FailureDomain = Domain;
    Info.Service = "catalogue";
    Info.Availability = server_availability::Ready;
    Info.Slots = 6;
    View.apply({hostRow(Name), ++Version, encodeHost(Info)});
  }

  void reportLoad(const std::string &Name, uint32_t Busy,
                  milliseconds LinkDelay,
                  milliseconds TokenDelay = milliseconds(0)) {
    HostSelector.onSent(Name);
    HostSelector.onFinished(Name,
                            {Busy, 6, milliseconds(50), LinkDelay, TokenDelay});
  }

  void reportIncomingDelay(const std::string &Name, milliseconds Delay) {
    dispatcher_load Load;
    Load.Slots = 6;
    Load.ProcessingTime = milliseconds(50);
    Load.IncomingDelay = Delay;
    HostSelector.onSent(Name);
    HostSelector.onFinished(Name, Load);
  }

  /// Number of requests, out of 200, for which the host is picked.
  int countPicks(const std::string &Name, const message_sizes &Sizes) {
    int Count = 0;
    for (int I = 0; I < 200; ++I)
      Count += HostSelector.pick("catalogue", Sizes, {}) == Name;
    return Count;
  }
  /// The same for a response of this size.
  int countPicks(const std::string &Name, size_t Bytes) {
    return countPicks(Name, message_sizes{0, Bytes});
  }

  manual_clock Clock;
  cluster_view View;
  row_version Version = 0;
  operator_state OperatorState{{},
                               [](const stored_row &) { return std::nullopt; }};
  host_selector HostSelector{View, OperatorState, Clock, "own", "west"};
};

} // namespace

// Guards against uploads that all go to the fastest server, whose host has a
// full link, while the links of others are free.
TEST_CASE("large requests avoid a host whose incoming link is busy") {
  host_selector_fixture Selector;
  for (const char *Name : {"own", "near", "far-1", "far-2"})
    Selector.reportIncomingDelay(Name, milliseconds(0));
  Selector.reportIncomingDelay("near", milliseconds(800));
  CHECK(Selector.countPicks("near", {Large, 0}) == 0);
  // The link that a request of this host does not cross is no reason.
  Selector.reportIncomingDelay("own", milliseconds(800));
  CHECK(Selector.countPicks("own", {Large, 0}) > 100);
  // Small requests do not wait for large ones.
  Selector.reportLoad("own", 12, milliseconds(0));
  CHECK(Selector.countPicks("near", {100, 0}) > 0);
  // A report of the past says little.
  Selector.Clock.advance(std::chrono::seconds(10));
  Selector.reportLoad("own", 12, milliseconds(0));
  CHECK(Selector.countPicks("near", {Large, 0}) > 0);
}

TEST_CASE("large responses prefer the own host, then its failure domain") {
  host_selector_fixture Selector;
  CHECK(Selector.countPicks("own", Large) == 200);
  Selector.reportLoad("own", 9, milliseconds(0));
  CHECK(Selector.countPicks("near", Large) == 200);
}

TEST_CASE(
    "large responses leave the failure domain when all of its links are busy") {
  host_selector_fixture Selector;
  Selector.reportLoad("own", 0, milliseconds(900));
  Selector.reportLoad("near", 0, milliseconds(700));
  CHECK(Selector.countPicks("own", Large) == 0);
  CHECK(Selector.countPicks("far-1", Large) > 50);
  CHECK(Selector.countPicks("far-2", Large) > 50);
}

TEST_CASE("a busy link does not divert requests with small responses") {
  host_selector_fixture Selector;
  Selector.reportLoad("own", 0, milliseconds(900));
  CHECK(Selector.countPicks("own", Small) == 200);
}

TEST_CASE("requests with small responses avoid a busy server") {
  host_selector_fixture Selector;
  Selector.reportLoad("own", 20, milliseconds(0));
  CHECK(Selector.countPicks("own", Small) < 20);
}

TEST_CASE("a host that was tried is picked only if there is no other") {
  host_selector_fixture Selector;
  for (int I = 0; I < 50; ++I)
    CHECK(Selector.HostSelector.pick("catalogue", {0, Large}, {"own"}) !=
          "own");
  CHECK(Selector.HostSelector.pick("catalogue", {0, Large},
                                   {"own", "near", "far-1", "far-2"}));
  CHECK_FALSE(Selector.HostSelector.pick("unknown", {0, Large}, {}));
}

// Guards against requests that are sent to a server at its rate limit while
// others have room. Pattern: part of the servers without keys are limited.
TEST_CASE("hosts whose servers are at their rate limit are avoided") {
  host_selector_fixture Fixture;
  Fixture.reportLoad("own", 0, milliseconds(0), milliseconds(300));
  Fixture.reportLoad("near", 0, milliseconds(0), milliseconds(300));
  CHECK(Fixture.countPicks("own", Small) + Fixture.countPicks("near", Small) <
        60);
}

// Guards against a host that nobody has heard of and that therefore looks
// faster than it is. Pattern: a new host in a service of slow requests.
TEST_CASE("an unknown host is taken to be as fast as the service usually is") {
  host_selector_fixture Fixture;
  for (const char *Name : {"own", "near", "far-1"}) {
    Fixture.HostSelector.onSent(Name);
    Fixture.HostSelector.onFinished(Name, {0, 6, milliseconds(140)});
  }
  CHECK(Fixture.countPicks("far-2", Small) == 0);
  Fixture.HostSelector.onSent("own");
  Fixture.HostSelector.onFinished("own", {6, 6, milliseconds(140)});
  CHECK(Fixture.countPicks("far-2", Small) > 20);
}

// Guards against requests at a host that learned to run fewer than it has
// slots. Pattern: the same number of busy slots on all hosts.
TEST_CASE("a host with a lower limit is full earlier") {
  host_selector_fixture Fixture;
  Fixture.HostSelector.onSent("own");
  Fixture.HostSelector.onFinished("own", {3, 2, milliseconds(50)});
  for (const char *Name : {"near", "far-1", "far-2"})
    Fixture.reportLoad(Name, 3, milliseconds(0));
  CHECK(Fixture.countPicks("own", Small) == 0);
}

// Guards against a slow host that looks fast because of cheap requests, and
// against one that gets no requests for good since it once was slow.
TEST_CASE("a host's speed counts, and less the older it is") {
  host_selector_fixture Fixture;
  for (int I = 0; I < 20; ++I)
    for (const char *Name : {"near", "far-1", "far-2"}) {
      Fixture.HostSelector.onSent(Name);
      Fixture.HostSelector.onFinished(Name,
                                      {2, 6, milliseconds(140), {}, {}, 1.0});
    }
  Fixture.HostSelector.onSent("own");
  Fixture.HostSelector.onFinished("own",
                                  {0, 6, milliseconds(50), {}, {}, 1.0 / 3});
  CHECK(Fixture.countPicks("own", Small) == 0);
  Fixture.Clock.advance(seconds(15));
  // The busy slots of the other hosts are as old.
  for (const char *Name : {"near", "far-1", "far-2"}) {
    Fixture.HostSelector.onSent(Name);
    Fixture.HostSelector.onFinished(Name,
                                    {2, 6, milliseconds(140), {}, {}, 1.0});
  }
  CHECK(Fixture.countPicks("own", Small) == 200);
}

namespace {

/// Six servers of speeds 0.6, 1.0 and 1.4 with 9 slots and a queue each, slow
/// in random bursts, and six hosts that choose among them. Time passes in steps
/// of 1 ms.
struct uneven_service {
  struct request {
    time_point ArrivedAt;
    size_t Router = 0;
    time_point SentAt{};
    time_point End{};
    uint32_t InFlight = 0;
  };
  struct server {
    double Speed = 1;
    bool IsSlow = false;
    std::deque<request> Waiting;
    std::vector<request> Running;
    capacity_estimator Estimator;
    route_costs Costs;
    size_t Received = 0;
  };
  static constexpr size_t Count = 6;
  static constexpr uint32_t Slots = 9;

  uneven_service(bool Learns, unsigned Seed)
      : Learns(Learns), Random(Seed), BurstRandom(Seed) {
    constexpr std::array<double, 3> Speeds{0.6, 1.0, 1.4};
    for (size_t I = 0; I < Count; ++I) {
      host_info Info;
      Info.PeerEndpoint = {"127.0.0.1", 7780};
      Info.FailureDomain = "west";
      Info.Service = "desk";
      Info.Availability = server_availability::Ready;
      Info.Slots = Slots;
      View.apply({hostRow(nameOf(I)), static_cast<row_version>(I + 1),
                  encodeHost(Info)});
      Servers[I].Speed = Speeds[I % Speeds.size()];
      Servers[I].Estimator.setSlots(Slots);
      // The lower quartile of the work at speed 1.
      Servers[I].Estimator.setServiceTimes({{"peek", milliseconds(119)}});
    }
    for (size_t I = 0; I < Count; ++I)
      Routers.emplace_back(View, OperatorState, Clock, "caller", "west",
                           Seed * Count + I);
  }

  static std::string nameOf(size_t I) { return "server" + std::to_string(I); }

  double draw(double From, double To) {
    return std::uniform_real_distribution<>(From, To)(Random);
  }

  /// Returns the share of the requests that go to the server.
  double shareOf(size_t I, duration Span, double Rate) {
    size_t ArrivedBefore = Arrived;
    size_t ReceivedBefore = Servers[I].Received;
    shareInTime(Span, Rate);
    return static_cast<double>(Servers[I].Received - ReceivedBefore) /
           static_cast<double>(Arrived - ArrivedBefore);
  }

  /// Returns the share of the requests that are answered within 500 ms.
  double shareInTime(duration Span, double Rate) {
    for (duration Elapsed{0}; Elapsed < Span; Elapsed += milliseconds(1)) {
      Clock.advance(milliseconds(1));
      if (draw(0, 1000) < Rate)
        arrive();
      for (size_t I = 0; I < Count; ++I)
        serve(I);
    }
    return static_cast<double>(InTime) / static_cast<double>(Arrived);
  }

  void arrive() {
    ++Arrived;
    size_t Router = Arrived % Count;
    std::string Name = *Routers[Router].pick("desk", {0, 1000}, {});
    Routers[Router].onSent(Name);
    server &Server = Servers[Name.back() - '0'];
    Server.Waiting.push_back({Clock.now(), Router});
    ++Server.Received;
  }

  void serve(size_t I) {
    server &Server = Servers[I];
    if (Clock.now().time_since_epoch() % milliseconds(400) == duration{0})
      Server.IsSlow = std::uniform_real_distribution<>(0, 1)(BurstRandom) < 0.2;
    for (const request &Request : Server.Running)
      if (Request.End <= Clock.now())
        finish(I, Request);
    std::erase_if(Server.Running, [this](const request &Request) {
      return Request.End <= Clock.now();
    });
    while (!Server.Waiting.empty() && Server.Running.size() < limitOf(Server))
      start(Server);
  }

  void start(server &Server) {
    request Request = Server.Waiting.front();
    Server.Waiting.pop_front();
    double Slowness = (Server.IsSlow ? 3 : 1) / Server.Speed;
    Request.SentAt = Clock.now();
    Request.End =
        Clock.now() + std::chrono::duration_cast<duration>(
                          milliseconds(140) * draw(0.7, 1.3) * Slowness);
    Request.InFlight = static_cast<uint32_t>(Server.Running.size()) + 1;
    Server.Running.push_back(Request);
  }

  uint32_t limitOf(const server &Server) const {
    return Learns ? Server.Estimator.concurrencyLimit(Clock.now()) : Slots;
  }

  void finish(size_t I, const request &Request) {
    server &Server = Servers[I];
    InTime += Clock.now() - Request.ArrivedAt <= milliseconds(500) ? 1 : 0;
    duration Time = Request.End - Request.SentAt;
    Server.Costs.observe("peek", Time, 0);
    Server.Estimator.observe({"peek", Time, Request.InFlight}, Clock.now());
    dispatcher_load Load;
    Load.Busy =
        static_cast<uint32_t>(Server.Running.size() + Server.Waiting.size());
    Load.Slots = limitOf(Server);
    Load.ProcessingTime = std::chrono::duration_cast<milliseconds>(
        Server.Costs.meanProcessingTime());
    if (Learns && Server.Estimator.isSpeedKnown())
      Load.Speed = Server.Estimator.speed();
    Routers[Request.Router].onFinished(nameOf(I), Load);
  }

  bool Learns;
  manual_clock Clock;
  cluster_view View;
  operator_state OperatorState{{},
                               [](const stored_row &) { return std::nullopt; }};
  std::deque<host_selector> Routers;
  std::array<server, Count> Servers;
  std::mt19937 Random;
  /// Separate, so that the bursts do not depend on the choices.
  std::mt19937 BurstRandom;
  size_t Arrived = 0;
  size_t InTime = 0;
};

} // namespace

// Guards against an estimate that serves callers worse than the slots and the
// mean processing time do. Pattern: servers of speeds 0.6, 1.0 and 1.4 that are
// three times slower a fifth of the time, at half and at most of their
// capacity.
TEST_CASE("with learned capacity no fewer requests are in time") {
  constexpr unsigned Seeds = 8;
  for (double Rate : {140.0, 200.0, 240.0}) {
    double Without = 0;
    double With = 0;
    for (unsigned Seed = 1; Seed <= Seeds; ++Seed) {
      Without += uneven_service(false, Seed).shareInTime(seconds(60), Rate);
      With += uneven_service(true, Seed).shareInTime(seconds(60), Rate);
    }
    MESSAGE("rate " << Rate << ": " << Without / Seeds << " without, "
                    << With / Seeds << " with");
    CHECK(With >= Without);
  }
}

// Guards against load that stays at a server which has become slow, or away
// from one that has recovered. Pattern: the capacity of one server is cut to a
// third and comes back, at most of the capacity of the service.
TEST_CASE("the share of a server follows its capacity within 3 s") {
  constexpr double Rate = 200;
  constexpr size_t Changed = 1;
  double Before = 0;
  double Cut = 0;
  double After = 0;
  constexpr unsigned Seeds = 8;
  for (unsigned Seed = 1; Seed <= Seeds; ++Seed) {
    uneven_service Service(true, Seed);
    Service.shareInTime(seconds(20), Rate);
    Before += Service.shareOf(Changed, seconds(10), Rate);
    Service.Servers[Changed].Speed /= 3;
    Service.shareInTime(seconds(3), Rate);
    Cut += Service.shareOf(Changed, seconds(10), Rate);
    Service.Servers[Changed].Speed *= 3;
    Service.shareInTime(seconds(3), Rate);
    After += Service.shareOf(Changed, seconds(5), Rate);
  }
  MESSAGE("share " << Before / Seeds << " before, " << Cut / Seeds << " cut, "
                   << After / Seeds << " after");
  CHECK(Cut < Before / 2);
  CHECK(After > Before * 2 / 3);
}
