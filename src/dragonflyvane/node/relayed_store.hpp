/// Access to the store that goes through a neighbour who collects the calls of
/// its failure domain, and through any peer while the own way is broken.
#ifndef DRAGONFLYVANE_NODE_RELAYED_STORE_HPP
#define DRAGONFLYVANE_NODE_RELAYED_STORE_HPP

#include "dragonflyvane/core/clock.hpp"
#include "dragonflyvane/core/cluster/cluster_view.hpp"
#include "dragonflyvane/core/store.hpp"
#include "dragonflyvane/net/call_result.hpp"
#include "dragonflyvane/net/endpoint.hpp"
#include "dragonflyvane/net/http_exchange.hpp"
#include "dragonflyvane/net/store_call_codec.hpp"

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>

namespace dragonflyvane {

/// Sends a call to another daemon; the result comes later.
using peer_sender = std::function<void(
    const endpoint &Peer, http_request Request,
    std::chrono::milliseconds Timeout, std::function<void(call_result)>)>;

/// Chooses for each call who makes it: the collector of the own failure domain,
/// this host itself, or any peer. A call that failed is not repeated here: its
/// caller decides. Evidence is as old as the call of the one who asked.
class relayed_store final : public store {
public:
  struct dependencies {
    std::string Host;
    std::string FailureDomain;
    /// The own way, shared with those who ask this host.
    store &Direct;
    peer_sender Send;
    const clock_source &Clock;
    /// The cluster as far as it is known; peers are chosen from it.
    std::function<const cluster_view *()> View;
  };

  explicit relayed_store(dependencies Deps);

  void read(row_kind Kind, read_callback Callback) override;
  void watch(row_kind Kind, row_version After, std::chrono::milliseconds Wait,
             read_callback Callback) override;
  void transact(const store_transaction &Transaction,
                transaction_callback Callback) override;

  /// Makes a peer's call on the own way. False if the exchange is none.
  bool serve(const exchange_pointer &Exchange);
  /// Whether others let this host call the store for them.
  bool isRelay() const;

private:
  struct relay {
    std::string Host;
    endpoint Peer;
  };
  /// A host that could not help is left alone, each time for longer.
  struct pause {
    time_point Until{};
    int Failures = 0;
  };

  /// Who makes the next call; none means this host.
  std::optional<relay> chooseRelay();
  std::optional<relay> chooseAnyPeer(const cluster_view &View);
  bool isPaused(const std::string &Host) const;
  bool isOwnWayOpen() const { return Deps.Clock.now() >= DirectAgainAt; }
  void onDirect(bool Reached);
  void onRelayed(const std::string &Host, bool Reached);
  template <typename Result>
  void callPeer(const relay &Relay, const store_call &Call,
                std::chrono::milliseconds Timeout,
                Result (*Decode)(const http_response &),
                bool (*IsReached)(const Result &),
                std::function<void(Result)> Callback);
  /// The callback of a call on the own way.
  template <typename Result>
  std::function<void(Result)> noting(bool (*IsReached)(const Result &),
                                     std::function<void(Result)> Callback);
  void makeCall(const store_call &Call, const exchange_pointer &Exchange);

  dependencies Deps;
  /// Until when the own way is not tried.
  time_point DirectAgainAt{};
  std::map<std::string, pause> Pauses;
  time_point LastServed{};
  std::mt19937_64 Random;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NODE_RELAYED_STORE_HPP
