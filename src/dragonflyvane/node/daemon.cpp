#include "dragonflyvane/node/daemon.hpp"

#include "dragonflyvane/core/admission/service_route_times.hpp"
#include "dragonflyvane/core/rollout/version_filter.hpp"
#include "dragonflyvane/net/http_server.hpp"
#include "dragonflyvane/net/log.hpp"
#include "dragonflyvane/net/peer_transport.hpp"
#include "dragonflyvane/node/admin/admin.hpp"
#include "dragonflyvane/node/cluster/coalescing_store.hpp"
#include "dragonflyvane/node/cluster/newest_configuration.hpp"
#include "dragonflyvane/node/cluster/operator_exchange.hpp"
#include "dragonflyvane/node/cluster/ownership_manager.hpp"
#include "dragonflyvane/node/cluster/peer_messages.hpp"
#include "dragonflyvane/node/cluster/relayed_store.hpp"
#include "dragonflyvane/node/cluster/restorable_store.hpp"
#include "dragonflyvane/node/serving/dispatcher.hpp"
#include "dragonflyvane/node/serving/request_router.hpp"
#include "dragonflyvane/node/serving/shutdown_sequence.hpp"

#include <cmath>

namespace dragonflyvane {

namespace {

constexpr size_t MaxPeerBodyBytes = size_t{65} << 20;
constexpr std::chrono::milliseconds ReportPeriod{1000};
/// While a rollout concerns the backend server, its responses are reported this
/// often.
constexpr std::chrono::milliseconds RolloutReportPeriod{500};
constexpr std::chrono::milliseconds ReportTimeout{1000};
constexpr std::chrono::milliseconds TokenTimeout{150};

/// The fraction of the incoming link's rate that large messages of peers may
/// use. The rest is for small messages, which find the link nearly empty.
constexpr double IncomingBulkShare = 0.9;

/// Returns `NAME=RATE+BURST` for each workspace with a rate limit, for the log.
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
        Metrics(Metrics), OperatorState(this->Platform.OperatorRows,
                                        this->Platform.DecodeOperatorRow),
        Shutdown(Clock, Settings.StopTimeout),
        Pacer(Loop, Clock, Settings.LinkRate),
        IncomingPacer(Loop, Clock, Settings.LinkRate, IncomingBulkShare),
        Monitor(Loop, Clock, Metrics, Settings.LinkRate),
        Peers(Loop, MaxPeerBodyBytes, peerOptions()),
        RestorableStore(this->Platform.Store, Loop,
                        [this] { CoalescingStore.onReturn(); }),
        CoalescingStore(RestorableStore, Loop, Clock),
        Store({Settings.Host, Settings.FailureDomain, CoalescingStore,
               peerSender(), Loop, Clock,
               [this] { return &Ownership.view(); }}),
        Ownership({this->Settings, Loop, Clock, Store, OperatorState,
                   [this] { onClusterChange(); },
                   [this] { return Store.isRelay(); },
                   this->Platform.SendKeyCall,
                   [this] { Dispatcher.dispatchWaiting(); },
                   this->Platform.EncodeRolloutStatus,
                   [this] { OperatorExchange.onStoreLost(); }}),
        Newest({Settings.Host, Loop, Clock, Ownership.view(), OperatorState,
                peerSender(), [this] { onClusterChange(); }}),
        OperatorExchange(
            {Settings.Host, Loop, Ownership.view(), OperatorState, peerSender(),
             [this] { return Ownership.sync().isFollowingStore(); },
             [this](const row_batch &Rows) {
               Ownership.onOperatorRowsOfPeer(Rows);
             }}),
        Guard(Clock, Settings.Host),
        Dispatcher(
            {Loop, Clock,
             [&Client](const endpoint &Server, const http_request &Request,
                       call_options Options, http_client::callback Callback) {
               return Client.send(Server, Request, std::move(Options),
                                  std::move(Callback));
             },
             [&Client](call_id Call) { Client.cancel(Call); },
             Ownership.server(), Guard, OperatorState, this->Platform.Names,
             Metrics, Pacer, Shutdown,
             [this](const std::string &Service, key_point Point) {
               return Ownership.isOwner(Service, Point);
             },
             [this] { Ownership.onRefusedConnection(); },
             [this](key_point Point) { Ownership.onKeyRefused(Point); },
             [this](const server_condition &Condition) {
               Ownership.onServerCondition(Condition);
             },
             [this](const condition_report &Report) {
               Ownership.onReportedCondition(Report);
             },
             Settings.LearnedCapacity, Settings.OverloadControl,
             &IncomingPacer}),
        Rates(Clock,
              [this](const std::string &Workspace, double Amount,
                     rate_limiter::pool_callback Callback) {
                requestTokens(Workspace, Amount, std::move(Callback));
              }),
        Router({this->Settings, Loop, Clock, OperatorState, Ownership.view(),
                Dispatcher, Ownership.server(), Peers, Rates,
                this->Platform.Names, Metrics, Pacer, Shutdown, Guard}),
        Admin({this->Settings, Clock, OperatorState, Ownership, Dispatcher,
               Guard, Metrics}),
        PeerServer(
            Loop, Settings.PeerEndpoint, MaxPeerBodyBytes,
            [this](const exchange_pointer &E) { servePeer(E); }, peerOptions()),
        AdminServer(Loop, Settings.AdminEndpoint, {},
                    [this](const exchange_pointer &E) { Admin.serve(E); }),
        CallerServer(
            Loop, Settings.CallerEndpoint, {},
            [this](const exchange_pointer &E) { Router.serve(E); }, &Pacer,
            &Monitor),
        Sequence({Loop, Clock, Shutdown,
                  [this] { return activeCount() > 0 || !Pacer.isIdle(); },
                  [this] {
                    Dispatcher.endAll();
                    Router.endAll();
                  },
                  [this] {
                    logStop("stopped");
                    this->Loop.stop();
                  }}) {
    Sequence.add(CallerServer);
    Sequence.add(PeerServer);
    Sequence.addControl(AdminServer);
    CallerServer.onUnanswered([this](const unanswered_request &Request) {
      reportUnanswered("callers", Request);
    });
    PeerServer.onUnanswered([this](const unanswered_request &Request) {
      reportUnanswered("peers", Request);
    });
  }

  void addControlServer(stoppable_server &Server) {
    Sequence.addControl(Server);
  }

  void start() {
    writeLog(log_level::Info, "started",
             {{"step", "start"},
              {"domain", Settings.FailureDomain},
              {"entrance", toString(Settings.CallerEndpoint)},
              {"peer", toString(Settings.PeerEndpoint)}});
    Loop.onTermination([this] { beginStop(); });
    Loop.onReload([] {
      writeLog(log_level::Info,
               "reload ignored, settings take effect at a restart",
               {{"step", "reload"}});
    });
    Ownership.start();
    ReportTimer = Loop.every(RolloutReportPeriod, [this] { onReportTime(); });
  }

  std::optional<grant> onHeartbeat(const heartbeat &Heartbeat) {
    auto Grant = Ownership.onHeartbeat(Heartbeat);
    Dispatcher.dispatchWaiting();
    return Grant;
  }

  void onLeave(const leave_notice &Notice) { Ownership.onLeave(Notice); }

  bool isReady() const {
    return OperatorState.config() && !Shutdown.hasBegun() &&
           OperatorState.confirmationAge(Clock.now()) <
               Settings.MaxConfirmationAge;
  }

private:
  peer_options peerOptions() {
    return {
        .Outgoing = &Pacer, .Incoming = &IncomingPacer, .Monitor = &Monitor};
  }

  peer_sender peerSender() {
    return [this](const endpoint &Peer, http_request Request,
                  std::chrono::milliseconds Timeout,
                  peer_client::callback Callback) {
      Peers.send(Peer, std::move(Request), Timeout, std::move(Callback));
    };
  }

  void onClusterChange() {
    auto Config = OperatorState.config();
    if (Config && Config != AppliedConfig) {
      AppliedConfig = Config;
      writeLog(log_level::Info, "configuration in force",
               {{"step", "configuration"},
                {"version", Config->Version},
                {"rates", describeRates(*Config)}});
      CallerServer.setLimits(
          {Config->Limits.MaxBodyBytes, Config->Limits.MaxHeaderBytes,
           Config->Limits.HeaderTimeout, Config->Limits.IdleTimeout});
    }
    if (Config)
      Rates.configure(Config->Workspaces,
                      std::max<size_t>(1, Ownership.view().hosts().size()));
    applyRollout();
    Newest.update();
    Router.onClusterChange();
    Dispatcher.dispatchWaiting();
  }

  void applyRollout() {
    version_filter Versions(Ownership.view(), OperatorState,
                            Settings.LocalService);
    IsInRollout = Versions.isActive();
    const host_info *Info = Ownership.view().host(Settings.Host);
    bool MustLeave = Info && Versions.mustLeave(Settings.Host, *Info);
    Dispatcher.onRollout(IsInRollout, MustLeave, Versions.sequence());
  }

  /// Reports more often while a rollout concerns the backend server.
  void onReportTime() {
    bool IsRoutine = ++ReportTimes % (ReportPeriod / RolloutReportPeriod) == 0;
    if (IsRoutine || IsInRollout)
      sendReport();
  }

  void reportUnanswered(const char *Server, const unanswered_request &Request) {
    std::string Phase = toString(Request.Phase);
    Metrics.count(
        "unanswered_requests_total",
        {{"server", Server}, {"phase", Phase}, {"reason", Request.Reason}});
    writeRequestLog(
        "connection ended with a request unanswered",
        {{"request_id",
          Request.Headers.find(Platform.Names.RequestId).value_or("")},
         {"server", Server},
         {"phase", Phase},
         {"reason", Request.Reason},
         {"bytes_read", Request.BytesRead},
         {"bytes_written", Request.BytesWritten},
         {"since_last_read_ms", inMilliseconds(Request.SinceLastRead)},
         {"stopping", Shutdown.hasBegun() ? "yes" : "no"}});
  }

  void servePeer(const exchange_pointer &Exchange) {
    if (auto Report = decodeReport(Exchange->request())) {
      Ownership.onReport(Report->Host, Report->Load);
      Ownership.onClusterVersion(Report->NewestVersion);
      OperatorExchange.onPeerVersion(Report->OperatorVersion, Report->Host);
      Guard.onReport(*Report, otherServers(Report->Host));
      return Exchange->respond(encodeResponse(makeReportResponse(*Report)));
    }
    if (auto TokenRequest = decodeTokenRequest(Exchange->request())) {
      duration PoolRetryAfter{0};
      token_response Response;
      Response.Tokens = Ownership.coordinator().takeTokens(
          TokenRequest->Workspace, TokenRequest->Amount, PoolRetryAfter);
      Response.PoolRetryAfter =
          std::chrono::duration_cast<std::chrono::milliseconds>(PoolRetryAfter);
      return Exchange->respond(encodeResponse(Response));
    }
    if (isConfigurationRequest(Exchange->request()))
      return Exchange->respond(
          encodeResponse(OperatorState.knownConfiguration(Clock.now())));
    if (!OperatorExchange.serve(Exchange) && !Store.serve(Exchange))
      serveForwarded(Exchange);
  }

  size_t otherServers(const std::string &Host) const {
    return otherReadyServers(Ownership.view(), Host);
  }

  report_response makeReportResponse(const report_message &Report) {
    report_response Response;
    Response.IsCoordinator = Ownership.coordinator().isActive();
    if (Response.IsCoordinator) {
      ServiceTimes.onReport(Report.Host, Report.Service, Report.UsualTimes,
                            Clock.now());
      Response.ServiceTimes =
          ServiceTimes.mediansOf(Report.Service, Clock.now());
    }
    Response.NewestVersion = Ownership.sync().newestVersion();
    Response.OperatorVersion = OperatorState.newestVersion();
    Guard.addQuarantine(Response);
    return Response;
  }

  void serveForwarded(const exchange_pointer &Exchange) {
    http_request Request = Exchange->request();
    auto Metadata = extractMetadata(Request.Headers, Exchange->transitDelay());
    if (!Metadata)
      return Exchange->respond({400, {}, ""});
    auto Id = std::make_shared<dispatch_id>(0);
    Exchange->onDisconnect([this, Id](disconnect_cause Cause) {
      if (Cause == disconnect_cause::ConnectionEnded)
        Dispatcher.onConnectionEnded(*Id);
      else
        Dispatcher.cancel(*Id);
    });
    *Id = Dispatcher.submit(
        *Metadata, std::move(Request), [Exchange](forward_result Result) {
          Exchange->respond(encodeResult(std::move(Result)));
        });
  }

  /// Returns the peer endpoint of the coordinator; none if the coordinator is
  /// this host or not known.
  std::optional<endpoint> coordinatorEndpoint() const {
    const std::string &Name = Ownership.view().coordinatorHost().Content;
    const host_info *Info = Ownership.view().host(Name);
    if (!Info || Name == Settings.Host)
      return std::nullopt;
    return Info->PeerEndpoint;
  }

  void sendReport() {
    report_message Report;
    Report.Host = Settings.Host;
    Report.Load = Dispatcher.takeLoadReport();
    Report.NewestVersion = Ownership.sync().newestVersion();
    Report.OperatorVersion = OperatorState.newestVersion();
    Report.Service = Ownership.server().service();
    Report.UsualTimes = Dispatcher.capacity().usualTimes(Clock.now());
    Guard.addCrashReport(Report);
    auto Peer = coordinatorEndpoint();
    if (!Peer) {
      Ownership.onReport(Report.Host, Report.Load);
      Guard.onReport(Report, otherServers(Report.Host));
      return applyReportResponse(makeReportResponse(Report));
    }
    Peers.send(*Peer, encodeReport(Report), ReportTimeout,
               [this](const call_result &Result) { onReportResult(Result); });
  }

  void onReportResult(const call_result &Result) {
    if (Result.Outcome != call_outcome::Completed)
      return;
    auto Response = decodeReportResponse(Result.Response);
    if (!Response)
      return;
    if (Response->IsCoordinator) {
      Ownership.coordinator().onCoordinatorContact();
      applyReportResponse(*Response);
    }
    Ownership.onClusterVersion(Response->NewestVersion);
    OperatorExchange.onPeerVersion(Response->OperatorVersion,
                                   Ownership.view().coordinatorHost().Content);
  }

  /// A host without usual times in the response goes on with the last ones.
  void applyReportResponse(const report_response &Response) {
    Guard.onReportResponse(Response);
    if (!Response.ServiceTimes.empty())
      Dispatcher.capacity().setServiceTimes(Response.ServiceTimes);
  }

  void requestTokens(const std::string &Workspace, double Amount,
                     rate_limiter::pool_callback Callback) {
    auto Peer = coordinatorEndpoint();
    if (!Peer) {
      duration PoolRetryAfter{0};
      double Tokens =
          Ownership.coordinator().takeTokens(Workspace, Amount, PoolRetryAfter);
      return Callback(Tokens, PoolRetryAfter);
    }
    Peers.send(*Peer, encodeTokenRequest({Workspace, Amount}), TokenTimeout,
               [Callback = std::move(Callback)](const call_result &Result) {
                 token_response Response{0, std::chrono::milliseconds(100)};
                 if (Result.Outcome == call_outcome::Completed)
                   Response =
                       decodeTokenResponse(Result.Response).value_or(Response);
                 Callback(Response.Tokens, Response.PoolRetryAfter);
               });
  }

  void beginStop() {
    if (Shutdown.hasBegun())
      return;
    logStop("stopping");
    Sequence.begin();
    Dispatcher.onShutdownBegin();
  }

  size_t activeCount() const {
    return Router.activeCount() + Dispatcher.activeCount();
  }

  void logStop(const char *Message) const {
    writeLog(log_level::Info, Message,
             {{"step", "stop"}, {"open", activeCount()}});
  }

  event_loop &Loop;
  settings Settings;
  platform_access Platform;
  boot_clock Clock;
  metrics &Metrics;
  operator_state OperatorState;
  graceful_shutdown Shutdown;
  bulk_pacer Pacer;
  /// Divides the incoming link among the large messages of peers.
  bulk_pacer IncomingPacer;
  link_monitor Monitor;
  peer_client Peers;
  restorable_store RestorableStore;
  coalescing_store CoalescingStore;
  relayed_store Store;
  ownership_manager Ownership;
  newest_configuration Newest;
  operator_exchange OperatorExchange;
  crash_guard Guard;
  dispatcher Dispatcher;
  /// Used while this host is the coordinator.
  service_route_times ServiceTimes;
  rate_limiter Rates;
  request_router Router;
  admin Admin;
  peer_server PeerServer;
  http_server AdminServer;
  http_server CallerServer;
  std::shared_ptr<const configuration> AppliedConfig;
  shutdown_sequence Sequence;
  timer ReportTimer;
  uint64_t ReportTimes = 0;
  /// Whether a rollout concerns the backend server.
  bool IsInRollout = false;
};

daemon::daemon(event_loop &Loop, const settings &Settings,
               platform_access Platform, http_client &Client, metrics &Metrics)
    : Implementation(std::make_unique<implementation>(
          Loop, Settings, std::move(Platform), Client, Metrics)) {}

daemon::~daemon() = default;

void daemon::addControlServer(stoppable_server &Server) {
  Implementation->addControlServer(Server);
}

void daemon::start() { Implementation->start(); }

std::optional<grant> daemon::onHeartbeat(const heartbeat &Heartbeat) {
  return Implementation->onHeartbeat(Heartbeat);
}

void daemon::onLeave(const leave_notice &Notice) {
  Implementation->onLeave(Notice);
}

bool daemon::isReady() const { return Implementation->isReady(); }

} // namespace dragonflyvane
