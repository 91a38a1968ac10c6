#include "dragonflyvane/node/host_selector.hpp"

#include <doctest/doctest.h>

using namespace dragonflyvane;
using std::chrono::milliseconds;

namespace {

constexpr size_t Small = 1'000;
constexpr size_t Large = 90'000;

/// An entrance at `own`, with servers there, near and far.
struct host_selector_fixture {
  host_selector_fixture() {
    add("own", "west");
    add("near", "west");
    add("far-1", "east");
    add("far-2", "east");
  }

  void add(const std::string &Name, const std::string &Domain) {
    host_info Info;
    Info.FailureDomain = Domain;
    Info.Service = "catalogue";
    Info.Availability = server_availability::Ready;
    Info.Slots = 6;
    View.apply({hostRow(Name), ++Version, encodeHost(Info)});
  }

  void tell(const std::string &Name, uint32_t Busy, milliseconds LinkDelay) {
    HostSelector.onSent(Name);
    HostSelector.onEnded(Name, {Busy, 6, milliseconds(50), LinkDelay});
  }

  /// How many of 200 requests go to a host.
  int countOf(const std::string &Name, size_t Bytes) {
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

TEST_CASE("downloads stay on the host, and then in its failure domain") {
  host_selector_fixture Selector;
  CHECK(Selector.countOf("own", Large) == 200);
  Selector.tell("own", 9, milliseconds(0));
  CHECK(Selector.countOf("near", Large) == 200);
}

TEST_CASE("downloads go far when every link nearby is busy") {
  host_selector_fixture Selector;
  Selector.tell("own", 0, milliseconds(900));
  Selector.tell("near", 0, milliseconds(700));
  CHECK(Selector.countOf("own", Large) == 0);
  CHECK(Selector.countOf("far-1", Large) > 50);
  CHECK(Selector.countOf("far-2", Large) > 50);
}

TEST_CASE("a busy link does not turn small requests away") {
  host_selector_fixture Selector;
  Selector.tell("own", 0, milliseconds(900));
  CHECK(Selector.countOf("own", Small) == 200);
}

TEST_CASE("small requests avoid the server that is busy") {
  host_selector_fixture Selector;
  Selector.tell("own", 20, milliseconds(0));
  CHECK(Selector.countOf("own", Small) < 20);
}

TEST_CASE("a host that was tried comes last") {
  host_selector_fixture Selector;
  for (int I = 0; I < 50; ++I)
    CHECK(Selector.HostSelector.pick("catalogue", Large, {"own"}) != "own");
  CHECK(Selector.HostSelector.pick("catalogue", Large,
                                   {"own", "near", "far-1", "far-2"}));
  CHECK_FALSE(Selector.HostSelector.pick("unknown", Large, {}));
}
