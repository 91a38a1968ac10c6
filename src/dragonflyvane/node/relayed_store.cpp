#include "dragonflyvane/node/relayed_store.hpp"

#include "dragonflyvane/net/log.hpp"

#include <vector>

namespace dragonflyvane {

namespace {

/// How long the own way is left alone after a failure.
constexpr std::chrono::milliseconds DirectPause{2000};
/// How long a peer that could not help is left alone.
constexpr std::chrono::milliseconds RelayPause{1500};
constexpr std::chrono::milliseconds RelayTimeout{1000};
constexpr std::chrono::milliseconds WatchMargin{1000};

bool isReadReached(const read_result &Result) {
  return Result.Outcome != read_outcome::Failed;
}

bool isTransactionReached(const transaction_result &Result) {
  return Result.Outcome == transaction_outcome::Committed ||
         Result.Outcome == transaction_outcome::Conflict;
}

} // namespace

relayed_store::relayed_store(parts P)
    : Parts(std::move(P)), Random(std::random_device{}()) {}

std::optional<relayed_store::relay> relayed_store::chooseRelay() {
  time_point Now = Parts.Clock.now();
  const cluster_view *View = Parts.View();
  if (Now >= DirectAgainAt || !View)
    return std::nullopt;
  std::vector<relay> Usable;
  for (const auto &[Name, Row] : View->hosts())
    if (Name != Parts.Host && Now >= RelayAgainAt[Name])
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
  DirectAgainAt = Parts.Clock.now() + DirectPause;
}

void relayed_store::onRelayed(const std::string &Host, bool Reached) {
  time_point Now = Parts.Clock.now();
  if (!Reached)
    RelayAgainAt[Host] = Now + RelayPause;
}

template <typename Result>
void relayed_store::callPeer(const relay &Relay, const store_call &Call,
                             std::chrono::milliseconds Timeout,
                             Result (*Decode)(const http_response &),
                             bool (*IsReached)(const Result &),
                             std::function<void(Result)> Callback) {
  Parts.Peers.send(Relay.Peer, encodeCall(Call), Timeout,
                   [this, Host = Relay.Host, Decode, IsReached,
                    Callback = std::move(Callback)](const call_result &Ended) {
                     Result End{};
                     if (Ended.Outcome == call_outcome::Answered)
                       End = Decode(Ended.Response);
                     else
                       End.Error = Ended.Error;
                     onRelayed(Host, IsReached(End));
                     Callback(std::move(End));
                   });
}

void relayed_store::read(row_kind Kind, read_callback Callback) {
  if (auto Relay = chooseRelay())
    return callPeer<read_result>(*Relay, store_read{Kind}, RelayTimeout,
                                 &decodeReadEnd, &isReadReached,
                                 std::move(Callback));
  Parts.Direct.read(Kind, [this, Callback](read_result Result) {
    onDirect(isReadReached(Result));
    Callback(std::move(Result));
  });
}

void relayed_store::watch(row_kind Kind, row_version After,
                          std::chrono::milliseconds Wait,
                          read_callback Callback) {
  if (auto Relay = chooseRelay())
    return callPeer<read_result>(*Relay, store_watch{Kind, After, Wait},
                                 Wait + WatchMargin, &decodeReadEnd,
                                 &isReadReached, std::move(Callback));
  Parts.Direct.watch(Kind, After, Wait, [this, Callback](read_result Result) {
    onDirect(isReadReached(Result));
    Callback(std::move(Result));
  });
}

void relayed_store::transact(const store_transaction &Transaction,
                             transaction_callback Callback) {
  if (auto Relay = chooseRelay())
    return callPeer<transaction_result>(
        *Relay, Transaction, RelayTimeout, &decodeTransactionEnd,
        &isTransactionReached, std::move(Callback));
  Parts.Direct.transact(Transaction,
                        [this, Callback](transaction_result Result) {
                          onDirect(isTransactionReached(Result));
                          Callback(std::move(Result));
                        });
}

bool relayed_store::serve(const exchange_pointer &Exchange) {
  auto Call = decodeCall(Exchange->request());
  if (!Call)
    return false;
  auto Answer = [Exchange](const auto &Result) {
    Exchange->answer(encodeEnd(Result));
  };
  if (const auto *Read = std::get_if<store_read>(&*Call))
    Parts.Direct.read(Read->Kind, Answer);
  else if (const auto *Watch = std::get_if<store_watch>(&*Call))
    Parts.Direct.watch(Watch->Kind, Watch->After, Watch->Wait, Answer);
  else
    Parts.Direct.transact(std::get<store_transaction>(*Call), Answer);
  return true;
}

} // namespace dragonflyvane
