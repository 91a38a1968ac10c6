#include "dragonflyvane/net/write_buffer.hpp"

#include <doctest/doctest.h>

using namespace dragonflyvane;

namespace {

void append(write_buffer &Buffer, const std::string &Text) {
  Buffer.append(reinterpret_cast<const uint8_t *>(Text.data()), Text.size());
}

} // namespace

// Guards against positions that start anew with each batch: they decide whether
// a message may have reached the peer.
TEST_CASE("positions count over all batches") {
  write_buffer Buffer;
  append(Buffer, "abc");
  append(Buffer, "de");
  CHECK(Buffer.remaining() == "abcde");
  Buffer.onHanded(2);
  CHECK(Buffer.remaining() == "cde");
  CHECK(Buffer.batchSize() == 5);
  Buffer.onHanded(3);
  CHECK(Buffer.remaining().empty());
  Buffer.beginBatch();
  append(Buffer, "f");
  CHECK(Buffer.remaining() == "f");
  CHECK(Buffer.queuedBytes() == 6);
  CHECK(Buffer.handedBytes() == 5);
}
