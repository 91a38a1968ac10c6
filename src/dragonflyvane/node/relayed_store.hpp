/// Access to the store that goes through another daemon while the own way is
/// broken.
#ifndef DRAGONFLYVANE_NODE_RELAYED_STORE_HPP
#define DRAGONFLYVANE_NODE_RELAYED_STORE_HPP

#include "dragonflyvane/core/clock.hpp"
#include "dragonflyvane/core/cluster/cluster_view.hpp"
#include "dragonflyvane/core/store.hpp"
#include "dragonflyvane/net/http_exchange.hpp"
#include "dragonflyvane/net/peer_link.hpp"
#include "dragonflyvane/net/store_codec.hpp"

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>

namespace dragonflyvane {

/// Sends calls on the own way; after a failure there, through peers for a
/// while. A call that failed is not repeated here: its caller decides.
/// Evidence is as old as the call of the one who asked.
class relayed_store final : public store {
public:
  struct parts {
    std::string Host;
    store &Direct;
    peer_client &Peers;
    const clock_source &Clock;
    /// The cluster as far as it is known; peers are chosen from it.
    std::function<const cluster_view *()> View;
  };

  explicit relayed_store(parts Parts);

  void read(row_kind Kind, read_callback Callback) override;
  void watch(row_kind Kind, row_version After, std::chrono::milliseconds Wait,
             read_callback Callback) override;
  void transact(const store_transaction &Transaction,
                transaction_callback Callback) override;

  /// Makes a peer's call on the own way. False if the exchange is none.
  bool serve(const exchange_pointer &Exchange);

private:
  struct relay {
    std::string Host;
    endpoint Peer;
  };

  std::optional<relay> chooseRelay();
  void onDirect(bool Reached);
  void onRelayed(const std::string &Host, bool Reached);
  template <typename Result>
  void callPeer(const relay &Relay, const store_call &Call,
                std::chrono::milliseconds Timeout,
                Result (*Decode)(const http_response &),
                bool (*IsReached)(const Result &),
                std::function<void(Result)> Callback);

  parts Parts;
  /// Until when the own way is not tried.
  time_point DirectAgainAt{};
  std::map<std::string, time_point> RelayAgainAt;
  std::mt19937_64 Random;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NODE_RELAYED_STORE_HPP
