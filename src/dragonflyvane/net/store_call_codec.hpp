/// Encodes store calls and their results as messages between daemons, for hosts
/// that call the store through the relay of their failure domain, or through
/// any peer while they cannot reach it themselves.
#ifndef DRAGONFLYVANE_NET_STORE_CALL_CODEC_HPP
#define DRAGONFLYVANE_NET_STORE_CALL_CODEC_HPP

#include "dragonflyvane/core/http_message.hpp"
#include "dragonflyvane/core/store.hpp"

#include <optional>
#include <string>
#include <variant>

namespace dragonflyvane {

/// A request to read all rows of a kind.
struct store_read {
  row_kind Kind = row_kind::Cluster;
};

/// A request for the rows of a kind that changed after a revision. If there are
/// none, the response waits for a change, for at most `Wait`.
struct store_watch {
  row_kind Kind = row_kind::Cluster;
  row_version After = 0;
  std::chrono::milliseconds Wait{0};
};

/// A store call that one host makes for another.
using store_call = std::variant<store_read, store_watch, store_transaction>;

/// Encodes a call as a POST request with an empty target.
http_request encodeStoreCall(const store_call &Call);
/// Decodes a call. Returns nothing if the request is not a store call, or is
/// malformed.
std::optional<store_call> decodeStoreCall(const http_request &Request);

/// Encodes a request that a host answers at once, without a call to the store.
/// Any response shows that the host runs and can be reached.
http_request encodeStorePing();
bool isStorePing(const http_request &Request);

/// Encodes a result, successful or not, as a response with status 200.
http_response encodeStoreResult(const read_result &Result);
/// Encodes a result, successful or not, as a response with status 200.
http_response encodeStoreResult(const transaction_result &Result);
/// Decodes a result; a malformed response gives `read_outcome::Failed`.
read_result decodeReadResult(const http_response &Response);
/// Decodes a result; a malformed response gives `transaction_outcome::Unknown`,
/// since the transaction may have been committed.
transaction_result decodeTransactionResult(const http_response &Response);

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NET_STORE_CALL_CODEC_HPP
