#include "fake_peers.hpp"

namespace dragonflyvane {

namespace {

constexpr std::chrono::milliseconds Latency{2};
constexpr std::chrono::milliseconds SilenceStep{300};
/// So many looks at a frozen peer, and its connection counts as silent.
constexpr int MostSilentLooks = 3;
constexpr std::chrono::milliseconds FrozenPoll{20};

/// Tells its end once: the answer, or that it was lost when nobody holds the
/// exchange any more.
class fake_exchange final : public http_exchange {
public:
  using ending = std::function<void(const call_result &)>;

  fake_exchange(http_request Request, ending End)
      : Request(std::move(Request)), End(std::move(End)) {}
  ~fake_exchange() override {
    end({call_outcome::ConnectionLost, {}, "peer is gone"});
  }

  const http_request &request() const override { return Request; }
  void respond(http_response Response) override {
    end({call_outcome::Completed, std::move(Response), ""});
  }
  void onDisconnect(std::function<void()> /*Callback*/) override {}

private:
  void end(const call_result &Result) {
    if (ending Function = std::exchange(End, nullptr))
      Function(Result);
  }

  http_request Request;
  ending End;
};

} // namespace

struct fake_peers::open_call {
  endpoint From;
  /// The start of the daemon that called; another one is not told.
  uint64_t Start = 0;
  callback Callback;
};

void fake_peers::add(const endpoint &Peer, http_handler Handler) {
  Peers[Peer] = {std::move(Handler), false, false, ++LastStart};
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

bool fake_peers::stands(const endpoint &Peer, uint64_t Start) const {
  auto Found = Peers.find(Peer);
  return Found != Peers.end() && Found->second.Start == Start;
}

void fake_peers::send(const endpoint &From, const endpoint &To,
                      const http_request &Request,
                      std::chrono::milliseconds Timeout, callback Callback) {
  auto Call = std::make_shared<open_call>(
      open_call{From, Peers.at(From).Start, std::move(Callback)});
  auto Target = Peers.find(To);
  if (Target == Peers.end())
    return Loop.later(Latency, [this, Call] {
      finish(Call, {call_outcome::NotSent, {}, "cannot connect"});
    });
  deliver(To, Target->second.Start, Call, Request);
  watchSilence(To, Call, 0);
  Loop.later(Timeout, [this, Call] {
    finish(Call, {call_outcome::TimedOut, {}, "timed out"});
  });
}

void fake_peers::deliver(const endpoint &To, uint64_t Start,
                         const call_pointer &Call,
                         const http_request &Request) {
  Loop.later(isFrozen(To) ? FrozenPoll : Latency, [=, this] {
    if (!stands(To, Start))
      return finish(Call, {call_outcome::ConnectionLost, {}, "peer is gone"});
    if (isDisconnected(To) || isDisconnected(Call->From))
      return;
    // What was sent arrives late, even if its sender has given up.
    if (isFrozen(To))
      return deliver(To, Start, Call, Request);
    Peers.at(To).Handler(std::make_shared<fake_exchange>(
        Request, [this, To, Call](const call_result &Result) {
          if (!isDisconnected(To) && !isDisconnected(Call->From))
            Loop.later(Latency, [this, Call, Result] { finish(Call, Result); });
        }));
  });
}

void fake_peers::watchSilence(const endpoint &To, const call_pointer &Call,
                              int Silent) {
  Loop.later(SilenceStep, [=, this] {
    if (!Call->Callback)
      return;
    bool IsSilent =
        isFrozen(To) || isDisconnected(To) || isDisconnected(Call->From);
    int Looks = IsSilent ? Silent + 1 : 0;
    if (Looks >= MostSilentLooks)
      return finish(
          Call, {call_outcome::ConnectionLost, {}, "connection went silent"});
    watchSilence(To, Call, Looks);
  });
}

void fake_peers::finish(const call_pointer &Call, const call_result &Result) {
  if (!Call->Callback || !stands(Call->From, Call->Start))
    return;
  if (isFrozen(Call->From))
    return Loop.later(FrozenPoll, [=, this] { finish(Call, Result); });
  callback Callback = std::exchange(Call->Callback, nullptr);
  Callback(Result);
}

} // namespace dragonflyvane
