#include "dragonflyvane/node/cluster/coalescing_store.hpp"

#include "counting_store.hpp"
#include "dragonflyvane/core/cluster/cluster_view.hpp"
#include "fake_store.hpp"

#include <doctest/doctest.h>

using namespace dragonflyvane;
using std::chrono::milliseconds;

namespace {

const row_id Config{row_kind::Operator, "config"};
constexpr std::chrono::seconds LongWait{20};

/// The coalescing store of a relay, which makes the calls of several hosts, on
/// top of a store that counts its calls.
struct fixture {
  manual_scheduler Loop;
  fake_store FakeStore{Loop, 1};
  fake_store_client Client{FakeStore};
  counting_store Calls{Client};
  coalescing_store CoalescingStore{Calls, Loop, Loop.clock()};

  /// Starts a new watch after each result and adds the received rows to `Seen`.
  void watchRepeatedly(row_version After, int &Seen) {
    CoalescingStore.watch(row_kind::Operator, After, LongWait,
                          [this, &Seen](const read_result &Result) {
                            if (Result.Outcome != read_outcome::Succeeded)
                              return;
                            Seen += static_cast<int>(Result.Batch.Rows.size());
                            watchRepeatedly(Result.Batch.Revision, Seen);
                          });
  }
};

store_transaction renewal(const std::string &Host, row_version LeaseVersion,
                          row_version ConfigVersion) {
  return {{{Config, ConfigVersion}, {leaseRow(Host), LeaseVersion}},
          {{leaseRow(Host), "alive"}},
          milliseconds(400)};
}

} // namespace

TEST_CASE("renewals of several hosts are batched within their maximum delay") {
  fixture F;
  F.FakeStore.put(Config, "one");
  int Committed = 0;
  auto Count = [&](const transaction_result &Result) {
    Committed += Result.Outcome == transaction_outcome::Committed;
  };
  F.CoalescingStore.transact(renewal("a", 0, 11), Count);
  F.Loop.runFor(milliseconds(300));
  F.CoalescingStore.transact(renewal("b", 0, 11), Count);
  CHECK(F.Calls.Transactions == 0);
  F.Loop.runFor(milliseconds(150));
  CHECK(F.Calls.Transactions == 1);
  CHECK(Committed == 2);
}

TEST_CASE("a host that lost its lease does not block the renewals of "
          "others") {
  fixture F;
  F.FakeStore.put(Config, "one");
  F.FakeStore.put(leaseRow("lapsed"), "{}");
  transaction_outcome Good = transaction_outcome::Unknown;
  transaction_outcome Lost = transaction_outcome::Unknown;
  F.CoalescingStore.transact(
      renewal("good", 0, 11),
      [&](const transaction_result &R) { Good = R.Outcome; });
  F.CoalescingStore.transact(
      renewal("lapsed", 0, 11),
      [&](const transaction_result &R) { Lost = R.Outcome; });
  F.Loop.runFor(milliseconds(500));
  CHECK(Good == transaction_outcome::Committed);
  CHECK(Lost == transaction_outcome::Conflict);
  CHECK(F.Calls.Transactions == 2);
}

TEST_CASE("one watch delivers a change to all watchers") {
  fixture F;
  int First = 0;
  int Second = 0;
  F.watchRepeatedly(10, First);
  F.watchRepeatedly(10, Second);
  F.Loop.runFor(milliseconds(50));
  F.FakeStore.put(Config, "one");
  F.Loop.runFor(milliseconds(100));
  CHECK(First == 1);
  CHECK(Second == 1);
  CHECK(F.Calls.Watches == 2);
}

TEST_CASE("a burst of changes takes few calls") {
  fixture F;
  int Seen = 0;
  F.watchRepeatedly(10, Seen);
  for (int I = 0; I < 40; ++I) {
    F.FakeStore.put({row_kind::Operator, "row" + std::to_string(I)}, "x");
    F.Loop.runFor(milliseconds(2));
  }
  F.Loop.runFor(milliseconds(100));
  CHECK(Seen == 40);
  CHECK(F.Calls.Watches < 8);
}

TEST_CASE("a watch that starts late delivers the changes before its start") {
  fixture F;
  int First = 0;
  F.watchRepeatedly(10, First);
  F.FakeStore.put(Config, "one");
  F.Loop.runFor(milliseconds(50));
  int Late = 0;
  F.watchRepeatedly(10, Late);
  F.Loop.runFor(milliseconds(50));
  CHECK(Late == 1);
}

TEST_CASE("queued reads are coalesced, but not with a read in flight") {
  fixture F;
  int Results = 0;
  row_version Last = 0;
  auto Record = [&](const read_result &Result) {
    ++Results;
    Last = Result.Batch.Revision;
  };
  F.CoalescingStore.read(row_kind::Operator, Record);
  F.FakeStore.put(Config, "one");
  F.CoalescingStore.read(row_kind::Operator, Record);
  F.CoalescingStore.read(row_kind::Operator, Record);
  F.Loop.runFor(milliseconds(50));
  CHECK(Results == 3);
  CHECK(F.Calls.Reads == 2);
  CHECK(Last == 11);
}

TEST_CASE("watches fail before a transaction without a response times out") {
  fixture F;
  bool Failed = false;
  F.CoalescingStore.watch(row_kind::Operator, 10, LongWait,
                          [&](const read_result &R) {
                            Failed = R.Outcome == read_outcome::Failed;
                          });
  F.Calls.DropsTransactions = true;
  F.CoalescingStore.transact({{}, {{leaseRow("a"), "x"}}, milliseconds(0)},
                             [](const transaction_result &) {});
  F.Loop.runFor(milliseconds(500));
  CHECK_FALSE(Failed);
  F.Loop.runFor(milliseconds(200));
  CHECK(Failed);
}

TEST_CASE("a stalled watch is replaced once a newer version is known") {
  fixture F;
  int Seen = 0;
  F.Client.setWatchesStalled(true);
  F.watchRepeatedly(10, Seen);
  F.Loop.runFor(milliseconds(10));
  F.FakeStore.put(Config, "one");
  F.Loop.runFor(milliseconds(10));
  F.Client.setWatchesStalled(false);
  F.CoalescingStore.read(row_kind::Operator, [](const read_result &) {});
  F.Loop.runFor(milliseconds(900));
  CHECK(Seen == 1);
}

TEST_CASE("compacted history is reported to all watchers") {
  fixture F;
  F.FakeStore.put(Config, "one");
  F.FakeStore.compactHistory();
  int Compacted = 0;
  for (int I = 0; I < 2; ++I)
    F.CoalescingStore.watch(
        row_kind::Operator, 10, LongWait, [&](const read_result &R) {
          Compacted += R.Outcome == read_outcome::HistoryCompacted;
        });
  F.Loop.runFor(milliseconds(100));
  CHECK(Compacted == 2);
}

// Guards against a change that a host misses: its watch starts behind the rows
// that the relay has, and the relay's watch ends without changes before the
// host has got them.
TEST_CASE(
    "a watch that starts behind gets the changes, whatever ends the watch "
    "of the relay meanwhile") {
  fixture F;
  F.Calls.KeepsWatches = true;
  int First = 0;
  F.watchRepeatedly(10, First);
  REQUIRE(F.Calls.KeptWatches.size() == 1);
  F.Calls.KeptWatches[0](
      {read_outcome::Succeeded, {11, {}, {{Config, 11, "one"}}}, ""});
  F.Loop.runFor(milliseconds(100));
  REQUIRE(First == 1);
  REQUIRE(F.Calls.KeptWatches.size() == 2);
  std::vector<read_result> Results;
  F.CoalescingStore.watch(
      row_kind::Operator, 10, LongWait,
      [&](const read_result &Result) { Results.push_back(Result); });
  F.Calls.KeptWatches[1]({read_outcome::Succeeded, {11, {}, {}}, ""});
  F.Loop.runFor(milliseconds(200));
  REQUIRE(Results.size() == 1);
  CHECK(Results[0].Batch.Rows.size() == 1);
}

// Guards against a watch that hangs for its whole time because it started
// before the rows that the relay has kept, and so has a call of its own.
TEST_CASE("a watch with a call of its own fails with the others") {
  fixture F;
  F.FakeStore.put(Config, "one");
  F.CoalescingStore.watch(row_kind::Operator, 11, LongWait,
                          [](const read_result &) {});
  // The relay has no history from before revision 11.
  F.Client.setSilent(true);
  int Failed = 0;
  F.CoalescingStore.watch(row_kind::Operator, 10, LongWait,
                          [&](const read_result &Result) {
                            Failed += Result.Outcome == read_outcome::Failed;
                          });
  F.Loop.runFor(milliseconds(10));
  F.CoalescingStore.transact({{}, {{leaseRow("a"), "x"}}, milliseconds(0)},
                             [](const transaction_result &) {});
  F.Loop.runFor(milliseconds(700));
  CHECK(Failed == 1);
  // The call's own end is not reported again.
  F.Loop.runFor(std::chrono::seconds(30));
  CHECK(Failed == 1);
}
