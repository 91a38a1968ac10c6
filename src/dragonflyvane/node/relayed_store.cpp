#include "dragonflyvane/node/relayed_store.hpp"

#include "dragonflyvane/core/cluster/store_relays.hpp"
#include "dragonflyvane/net/log.hpp"

#include <algorithm>
#include <vector>

namespace dragonflyvane {

namespace {

/// How long the own way is left alone after a failure.
constexpr std::chrono::milliseconds DirectPause{2000};
/// How long a peer that could not help is left alone; twice as long each time.
constexpr std::chrono::milliseconds FirstPause{1000};
constexpr int MostDoublings = 2;
constexpr std::chrono::milliseconds RelayTimeout{1000};
constexpr std::chrono::milliseconds WatchMargin{1000};
/// Who was asked within this collects the calls of others.
constexpr std::chrono::milliseconds CollectorMemory{4000};

bool isReadReached(const read_result &Result) {
  return Result.Outcome != read_outcome::Failed;
}

bool isTransactionReached(const transaction_result &Result) {
  return Result.Outcome == transaction_outcome::Committed ||
         Result.Outcome == transaction_outcome::Conflict;
}

} // namespace

relayed_store::relayed_store(dependencies P)
    : Deps(std::move(P)), Random(std::hash<std::string>{}(Deps.Host)) {}

bool relayed_store::isRelay() const {
  return LastServed != time_point{} &&
         Deps.Clock.now() - LastServed < CollectorMemory;
}

bool relayed_store::isPaused(const std::string &Host) const {
  auto Found = Pauses.find(Host);
  return Found != Pauses.end() && Deps.Clock.now() < Found->second.Until;
}

std::optional<relayed_store::relay> relayed_store::chooseRelay() {
  const cluster_view *View = Deps.View();
  if (!View || !View->host(Deps.Host))
    return std::nullopt;
  for (const std::string &Name : relayCandidatesOf(*View, Deps.FailureDomain)) {
    if (Name == Deps.Host && isOwnWayOpen())
      return std::nullopt;
    if (Name != Deps.Host && !isPaused(Name))
      return relay{Name, parseEndpoint(View->host(Name)->PeerAddress)};
  }
  if (isOwnWayOpen())
    return std::nullopt;
  return chooseAnyPeer(*View);
}

std::optional<relayed_store::relay>
relayed_store::chooseAnyPeer(const cluster_view &View) {
  std::vector<relay> Usable;
  for (const auto &[Name, Row] : View.hosts())
    if (Name != Deps.Host && !isPaused(Name))
      Usable.push_back({Name, parseEndpoint(Row.Content.PeerAddress)});
  if (Usable.empty())
    return std::nullopt;
  return Usable[Random() % Usable.size()];
}

void relayed_store::onDirect(bool Reached) {
  if (Reached) {
    DirectAgainAt = {};
    return;
  }
  if (DirectAgainAt == time_point{})
    writeLog(log_level::Warning, "own way to the store lost, using peers",
             {{"step", "store"}, {"peer", "store"}});
  DirectAgainAt = Deps.Clock.now() + DirectPause;
}

void relayed_store::onRelayed(const std::string &Host, bool Reached) {
  if (Reached) {
    Pauses.erase(Host);
    return;
  }
  pause &Pause = Pauses[Host];
  Pause.Until = Deps.Clock.now() + FirstPause * (1 << Pause.Failures);
  Pause.Failures = std::min(Pause.Failures + 1, MostDoublings);
}

template <typename Result>
void relayed_store::callPeer(const relay &Relay, const store_call &Call,
                             std::chrono::milliseconds Timeout,
                             Result (*Decode)(const http_response &),
                             bool (*IsReached)(const Result &),
                             std::function<void(Result)> Callback) {
  Deps.Send(Relay.Peer, encodeStoreCall(Call), Timeout,
            [this, Host = Relay.Host, Decode, IsReached,
             Callback = std::move(Callback)](const call_result &Ended) {
              Result End{};
              if (Ended.Outcome == call_outcome::Completed)
                End = Decode(Ended.Response);
              else
                End.Error = Ended.Error;
              onRelayed(Host, IsReached(End));
              Callback(std::move(End));
            });
}

template <typename Result>
std::function<void(Result)>
relayed_store::noting(bool (*IsReached)(const Result &),
                      std::function<void(Result)> Callback) {
  return [this, IsReached, Callback = std::move(Callback)](Result End) {
    onDirect(IsReached(End));
    Callback(std::move(End));
  };
}

void relayed_store::read(row_kind Kind, read_callback Callback) {
  if (auto Relay = chooseRelay())
    return callPeer<read_result>(*Relay, store_read{Kind}, RelayTimeout,
                                 &decodeReadResult, &isReadReached,
                                 std::move(Callback));
  Deps.Direct.read(Kind,
                   noting<read_result>(&isReadReached, std::move(Callback)));
}

void relayed_store::watch(row_kind Kind, row_version After,
                          std::chrono::milliseconds Wait,
                          read_callback Callback) {
  if (auto Relay = chooseRelay())
    return callPeer<read_result>(*Relay, store_watch{Kind, After, Wait},
                                 Wait + WatchMargin, &decodeReadResult,
                                 &isReadReached, std::move(Callback));
  Deps.Direct.watch(Kind, After, Wait,
                    noting<read_result>(&isReadReached, std::move(Callback)));
}

void relayed_store::transact(const store_transaction &Transaction,
                             transaction_callback Callback) {
  if (auto Relay = chooseRelay())
    return callPeer<transaction_result>(
        *Relay, Transaction, RelayTimeout + Transaction.MaxBatchDelay,
        &decodeTransactionResult, &isTransactionReached, std::move(Callback));
  Deps.Direct.transact(
      Transaction,
      noting<transaction_result>(&isTransactionReached, std::move(Callback)));
}

bool relayed_store::serve(const exchange_pointer &Exchange) {
  auto Call = decodeStoreCall(Exchange->request());
  if (!Call)
    return false;
  LastServed = Deps.Clock.now();
  if (isOwnWayOpen())
    makeCall(*Call, Exchange);
  else
    // At once, so that the asker turns to somebody else.
    Exchange->respond({503, {}, ""});
  return true;
}

void relayed_store::makeCall(const store_call &Call,
                             const exchange_pointer &Exchange) {
  auto Answer = [Exchange](const auto &Result) {
    Exchange->respond(encodeStoreResult(Result));
  };
  if (const auto *Read = std::get_if<store_read>(&Call))
    Deps.Direct.read(Read->Kind, noting<read_result>(&isReadReached, Answer));
  else if (const auto *Watch = std::get_if<store_watch>(&Call))
    Deps.Direct.watch(Watch->Kind, Watch->After, Watch->Wait,
                      noting<read_result>(&isReadReached, Answer));
  else
    Deps.Direct.transact(
        std::get<store_transaction>(Call),
        noting<transaction_result>(&isTransactionReached, Answer));
}

} // namespace dragonflyvane
