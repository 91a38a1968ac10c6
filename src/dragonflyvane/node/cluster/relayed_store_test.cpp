#include "dragonflyvane/node/cluster/relayed_store.hpp"

#include "counting_store.hpp"
#include "fake_peers.hpp"
#include "fake_store.hpp"

#include <doctest/doctest.h>

#include <deque>

using namespace dragonflyvane;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

endpoint peerEndpoint(int Host) {
  return {"127.0.0.1", static_cast<uint16_t>(7000 + Host)};
}

std::string hostName(int Host) { return "h" + std::to_string(Host); }

/// Four hosts of one failure domain; h0 has the largest CPU share and is the
/// preferred relay.
struct domain {
  struct host {
    host(domain &D, int Number)
        : Client(D.FakeStore), Calls(Client),
          Store({hostName(Number), "west", Calls,
                 [&D, Number](const endpoint &To, const http_request &Request,
                              milliseconds Timeout,
                              fake_peers::callback Callback) {
                   D.Peers.send(peerEndpoint(Number), To, Request, Timeout,
                                std::move(Callback));
                 },
                 D.Loop, D.Loop.clock(), [&D] { return &D.View; }}) {}

    fake_store_client Client;
    counting_store Calls;
    relayed_store Store;
  };

  domain() {
    for (int I = 0; I < 4; ++I) {
      host_info Info;
      Info.PeerEndpoint = peerEndpoint(I);
      Info.FailureDomain = "west";
      Info.CpuShare = 4 - I;
      View.apply({hostRow(hostName(I)), static_cast<row_version>(I + 1),
                  encodeHost(Info)});
      host &Host = Hosts.emplace_back(*this, I);
      Peers.add(peerEndpoint(I), [&Host](const exchange_pointer &Exchange) {
        Host.Store.serve(Exchange);
      });
    }
    // All hosts have been running for a while.
    Loop.runFor(seconds(1));
  }
  ~domain() { Loop.clear(); }

  read_outcome read(int Host, milliseconds Wait = milliseconds(100)) {
    read_outcome Outcome = read_outcome::Failed;
    Hosts[Host].Store.read(row_kind::Operator, [&](const read_result &Result) {
      Outcome = Result.Outcome;
    });
    Loop.runFor(Wait);
    return Outcome;
  }

  manual_scheduler Loop;
  fake_store FakeStore{Loop, 1};
  fake_peers Peers{Loop};
  cluster_view View;
  std::deque<host> Hosts;
};

} // namespace

TEST_CASE("the host with the largest CPU share makes the store calls of its "
          "failure domain") {
  domain Domain;
  for (int I = 0; I < 4; ++I)
    CHECK(Domain.read(I) == read_outcome::Succeeded);
  CHECK(Domain.Hosts[0].Calls.Reads == 4);
  CHECK(Domain.Hosts[0].Store.isRelay());
  CHECK_FALSE(Domain.Hosts[3].Store.isRelay());
}

TEST_CASE(
    "after one failed call to its relay a host calls the store directly") {
  domain Domain;
  Domain.Peers.remove(peerEndpoint(0));
  CHECK(Domain.read(3) == read_outcome::Failed);
  CHECK(Domain.read(3) == read_outcome::Succeeded);
  CHECK(Domain.Hosts[3].Calls.Reads == 1);
}

TEST_CASE("a relay that cannot reach the store refuses further calls at once") {
  domain Domain;
  Domain.Hosts[0].Client.setDisconnected(true);
  CHECK(Domain.read(3, milliseconds(1600)) == read_outcome::Failed);
  // The relay has recorded the failure, and host 3 does not call the relay
  // during its backoff.
  CHECK(Domain.read(2) == read_outcome::Failed);
  CHECK(Domain.read(2) == read_outcome::Succeeded);
  CHECK(Domain.read(3) == read_outcome::Succeeded);
  CHECK(Domain.Hosts[0].Calls.Reads == 1);
}

TEST_CASE("a host calls through any peer when relay and direct path fail") {
  domain Domain;
  Domain.Peers.remove(peerEndpoint(0));
  Domain.Hosts[3].Client.setDisconnected(true);
  CHECK(Domain.read(3) == read_outcome::Failed);
  CHECK(Domain.read(3, milliseconds(1600)) == read_outcome::Failed);
  CHECK(Domain.read(3) == read_outcome::Succeeded);
  CHECK(Domain.Hosts[1].Calls.Reads + Domain.Hosts[2].Calls.Reads == 1);
}

// Guards against calls that wait for a relay that is known not to respond.
TEST_CASE("no call is sent to a relay that does not respond, until it responds "
          "to a ping") {
  domain Domain;
  Domain.Peers.setDisconnected(peerEndpoint(0), true);
  CHECK(Domain.read(3, seconds(1)) == read_outcome::Failed);
  for (int I = 0; I < 50; ++I)
    CHECK(Domain.read(3) == read_outcome::Succeeded);
  CHECK(Domain.Hosts[0].Calls.Reads == 0);
  Domain.Peers.setDisconnected(peerEndpoint(0), false);
  Domain.Loop.runFor(seconds(5));
  CHECK(Domain.read(3) == read_outcome::Succeeded);
  CHECK(Domain.Hosts[0].Calls.Reads == 1);
}

// Guards against a fleet that calls a store which is down from each host.
TEST_CASE("relays that cannot reach the store are asked at a bounded rate, and "
          "used again once they can") {
  domain Domain;
  for (auto &Host : Domain.Hosts)
    Host.Client.setDisconnected(true);
  auto ReadAtAllHosts = [&] {
    for (int Host = 0; Host < 4; ++Host)
      Domain.read(Host, milliseconds(50));
  };
  // The first calls show that the store cannot be reached.
  for (int I = 0; I < 10; ++I)
    ReadAtAllHosts();
  int Calls = Domain.FakeStore.calls();
  for (int I = 0; I < 50; ++I)
    ReadAtAllHosts();
  // In 10 s, each host probes its direct path twice a second.
  CHECK(Domain.FakeStore.calls() - Calls <= 4 * 20);
  for (auto &Host : Domain.Hosts)
    Host.Client.setDisconnected(false);
  Domain.Loop.runFor(seconds(1));
  Domain.read(0);
  Domain.read(3);
  CHECK(Domain.read(3) == read_outcome::Succeeded);
}

TEST_CASE("a relay without a direct path calls through a peer") {
  domain Domain;
  Domain.Hosts[0].Client.setDisconnected(true);
  CHECK(Domain.read(0, milliseconds(1600)) == read_outcome::Failed);
  CHECK(Domain.read(0) == read_outcome::Succeeded);
  CHECK(Domain.Hosts[0].Calls.Reads == 1);
}
