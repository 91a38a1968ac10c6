#include "dragonflyvane/node/cluster/store_paths.hpp"

#include "dragonflyvane/core/cluster/store_relays.hpp"
#include "dragonflyvane/net/log.hpp"
#include "dragonflyvane/net/store_call_codec.hpp"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

namespace dragonflyvane {

namespace {

/// The delay between probes of the direct path, and of a peer that responds but
/// does not reach the store.
constexpr std::chrono::milliseconds ProbeDelay{500};
/// The delay before the first ping of a peer that does not respond. It doubles
/// with each ping, at most `MaxPingDoublings` times.
constexpr std::chrono::milliseconds InitialPingDelay{500};
constexpr int MaxPingDoublings = 3;
constexpr std::chrono::milliseconds PingTimeout{500};
/// After this many relays in a row that do not respond, this host itself may be
/// cut off from its peers.
constexpr size_t MaxUnresponsiveRelays = 2;
/// The mean time between two calls of all hosts together on paths of last
/// resort.
constexpr std::chrono::milliseconds LastResortDelayPerHost{20};
/// A path counts as proven for this long after a success. Renewals use it more
/// often.
constexpr std::chrono::milliseconds ProofTime{4000};
/// For this long after its start, a host keeps to its relay after a failure.
constexpr std::chrono::milliseconds RelayStartupTime{800};

const char *nameOf(store_path_kind Kind) {
  switch (Kind) {
  case store_path_kind::Relay:
    return "relay";
  case store_path_kind::Direct:
    return "direct";
  case store_path_kind::OtherRelay:
    return "relay of another failure domain";
  case store_path_kind::AnyPeer:
    return "any peer";
  case store_path_kind::None:
    break;
  }
  return "none";
}

} // namespace

store_paths::store_paths(dependencies Dependencies)
    : Deps(std::move(Dependencies)), StartedAt(Deps.Clock.now()),
      DirectBreaker(ProbeDelay), LastResortPace(LastResortDelayPerHost),
      Random(std::hash<std::string>{}(Deps.Host)) {}

size_t store_paths::hostCount() const {
  const cluster_view *View = Deps.View();
  return View ? std::max<size_t>(1, View->hosts().size()) : 1;
}

// Choice of a path.

bool store_paths::admits(const std::string &Host, call_length Length) const {
  auto Found = PeerPaths.find(Host);
  return Found == PeerPaths.end() ||
         (!Found->second.IsUnresponsive &&
          Found->second.Breaker.admits(Length, Deps.Clock.now()));
}

bool store_paths::isUnresponsive(const std::string &Host) const {
  auto Found = PeerPaths.find(Host);
  return Found != PeerPaths.end() && Found->second.IsUnresponsive;
}

bool store_paths::isProven(const circuit_breaker &Breaker) const {
  time_point LastSuccess = Breaker.lastSuccess();
  return LastSuccess != time_point{} &&
         Deps.Clock.now() - LastSuccess < ProofTime;
}

store_path store_paths::peerPath(store_path_kind Kind, const cluster_view &View,
                                 const std::string &Host) const {
  return store_path{Kind, Host, View.host(Host)->PeerEndpoint, false};
}

store_path store_paths::choose(call_length Length) {
  const cluster_view *View = Deps.View();
  store_path Path =
      View ? findPath(*View, Length) : store_path{store_path_kind::Direct};
  if (Path.Kind == store_path_kind::None) {
    notePath(Path);
    return Path;
  }
  circuit_breaker &Breaker = Path.Kind == store_path_kind::Direct
                                 ? DirectBreaker
                                 : pathThrough(Path.Host).Breaker;
  Path.IsProbe |= !Breaker.isClosed();
  Breaker.onSent(Deps.Clock.now());
  notePath(Path);
  return Path;
}

store_path store_paths::findPath(const cluster_view &View, call_length Length) {
  // A fleet that restarts at once finds its relays starting as well.
  bool IsStarting = Deps.Clock.now() - StartedAt < RelayStartupTime;
  std::vector<std::string> Relays = relayCandidatesOf(View, Deps.FailureDomain);
  size_t Unresponsive = 0;
  for (const std::string &Name : Relays) {
    if (Name == Deps.Host && isDirectAvailable(Length))
      return store_path{store_path_kind::Direct};
    if (Name != Deps.Host && (IsStarting || admits(Name, Length)))
      return peerPath(store_path_kind::Relay, View, Name);
    Unresponsive += isUnresponsive(Name) ? 1 : 0;
    if (Unresponsive >= MaxUnresponsiveRelays)
      break;
  }
  bool MayBeCutOff =
      Unresponsive >= std::min(Relays.size(), MaxUnresponsiveRelays);
  if ((MayBeCutOff || isProven(DirectBreaker)) && isDirectAvailable(Length))
    return store_path{store_path_kind::Direct};
  store_path Other = relayOfOtherDomain(View, Length);
  return Other.Kind != store_path_kind::None ? Other : lastResort(View, Length);
}

store_path store_paths::relayOfOtherDomain(const cluster_view &View,
                                           call_length Length) {
  std::set<std::string> Domains;
  for (const auto &[Name, Row] : View.hosts())
    if (Row.Content.FailureDomain != Deps.FailureDomain)
      Domains.insert(Row.Content.FailureDomain);
  std::vector<std::string> Candidates;
  for (const std::string &Domain : Domains)
    for (const std::string &Name : relayCandidatesOf(View, Domain))
      if (admits(Name, Length))
        Candidates.push_back(Name);
  if (Candidates.empty())
    return {};
  return peerPath(store_path_kind::OtherRelay, View,
                  Candidates[Random() % Candidates.size()]);
}

store_path store_paths::lastResort(const cluster_view &View,
                                   call_length Length) {
  store_path Proven = provenPeer(View, Length);
  time_point Now = Deps.Clock.now();
  bool MayProbe = Length == call_length::Short && LastResortPace.admits(Now);
  if (Proven.Kind != store_path_kind::None || !MayProbe)
    return Proven;
  store_path Path = isDirectAvailable(Length)
                        ? store_path{store_path_kind::Direct}
                        : randomPeer(View, Length);
  if (Path.Kind == store_path_kind::None)
    return Path;
  LastResortPace.onSent(hostCount(), Random, Now);
  Path.IsProbe = true;
  return Path;
}

store_path store_paths::provenPeer(const cluster_view &View,
                                   call_length Length) const {
  for (const auto &[Name, Path] : PeerPaths)
    if (View.host(Name) && isProven(Path.Breaker) && admits(Name, Length))
      return peerPath(store_path_kind::AnyPeer, View, Name);
  return {};
}

store_path store_paths::randomPeer(const cluster_view &View,
                                   call_length Length) {
  std::vector<std::string> Candidates;
  for (const auto &[Name, Row] : View.hosts())
    if (Name != Deps.Host && admits(Name, Length))
      Candidates.push_back(Name);
  if (Candidates.empty())
    return {};
  return peerPath(store_path_kind::AnyPeer, View,
                  Candidates[Random() % Candidates.size()]);
}

void store_paths::notePath(const store_path &Path) {
  if (std::exchange(LastKind, Path.Kind) == Path.Kind)
    return;
  writeLog(
      log_level::Info, "store calls take another path",
      {{"step", "store"}, {"path", nameOf(Path.Kind)}, {"peer", Path.Host}});
}

bool store_paths::beginDirect() {
  bool IsProbe = !DirectBreaker.isClosed();
  DirectBreaker.onSent(Deps.Clock.now());
  return IsProbe;
}

// Results.

store_paths::peer_path &store_paths::pathThrough(const std::string &Host) {
  return PeerPaths.try_emplace(Host, ProbeDelay).first->second;
}

void store_paths::onDirectResult(store_answer Answer, time_point SentAt) {
  time_point Now = Deps.Clock.now();
  if (Answer == store_answer::Success)
    return DirectBreaker.onSuccess(Now);
  bool WasClosed = DirectBreaker.isClosed();
  if (Answer == store_answer::Refusal)
    DirectBreaker.onRefusal(SentAt, Now);
  else
    DirectBreaker.onFailure(SentAt, Now);
  if (WasClosed && !DirectBreaker.isClosed())
    writeLog(log_level::Warning,
             "store unreachable on the direct path, using peers",
             {{"step", "store"}, {"peer", "store"}});
}

void store_paths::onPeerResult(const std::string &Host, time_point SentAt,
                               store_answer Answer, bool HasResponded,
                               const std::string &Error) {
  time_point Now = Deps.Clock.now();
  peer_path &Path = pathThrough(Host);
  if (Answer == store_answer::Success) {
    Path.IsUnresponsive = false;
    return Path.Breaker.onSuccess(Now);
  }
  bool WasAvailable = Path.Breaker.isClosed() && !Path.IsUnresponsive;
  if (Answer == store_answer::Refusal)
    Path.Breaker.onRefusal(SentAt, Now);
  else if (HasResponded)
    Path.Breaker.onFailure(SentAt, Now);
  else
    onUnresponsive(Host);
  LastResortPace.onNeeded(hostCount(), Random, Now);
  bool IsAvailable = Path.Breaker.isClosed() && !Path.IsUnresponsive;
  if (WasAvailable && !IsAvailable)
    writeLog(log_level::Info, "relay failed",
             {{"step", "store"},
              {"peer", Host},
              {"responds", HasResponded ? "yes" : "no"},
              {"reason", Error}});
}

// Peers that do not respond.

void store_paths::onUnresponsive(const std::string &Host) {
  peer_path &Path = pathThrough(Host);
  if (std::exchange(Path.IsUnresponsive, true))
    return;
  Path.FailedPings = 0;
  schedulePing(Host);
}

void store_paths::schedulePing(const std::string &Host) {
  peer_path &Path = pathThrough(Host);
  int Doublings = std::min(Path.FailedPings, MaxPingDoublings);
  Path.PingTimer = Deps.Loop.after(InitialPingDelay * (1 << Doublings),
                                   [this, Host] { ping(Host); });
}

void store_paths::ping(const std::string &Host) {
  const cluster_view *View = Deps.View();
  const host_info *Info = View ? View->host(Host) : nullptr;
  if (!Info)
    return void(PeerPaths.erase(Host));
  Deps.Send(
      Info->PeerEndpoint, encodeStorePing(), PingTimeout,
      [this, Host](const call_result &Result) { onPingResult(Host, Result); });
}

void store_paths::onPingResult(const std::string &Host,
                               const call_result &Result) {
  peer_path &Path = pathThrough(Host);
  if (Result.Outcome == call_outcome::Completed) {
    Path.IsUnresponsive = false;
    return;
  }
  ++Path.FailedPings;
  if (Path.IsUnresponsive)
    schedulePing(Host);
}

} // namespace dragonflyvane
