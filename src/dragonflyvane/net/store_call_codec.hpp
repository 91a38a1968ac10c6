/// Calls to the store as messages between daemons, for hosts that have lost
/// their own way to it.
#ifndef DRAGONFLYVANE_NET_STORE_CALL_CODEC_HPP
#define DRAGONFLYVANE_NET_STORE_CALL_CODEC_HPP

#include "dragonflyvane/core/http_message.hpp"
#include "dragonflyvane/core/store.hpp"

#include <optional>
#include <string>
#include <variant>

namespace dragonflyvane {

/// An ask to read all rows of a kind.
struct store_read {
  row_kind Kind = row_kind::Cluster;
};

/// An ask to watch rows of a kind.
struct store_watch {
  row_kind Kind = row_kind::Cluster;
  row_version After = 0;
  std::chrono::milliseconds Wait{0};
};

/// A call that a peer is to make.
using store_call = std::variant<store_read, store_watch, store_transaction>;

http_request encodeStoreCall(const store_call &Call);
/// Nothing if the request is no such call.
std::optional<store_call> decodeStoreCall(const http_request &Request);

http_response encodeStoreResult(const read_result &Result);
http_response encodeStoreResult(const transaction_result &Result);
/// An answer that cannot be read counts as none.
read_result decodeReadResult(const http_response &Response);
transaction_result decodeTransactionResult(const http_response &Response);

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NET_STORE_CALL_CODEC_HPP
