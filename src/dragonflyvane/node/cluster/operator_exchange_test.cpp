#include "dragonflyvane/node/cluster/operator_exchange.hpp"

#include "fake_peers.hpp"

#include <doctest/doctest.h>

using namespace dragonflyvane;
using std::chrono::milliseconds;

namespace {

const row_id Config{row_kind::Operator, "config"};

std::optional<operator_row> decodeVersionRow(const stored_row &Row) {
  auto Decoded = std::make_shared<configuration>();
  Decoded->Version = std::stoull(Row.Value.value_or("0"));
  return operator_row{Decoded, ""};
}

/// Two hosts; the first one does not follow the store at first.
struct fixture {
  fixture() {
    for (const char *Name : {"a", "b"}) {
      host_info Info;
      Info.PeerEndpoint = endpointOf(Name);
      View.apply({hostRow(Name), 1, encodeHost(Info)});
    }
    for (const char *Name : {"a", "b"})
      Peers.add(endpointOf(Name), [this, Name](const exchange_pointer &Call) {
        ++Asked[Name];
        CHECK(exchangeOf(Name).serve(Call));
      });
  }
  ~fixture() { Loop.clear(); }

  static endpoint endpointOf(const std::string &Name) {
    return {"127.0.0.1", static_cast<uint16_t>(Name == "a" ? 7001 : 7002)};
  }
  operator_exchange &exchangeOf(const std::string &Name) {
    return Name == "a" ? First : Second;
  }
  peer_sender senderOf(const std::string &Name) {
    return [this, Name](const endpoint &To, const http_request &Request,
                        milliseconds Timeout, fake_peers::callback Callback) {
      Peers.send(endpointOf(Name), To, Request, Timeout, std::move(Callback));
    };
  }

  manual_scheduler Loop;
  fake_peers Peers{Loop};
  cluster_view View;
  std::map<std::string, int> Asked;
  bool IsFollowing = false;
  operator_state FirstState{{Config}, decodeVersionRow};
  operator_state SecondState{{Config}, decodeVersionRow};
  operator_exchange First{
      {"a", Loop, View, FirstState, senderOf("a"),
       [this] { return IsFollowing; },
       [this](const row_batch &Rows) { FirstState.applyRowsOfPeer(Rows); }}};
  operator_exchange Second{{"b", Loop, View, SecondState, senderOf("b"),
                            [] { return true; }, [](const row_batch &) {}}};
};

} // namespace

// Guards against a change that a host misses for as long as it cannot follow
// the store, although its peers know the change.
TEST_CASE("a host that has lost the store learns changes from a peer") {
  fixture F;
  F.First.onStoreLost();
  F.Loop.runFor(milliseconds(100));
  CHECK(!F.FirstState.config());
  for (uint64_t Version : {12, 14}) {
    F.SecondState.apply({Config, Version, std::to_string(Version)});
    F.Loop.runFor(milliseconds(500));
    REQUIRE(F.FirstState.config());
    CHECK(F.FirstState.config()->Version == Version);
  }
}

// Guards against calls between daemons that go on although they are needless.
TEST_CASE("a host that follows the store asks no peer") {
  fixture F;
  F.First.onStoreLost();
  F.Loop.runFor(milliseconds(100));
  F.IsFollowing = true;
  F.Loop.runFor(milliseconds(500));
  int Before = F.Asked["b"];
  CHECK(Before > 0);
  F.First.onStoreLost();
  F.Loop.runFor(std::chrono::seconds(5));
  CHECK(F.Asked["b"] == Before);
}

// Guards against a watch that hangs while the renewals succeed.
TEST_CASE("a host asks for a version that a peer has announced, and that its "
          "watch does not deliver") {
  fixture F;
  F.IsFollowing = true;
  F.SecondState.apply({Config, 12, "12"});
  F.First.onPeerVersion(F.SecondState.newestVersion(), "b");
  CHECK(F.Asked["b"] == 0);
  F.Loop.runFor(milliseconds(500));
  REQUIRE(F.FirstState.config());
  CHECK(F.FirstState.config()->Version == 12);
  int Before = F.Asked["b"];
  F.First.onPeerVersion(F.SecondState.newestVersion(), "b");
  F.Loop.runFor(std::chrono::seconds(2));
  CHECK(F.Asked["b"] == Before);
}

// Guards against asking without end for a version that no peer can give, as
// one of another era of the store.
TEST_CASE("a host stops asking for an announced version that no peer has") {
  fixture F;
  F.IsFollowing = true;
  F.First.onPeerVersion(versionIn(3, 1), "b");
  F.Loop.runFor(std::chrono::seconds(10));
  int Before = F.Asked["b"];
  CHECK(Before > 0);
  F.Loop.runFor(std::chrono::seconds(10));
  CHECK(F.Asked["b"] == Before);
}

// Guards against a coordinator that never asks, since it gets reports of many
// hosts in quick succession.
TEST_CASE("announcements that keep coming do not put off the question") {
  fixture F;
  F.IsFollowing = true;
  F.SecondState.apply({Config, 12, "12"});
  for (int I = 0; I < 50; ++I) {
    F.First.onPeerVersion(F.SecondState.newestVersion(), "b");
    F.Loop.runFor(milliseconds(10));
  }
  CHECK(F.FirstState.config());
}

// Guards against a host that gives up an announced version because the peers
// that it happens to ask are down.
TEST_CASE("a host first asks the peer that has announced a newer version") {
  fixture F;
  F.IsFollowing = true;
  for (int I = 0; I < 100; ++I) {
    host_info Info;
    Info.PeerEndpoint = {"127.0.0.1", static_cast<uint16_t>(8000 + I)};
    F.View.apply({hostRow("down" + std::to_string(I)), 1, encodeHost(Info)});
  }
  F.SecondState.apply({Config, 12, "12"});
  F.First.onPeerVersion(F.SecondState.newestVersion(), "b");
  F.Loop.runFor(milliseconds(500));
  REQUIRE(F.FirstState.config());
  CHECK(F.FirstState.config()->Version == 12);
}
