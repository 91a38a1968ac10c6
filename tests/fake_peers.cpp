#include "fake_peers.hpp"

namespace dragonflyvane {

namespace {

constexpr std::chrono::milliseconds Latency{2};
constexpr std::chrono::milliseconds SilenceCheckPeriod{300};
/// The number of consecutive checks without contact after which a connection
/// counts as lost.
constexpr int MaxSilentChecks = 3;
constexpr std::chrono::milliseconds FrozenPollPeriod{20};

/// Reports once how a call ends: with the response, or as lost if the exchange
/// is destroyed without a response.
class fake_exchange final : public http_exchange {
public:
  using end_callback = std::function<void(const call_result &)>;

  fake_exchange(http_request Request, end_callback EndCallback)
      : Request(std::move(Request)), EndCallback(std::move(EndCallback)) {}
  ~fake_exchange() override {
    end({call_outcome::ConnectionLost, {}, "exchange was destroyed"});
  }

  const http_request &request() const override { return Request; }
  void respond(http_response Response) override {
    end({call_outcome::Completed, std::move(Response), ""});
  }
  void
  onDisconnect(std::function<void(disconnect_cause)> /*Callback*/) override {}

private:
  void end(const call_result &Result) {
    if (end_callback Function = std::exchange(EndCallback, nullptr))
      Function(Result);
  }

  http_request Request;
  end_callback EndCallback;
};

} // namespace

struct fake_peers::pending_call {
  endpoint From;
  /// The start of the calling daemon at which the call was sent. A daemon that
  /// was restarted since does not get the result.
  uint64_t StartId = 0;
  callback Callback;
};

void fake_peers::add(const endpoint &Peer, http_handler Handler) {
  Peers[Peer] = {std::move(Handler), false, false, ++LastStartId};
}

void fake_peers::remove(const endpoint &Peer) { Peers.erase(Peer); }

void fake_peers::setFrozen(const endpoint &Peer, bool Value) {
  auto Found = Peers.find(Peer);
  if (Found != Peers.end())
    Found->second.IsFrozen = Value;
}

bool fake_peers::isFrozen(const endpoint &Peer) const {
  auto Found = Peers.find(Peer);
  return Found != Peers.end() && Found->second.IsFrozen;
}

void fake_peers::setDisconnected(const endpoint &Peer, bool Value) {
  auto Found = Peers.find(Peer);
  if (Found != Peers.end())
    Found->second.IsDisconnected = Value;
}

bool fake_peers::isDisconnected(const endpoint &Peer) const {
  auto Found = Peers.find(Peer);
  return Found != Peers.end() && Found->second.IsDisconnected;
}

bool fake_peers::isCurrentStart(const endpoint &Peer, uint64_t StartId) const {
  auto Found = Peers.find(Peer);
  return Found != Peers.end() && Found->second.StartId == StartId;
}

void fake_peers::send(const endpoint &From, const endpoint &To,
                      const http_request &Request,
                      std::chrono::milliseconds Timeout, callback Callback) {
  auto Call = std::make_shared<pending_call>(
      pending_call{From, Peers.at(From).StartId, std::move(Callback)});
  auto Target = Peers.find(To);
  if (Target == Peers.end())
    return Loop.postDelayed(Latency, [this, Call] {
      finish(Call, {call_outcome::NotSent, {}, "cannot connect"});
    });
  deliver(To, Target->second.StartId, Call, Request);
  scheduleSilenceCheck(To, Call, 0);
  Loop.postDelayed(Timeout, [this, Call] {
    finish(Call, {call_outcome::TimedOut, {}, "timed out"});
  });
}

void fake_peers::deliver(const endpoint &To, uint64_t StartId,
                         const call_pointer &Call,
                         const http_request &Request) {
  Loop.postDelayed(isFrozen(To) ? FrozenPollPeriod : Latency, [=, this] {
    if (!isCurrentStart(To, StartId))
      return finish(Call,
                    {call_outcome::ConnectionLost, {}, "peer was removed"});
    if (isDisconnected(To) || isDisconnected(Call->From))
      return;
    // The request is delivered late, even if the call has timed out.
    if (isFrozen(To))
      return deliver(To, StartId, Call, Request);
    Peers.at(To).Handler(std::make_shared<fake_exchange>(
        Request, [this, To, Call](const call_result &Result) {
          if (!isDisconnected(To) && !isDisconnected(Call->From))
            Loop.postDelayed(Latency,
                             [this, Call, Result] { finish(Call, Result); });
        }));
  });
}

void fake_peers::scheduleSilenceCheck(const endpoint &To,
                                      const call_pointer &Call,
                                      int SilentChecks) {
  Loop.postDelayed(SilenceCheckPeriod, [=, this] {
    if (!Call->Callback)
      return;
    bool IsSilent =
        isFrozen(To) || isDisconnected(To) || isDisconnected(Call->From);
    int NewSilentChecks = IsSilent ? SilentChecks + 1 : 0;
    if (NewSilentChecks >= MaxSilentChecks)
      return finish(
          Call, {call_outcome::ConnectionLost, {}, "peer stopped responding"});
    scheduleSilenceCheck(To, Call, NewSilentChecks);
  });
}

void fake_peers::finish(const call_pointer &Call, const call_result &Result) {
  if (!Call->Callback || !isCurrentStart(Call->From, Call->StartId))
    return;
  if (isFrozen(Call->From))
    return Loop.postDelayed(FrozenPollPeriod,
                            [=, this] { finish(Call, Result); });
  callback Callback = std::exchange(Call->Callback, nullptr);
  Callback(Result);
}

} // namespace dragonflyvane
