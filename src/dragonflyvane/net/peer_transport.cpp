#include "dragonflyvane/net/peer_transport.hpp"

#include "dragonflyvane/net/listener.hpp"
#include "dragonflyvane/net/peer_connection.hpp"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

namespace dragonflyvane {

namespace {

using tcp = boost::asio::ip::tcp;

constexpr std::chrono::milliseconds ConnectTimeout{500};
/// A connection without streams is closed if it received nothing for longer.
constexpr std::chrono::seconds MaxIdle{60};
/// Interval of the check for idle connections.
constexpr std::chrono::seconds SweepPeriod{10};

} // namespace

class peer_client::implementation
    : public std::enable_shared_from_this<implementation> {
public:
  implementation(event_loop &Loop, size_t MaxBodyBytes,
                 const peer_options &Options)
      : Loop(Loop), MaxBodyBytes(MaxBodyBytes), Options(Options) {}

  call_id send(const endpoint &Peer, http_request Request,
               std::chrono::milliseconds Timeout, callback Callback,
               silence_policy Policy) {
    call_id Id = ++LastId;
    call &Call = Calls[Id];
    Call.Peer = Peer;
    Call.Request = std::move(Request);
    Call.Callback = std::move(Callback);
    Call.Policy = Policy;
    Call.BegunAt = Clock.now();
    Call.TimeoutTimer = Loop.after(Timeout, [this, Id] { onTimeout(Id); });
    channel &Channel = Channels[Peer];
    if (Channel.Connection && Channel.Connection->acceptsCalls())
      submit(Id, Channel);
    else {
      Channel.WaitingCalls.push_back(Id);
      connect(Peer, Channel);
    }
    return Id;
  }

  void cancel(call_id Id) {
    auto Found = Calls.find(Id);
    if (Found == Calls.end())
      return;
    if (auto Connection = Found->second.Connection.lock())
      Connection->cancel(Found->second.StreamId);
    Calls.erase(Found);
  }

  void closeAll() {
    // Without their calls, the closed streams call nothing back.
    Calls.clear();
    for (auto &[Peer, Channel] : Channels)
      if (Channel.Connection)
        Channel.Connection->close("shutting down");
    Channels.clear();
    for (const auto &Connection : ReplacedConnections)
      if (auto Target = Connection.lock())
        Target->close("shutting down");
  }

  void closeIdle() {
    time_point Now = Clock.now();
    for (auto &[Peer, Channel] : Channels) {
      bool Stale = Channel.Connection && Channel.Connection->isIdle() &&
                   Now - Channel.Connection->lastReadTime() > MaxIdle;
      if (Stale)
        Channel.Connection->close("idle");
    }
    SweepTimer = Loop.after(SweepPeriod, [this] { closeIdle(); });
  }

private:
  /// A call that has not ended.
  struct call {
    endpoint Peer;
    http_request Request;
    callback Callback;
    silence_policy Policy = silence_policy::End;
    time_point BegunAt{};
    timer TimeoutTimer;
    std::weak_ptr<peer_connection> Connection;
    peer_connection::stream_id StreamId = 0;
    /// Whether the request was passed to a connection, and so may be processed.
    bool Submitted = false;
  };
  /// The connection to one peer, and the calls that wait while it is opened.
  struct channel {
    std::shared_ptr<peer_connection> Connection;
    std::shared_ptr<tcp::socket> ConnectingSocket;
    timer ConnectTimer;
    std::vector<call_id> WaitingCalls;
    /// Connections whose calls wait although the peer fell silent.
    std::vector<std::weak_ptr<peer_connection>> SilentConnections;
  };

  void connect(const endpoint &Peer, channel &Channel) {
    if (Channel.ConnectingSocket)
      return;
    auto Socket = std::make_shared<tcp::socket>(Loop.internals().Io);
    Channel.ConnectingSocket = Socket;
    Channel.ConnectTimer = Loop.after(ConnectTimeout, [Socket] {
      boost::system::error_code Ignored;
      Socket->close(Ignored);
    });
    Socket->async_connect(toAsio(Peer),
                          [Weak = weak_from_this(), Peer, Socket](auto Error) {
                            if (auto Self = Weak.lock())
                              Self->onConnected(Peer, *Socket, Error);
                          });
  }

  void onConnected(const endpoint &Peer, tcp::socket &Socket,
                   const boost::system::error_code &Error) {
    auto Found = Channels.find(Peer);
    if (Found == Channels.end())
      return;
    channel &Channel = Found->second;
    std::vector<call_id> WaitingCalls = std::move(Channel.WaitingCalls);
    Channel.WaitingCalls.clear();
    Channel.ConnectTimer.cancel();
    if (!Error)
      replaceConnection(Peer, Channel, std::move(Socket));
    Channel.ConnectingSocket.reset();
    for (call_id Id : WaitingCalls) {
      if (!Error)
        submit(Id, Channel);
      else
        finish(Id, {call_outcome::NotSent, {}, "cannot connect"});
    }
    if (!Error && !Channel.SilentConnections.empty())
      probe(Peer, Channel);
    // The process that the silent connections lead to has ended.
    if (Error == boost::asio::error::connection_refused)
      for (const auto &Silent : std::exchange(Channel.SilentConnections, {}))
        if (auto Connection = Silent.lock())
          Connection->close("peer refuses connections");
  }

  void replaceConnection(const endpoint &Peer, channel &Channel,
                         tcp::socket Socket) {
    std::erase_if(ReplacedConnections,
                  [](const auto &Weak) { return Weak.expired(); });
    ReplacedConnections.push_back(Channel.Connection);
    auto New = std::make_shared<peer_connection>(
        std::move(Socket), peer_role::Client, MaxBodyBytes, Loop.bodyMemory(),
        nullptr, Options);
    New->onSilent([Weak = weak_from_this(), Peer,
                   Connection = std::weak_ptr<peer_connection>(New)] {
      if (auto Self = Weak.lock())
        Self->onSilent(Peer, Connection);
    });
    Channel.Connection = New;
    New->start();
  }

  void onSilent(const endpoint &Peer,
                const std::weak_ptr<peer_connection> &Connection) {
    channel &Channel = Channels[Peer];
    std::erase_if(Channel.SilentConnections,
                  [](const auto &Weak) { return Weak.expired(); });
    Channel.SilentConnections.push_back(Connection);
    if (Channel.Connection && Channel.Connection->acceptsCalls())
      probe(Peer, Channel);
    else
      connect(Peer, Channel);
  }

  /// Tells the silent connections once the peer has answered on the present
  /// one.
  void probe(const endpoint &Peer, channel &Channel) {
    Channel.Connection->probe([Weak = weak_from_this(), Peer] {
      if (auto Self = Weak.lock())
        Self->onPeerRuns(Peer);
    });
  }

  void onPeerRuns(const endpoint &Peer) {
    for (const auto &Silent :
         std::exchange(Channels[Peer].SilentConnections, {}))
      if (auto Connection = Silent.lock())
        Connection->onPeerRuns();
  }

  void submit(call_id Id, channel &Channel) {
    auto Found = Calls.find(Id);
    if (Found == Calls.end())
      return;
    call &Call = Found->second;
    Call.Connection = Channel.Connection;
    Call.Submitted = true;
    auto StreamId = Channel.Connection->call(
        Call.Request, Clock.now() - Call.BegunAt, Call.Policy,
        [this, Id](call_result Result) { finish(Id, std::move(Result)); });
    Found = Calls.find(Id);
    if (Found != Calls.end())
      Found->second.StreamId = StreamId;
  }

  void onTimeout(call_id Id) {
    auto Found = Calls.find(Id);
    if (Found == Calls.end())
      return;
    bool MayBeProcessed = Found->second.Submitted;
    if (auto Connection = Found->second.Connection.lock())
      MayBeProcessed = Connection->cancel(Found->second.StreamId);
    finish(Id, {MayBeProcessed ? call_outcome::TimedOut : call_outcome::NotSent,
                {},
                "timed out"});
  }

  void finish(call_id Id, call_result Result) {
    auto Found = Calls.find(Id);
    if (Found == Calls.end())
      return;
    callback Callback = std::move(Found->second.Callback);
    Calls.erase(Found);
    Callback(std::move(Result));
  }

  event_loop &Loop;
  boot_clock Clock;
  size_t MaxBodyBytes;
  peer_options Options;
  call_id LastId = 0;
  std::map<call_id, call> Calls;
  std::map<endpoint, channel> Channels;
  /// Connections that peers began to close, or on which they fell silent, with
  /// calls that have not ended.
  std::vector<std::weak_ptr<peer_connection>> ReplacedConnections;
  timer SweepTimer;
};

peer_client::peer_client(event_loop &Loop, size_t MaxBodyBytes,
                         const peer_options &Options)
    : Implementation(
          std::make_shared<implementation>(Loop, MaxBodyBytes, Options)) {
  Implementation->closeIdle();
}

peer_client::~peer_client() { Implementation->closeAll(); }

call_id peer_client::send(const endpoint &Peer, http_request Request,
                          std::chrono::milliseconds Timeout, callback Callback,
                          silence_policy Policy) {
  return Implementation->send(Peer, std::move(Request), Timeout,
                              std::move(Callback), Policy);
}

void peer_client::cancel(call_id Id) { Implementation->cancel(Id); }

class peer_server::implementation
    : public std::enable_shared_from_this<implementation> {
public:
  implementation(event_loop &Loop, size_t MaxBodyBytes, http_handler Handler,
                 const peer_options &Options)
      : Loop(Loop),
        Listener(std::make_shared<listener>(Loop,
                                            [this](listener::socket Socket) {
                                              addConnection(std::move(Socket));
                                            })),
        MaxBodyBytes(MaxBodyBytes), Handler(std::move(Handler)),
        Options(Options) {}

  void listen(const endpoint &Listen) { Listener->listen(Listen); }

  void onUnanswered(unanswered_callback Callback) {
    OnUnanswered = std::move(Callback);
  }

  void stopAccepting() {
    if (std::exchange(Stopping, true))
      return;
    Listener->acceptWaitingAndClose();
    forEachConnection([](auto &C) { C.sendShutdownNotice(); });
  }

  void refuseArriving() {
    forEachConnection([](auto &C) { C.refuseArriving(); });
  }

  void finishClosing() {
    stopAccepting();
    Finishing = true;
    forEachConnection([](auto &C) { C.finishClosing(); });
  }

  server_activity activity() const {
    server_activity Total;
    forEachConnection([&](const auto &C) {
      server_activity Activity = C.activity();
      Total.IsReceiving |= Activity.IsReceiving;
      Total.IsWriting |= Activity.IsWriting;
      Total.HasConnections |= Activity.HasConnections;
    });
    return Total;
  }

  void close() {
    Listener->close();
    forEachConnection([](auto &C) { C.close("server closed"); });
  }

private:
  void addConnection(tcp::socket Socket) {
    auto Connection = std::make_shared<peer_connection>(
        std::move(Socket), peer_role::Server, MaxBodyBytes, Loop.bodyMemory(),
        Handler, Options);
    std::erase_if(Connections, [](const auto &Weak) { return Weak.expired(); });
    Connections.push_back(Connection);
    Connection->onUnanswered(
        [Weak = weak_from_this()](const unanswered_request &Request) {
          auto Self = Weak.lock();
          if (Self && Self->OnUnanswered)
            Self->OnUnanswered(Request);
        });
    Connection->start();
    if (Stopping)
      Connection->sendShutdownNotice();
    if (Finishing)
      Connection->finishClosing();
  }

  template <typename Function>
  void forEachConnection(const Function &Visit) const {
    for (const auto &Weak : Connections)
      if (auto Connection = Weak.lock())
        Visit(*Connection);
  }

  event_loop &Loop;
  std::shared_ptr<listener> Listener;
  size_t MaxBodyBytes;
  http_handler Handler;
  peer_options Options;
  unanswered_callback OnUnanswered;
  /// Whether no more connections are accepted.
  bool Stopping = false;
  bool Finishing = false;
  std::vector<std::weak_ptr<peer_connection>> Connections;
};

peer_server::peer_server(event_loop &Loop, const endpoint &Listen,
                         size_t MaxBodyBytes, http_handler Handler,
                         const peer_options &Options)
    : Implementation(std::make_shared<implementation>(
          Loop, MaxBodyBytes, std::move(Handler), Options)) {
  Implementation->listen(Listen);
}

peer_server::~peer_server() { Implementation->close(); }

void peer_server::onUnanswered(unanswered_callback Callback) {
  Implementation->onUnanswered(std::move(Callback));
}

void peer_server::stopAccepting() { Implementation->stopAccepting(); }

void peer_server::refuseArriving() { Implementation->refuseArriving(); }

void peer_server::finishClosing() { Implementation->finishClosing(); }

server_activity peer_server::activity() const {
  return Implementation->activity();
}

} // namespace dragonflyvane
