/// What the connections between daemons share with the rest of the process.
#ifndef DRAGONFLYVANE_NET_PEER_OPTIONS_HPP
#define DRAGONFLYVANE_NET_PEER_OPTIONS_HPP

#include "dragonflyvane/core/admission/bulk_pacer.hpp"
#include "dragonflyvane/net/link_monitor.hpp"

namespace dragonflyvane {

/// Options of a `peer_client` or `peer_server`. What is pointed to must outlive
/// it.
struct peer_options {
  /// Large messages to peers are sent in pieces, as this pacer allows.
  bulk_pacer *Outgoing = nullptr;
  /// Peers may send large messages in pieces only, as this pacer allows.
  bulk_pacer *Incoming = nullptr;
  /// Observes the connections.
  link_monitor *Monitor = nullptr;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NET_PEER_OPTIONS_HPP
