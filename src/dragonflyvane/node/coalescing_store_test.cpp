#include "dragonflyvane/node/coalescing_store.hpp"

#include "counting_store.hpp"
#include "dragonflyvane/core/cluster/cluster_view.hpp"
#include "fake_store.hpp"

#include <doctest/doctest.h>

using namespace dragonflyvane;
using std::chrono::milliseconds;

namespace {

const row_id Config{row_kind::Operator, "config"};
constexpr std::chrono::seconds LongWait{20};

/// A collector's access to a store, with everything that its neighbours ask
/// for going through it.
struct collector {
  manual_scheduler Loop;
  fake_store Rows{Loop, 1};
  fake_store_client Client{Rows};
  counting_store Calls{Client};
  coalescing_store CoalescingStore{Calls, Loop, Loop.clock()};

  /// Watches on and on, and counts what comes.
  void follow(row_version After, int &Seen) {
    CoalescingStore.watch(row_kind::Operator, After, LongWait,
                          [this, &Seen](const read_result &Result) {
                            if (Result.Outcome != read_outcome::Succeeded)
                              return;
                            Seen += static_cast<int>(Result.Batch.Rows.size());
                            follow(Result.Batch.Revision, Seen);
                          });
  }
};

store_transaction renewal(const std::string &Host, row_version Known,
                          row_version ConfigVersion) {
  return {{{Config, ConfigVersion}, {leaseRow(Host), Known}},
          {{leaseRow(Host), "alive"}},
          milliseconds(400)};
}

} // namespace

TEST_CASE("renewals of neighbours go out as one call within their patience") {
  collector C;
  C.Rows.put(Config, "one");
  int Committed = 0;
  auto Count = [&](const transaction_result &Result) {
    Committed += Result.Outcome == transaction_outcome::Committed;
  };
  C.CoalescingStore.transact(renewal("a", 0, 11), Count);
  C.Loop.runFor(milliseconds(300));
  C.CoalescingStore.transact(renewal("b", 0, 11), Count);
  CHECK(C.Calls.Transactions == 0);
  C.Loop.runFor(milliseconds(150));
  CHECK(C.Calls.Transactions == 1);
  CHECK(Committed == 2);
}

TEST_CASE("a neighbour that was deposed does not hold up the renewals of "
          "others") {
  collector C;
  C.Rows.put(Config, "one");
  C.Rows.put(leaseRow("lapsed"), "{}");
  transaction_outcome Good = transaction_outcome::Unknown;
  transaction_outcome Lapsed = transaction_outcome::Unknown;
  C.CoalescingStore.transact(
      renewal("good", 0, 11),
      [&](const transaction_result &R) { Good = R.Outcome; });
  C.CoalescingStore.transact(
      renewal("lapsed", 0, 11),
      [&](const transaction_result &R) { Lapsed = R.Outcome; });
  C.Loop.runFor(milliseconds(500));
  CHECK(Good == transaction_outcome::Committed);
  CHECK(Lapsed == transaction_outcome::Conflict);
  CHECK(C.Calls.Transactions == 2);
}

TEST_CASE("one watch brings a change to all neighbours") {
  collector C;
  int First = 0;
  int Second = 0;
  C.follow(10, First);
  C.follow(10, Second);
  C.Loop.runFor(milliseconds(50));
  C.Rows.put(Config, "one");
  C.Loop.runFor(milliseconds(100));
  CHECK(First == 1);
  CHECK(Second == 1);
  CHECK(C.Calls.Watches == 2);
}

TEST_CASE("a burst of changes costs few calls") {
  collector C;
  int Seen = 0;
  C.follow(10, Seen);
  for (int I = 0; I < 40; ++I) {
    C.Rows.put({row_kind::Operator, "row" + std::to_string(I)}, "x");
    C.Loop.runFor(milliseconds(2));
  }
  C.Loop.runFor(milliseconds(100));
  CHECK(Seen == 40);
  CHECK(C.Calls.Watches < 8);
}

TEST_CASE("a watch that begins late still brings what it missed") {
  collector C;
  int First = 0;
  C.follow(10, First);
  C.Rows.put(Config, "one");
  C.Loop.runFor(milliseconds(50));
  int Late = 0;
  C.follow(10, Late);
  C.Loop.runFor(milliseconds(50));
  CHECK(Late == 1);
}

TEST_CASE("reads that wait are one call, never an older one") {
  collector C;
  int Answers = 0;
  row_version Last = 0;
  auto Note = [&](const read_result &Result) {
    ++Answers;
    Last = Result.Batch.Revision;
  };
  C.CoalescingStore.read(row_kind::Operator, Note);
  C.Rows.put(Config, "one");
  C.CoalescingStore.read(row_kind::Operator, Note);
  C.CoalescingStore.read(row_kind::Operator, Note);
  C.Loop.runFor(milliseconds(50));
  CHECK(Answers == 3);
  CHECK(C.Calls.Reads == 2);
  CHECK(Last == 11);
}

TEST_CASE("a store that does not answer ends the watches before the call") {
  collector C;
  bool Failed = false;
  C.CoalescingStore.watch(row_kind::Operator, 10, LongWait,
                          [&](const read_result &R) {
                            Failed = R.Outcome == read_outcome::Failed;
                          });
  C.Calls.DropsTransactions = true;
  C.CoalescingStore.transact({{}, {{leaseRow("a"), "x"}}, milliseconds(0)},
                             [](const transaction_result &) {});
  C.Loop.runFor(milliseconds(500));
  CHECK_FALSE(Failed);
  C.Loop.runFor(milliseconds(200));
  CHECK(Failed);
}

TEST_CASE("a watch that has gone silent is replaced once a change is known") {
  collector C;
  int Seen = 0;
  C.Client.setWatchesStalled(true);
  C.follow(10, Seen);
  C.Loop.runFor(milliseconds(10));
  C.Rows.put(Config, "one");
  C.Loop.runFor(milliseconds(10));
  C.Client.setWatchesStalled(false);
  C.CoalescingStore.read(row_kind::Operator, [](const read_result &) {});
  C.Loop.runFor(milliseconds(900));
  CHECK(Seen == 1);
}

TEST_CASE("forgotten history is told to all who watch") {
  collector C;
  C.Rows.put(Config, "one");
  C.Rows.forgetHistory();
  int Gone = 0;
  for (int I = 0; I < 2; ++I)
    C.CoalescingStore.watch(
        row_kind::Operator, 10, LongWait, [&](const read_result &R) {
          Gone += R.Outcome == read_outcome::HistoryCompacted;
        });
  C.Loop.runFor(milliseconds(100));
  CHECK(Gone == 2);
}
