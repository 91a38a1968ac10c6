#include "dragonflyvane/node/cluster/relayed_store.hpp"

#include "dragonflyvane/core/cluster/store_relays.hpp"
#include "dragonflyvane/net/log.hpp"

#include <algorithm>
#include <vector>

namespace dragonflyvane {

namespace {

/// The direct path is not tried for this long after a failure.
constexpr std::chrono::milliseconds DirectBackoff{2000};
/// A peer is not tried for this long after its first failure. Each further
/// failure in a row doubles the time, at most `MaxBackoffDoublings` times.
constexpr std::chrono::milliseconds InitialBackoff{1000};
constexpr int MaxBackoffDoublings = 2;
/// For this long after its start, a host keeps to its relay after a failure.
constexpr std::chrono::milliseconds RelayStartupTime{800};
constexpr std::chrono::milliseconds PeerCallTimeout{1000};
/// Added to the maximum wait of a watch for the timeout of the call.
constexpr std::chrono::milliseconds WatchTimeoutMargin{1000};
/// A host acts as a relay for this long after the last store call of a peer.
constexpr std::chrono::milliseconds RelayRoleTimeout{4000};

bool readReachedStore(const read_result &Result) {
  return Result.Outcome != read_outcome::Failed;
}

bool transactionReachedStore(const transaction_result &Result) {
  return Result.Outcome == transaction_outcome::Committed ||
         Result.Outcome == transaction_outcome::Conflict;
}

} // namespace

relayed_store::relayed_store(dependencies Dependencies)
    : Deps(std::move(Dependencies)), StartedAt(Deps.Clock.now()),
      Random(std::hash<std::string>{}(Deps.Host)) {}

bool relayed_store::isRelay() const {
  return LastServedAt != time_point{} &&
         Deps.Clock.now() - LastServedAt < RelayRoleTimeout;
}

bool relayed_store::isBackedOff(const std::string &Host) const {
  auto Found = Backoffs.find(Host);
  return Found != Backoffs.end() && Deps.Clock.now() < Found->second.Until;
}

std::optional<relayed_store::relay> relayed_store::chooseRelay() {
  const cluster_view *View = Deps.View();
  if (!View)
    return std::nullopt;
  for (const std::string &Name : relayCandidatesOf(*View, Deps.FailureDomain)) {
    if (Name == Deps.Host && isDirectPathAvailable())
      return std::nullopt;
    // A fleet that restarts at once finds its relays starting as well.
    bool IsStarting = Deps.Clock.now() - StartedAt < RelayStartupTime;
    if (Name != Deps.Host && (IsStarting || !isBackedOff(Name)))
      return relay{Name, View->host(Name)->PeerEndpoint};
  }
  if (isDirectPathAvailable())
    return std::nullopt;
  return chooseRandomPeer(*View);
}

std::optional<relayed_store::relay>
relayed_store::chooseRandomPeer(const cluster_view &View) {
  std::vector<relay> Candidates;
  for (const auto &[Name, Row] : View.hosts())
    if (Name != Deps.Host && !isBackedOff(Name))
      Candidates.push_back({Name, Row.Content.PeerEndpoint});
  if (Candidates.empty())
    return std::nullopt;
  return Candidates[Random() % Candidates.size()];
}

void relayed_store::onDirectResult(bool Reached) {
  if (Reached) {
    DirectRetryAt = {};
    return;
  }
  if (DirectRetryAt == time_point{})
    writeLog(log_level::Warning,
             "store unreachable on the direct path, using peers",
             {{"step", "store"}, {"peer", "store"}});
  DirectRetryAt = Deps.Clock.now() + DirectBackoff;
}

void relayed_store::onRelayResult(const std::string &Host, bool Reached,
                                  const std::string &Error) {
  if (Reached) {
    Backoffs.erase(Host);
    return;
  }
  backoff &Backoff = Backoffs[Host];
  if (Backoff.Failures == 0)
    writeLog(log_level::Info, "relay failed",
             {{"step", "store"}, {"peer", Host}, {"reason", Error}});
  Backoff.Until = Deps.Clock.now() + InitialBackoff * (1 << Backoff.Failures);
  Backoff.Failures = std::min(Backoff.Failures + 1, MaxBackoffDoublings);
}

template <typename Result>
void relayed_store::callPeer(const relay &Relay, const store_call &Call,
                             std::chrono::milliseconds Timeout,
                             Result (*Decode)(const http_response &),
                             bool (*ReachedStore)(const Result &),
                             std::function<void(Result)> Callback) {
  Deps.Send(Relay.Peer, encodeStoreCall(Call), Timeout,
            [this, Host = Relay.Host, Decode, ReachedStore,
             Callback = std::move(Callback)](const call_result &CallResult) {
              Result StoreResult{};
              if (CallResult.Outcome == call_outcome::Completed)
                StoreResult = Decode(CallResult.Response);
              else
                StoreResult.Error = CallResult.Error;
              onRelayResult(Host, ReachedStore(StoreResult), StoreResult.Error);
              Callback(std::move(StoreResult));
            });
}

template <typename Result>
std::function<void(Result)>
relayed_store::recordingDirectResult(bool (*ReachedStore)(const Result &),
                                     std::function<void(Result)> Callback) {
  return
      [this, ReachedStore, Callback = std::move(Callback)](Result StoreResult) {
        onDirectResult(ReachedStore(StoreResult));
        Callback(std::move(StoreResult));
      };
}

void relayed_store::read(row_kind Kind, read_callback Callback) {
  if (auto Relay = chooseRelay())
    return callPeer<read_result>(*Relay, store_read{Kind}, PeerCallTimeout,
                                 &decodeReadResult, &readReachedStore,
                                 std::move(Callback));
  Deps.Direct.read(Kind, recordingDirectResult<read_result>(
                             &readReachedStore, std::move(Callback)));
}

void relayed_store::watch(row_kind Kind, row_version After,
                          std::chrono::milliseconds Wait,
                          read_callback Callback) {
  if (auto Relay = chooseRelay())
    return callPeer<read_result>(*Relay, store_watch{Kind, After, Wait},
                                 Wait + WatchTimeoutMargin, &decodeReadResult,
                                 &readReachedStore, std::move(Callback));
  Deps.Direct.watch(Kind, After, Wait,
                    recordingDirectResult<read_result>(&readReachedStore,
                                                       std::move(Callback)));
}

void relayed_store::transact(const store_transaction &Transaction,
                             transaction_callback Callback) {
  if (auto Relay = chooseRelay())
    return callPeer<transaction_result>(
        *Relay, Transaction, PeerCallTimeout + Transaction.MaxBatchDelay,
        &decodeTransactionResult, &transactionReachedStore,
        std::move(Callback));
  Deps.Direct.transact(Transaction,
                       recordingDirectResult<transaction_result>(
                           &transactionReachedStore, std::move(Callback)));
}

bool relayed_store::serve(const exchange_pointer &Exchange) {
  auto Call = decodeStoreCall(Exchange->request());
  if (!Call)
    return false;
  LastServedAt = Deps.Clock.now();
  if (isDirectPathAvailable())
    callDirect(*Call, Exchange);
  else
    // Refused without delay, so that the requesting host tries another path.
    Exchange->respond({503, {}, ""});
  return true;
}

void relayed_store::callDirect(const store_call &Call,
                               const exchange_pointer &Exchange) {
  auto Respond = [Exchange](const auto &Result) {
    Exchange->respond(encodeStoreResult(Result));
  };
  if (const auto *Read = std::get_if<store_read>(&Call))
    Deps.Direct.read(Read->Kind, recordingDirectResult<read_result>(
                                     &readReachedStore, Respond));
  else if (const auto *Watch = std::get_if<store_watch>(&Call))
    Deps.Direct.watch(
        Watch->Kind, Watch->After, Watch->Wait,
        recordingDirectResult<read_result>(&readReachedStore, Respond));
  else
    Deps.Direct.transact(std::get<store_transaction>(Call),
                         recordingDirectResult<transaction_result>(
                             &transactionReachedStore, Respond));
}

} // namespace dragonflyvane
