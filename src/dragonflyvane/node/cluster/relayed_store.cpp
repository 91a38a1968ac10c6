#include "dragonflyvane/node/cluster/relayed_store.hpp"

#include <memory>
#include <utility>

namespace dragonflyvane {

namespace {

/// The caller of a probe gets a failure after this time; a later response still
/// shows that the path works.
constexpr std::chrono::milliseconds ProbeTimeout{600};
/// A call without a path fails after this time, so that callers that repeat it
/// at once do so at a bounded rate.
constexpr std::chrono::milliseconds NoPathDelay{100};
/// Longer than the calls of the relay to the store, so that the relay responds
/// before.
constexpr std::chrono::milliseconds PeerCallTimeout{1600};
constexpr std::chrono::milliseconds PeerTransactionTimeout{3500};
/// Added to the maximum wait of a watch for the timeout of the call.
constexpr std::chrono::milliseconds WatchTimeoutMargin{1000};
/// A host acts as a relay for this long after the last store call of a peer.
constexpr std::chrono::milliseconds RelayRoleTimeout{4000};

store_answer answerOf(const read_result &Result) {
  return Result.Outcome == read_outcome::Failed ? store_answer::None
                                                : store_answer::Success;
}

store_answer answerOf(const transaction_result &Result) {
  if (Result.Outcome == transaction_outcome::Committed ||
      Result.Outcome == transaction_outcome::Conflict)
    return store_answer::Success;
  return Result.Era ? store_answer::Refusal : store_answer::None;
}

} // namespace

relayed_store::relayed_store(dependencies Dependencies)
    : Deps(std::move(Dependencies)),
      Paths({Deps.Host, Deps.FailureDomain, Deps.Send, Deps.Loop, Deps.Clock,
             Deps.View}) {}

bool relayed_store::isRelay() const {
  return LastServedAt != time_point{} &&
         Deps.Clock.now() - LastServedAt < RelayRoleTimeout;
}

template <typename Result>
void relayed_store::failAfter(duration Delay, const char *Error,
                              std::shared_ptr<std::function<void(Result)>> To,
                              uint64_t Id) {
  Failures[Id] = Deps.Loop.after(Delay, [this, Error, To, Id] {
    // Erasing the timer may destroy this function.
    auto Callback = std::exchange(*To, nullptr);
    Result Failed{};
    Failed.Error = Error;
    Failures.erase(Id);
    Callback(std::move(Failed));
  });
}

template <typename Result>
void relayed_store::failLater(std::function<void(Result)> Callback) {
  auto Shared =
      std::make_shared<std::function<void(Result)>>(std::move(Callback));
  failAfter(NoPathDelay, "no path to the store", Shared, ++LastFailureId);
}

template <typename Result>
std::function<void(Result)>
relayed_store::withProbeTimeout(std::function<void(Result)> Callback) {
  uint64_t Id = ++LastFailureId;
  auto Shared =
      std::make_shared<std::function<void(Result)>>(std::move(Callback));
  failAfter(ProbeTimeout, "no response to a probe", Shared, Id);
  return [this, Shared, Id](Result StoreResult) {
    Failures.erase(Id);
    if (auto Function = std::exchange(*Shared, nullptr))
      Function(std::move(StoreResult));
  };
}

template <typename Result>
void relayed_store::callPeer(const store_path &Path, const store_call &Call,
                             std::chrono::milliseconds Timeout,
                             Result (*Decode)(const http_response &),
                             std::function<void(Result)> Callback) {
  time_point SentAt = Deps.Clock.now();
  Deps.Send(Path.Peer, encodeStoreCall(Call), Timeout,
            [this, Host = Path.Host, SentAt, Decode,
             Callback = std::move(Callback)](const call_result &CallResult) {
              Result StoreResult{};
              if (CallResult.Outcome == call_outcome::Completed)
                StoreResult = Decode(CallResult.Response);
              else
                StoreResult.Error = CallResult.Error;
              // A call also times out at a peer that responds to others.
              bool HasResponded =
                  CallResult.Outcome == call_outcome::Completed ||
                  CallResult.Outcome == call_outcome::TimedOut;
              Paths.onPeerResult(Host, SentAt, answerOf(StoreResult),
                                 HasResponded, StoreResult.Error);
              Callback(std::move(StoreResult));
            });
}

template <typename Result>
std::function<void(Result)>
relayed_store::recordingDirectResult(std::function<void(Result)> Callback) {
  return [this, SentAt = Deps.Clock.now(),
          Callback = std::move(Callback)](Result StoreResult) {
    Paths.onDirectResult(answerOf(StoreResult), SentAt);
    Callback(std::move(StoreResult));
  };
}

// Calls.

void relayed_store::read(row_kind Kind, read_callback Callback) {
  store_path Path = Paths.choose(call_length::Short);
  if (Path.Kind == store_path_kind::None)
    return failLater(std::move(Callback));
  if (Path.IsProbe)
    Callback = withProbeTimeout<read_result>(std::move(Callback));
  if (Path.Kind != store_path_kind::Direct)
    return callPeer<read_result>(Path, store_read{Kind}, PeerCallTimeout,
                                 &decodeReadResult, std::move(Callback));
  Deps.Direct.read(Kind,
                   recordingDirectResult<read_result>(std::move(Callback)));
}

void relayed_store::watch(row_kind Kind, row_version After,
                          std::chrono::milliseconds Wait,
                          read_callback Callback) {
  store_path Path = Paths.choose(call_length::Long);
  if (Path.Kind == store_path_kind::None)
    return failLater(std::move(Callback));
  if (Path.Kind != store_path_kind::Direct)
    return callPeer<read_result>(Path, store_watch{Kind, After, Wait},
                                 Wait + WatchTimeoutMargin, &decodeReadResult,
                                 std::move(Callback));
  Deps.Direct.watch(Kind, After, Wait,
                    recordingDirectResult<read_result>(std::move(Callback)));
}

void relayed_store::transact(const store_transaction &Transaction,
                             transaction_callback Callback) {
  store_path Path = Paths.choose(call_length::Short);
  if (Path.Kind == store_path_kind::None)
    return failLater(std::move(Callback));
  if (Path.IsProbe)
    Callback = withProbeTimeout<transaction_result>(std::move(Callback));
  if (Path.Kind != store_path_kind::Direct)
    return callPeer<transaction_result>(
        Path, Transaction, PeerTransactionTimeout + Transaction.MaxBatchDelay,
        &decodeTransactionResult, std::move(Callback));
  Deps.Direct.transact(Transaction, recordingDirectResult<transaction_result>(
                                        std::move(Callback)));
}

bool relayed_store::serve(const exchange_pointer &Exchange) {
  if (isStorePing(Exchange->request())) {
    Exchange->respond({204, {}, ""});
    return true;
  }
  auto Call = decodeStoreCall(Exchange->request());
  if (!Call)
    return false;
  LastServedAt = Deps.Clock.now();
  call_length Length = std::holds_alternative<store_watch>(*Call)
                           ? call_length::Long
                           : call_length::Short;
  // Refused without delay, so that the requesting host tries another path.
  if (!Paths.isDirectAvailable(Length))
    Exchange->respond({503, {}, ""});
  else
    callDirect(*Call, Exchange);
  return true;
}

template <typename Result>
std::function<void(Result)>
relayed_store::respondingTo(const exchange_pointer &Exchange, bool IsProbe) {
  std::function<void(Result)> Respond = [Exchange](const Result &StoreResult) {
    Exchange->respond(encodeStoreResult(StoreResult));
  };
  return IsProbe ? withProbeTimeout<Result>(std::move(Respond)) : Respond;
}

void relayed_store::callDirect(const store_call &Call,
                               const exchange_pointer &Exchange) {
  bool IsProbe = Paths.beginDirect();
  if (const auto *Transaction = std::get_if<store_transaction>(&Call))
    return Deps.Direct.transact(
        *Transaction, recordingDirectResult<transaction_result>(
                          respondingTo<transaction_result>(Exchange, IsProbe)));
  auto Respond = recordingDirectResult<read_result>(
      respondingTo<read_result>(Exchange, IsProbe));
  if (const auto *Read = std::get_if<store_read>(&Call))
    return Deps.Direct.read(Read->Kind, std::move(Respond));
  const auto &Watch = std::get<store_watch>(Call);
  Deps.Direct.watch(Watch.Kind, Watch.After, Watch.Wait, std::move(Respond));
}

} // namespace dragonflyvane
