/// Access to the store through the relays of the failure domain, and on other
/// paths while these do not work.
#ifndef DRAGONFLYVANE_NODE_CLUSTER_RELAYED_STORE_HPP
#define DRAGONFLYVANE_NODE_CLUSTER_RELAYED_STORE_HPP

#include "dragonflyvane/core/clock.hpp"
#include "dragonflyvane/core/cluster/cluster_view.hpp"
#include "dragonflyvane/core/endpoint.hpp"
#include "dragonflyvane/core/scheduler.hpp"
#include "dragonflyvane/core/store.hpp"
#include "dragonflyvane/net/call_result.hpp"
#include "dragonflyvane/net/http_exchange.hpp"
#include "dragonflyvane/net/store_call_codec.hpp"
#include "dragonflyvane/node/cluster/peer_sender.hpp"
#include "dragonflyvane/node/cluster/store_paths.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace dragonflyvane {

/// Sends each call on the path that `store_paths` chooses. A failed call is not
/// retried here; its callback gets the failure. The confirmation age counts
/// from the time at which the requesting host sent its call, not from that of
/// the relay.
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
    scheduler &Loop;
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
  /// Fails a call after a delay, unless its callback is taken before.
  template <typename Result>
  void failAfter(duration Delay, const char *Error,
                 std::shared_ptr<std::function<void(Result)>> To, uint64_t Id);
  /// Fails a call for which there is no path.
  template <typename Result>
  void failLater(std::function<void(Result)> Callback);
  /// Wraps the callback of a probe, so that it gets a failure if the probe
  /// takes long.
  template <typename Result>
  std::function<void(Result)>
  withProbeTimeout(std::function<void(Result)> Callback);
  template <typename Result>
  void callPeer(const store_path &Path, const store_call &Call,
                std::chrono::milliseconds Timeout,
                Result (*Decode)(const http_response &),
                std::function<void(Result)> Callback);
  /// Wraps the callback of a call on the direct path, to record whether the
  /// call reached the store.
  template <typename Result>
  std::function<void(Result)>
  recordingDirectResult(std::function<void(Result)> Callback);
  template <typename Result>
  std::function<void(Result)> respondingTo(const exchange_pointer &Exchange,
                                           bool IsProbe);
  void callDirect(const store_call &Call, const exchange_pointer &Exchange);

  dependencies Deps;
  store_paths Paths;
  time_point LastServedAt{};
  /// The calls that fail after a delay, by ID.
  std::map<uint64_t, timer> Failures;
  uint64_t LastFailureId = 0;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NODE_CLUSTER_RELAYED_STORE_HPP
