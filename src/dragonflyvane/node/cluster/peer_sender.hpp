/// Calls to other daemons, as a function, so that tests replace them.
#ifndef DRAGONFLYVANE_NODE_CLUSTER_PEER_SENDER_HPP
#define DRAGONFLYVANE_NODE_CLUSTER_PEER_SENDER_HPP

#include "dragonflyvane/core/endpoint.hpp"
#include "dragonflyvane/core/http_message.hpp"
#include "dragonflyvane/net/call_result.hpp"

#include <chrono>
#include <functional>

namespace dragonflyvane {

/// Sends a request to another daemon; the result is passed to the callback
/// later.
using peer_sender = std::function<void(
    const endpoint &Peer, http_request Request,
    std::chrono::milliseconds Timeout, std::function<void(call_result)>)>;

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NODE_CLUSTER_PEER_SENDER_HPP
