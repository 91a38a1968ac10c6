/// The bytes that a connection writes next. Internal to this library.
#ifndef DRAGONFLYVANE_NET_WRITE_BUFFER_HPP
#define DRAGONFLYVANE_NET_WRITE_BUFFER_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace dragonflyvane {

/// A batch of bytes that is handed to the socket piece by piece, and the
/// position of its bytes among all that the connection has sent.
class write_buffer {
public:
  /// Begins the next batch, once all bytes of the last one are handed over.
  void beginBatch() {
    Batch.clear();
    Offset = 0;
  }
  /// Adds bytes to the batch.
  void append(const uint8_t *Data, size_t Size) {
    Batch.append(reinterpret_cast<const char *>(Data), Size);
    QueuedBytes += Size;
  }
  /// Records that the socket took the first bytes of `remaining`.
  void onHanded(size_t Size) {
    Offset += Size;
    HandedBytes += Size;
  }

  /// The bytes of the batch that the socket has not taken.
  std::string_view remaining() const {
    return std::string_view(Batch).substr(Offset);
  }
  /// The size of the batch, with what the socket has taken.
  size_t batchSize() const { return Batch.size(); }
  /// The number of bytes that were added, over all batches.
  uint64_t queuedBytes() const { return QueuedBytes; }
  /// The number of bytes that the socket has taken, over all batches.
  uint64_t handedBytes() const { return HandedBytes; }

private:
  std::string Batch;
  size_t Offset = 0;
  uint64_t QueuedBytes = 0;
  uint64_t HandedBytes = 0;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NET_WRITE_BUFFER_HPP
