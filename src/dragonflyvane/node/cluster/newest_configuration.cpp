#include "dragonflyvane/node/cluster/newest_configuration.hpp"

#include "dragonflyvane/core/cluster/random_peer.hpp"
#include "dragonflyvane/net/log.hpp"
#include "dragonflyvane/node/cluster/peer_messages.hpp"

namespace dragonflyvane {

namespace {

constexpr std::chrono::milliseconds CallTimeout{400};
/// The delay before the next peer is asked.
constexpr std::chrono::milliseconds RetryDelay{150};

} // namespace

newest_configuration::newest_configuration(dependencies Dependencies)
    : Deps(std::move(Dependencies)),
      Random(std::hash<std::string>{}(Deps.Host)) {}

void newest_configuration::update() {
  if (IsAsking || !Deps.OperatorState.awaitsNewest())
    return;
  if (auto Peer = randomPeer(Deps.View, Deps.Host, Random))
    ask(*Peer);
}

void newest_configuration::ask(const endpoint &Peer) {
  IsAsking = true;
  Deps.Send(Peer, encodeConfigurationRequest(), CallTimeout,
            [this, SentAt = Deps.Clock.now()](const call_result &Result) {
              onResult(SentAt, Result);
            });
}

void newest_configuration::onResult(time_point SentAt,
                                    const call_result &Result) {
  IsAsking = false;
  std::optional<known_configuration> Known;
  if (Result.Outcome == call_outcome::Completed)
    Known = decodeConfigurationResponse(Result.Response);
  if (!Known) {
    RetryTimer = Deps.Loop.after(RetryDelay, [this] { update(); });
    return;
  }
  bool Changed = Deps.OperatorState.adopt(*Known, SentAt);
  writeLog(log_level::Info, "configuration of a peer taken up",
           {{"step", "configuration"},
            {"changed", Changed ? "yes" : "no"},
            {"age_ms", Known->ConfirmationAge.count()}});
  Deps.OnChange();
}

} // namespace dragonflyvane
