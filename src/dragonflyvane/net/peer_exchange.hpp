/// A request that came over a connection between daemons. Internal to this
/// library.
#ifndef DRAGONFLYVANE_NET_PEER_EXCHANGE_HPP
#define DRAGONFLYVANE_NET_PEER_EXCHANGE_HPP

#include "dragonflyvane/net/peer_connection.hpp"

#include <functional>
#include <memory>
#include <utility>

namespace dragonflyvane {

/// The exchange of one stream on the server side.
class peer_exchange final : public http_exchange {
public:
  peer_exchange(std::weak_ptr<peer_connection> Connection,
                peer_connection::stream_id Id, http_request Request,
                duration TransitDelay)
      : Connection(std::move(Connection)), Id(Id), Request(std::move(Request)),
        TransitDelay(TransitDelay) {}

  const http_request &request() const override { return Request; }

  duration transitDelay() const override { return TransitDelay; }

  void respond(http_response Response) override {
    if (Done)
      return;
    Done = true;
    OnDisconnect = nullptr;
    if (auto Target = Connection.lock())
      Target->respond(Id, Response);
  }

  void onDisconnect(std::function<void(disconnect_cause)> Callback) override {
    if (!Done)
      OnDisconnect = std::move(Callback);
  }

  void disconnect(disconnect_cause Cause) {
    std::function<void(disconnect_cause)> Callback =
        Done ? nullptr : std::move(OnDisconnect);
    Done = true;
    if (Callback)
      Callback(Cause);
  }

private:
  std::weak_ptr<peer_connection> Connection;
  peer_connection::stream_id Id;
  http_request Request;
  duration TransitDelay;
  std::function<void(disconnect_cause)> OnDisconnect;
  bool Done = false;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NET_PEER_EXCHANGE_HPP
