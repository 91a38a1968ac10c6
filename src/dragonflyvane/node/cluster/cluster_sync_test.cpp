#include "dragonflyvane/node/cluster/cluster_sync.hpp"

#include "counting_store.hpp"
#include "dragonflyvane/node/settings.hpp"
#include "fake_store.hpp"

#include <doctest/doctest.h>

using namespace dragonflyvane;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const row_id Config{row_kind::Operator, "config"};

/// Decodes an operator row whose value is the version of a configuration.
std::optional<operator_row> decodeVersionRow(const stored_row &Row) {
  auto Decoded = std::make_shared<configuration>();
  Decoded->Version = std::stoull(Row.Value.value_or("0"));
  return operator_row{Decoded, ""};
}

/// One host that has joined the cluster, on top of a store that counts its
/// calls.
struct fixture {
  fixture() {
    FakeStore.put(Config, "1");
    Sync.start();
    Loop.runFor(seconds(5));
  }
  ~fixture() { Loop.clear(); }

  uint64_t version() const {
    return OperatorState.config() ? OperatorState.config()->Version : 0;
  }

  manual_scheduler Loop;
  fake_store FakeStore{Loop, 1};
  fake_store_client Client{FakeStore};
  counting_store Calls{Client};
  operator_state OperatorState{{Config}, decodeVersionRow};
  cluster_sync Sync{{"a", "west", "service", 1, Loop, Loop.clock(), Calls,
                     OperatorState, [] {}, [] { return false; }}};
};

} // namespace

// Guards against a host that handles requests by an old configuration for as
// long as its watch hangs and its renewals wait too long behind other writes.
TEST_CASE("a host whose renewals fail and whose watch hangs learns a "
          "configuration from a read") {
  fixture F;
  REQUIRE(F.version() == 1);
  REQUIRE(F.Sync.holdsLease());
  F.Client.setWatchesStalled(true);
  F.FakeStore.setLoss(1, false);
  F.Loop.runFor(seconds(5));
  F.FakeStore.put(Config, "2");
  F.Loop.runFor(seconds(3));
  CHECK(F.version() == 2);
}

// Guards against requests that are refused for want of a confirmed
// configuration while the store responds to reads.
TEST_CASE("reads confirm the configuration while renewals fail") {
  fixture F;
  F.FakeStore.setLoss(1, false);
  for (int I = 0; I < 200; ++I) {
    F.Loop.runFor(milliseconds(100));
    CHECK(F.OperatorState.confirmationAge(F.Loop.now()) <
          settings{}.MaxConfirmationAge);
  }
}

// Guards against reads that cost a call each although the renewals confirm the
// configuration.
TEST_CASE("a host whose renewals succeed does not read the configuration "
          "again") {
  fixture F;
  int Reads = F.Calls.Reads;
  F.Loop.runFor(seconds(30));
  CHECK(F.Calls.Reads == Reads);
}
