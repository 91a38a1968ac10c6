#include "dragonflyvane/node/daemon.hpp"

#include "dragonflyvane/net/http_server.hpp"
#include "dragonflyvane/net/log.hpp"
#include "dragonflyvane/net/peer_link.hpp"
#include "dragonflyvane/node/admin.hpp"
#include "dragonflyvane/node/door.hpp"
#include "dragonflyvane/node/entrance.hpp"
#include "dragonflyvane/node/ownership_keeper.hpp"
#include "dragonflyvane/node/peer_messages.hpp"
#include "dragonflyvane/node/relayed_store.hpp"
#include "dragonflyvane/node/shared_store.hpp"

#include <cmath>

namespace dragonflyvane {

namespace {

constexpr size_t MaxPeerBody = size_t{65} << 20;
constexpr std::chrono::milliseconds ReportPeriod{1000};
constexpr std::chrono::milliseconds ReportTimeout{1000};
constexpr std::chrono::milliseconds TokenTimeout{150};
constexpr std::chrono::milliseconds StopCheckPeriod{50};
/// After a stop began, callers need so long to turn elsewhere.
constexpr std::chrono::milliseconds StopDelay{2200};

/// `NAME=RATE+BURST` for each limited workspace.
std::string describeRates(const configuration &Config) {
  std::string Text;
  for (const auto &[Name, Workspace] : Config.Workspaces)
    if (Workspace.Rate > 0)
      Text += Name + "=" + std::to_string(std::lround(Workspace.Rate)) + "+" +
              std::to_string(std::lround(Workspace.Burst)) + " ";
  return Text;
}

} // namespace

class daemon::implementation {
public:
  implementation(event_loop &Loop, const settings &Settings,
                 platform_access Platform, http_client &Client,
                 metrics &Metrics)
      : Loop(Loop), Settings(Settings), Platform(std::move(Platform)),
        Orders(this->Platform.OrderRows, this->Platform.DecodeOrder),
        Peers(Loop, MaxPeerBody), Pacer(Loop, Clock, Settings.LinkRate),
        Shared(this->Platform.Store, Loop, Clock),
        Store({Settings.Host, Settings.FailureDomain, Shared,
               [this](const endpoint &Peer, http_request Request,
                      std::chrono::milliseconds Timeout,
                      peer_client::callback Callback) {
                 Peers.send(Peer, std::move(Request), Timeout,
                            std::move(Callback));
               },
               Clock, [this] { return &Keeper.view(); }}),
        Keeper({this->Settings, Loop, Clock, Store, Orders,
                [this] { onClusterChange(); },
                [this] { return Store.isCollector(); }}),
        Guard(Clock),
        Door({Loop, Clock, Client, Keeper.server(), Guard, Orders,
              this->Platform.Names, Metrics, Pacer,
              [this](const std::string &Service, key_point Point) {
                return Keeper.isOwner(Service, Point);
              },
              [this] { Keeper.onRefusedConnection(); }}),
        Rates(Clock,
              [this](const std::string &Workspace, double Amount,
                     rate_gate::pool_callback Callback) {
                askPool(Workspace, Amount, std::move(Callback));
              }),
        Entrance({this->Settings, Loop, Clock, Orders, Keeper.view(), Door,
                  Peers, Rates, this->Platform.Names, Metrics, Pacer}),
        Admin({this->Settings, Clock, Orders, Keeper, Door, Guard, Metrics}),
        PeerServer(
            Loop, Settings.Peer, MaxPeerBody,
            [this](const exchange_pointer &E) { servePeer(E); }, &Pacer),
        AdminServer(Loop, Settings.Admin, {},
                    [this](const exchange_pointer &E) { Admin.serve(E); }),
        EntranceServer(
            Loop, Settings.Entrance, {},
            [this](const exchange_pointer &E) { Entrance.serve(E); }, &Pacer) {}

  void start() {
    writeLog(log_level::Info, "started",
             {{"step", "start"},
              {"domain", Settings.FailureDomain},
              {"entrance", toString(Settings.Entrance)},
              {"peer", toString(Settings.Peer)}});
    Loop.onTermination([this] { beginStop(); });
    Loop.onReload([] {
      writeLog(log_level::Info, "reload: settings take effect at a restart",
               {{"step", "reload"}});
    });
    Keeper.start();
    ReportTimer = Loop.every(ReportPeriod, [this] { report(); });
  }

  std::optional<grant> onHeartbeat(const heartbeat &Heartbeat) {
    auto Grant = Keeper.onHeartbeat(Heartbeat);
    Door.pump();
    return Grant;
  }

  void onLeave(const server_life &Life) { Keeper.onLeave(Life); }

  bool isReady() const {
    return Orders.config() && !IsStopping &&
           Orders.evidenceAge(Clock.now()) < Settings.EvidenceLimit;
  }

private:
  void onClusterChange() {
    auto Config = Orders.config();
    if (Config && Config != Applied) {
      Applied = Config;
      writeLog(log_level::Info, "configuration in force",
               {{"step", "configuration"},
                {"version", Config->Version},
                {"rates", describeRates(*Config)}});
      EntranceServer.setLimits(
          {Config->Limits.BodyBytes, Config->Limits.HeadBytes,
           Config->Limits.HeadTimeout, Config->Limits.IdleTimeout});
    }
    if (Config)
      Rates.configure(Config->Workspaces,
                      std::max<size_t>(1, Keeper.view().hosts().size()));
    Entrance.onClusterChange();
    Door.pump();
  }

  void servePeer(const exchange_pointer &Exchange) {
    if (auto Report = decodeReport(Exchange->request())) {
      Keeper.planner().onReport(Report->Host, Report->Load);
      Keeper.onNews(Report->Newest);
      Guard.onReport(*Report);
      return Exchange->answer(encodeAnswer(answerToReport()));
    }
    if (auto Ask = decodeAsk(Exchange->request())) {
      duration AskAfter{0};
      token_answer Answer;
      Answer.Tokens =
          Keeper.planner().takeTokens(Ask->Workspace, Ask->Amount, AskAfter);
      Answer.AskAfter =
          std::chrono::duration_cast<std::chrono::milliseconds>(AskAfter);
      return Exchange->answer(encodeAnswer(Answer));
    }
    if (!Store.serve(Exchange))
      serveForwarded(Exchange);
  }

  report_answer answerToReport() const {
    report_answer Answer;
    Answer.IsSteward = Keeper.planner().isActive();
    Answer.Newest = Keeper.sync().newest();
    Guard.describe(Answer);
    return Answer;
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
    const std::string &Name = Keeper.view().steward().Content;
    const host_info *Info = Keeper.view().host(Name);
    if (!Info || Name == Settings.Host)
      return std::nullopt;
    return parseEndpoint(Info->PeerAddress);
  }

  void report() {
    report_message Report;
    Report.Host = Settings.Host;
    Report.Load = Door.takeReport();
    Report.Newest = Keeper.sync().newest();
    Guard.describe(Report);
    auto Peer = stewardPeer();
    if (!Peer) {
      Keeper.planner().onReport(Report.Host, Report.Load);
      Guard.onReport(Report);
      return Guard.onAnswer(answerToReport());
    }
    Peers.send(*Peer, encodeReport(Report), ReportTimeout,
               [this](const call_result &Result) { onReported(Result); });
  }

  void onReported(const call_result &Result) {
    if (Result.Outcome != call_outcome::Answered)
      return;
    auto Answer = decodeReportAnswer(Result.Response);
    if (!Answer)
      return;
    if (Answer->IsSteward) {
      Keeper.planner().onStewardHeard();
      Guard.onAnswer(*Answer);
    }
    Keeper.onNews(Answer->Newest);
  }

  void askPool(const std::string &Workspace, double Amount,
               rate_gate::pool_callback Callback) {
    auto Peer = stewardPeer();
    if (!Peer) {
      duration AskAfter{0};
      double Tokens = Keeper.planner().takeTokens(Workspace, Amount, AskAfter);
      return Callback(Tokens, AskAfter);
    }
    Peers.send(*Peer, encodeAsk({Workspace, Amount}), TokenTimeout,
               [Callback = std::move(Callback)](const call_result &Result) {
                 token_answer Answer{0, std::chrono::milliseconds(100)};
                 if (Result.Outcome == call_outcome::Answered)
                   Answer = decodeTokenAnswer(Result.Response).value_or(Answer);
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
    if (Passed < StopDelay)
      return;
    Door.startClosing();
    Entrance.startClosing();
    bool IsIdle = Entrance.open() + Door.open() == 0 &&
                  !EntranceServer.isWriting() && Pacer.isIdle();
    if (!IsIdle && Passed < Settings.StopTimeout)
      return;
    writeLog(log_level::Info, "stopped",
             {{"step", "stop"}, {"open", Entrance.open() + Door.open()}});
    Loop.stop();
  }

  event_loop &Loop;
  settings Settings;
  platform_access Platform;
  boot_clock Clock;
  order_book Orders;
  peer_client Peers;
  bulk_pacer Pacer;
  shared_store Shared;
  relayed_store Store;
  ownership_keeper Keeper;
  crash_guard Guard;
  door Door;
  rate_gate Rates;
  entrance Entrance;
  admin Admin;
  peer_server PeerServer;
  http_server AdminServer;
  http_server EntranceServer;
  std::shared_ptr<const configuration> Applied;
  bool IsStopping = false;
  time_point StopBegan{};
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
