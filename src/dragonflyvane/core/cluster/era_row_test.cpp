#include "dragonflyvane/core/cluster/era_row.hpp"

#include <doctest/doctest.h>

using namespace dragonflyvane;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds SettlingTime{2000};

row_batch batchOf(store_era Era, int Ms,
                  const std::optional<std::string> &Note) {
  row_batch Batch{versionIn(Era, 90), milliseconds(Ms), {}, Era};
  if (Note)
    Batch.Rows.push_back({eraRow(), versionIn(Era, 80), Note});
  return Batch;
}

milliseconds settlingLeft(const row_batch &Batch) {
  return returnAge(Batch, SettlingTime).SettlingLeft;
}

} // namespace

TEST_CASE("the era row is unchanged by encoding and decoding") {
  era_note Note = decodeEra(encodeEra({7, milliseconds(1234)}));
  CHECK(Note.Era == 7);
  CHECK(Note.NotedAt == milliseconds(1234));
  CHECK(decodeEra("7").Era == 7);
  CHECK(decodeEra("7").NotedAt == milliseconds(0));
  CHECK(decodeEra("odd").Era == 0);
  CHECK(decodeEra(std::nullopt).Era == 0);
}

// Guards against a daemon that starts beside a return and takes the copy for
// the newest, and against one that waits long after a return.
TEST_CASE("the age of a return is known from the era row") {
  CHECK(settlingLeft(batchOf(0, 5000, std::nullopt)) == milliseconds(0));
  CHECK(settlingLeft(batchOf(3, 5000, std::nullopt)) == SettlingTime);
  CHECK(settlingLeft(batchOf(3, 5000, encodeEra({2, milliseconds(100)}))) ==
        SettlingTime);
  CHECK(settlingLeft(batchOf(3, 5000, encodeEra({3, milliseconds(4500)}))) ==
        milliseconds(1500));
  CHECK(settlingLeft(batchOf(3, 5000, encodeEra({3, milliseconds(3000)}))) ==
        milliseconds(0));
  CHECK(settlingLeft(batchOf(3, 5000, "3")) == milliseconds(0));
  // A clock that has gone back.
  CHECK(settlingLeft(batchOf(3, 5000, encodeEra({3, milliseconds(9000)}))) ==
        SettlingTime);
}
