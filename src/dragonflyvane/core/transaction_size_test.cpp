#include "dragonflyvane/core/transaction_size.hpp"

#include <doctest/doctest.h>

using namespace dragonflyvane;

namespace {

store_transaction transactionOf(size_t Writes, size_t ValueBytes = 2) {
  store_transaction Transaction;
  for (size_t I = 0; I < Writes; ++I)
    Transaction.Writes.push_back(
        {{row_kind::Lease, std::to_string(I)}, std::string(ValueBytes, 'x')});
  return Transaction;
}

std::string excessOf(const store_transaction &Transaction) {
  return describeExcess(Transaction, StoreTransactionLimit);
}

} // namespace

TEST_CASE("conditions and writes count as entries") {
  store_transaction Transaction = transactionOf(3);
  Transaction.Conditions.push_back({{row_kind::Lease, "0"}, 4});
  CHECK(sizeOf(Transaction).Entries == 4);
}

// Guards against a transaction that just fits, and to which the condition on
// the era row is then added.
TEST_CASE("callers leave room for the condition on the era row") {
  store_transaction Largest = transactionOf(maxTransactionSize().Entries);
  CHECK(sizeOf(Largest).fitsIn(maxTransactionSize()));
  Largest.Conditions.push_back({{row_kind::Cluster, "era"}, 1});
  CHECK(excessOf(Largest).empty());
}

TEST_CASE("an excess of entries, bytes or bytes of a row is described") {
  CHECK(excessOf(transactionOf(100)).empty());
  CHECK(excessOf(transactionOf(101)).find("101 entries") != std::string::npos);
  CHECK(!excessOf(transactionOf(12, MaxRowBytes)).empty());
  CHECK(excessOf(transactionOf(1, MaxRowBytes)).empty());
  CHECK(excessOf(transactionOf(1, MaxRowBytes + 1)).find("row 0") !=
        std::string::npos);
}
