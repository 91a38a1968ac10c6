#include "dragonflyvane/net/http_server.hpp"

#include "dragonflyvane/core/error.hpp"
#include "dragonflyvane/net/http_server_connection.hpp"

#include <vector>

namespace dragonflyvane {

namespace {

using tcp = boost::asio::ip::tcp;

/// How often timeouts are checked and closed connections removed.
constexpr std::chrono::milliseconds SweepPeriod{500};
/// Delay after a failed accept, which would fail again at once while file
/// descriptors are exhausted.
constexpr std::chrono::milliseconds AcceptRetryDelay{50};

} // namespace

class http_server::implementation
    : public std::enable_shared_from_this<implementation> {
public:
  implementation(event_loop &Loop, const http_limits &Limits,
                 http_handler Handler, bulk_pacer *Pacer)
      : Loop(Loop), Acceptor(Loop.internals().Io),
        State(std::make_shared<http_server_state>(http_server_state{
            Limits, std::move(Handler), Loop.bodyMemory(), Pacer, false, {}})) {
  }

  void listen(const endpoint &Listen) {
    tcp::endpoint Address = toAsio(Listen);
    Acceptor.open(Address.protocol());
    Acceptor.set_option(tcp::acceptor::reuse_address(true));
    Acceptor.bind(Address);
    Acceptor.listen();
    accept();
    SweepTimer = Loop.every(SweepPeriod, [this] { sweep(); });
  }

  void close() {
    boost::system::error_code Ignored;
    Acceptor.close(Ignored);
    for (const auto &Connection : std::exchange(Connections, {}))
      Connection->close("server closed");
  }

  void stopAccepting() {
    acceptWaiting();
    boost::system::error_code Ignored;
    Acceptor.close(Ignored);
    AcceptRetryTimer.cancel();
  }

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
  void accept() {
    Acceptor.async_accept(
        [Weak = weak_from_this()](auto Error, tcp::socket Socket) {
          auto Self = Weak.lock();
          if (!Self || Error == boost::asio::error::operation_aborted)
            return;
          if (!Error)
            Self->addConnection(std::move(Socket));
          if (!Error)
            return Self->accept();
          Self->AcceptRetryTimer = Self->Loop.after(
              AcceptRetryDelay, [Self = Self.get()] { Self->accept(); });
        });
  }

  /// Accepts the connections that are established already, which closing the
  /// acceptor would reset.
  void acceptWaiting() {
    boost::system::error_code Error;
    Acceptor.non_blocking(true, Error);
    while (!Error) {
      tcp::socket Socket(Loop.internals().Io);
      Acceptor.accept(Socket, Error);
      if (!Error)
        addConnection(std::move(Socket));
    }
  }

  void addConnection(tcp::socket Socket) {
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
  tcp::acceptor Acceptor;
  std::shared_ptr<http_server_state> State;
  std::vector<std::shared_ptr<http_server_connection>> Connections;
  timer SweepTimer;
  timer AcceptRetryTimer;
};

http_server::http_server(event_loop &Loop, const endpoint &Listen,
                         const http_limits &Limits, http_handler Handler,
                         bulk_pacer *Pacer)
    : Implementation(std::make_shared<implementation>(
          Loop, Limits, std::move(Handler), Pacer)) {
  try {
    Implementation->listen(Listen);
  } catch (const std::exception &Error) {
    throw step_error("listen", toString(Listen), Error.what());
  }
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
