#include "dragonflyvane/core/cluster/transaction_batch.hpp"

#include "dragonflyvane/core/cluster/cluster_view.hpp"

#include <doctest/doctest.h>

using namespace dragonflyvane;

namespace {

const row_id Config{row_kind::Operator, "config"};

store_transaction renewal(const std::string &Host, row_version Known,
                          row_version ConfigVersion) {
  return {{{Config, ConfigVersion}, {leaseRow(Host), Known}},
          {{leaseRow(Host), "alive"}},
          std::chrono::milliseconds(400)};
}

} // namespace

TEST_CASE("lease renewals of several hosts share one condition on the "
          "configuration") {
  transaction_batch Batch;
  CHECK(Batch.add(renewal("a", 3, 7)));
  CHECK(Batch.add(renewal("b", 4, 7)));
  CHECK(Batch.joinedTransaction().Conditions.size() == 3);
  CHECK(Batch.joinedTransaction().Writes.size() == 2);
  transaction_result Committed;
  Committed.Outcome = transaction_outcome::Committed;
  Committed.Revision = 12;
  for (const auto &Result : Batch.split(Committed)) {
    REQUIRE(Result);
    CHECK(Result->Revision == 12);
  }
}

TEST_CASE("a renewal with an older configuration is not added to the batch") {
  transaction_batch Batch;
  CHECK(Batch.add(renewal("a", 3, 7)));
  CHECK_FALSE(Batch.add(renewal("b", 4, 6)));
  CHECK(Batch.size() == 1);
}

TEST_CASE("transactions that access each other's rows are not batched") {
  transaction_batch Batch;
  CHECK(Batch.add(renewal("a", 3, 7)));
  CHECK_FALSE(Batch.add(renewal("a", 3, 7)));
  CHECK_FALSE(Batch.add({{{leaseRow("a"), 3}}, {{hostRow("a"), "x"}}, {}}));
  CHECK_FALSE(Batch.add({{}, {{Config, "x"}}, {}}));
}

// Guards against a batch that the store refuses for its bytes.
TEST_CASE("a batch holds no more bytes than the store accepts") {
  transaction_batch Batch;
  int Added = 0;
  while (Batch.add(
      {{},
       {{hostRow("h" + std::to_string(Added)), std::string(MaxRowBytes, 'x')}},
       {}}))
    ++Added;
  CHECK(Added == 11);
  CHECK(sizeOf(Batch.joinedTransaction()).fitsIn(maxTransactionSize()));
}

TEST_CASE("a batch holds no more entries than the store accepts") {
  transaction_batch Batch;
  int Added = 0;
  while (Batch.add(renewal("h" + std::to_string(Added), 1, 7)))
    ++Added;
  CHECK(Added == 49);
  store_transaction Joined = Batch.joinedTransaction();
  CHECK(Joined.Conditions.size() + Joined.Writes.size() <= 100);
}

TEST_CASE("an expired lease of one host does not fail the renewals of others") {
  transaction_batch Batch;
  Batch.add(renewal("a", 3, 7));
  Batch.add(renewal("lapsed", 4, 7));
  transaction_result Conflict;
  Conflict.Outcome = transaction_outcome::Conflict;
  Conflict.Current = {{Config, 7, "c"},
                      {leaseRow("a"), 3, "alive"},
                      {leaseRow("lapsed"), 9, "{}"}};
  auto Results = Batch.split(Conflict);
  CHECK_FALSE(Results[0]);
  REQUIRE(Results[1]);
  CHECK(Results[1]->Outcome == transaction_outcome::Conflict);
  CHECK(Results[1]->Current.size() == 2);
}

TEST_CASE("a newer configuration is returned to every host of the batch") {
  transaction_batch Batch;
  Batch.add(renewal("a", 3, 7));
  Batch.add(renewal("b", 4, 7));
  transaction_result Conflict;
  Conflict.Outcome = transaction_outcome::Conflict;
  Conflict.Current = {{Config, 8, "newer"},
                      {leaseRow("a"), 3, "alive"},
                      {leaseRow("b"), 4, "alive"}};
  for (const auto &Result : Batch.split(Conflict)) {
    REQUIRE(Result);
    CHECK(Result->Current.front().Version == 8);
  }
}

TEST_CASE("an unknown outcome is unknown for every transaction") {
  transaction_batch Batch;
  Batch.add(renewal("a", 3, 7));
  Batch.add(renewal("b", 4, 7));
  for (const auto &Result : Batch.split({})) {
    REQUIRE(Result);
    CHECK(Result->Outcome == transaction_outcome::Unknown);
  }
}
