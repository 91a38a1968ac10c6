#include "dragonflyvane/node/daemon.hpp"

#include "dragonflyvane/net/http_server.hpp"
#include "dragonflyvane/net/peer_link.hpp"
#include "dragonflyvane/node/admin.hpp"
#include "dragonflyvane/node/cluster_sync.hpp"
#include "dragonflyvane/node/door.hpp"
#include "dragonflyvane/node/entrance.hpp"
#include "dragonflyvane/node/peer_messages.hpp"
#include "dragonflyvane/node/steward.hpp"

namespace dragonflyvane {

namespace {

constexpr size_t MaxPeerBody = size_t{65} << 20;
constexpr std::chrono::milliseconds ServerTick{200};
constexpr std::chrono::milliseconds ReportPeriod{1000};
constexpr std::chrono::milliseconds ReportTimeout{1000};
constexpr std::chrono::milliseconds TokenTimeout{150};
constexpr std::chrono::milliseconds StopCheckPeriod{50};
/// After a stop began, callers need so long to turn elsewhere.
constexpr std::chrono::milliseconds StopDelay{2200};

} // namespace

class daemon::implementation {
public:
  implementation(event_loop &Loop, const settings &Settings,
                 platform_access Platform, http_client &Client,
                 metrics &Metrics)
      : Loop(Loop), Settings(Settings), Platform(std::move(Platform)),
        Metrics(Metrics),
        Orders(this->Platform.OrderRows, this->Platform.DecodeOrder),
        Sync({Settings.Host, Loop, Clock, this->Platform.Store, Orders,
              [this] { onClusterChange(); }}),
        Server(Settings, Clock),
        Door({Loop, Clock, Client, Server, Orders, this->Platform.Names,
              Metrics, Settings.FailureDomain,
              [this](const std::string &Service, key_point Point) {
                return isOwner(Service, Point);
              },
              [this] { onServerDead(); }}),
        Peers(Loop, MaxPeerBody),
        Rates(Clock,
              [this](const std::string &Workspace, double Amount,
                     rate_gate::pool_callback Callback) {
                askPool(Workspace, Amount, std::move(Callback));
              }),
        Entrance({this->Settings, Loop, Clock, Orders, Sync.view(), Door, Peers,
                  Rates, this->Platform.Names, Metrics}),
        Steward({Settings.Host, Loop, Clock, Sync, Orders}),
        Admin({this->Settings, Clock, Orders, Sync, Server, Door, Steward,
               Metrics}),
        PeerServer(Loop, Settings.Peer, MaxPeerBody,
                   [this](const exchange_pointer &E) { servePeer(E); }),
        AdminServer(Loop, Settings.Admin, {},
                    [this](const exchange_pointer &E) { Admin.serve(E); }),
        EntranceServer(Loop, Settings.Entrance, {},
                       [this](const exchange_pointer &E) {
                         Entrance.serve(E);
                       }) {}

  void start() {
    writeLog(log_level::Info, "started",
             {{"step", "start"},
              {"domain", Settings.FailureDomain},
              {"entrance", toString(Settings.Entrance)},
              {"peer", toString(Settings.Peer)}});
    Loop.onTermination([this] { beginStop(); });
    announce();
    Sync.start();
    ServerTimer = Loop.every(ServerTick, [this] { tick(); });
    ReportTimer = Loop.every(ReportPeriod, [this] { report(); });
  }

  std::optional<grant> onHeartbeat(const heartbeat &Heartbeat) {
    auto Grant = Server.onHeartbeat(Heartbeat, termsOf(Heartbeat.Service));
    announce();
    freeRanges();
    Door.pump();
    return Grant;
  }

  void onLeave(const server_life &Life) {
    Server.onLeave(Life);
    announce();
  }

  bool isReady() const {
    return Orders.config() && !IsStopping &&
           Orders.evidenceAge(Clock.now()) < Settings.EvidenceLimit;
  }

private:
  grant_terms termsOf(const std::string &Service) const {
    const versioned<ownership_map> *Map = Sync.view().map(Service);
    return {Map ? &Map->Content : nullptr,
            Orders.isEvacuated(Settings.FailureDomain), Sync.grantsUntil()};
  }

  bool isOwner(const std::string &Service, key_point Point) const {
    const versioned<ownership_map> *Map = Sync.view().map(Service);
    if (!Map)
      return false;
    const owned_range &Range = Map->Content.find(Point);
    return Range.Owner == Settings.Host && Range.Life == Server.life();
  }

  void onClusterChange() {
    auto Config = Orders.config();
    if (Config && Config != Applied) {
      Applied = Config;
      writeLog(log_level::Info, "configuration in force",
               {{"step", "configuration"}, {"version", Config->Version}});
      EntranceServer.setLimits({Config->Limits.BodyBytes,
                                Config->Limits.HeadBytes,
                                Config->Limits.HeadTimeout,
                                Config->Limits.IdleTimeout});
    }
    if (Config)
      Rates.configure(Config->Workspaces,
                      std::max<size_t>(1, Sync.view().hosts().size()));
    freeRanges();
    Entrance.onClusterChange();
    Door.pump();
    Steward.onClusterChange();
  }

  void onServerDead() {
    Server.onRefusedConnection();
    announce();
    freeRanges();
  }

  void tick() {
    Server.tick();
    announce();
    freeRanges();
  }

  void announce() {
    host_info Info;
    Info.PeerAddress = toString(Settings.Peer);
    Info.FailureDomain = Settings.FailureDomain;
    Info.Service = Settings.LocalService;
    Server.describe(Info);
    if (Info == Announced)
      return;
    Announced = Info;
    writeLog(log_level::Info, "server standing",
             {{"step", "server"},
              {"instance", Info.Life.Instance},
              {"standing", static_cast<int>(Info.Standing)}});
    Sync.announce(Info);
  }

  /// Gives up, in the map, what the server certainly does not hold any more.
  void freeRanges() {
    grant_terms Terms = termsOf(Server.service());
    if (!Sync.holdsLease() || Server.freeRanges(Terms).empty())
      return;
    Sync.change({Server.service(),
                 [this](ownership_map &Map, uint64_t) {
                   return freeIn(Map);
                 },
                 {}});
  }

  bool freeIn(ownership_map &Map) {
    grant_terms Terms = termsOf(Server.service());
    Terms.Map = &Map;
    std::vector<free_range> Free = Server.freeRanges(Terms);
    for (const free_range &Gone : Free) {
      Server.relinquish(Gone.Range);
      for (owned_range &Range : Map.Ranges) {
        if (Range.First != Gone.Range.First)
          continue;
        Range.Owner.clear();
        Range.Life = {};
        Range.Handover = Gone.Handover;
      }
    }
    return !Free.empty();
  }

  void servePeer(const exchange_pointer &Exchange) {
    if (auto Report = decodeReport(Exchange->request())) {
      Steward.onReport(Report->Host, Report->Load);
      return Exchange->answer({Steward.isActive() ? 200 : 404, {}, ""});
    }
    if (auto Ask = decodeAsk(Exchange->request())) {
      duration AskAfter{0};
      token_answer Answer;
      Answer.Tokens =
          Steward.takeTokens(Ask->Workspace, Ask->Amount, AskAfter);
      Answer.AskAfter =
          std::chrono::duration_cast<std::chrono::milliseconds>(AskAfter);
      return Exchange->answer(encodeAnswer(Answer));
    }
    serveForwarded(Exchange);
  }

  void serveForwarded(const exchange_pointer &Exchange) {
    http_request Request = Exchange->request();
    auto Order = takeOrder(Request.Headers);
    if (!Order)
      return Exchange->answer({400, {}, ""});
    auto Id = std::make_shared<door_id>(0);
    Exchange->onGone([this, Id] { Door.cancel(*Id); });
    *Id = Door.submit(*Order, std::move(Request),
                      [Exchange](forward_result Result) {
                        Exchange->answer(encodeResult(std::move(Result)));
                      });
  }

  /// The endpoint of the steward's host, unless it is this one.
  std::optional<endpoint> stewardPeer() const {
    const std::string &Name = Sync.view().steward().Content;
    const host_info *Info = Sync.view().host(Name);
    if (!Info || Name == Settings.Host)
      return std::nullopt;
    return parseEndpoint(Info->PeerAddress);
  }

  void report() {
    load_report Load = Door.takeReport();
    auto Peer = stewardPeer();
    if (!Peer)
      return Steward.onReport(Settings.Host, Load);
    Peers.send(*Peer, encodeReport({Settings.Host, Load}), ReportTimeout,
               [this](const call_result &Result) {
                 if (Result.Outcome == call_outcome::Answered &&
                     Result.Response.Status == 200)
                   Steward.onStewardHeard();
               });
  }

  void askPool(const std::string &Workspace, double Amount,
               rate_gate::pool_callback Callback) {
    auto Peer = stewardPeer();
    if (!Peer) {
      duration AskAfter{0};
      double Tokens = Steward.takeTokens(Workspace, Amount, AskAfter);
      return Callback(Tokens, AskAfter);
    }
    Peers.send(*Peer, encodeAsk({Workspace, Amount}), TokenTimeout,
               [Callback = std::move(Callback)](const call_result &Result) {
                 token_answer Answer{0, std::chrono::milliseconds(100)};
                 if (Result.Outcome == call_outcome::Answered)
                   Answer = decodeAnswer(Result.Response).value_or(Answer);
                 Callback(Answer.Tokens, Answer.AskAfter);
               });
  }

  void beginStop() {
    if (IsStopping)
      return;
    IsStopping = true;
    StopBegan = Clock.now();
    writeLog(log_level::Info, "stopping",
             {{"step", "stop"}, {"open", Entrance.open() + Door.open()}});
    EntranceServer.startClosing();
    StopTimer = Loop.every(StopCheckPeriod, [this] { checkStop(); });
  }

  void checkStop() {
    duration Passed = Clock.now() - StopBegan;
    bool IsIdle = Entrance.open() + Door.open() == 0;
    if (Passed < StopDelay || (!IsIdle && Passed < Settings.StopTimeout))
      return;
    writeLog(log_level::Info, "stopped",
             {{"step", "stop"}, {"open", Entrance.open() + Door.open()}});
    Loop.stop();
  }

  event_loop &Loop;
  settings Settings;
  platform_access Platform;
  metrics &Metrics;
  boot_clock Clock;
  order_book Orders;
  cluster_sync Sync;
  local_server Server;
  door Door;
  peer_client Peers;
  rate_gate Rates;
  entrance Entrance;
  steward Steward;
  admin Admin;
  peer_server PeerServer;
  http_server AdminServer;
  http_server EntranceServer;
  std::shared_ptr<const configuration> Applied;
  std::optional<host_info> Announced;
  bool IsStopping = false;
  time_point StopBegan{};
  timer ServerTimer;
  timer ReportTimer;
  timer StopTimer;
};

daemon::daemon(event_loop &Loop, const settings &Settings,
               platform_access Platform, http_client &Client, metrics &Metrics)
    : Implementation(std::make_unique<implementation>(
          Loop, Settings, std::move(Platform), Client, Metrics)) {}

daemon::~daemon() = default;

void daemon::start() { Implementation->start(); }

std::optional<grant> daemon::onHeartbeat(const heartbeat &Heartbeat) {
  return Implementation->onHeartbeat(Heartbeat);
}

void daemon::onLeave(const server_life &Life) { Implementation->onLeave(Life); }

bool daemon::isReady() const { return Implementation->isReady(); }

} // namespace dragonflyvane
