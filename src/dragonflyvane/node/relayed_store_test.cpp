#include "dragonflyvane/node/relayed_store.hpp"

#include "counting_store.hpp"
#include "fake_peers.hpp"
#include "fake_store.hpp"

#include <doctest/doctest.h>

#include <deque>

using namespace dragonflyvane;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

endpoint peer(int Host) {
  return {"127.0.0.1", static_cast<uint16_t>(7000 + Host)};
}

std::string nameOf(int Host) { return "h" + std::to_string(Host); }

/// Four hosts of one failure domain; the strongest is h0.
struct domain {
  struct host {
    host(domain &D, int Number)
        : Client(D.Rows), Calls(Client),
          Store({nameOf(Number), "west", Calls,
                 [&D, Number](const endpoint &To, const http_request &Request,
                              milliseconds Timeout,
                              fake_peers::callback Callback) {
                   D.Peers.send(peer(Number), To, Request, Timeout,
                                std::move(Callback));
                 },
                 D.Loop.clock(), [&D] { return &D.View; }}) {}

    fake_store_client Client;
    counting_store Calls;
    relayed_store Store;
  };

  domain() {
    for (int I = 0; I < 4; ++I) {
      host_info Info;
      Info.PeerAddress = toString(peer(I));
      Info.FailureDomain = "west";
      Info.CpuShare = 4 - I;
      View.apply({hostRow(nameOf(I)), static_cast<row_version>(I + 1),
                  encodeHost(Info)});
      host &Host = Hosts.emplace_back(*this, I);
      Peers.add(peer(I), [&Host](const exchange_pointer &Exchange) {
        Host.Store.serve(Exchange);
      });
    }
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
  fake_store Rows{Loop, 1};
  fake_peers Peers{Loop};
  cluster_view View;
  std::deque<host> Hosts;
};

} // namespace

TEST_CASE("calls of a failure domain are made by its strongest host") {
  domain Domain;
  for (int I = 0; I < 4; ++I)
    CHECK(Domain.read(I) == read_outcome::Succeeded);
  CHECK(Domain.Hosts[0].Calls.Reads == 4);
  CHECK(Domain.Hosts[0].Store.isRelay());
  CHECK_FALSE(Domain.Hosts[3].Store.isRelay());
}

TEST_CASE("when the collector is gone, a host calls the store itself at once") {
  domain Domain;
  Domain.Peers.remove(peer(0));
  CHECK(Domain.read(3) == read_outcome::Failed);
  CHECK(Domain.read(3) == read_outcome::Succeeded);
  CHECK(Domain.Hosts[3].Calls.Reads == 1);
}

TEST_CASE("a collector without a way to the store says so at once") {
  domain Domain;
  Domain.Hosts[0].Client.setDisconnected(true);
  CHECK(Domain.read(3, milliseconds(1600)) == read_outcome::Failed);
  // It knows now, and so does the one that asked.
  CHECK(Domain.read(2) == read_outcome::Failed);
  CHECK(Domain.read(2) == read_outcome::Succeeded);
  CHECK(Domain.read(3) == read_outcome::Succeeded);
  CHECK(Domain.Hosts[0].Calls.Reads == 1);
}

TEST_CASE("when the collector and the own way fail, a host asks any peer") {
  domain Domain;
  Domain.Peers.remove(peer(0));
  Domain.Hosts[3].Client.setDisconnected(true);
  CHECK(Domain.read(3) == read_outcome::Failed);
  CHECK(Domain.read(3, milliseconds(1600)) == read_outcome::Failed);
  // By now the collector is worth another try.
  CHECK(Domain.read(3) == read_outcome::Failed);
  CHECK(Domain.read(3) == read_outcome::Succeeded);
  CHECK(Domain.Hosts[1].Calls.Reads + Domain.Hosts[2].Calls.Reads == 1);
}

TEST_CASE("a collector that keeps failing is left alone for longer") {
  domain Domain;
  Domain.Peers.remove(peer(0));
  CHECK(Domain.read(3) == read_outcome::Failed);
  Domain.Loop.runFor(seconds(1));
  CHECK(Domain.read(3) == read_outcome::Failed);
  Domain.Loop.runFor(seconds(1));
  CHECK(Domain.read(3) == read_outcome::Succeeded);
}

TEST_CASE("a collector that has lost its own way asks a neighbour") {
  domain Domain;
  Domain.Hosts[0].Client.setDisconnected(true);
  CHECK(Domain.read(0, milliseconds(1600)) == read_outcome::Failed);
  CHECK(Domain.read(0) == read_outcome::Succeeded);
  CHECK(Domain.Hosts[0].Calls.Reads == 1);
}
