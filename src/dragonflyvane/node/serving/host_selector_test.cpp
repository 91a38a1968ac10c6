#include "dragonflyvane/node/serving/host_selector.hpp"

#include <doctest/doctest.h>

using namespace dragonflyvane;
using std::chrono::milliseconds;

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

  /// Number of requests, out of 200, for which the host is picked.
  int countPicks(const std::string &Name, size_t Bytes) {
    int Count = 0;
    for (int I = 0; I < 200; ++I)
      Count += HostSelector.pick("catalogue", Bytes, {}) == Name;
    return Count;
  }

  manual_clock Clock;
  cluster_view View;
  row_version Version = 0;
  operator_state OperatorState{{},
                               [](const stored_row &) { return std::nullopt; }};
  host_selector HostSelector{View, OperatorState, Clock, "own", "west"};
};

} // namespace

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
    CHECK(Selector.HostSelector.pick("catalogue", Large, {"own"}) != "own");
  CHECK(Selector.HostSelector.pick("catalogue", Large,
                                   {"own", "near", "far-1", "far-2"}));
  CHECK_FALSE(Selector.HostSelector.pick("unknown", Large, {}));
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
