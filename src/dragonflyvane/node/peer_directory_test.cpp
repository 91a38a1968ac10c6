#include "dragonflyvane/node/peer_directory.hpp"

#include <doctest/doctest.h>

using namespace dragonflyvane;
using std::chrono::milliseconds;

namespace {

constexpr size_t Small = 1'000;
constexpr size_t Large = 90'000;

/// An entrance at `own`, with servers there, near and far.
struct entrance_view {
  entrance_view() {
    add("own", "west");
    add("near", "west");
    add("far-1", "east");
    add("far-2", "east");
  }

  void add(const std::string &Name, const std::string &Domain) {
    host_info Info;
    Info.FailureDomain = Domain;
    Info.Service = "catalogue";
    Info.Standing = server_standing::Ready;
    Info.Slots = 6;
    View.apply({hostRow(Name), ++Version, encodeHost(Info)});
  }

  void tell(const std::string &Name, uint32_t Busy, milliseconds LinkDelay) {
    Directory.onSent(Name);
    Directory.onEnded(Name, {Busy, 6, milliseconds(50), LinkDelay});
  }

  /// How many of 200 requests go to a host.
  int countOf(const std::string &Name, size_t Bytes) {
    int Count = 0;
    for (int I = 0; I < 200; ++I)
      Count += Directory.pick("catalogue", Bytes, {}) == Name;
    return Count;
  }

  manual_clock Clock;
  cluster_view View;
  row_version Version = 0;
  order_book Orders{{}, [](const stored_row &) { return std::nullopt; }};
  peer_directory Directory{View, Orders, Clock, "own", "west"};
};

} // namespace

TEST_CASE("downloads stay on the host, and then in its failure domain") {
  entrance_view Entrance;
  CHECK(Entrance.countOf("own", Large) == 200);
  Entrance.tell("own", 9, milliseconds(0));
  CHECK(Entrance.countOf("near", Large) == 200);
}

TEST_CASE("downloads go far when every link nearby is busy") {
  entrance_view Entrance;
  Entrance.tell("own", 0, milliseconds(900));
  Entrance.tell("near", 0, milliseconds(700));
  CHECK(Entrance.countOf("own", Large) == 0);
  CHECK(Entrance.countOf("far-1", Large) > 50);
  CHECK(Entrance.countOf("far-2", Large) > 50);
}

TEST_CASE("a busy link does not turn small requests away") {
  entrance_view Entrance;
  Entrance.tell("own", 0, milliseconds(900));
  CHECK(Entrance.countOf("own", Small) == 200);
}

TEST_CASE("small requests avoid the server that is busy") {
  entrance_view Entrance;
  Entrance.tell("own", 20, milliseconds(0));
  CHECK(Entrance.countOf("own", Small) < 20);
}

TEST_CASE("a host that was tried comes last") {
  entrance_view Entrance;
  for (int I = 0; I < 50; ++I)
    CHECK(Entrance.Directory.pick("catalogue", Large, {"own"}) != "own");
  CHECK(Entrance.Directory.pick("catalogue", Large,
                                {"own", "near", "far-1", "far-2"}));
  CHECK_FALSE(Entrance.Directory.pick("unknown", Large, {}));
}
