/// Access to the store through the relay of the failure domain, and through any
/// peer while neither the relay nor the direct path works.
#ifndef DRAGONFLYVANE_NODE_CLUSTER_RELAYED_STORE_HPP
#define DRAGONFLYVANE_NODE_CLUSTER_RELAYED_STORE_HPP

#include "dragonflyvane/core/clock.hpp"
#include "dragonflyvane/core/cluster/cluster_view.hpp"
#include "dragonflyvane/core/endpoint.hpp"
#include "dragonflyvane/core/store.hpp"
#include "dragonflyvane/net/call_result.hpp"
#include "dragonflyvane/net/http_exchange.hpp"
#include "dragonflyvane/net/store_call_codec.hpp"

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>

namespace dragonflyvane {

/// Sends a request to another daemon; the result is passed to the callback
/// later.
using peer_sender = std::function<void(
    const endpoint &Peer, http_request Request,
    std::chrono::milliseconds Timeout, std::function<void(call_result)>)>;

/// Chooses the path of each call: the relay of this failure domain, the direct
/// path from this host, or any peer. A failed call is not retried here; its
/// callback gets the failure. The confirmation age counts from the time at
/// which the requesting host sent its call, not from that of the relay.
class relayed_store final : public store {
public:
  /// Constructor arguments; the references must outlive the object.
  struct dependencies {
    std::string Host;
    std::string FailureDomain;
    /// The direct path to the store, also used for the calls of hosts that use
    /// this host as relay.
    store &Direct;
    peer_sender Send;
    const clock_source &Clock;
    /// Returns the view of the cluster from which relays and peers are chosen;
    /// may be null.
    std::function<const cluster_view *()> View;
  };

  explicit relayed_store(dependencies Dependencies);

  void read(row_kind Kind, read_callback Callback) override;
  void watch(row_kind Kind, row_version After, std::chrono::milliseconds Wait,
             read_callback Callback) override;
  void transact(const store_transaction &Transaction,
                transaction_callback Callback) override;

  /// Makes a peer's store call on the direct path. Returns false if the
  /// exchange is not a store call.
  bool serve(const exchange_pointer &Exchange);
  /// Whether other hosts have recently sent store calls to this host.
  bool isRelay() const;

private:
  /// A host that makes store calls for this one.
  struct relay {
    std::string Host;
    endpoint Peer;
  };
  /// A host that failed to reach the store gets no calls before `Until`. The
  /// backoff doubles with each failure in a row, up to a maximum.
  struct backoff {
    time_point Until{};
    /// Number of failures in a row, at most `MaxBackoffDoublings`.
    int Failures = 0;
  };

  /// Returns the host that makes the next call; none means this host.
  std::optional<relay> chooseRelay();
  std::optional<relay> chooseRandomPeer(const cluster_view &View);
  bool isBackedOff(const std::string &Host) const;
  bool isDirectPathAvailable() const {
    return Deps.Clock.now() >= DirectRetryAt;
  }
  void onDirectResult(bool Reached);
  void onRelayResult(const std::string &Host, bool Reached,
                     const std::string &Error);
  template <typename Result>
  void callPeer(const relay &Relay, const store_call &Call,
                std::chrono::milliseconds Timeout,
                Result (*Decode)(const http_response &),
                bool (*ReachedStore)(const Result &),
                std::function<void(Result)> Callback);
  /// Wraps the callback of a call on the direct path, to record whether the
  /// call reached the store.
  template <typename Result>
  std::function<void(Result)>
  recordingDirectResult(bool (*ReachedStore)(const Result &),
                        std::function<void(Result)> Callback);
  void callDirect(const store_call &Call, const exchange_pointer &Exchange);

  dependencies Deps;
  time_point StartedAt;
  /// The direct path is not tried before this time.
  time_point DirectRetryAt{};
  std::map<std::string, backoff> Backoffs;
  time_point LastServedAt{};
  std::mt19937_64 Random;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NODE_CLUSTER_RELAYED_STORE_HPP
