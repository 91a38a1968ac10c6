/// The public header of the net library: event loop, HTTP, connections between
/// peers, logs and metrics.
#ifndef DRAGONFLYVANE_NET_HPP
#define DRAGONFLYVANE_NET_HPP

#include "dragonflyvane/net/blocked_signals.hpp"
#include "dragonflyvane/net/call_result.hpp"
#include "dragonflyvane/net/event_loop.hpp"
#include "dragonflyvane/net/http_client.hpp"
#include "dragonflyvane/net/http_exchange.hpp"
#include "dragonflyvane/net/http_server.hpp"
#include "dragonflyvane/net/log.hpp"
#include "dragonflyvane/net/metrics.hpp"
#include "dragonflyvane/net/peer_transport.hpp"

#endif // DRAGONFLYVANE_NET_HPP
