#include "dragonflyvane/node/cluster/restorable_store.hpp"

#include "fake_store.hpp"

#include <doctest/doctest.h>

using namespace dragonflyvane;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const row_id Row{row_kind::Cluster, "map/desk"};

/// Two hosts at one store.
struct restorable_store_fixture {
  transaction_result write(restorable_store &Host, const row_id &Id,
                           row_version Version, const std::string &Value) {
    transaction_result Result;
    Host.transact({{{Id, Version}}, {{Id, Value}}},
                  [&](const transaction_result &R) { Result = R; });
    Loop.runFor(milliseconds(100));
    return Result;
  }

  row_batch read(restorable_store &Host) {
    read_result Result;
    Host.read(row_kind::Cluster, [&](const read_result &R) { Result = R; });
    Loop.runFor(milliseconds(100));
    return Result.Batch;
  }

  row_version versionOf(const row_batch &Batch, const row_id &Id) {
    for (const stored_row &Entry : Batch.Rows)
      if (Entry.Id == Id)
        return Entry.Version;
    return 0;
  }

  manual_scheduler Loop;
  fake_store Store{Loop, 1};
  fake_store_client ClientA{Store};
  fake_store_client ClientB{Store};
  int Returns = 0;
  restorable_store A{ClientA, Loop, [this] { ++Returns; }};
  restorable_store B{ClientB, Loop, [] {}};
};

} // namespace

// Guards against fencing tokens, which are made from versions, that fall.
TEST_CASE("versions rise over returns of the store") {
  restorable_store_fixture F;
  row_version Before = F.write(F.A, Row, 0, "one").Revision;
  for (int I = 0; I < 3; ++I) {
    F.Loop.runFor(seconds(2));
    F.Store.restore(seconds(1), seconds(0));
    row_version Read = F.versionOf(F.read(F.A), Row);
    CHECK(Read > Before);
    Before = F.write(F.A, Row, Read, "more").Revision;
    CHECK(Before > Read);
    CHECK(F.Returns == I + 1);
  }
}

// Guards against a condition that holds by chance: the store has given out a
// version again, for another value.
TEST_CASE("a host that does not know of a return cannot write") {
  restorable_store_fixture F;
  row_version Version = F.write(F.A, Row, 0, "one").Revision;
  F.Loop.runFor(seconds(2));
  for (int I = 0; I < 5; ++I)
    Version = F.write(F.B, Row, Version, "lost").Revision;
  F.Store.restore(seconds(1), seconds(0));
  row_version Latest = F.versionOf(F.read(F.A), Row);
  while (F.Store.rows().at(Row).Version < Version)
    Latest = F.write(F.A, Row, Latest, "new").Revision;
  REQUIRE(F.Store.rows().at(Row).Version == Version);
  transaction_result Result = F.write(F.B, Row, Version, "from before");
  CHECK(Result.Outcome == transaction_outcome::Conflict);
  CHECK(F.Store.rows().at(Row).Value == "new");
  REQUIRE(Result.Current.size() == 1);
  CHECK(Result.Current.front().Version == Latest);
}

// Guards against changes that are missed because a watch goes on from a version
// that the store gives out again.
TEST_CASE("a watch from an earlier era ends, and all rows are read again") {
  restorable_store_fixture F;
  F.write(F.A, Row, 0, "one");
  F.Loop.runFor(seconds(2));
  row_version After = F.read(F.B).Revision;
  F.Store.restore(seconds(1), seconds(0));
  row_version Read = F.versionOf(F.read(F.A), Row);
  for (int I = 0; I < 5; ++I)
    Read = F.write(F.A, Row, Read, "new").Revision;
  read_outcome Outcome = read_outcome::Succeeded;
  F.B.watch(row_kind::Cluster, After, seconds(1),
            [&](const read_result &R) { Outcome = R.Outcome; });
  F.Loop.runFor(seconds(2));
  CHECK(Outcome == read_outcome::HistoryCompacted);
}

// Guards against calls that every host makes at the start of a fleet.
TEST_CASE("there is no era row in the first era") {
  restorable_store_fixture F;
  F.read(F.A);
  int Before = F.Store.calls();
  F.write(F.A, Row, 0, "one");
  CHECK(F.Store.calls() - Before == 1);
  CHECK(F.Store.rows().size() == 1);
}
