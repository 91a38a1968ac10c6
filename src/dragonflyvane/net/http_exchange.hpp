/// A request that is being served, whatever brought it.
#ifndef DRAGONFLYVANE_NET_HTTP_EXCHANGE_HPP
#define DRAGONFLYVANE_NET_HTTP_EXCHANGE_HPP

#include "dragonflyvane/core/http_message.hpp"

#include <functional>
#include <memory>

namespace dragonflyvane {

/// One request of a caller, answered at most once.
class http_exchange {
public:
  virtual ~http_exchange() = default;
  virtual const http_request &request() const = 0;
  /// Sends the whole answer, unless the caller is gone. Later calls do nothing.
  virtual void respond(http_response Response) = 0;
  /// Ends the connection without an answer.
  virtual void closeConnection() {}
  /// Calls back if the caller goes away before it was answered.
  virtual void onDisconnect(std::function<void()> Callback) = 0;
};

using exchange_pointer = std::shared_ptr<http_exchange>;
using http_handler = std::function<void(exchange_pointer)>;

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NET_HTTP_EXCHANGE_HPP
