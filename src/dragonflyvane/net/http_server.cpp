#include "dragonflyvane/net/http_server.hpp"

#include "dragonflyvane/net/http_server_connection.hpp"
#include "dragonflyvane/net/listener.hpp"

#include <vector>

namespace dragonflyvane {

namespace {

/// How often timeouts are checked and closed connections removed.
constexpr std::chrono::milliseconds SweepPeriod{500};

} // namespace

class http_server::implementation {
public:
  implementation(event_loop &Loop, const http_limits &Limits,
                 http_handler Handler, bulk_pacer *Pacer, link_monitor *Monitor)
      : Loop(Loop),
        Listener(std::make_shared<listener>(Loop,
                                            [this](listener::socket Socket) {
                                              addConnection(std::move(Socket));
                                            })),
        State(std::make_shared<http_server_state>(
            http_server_state{Limits,
                              std::move(Handler),
                              Loop.bodyMemory(),
                              Pacer,
                              false,
                              {},
                              Monitor})) {}

  void listen(const endpoint &Listen) {
    Listener->listen(Listen);
    SweepTimer = Loop.every(SweepPeriod, [this] { sweep(); });
  }

  void close() {
    Listener->close();
    for (const auto &Connection : std::exchange(Connections, {}))
      Connection->close("server closed");
  }

  void stopAccepting() { Listener->acceptWaitingAndClose(); }

  void refuseArriving() {
    for (const auto &Connection : Connections)
      Connection->refuseArriving();
  }

  void finishClosing() {
    for (const auto &Connection : Connections)
      Connection->endIfIdle();
  }

  server_activity activity() const {
    server_activity Activity;
    time_point Now = Clock.now();
    for (const auto &Connection : Connections) {
      Activity.IsReceiving |= Connection->isReceiving(Now);
      Activity.IsWriting |= Connection->isWriting();
      Activity.HasConnections |= Connection->isOpen();
    }
    return Activity;
  }

  http_server_state &state() { return *State; }

private:
  void addConnection(listener::socket Socket) {
    auto Connection =
        std::make_shared<http_server_connection>(std::move(Socket), State);
    Connections.push_back(Connection);
    Connection->start();
  }

  void sweep() {
    time_point Now = Clock.now();
    for (const auto &Connection : Connections)
      Connection->checkTimeouts(Now);
    std::erase_if(Connections, [](const auto &C) { return !C->isOpen(); });
  }

  event_loop &Loop;
  boot_clock Clock;
  std::shared_ptr<listener> Listener;
  std::shared_ptr<http_server_state> State;
  std::vector<std::shared_ptr<http_server_connection>> Connections;
  timer SweepTimer;
};

http_server::http_server(event_loop &Loop, const endpoint &Listen,
                         const http_limits &Limits, http_handler Handler,
                         bulk_pacer *Pacer, link_monitor *Monitor)
    : Implementation(std::make_shared<implementation>(
          Loop, Limits, std::move(Handler), Pacer, Monitor)) {
  Implementation->listen(Listen);
}

http_server::~http_server() { Implementation->close(); }

void http_server::setLimits(const http_limits &Limits) {
  Implementation->state().Limits = Limits;
}

void http_server::onUnanswered(unanswered_callback Callback) {
  Implementation->state().OnUnanswered = std::move(Callback);
}

void http_server::startClosing() { Implementation->state().Closing = true; }

void http_server::stopAccepting() { Implementation->stopAccepting(); }

void http_server::refuseArriving() { Implementation->refuseArriving(); }

void http_server::finishClosing() { Implementation->finishClosing(); }

server_activity http_server::activity() const {
  return Implementation->activity();
}

} // namespace dragonflyvane
