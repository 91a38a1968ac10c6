#include "dragonflyvane/node/cluster/operator_exchange.hpp"

#include "dragonflyvane/core/cluster/random_peer.hpp"
#include "dragonflyvane/net/store_call_codec.hpp"
#include "dragonflyvane/node/cluster/peer_messages.hpp"

#include <algorithm>
#include <utility>

namespace dragonflyvane {

namespace {

constexpr std::chrono::milliseconds CallTimeout{400};
/// The delay before the next peer is asked.
constexpr std::chrono::milliseconds RetryDelay{250};
/// The watch usually delivers a version that a peer has announced within this
/// time.
constexpr std::chrono::milliseconds UsualWatchLag{200};
/// An announced version is given up after this many peers that do not know a
/// newer version than this host, or do not respond.
constexpr int MaxAsksWithoutNews = 5;

} // namespace

operator_exchange::operator_exchange(dependencies Dependencies)
    : Deps(std::move(Dependencies)),
      Random(std::hash<std::string>{}(Deps.Host)) {}

void operator_exchange::onPeerVersion(row_version Version,
                                      const std::string &Host) {
  if (Version > AnnouncedVersion) {
    AnnouncedVersion = Version;
    Announcer = Host;
  }
  if (isBehind() && !IsAsking && !IsAskScheduled)
    scheduleAsk(UsualWatchLag);
}

void operator_exchange::scheduleAsk(duration Delay) {
  IsAskScheduled = true;
  AskTimer = Deps.Loop.after(Delay, [this] {
    IsAskScheduled = false;
    update();
  });
}

std::optional<endpoint> operator_exchange::choosePeer() {
  std::string Host = std::exchange(Announcer, "");
  const host_info *Info = isBehind() ? Deps.View.host(Host) : nullptr;
  if (Info && Host != Deps.Host)
    return Info->PeerEndpoint;
  return randomPeer(Deps.View, Deps.Host, Random);
}

void operator_exchange::update() {
  if (IsAsking || (Deps.IsFollowingStore() && !isBehind()))
    return;
  std::optional<endpoint> Peer = choosePeer();
  if (!Peer)
    return scheduleAsk(RetryDelay);
  IsAsking = true;
  Deps.Send(
      *Peer, encodeOperatorRowsRequest(Deps.OperatorState.newestVersion()),
      CallTimeout, [this](const call_result &Result) { onResult(Result); });
}

void operator_exchange::onResult(const call_result &Result) {
  IsAsking = false;
  bool HasRows = Result.Outcome == call_outcome::Completed &&
                 Result.Response.Status == 200;
  row_version KnownBefore = Deps.OperatorState.newestVersion();
  if (HasRows) {
    read_result Read = decodeReadResult(Result.Response);
    if (Read.Outcome == read_outcome::Succeeded)
      Deps.OnRows(Read.Batch);
  }
  bool HasNews = Deps.OperatorState.newestVersion() > KnownBefore;
  AsksWithoutNews = HasNews ? 0 : AsksWithoutNews + 1;
  if (AsksWithoutNews >= MaxAsksWithoutNews)
    AnnouncedVersion = 0;
  scheduleAsk(RetryDelay);
}

bool operator_exchange::serve(const exchange_pointer &Exchange) const {
  auto KnownVersion = decodeOperatorRowsRequest(Exchange->request());
  if (!KnownVersion)
    return false;
  if (Deps.OperatorState.newestVersion() <= *KnownVersion)
    Exchange->respond({204, {}, ""});
  else
    Exchange->respond(encodeStoreResult(read_result{
        read_outcome::Succeeded, Deps.OperatorState.confirmedRows(), ""}));
  return true;
}

} // namespace dragonflyvane
