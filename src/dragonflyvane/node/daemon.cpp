#include "dragonflyvane/node/daemon.hpp"

#include "dragonflyvane/core/member.hpp"
#include "dragonflyvane/net/datagram_socket.hpp"
#include "dragonflyvane/net/event_loop.hpp"
#include "dragonflyvane/net/http_client.hpp"
#include "dragonflyvane/net/http_server.hpp"
#include "dragonflyvane/net/metrics.hpp"
#include "dragonflyvane/net/peer_link.hpp"
#include "dragonflyvane/net/table_client.hpp"
#include "dragonflyvane/node/admin.hpp"
#include "dragonflyvane/node/backend_watch.hpp"
#include "dragonflyvane/node/door.hpp"
#include "dragonflyvane/node/entrance.hpp"

#include <random>

namespace dragonflyvane {

namespace {

constexpr std::chrono::milliseconds TickPeriod{50};
constexpr std::chrono::milliseconds TokenTickPeriod{10};
constexpr std::chrono::milliseconds TablePollPeriod{500};
constexpr std::chrono::milliseconds LoadReportPeriod{2000};
/// Callers have so long to move to other entrances, connection by connection,
/// before a stopping one refuses them.
constexpr std::chrono::milliseconds ClosingTime{3000};
/// After the last request, so that callers see their answers.
constexpr std::chrono::milliseconds StopGrace{300};
constexpr int AdminThreads = 1;

member_identity identityOf(const settings &Settings) {
  member_identity Identity;
  Identity.Host = Settings.Host;
  Identity.Domain = Settings.Domain;
  Identity.PeerAddress = toString(Settings.Peer);
  Identity.DatagramAddress = toString(Settings.Peer);
  Identity.EntranceAddress = toString(Settings.Entrance);
  Identity.Incarnation = std::random_device()() + 1ULL;
  return Identity;
}

} // namespace

class daemon::implementation {
public:
  explicit implementation(const settings &Settings)
      : Settings(Settings), Client(Loop), Table(Client, Settings.Platform),
        Peers(Loop, Settings.MaxBody),
        Member(identityOf(Settings), Clock.now()),
        Door(
            Settings.Host, Client, Clock, Member, Metrics,
            [this](const door_request &Request) {
              return Entrance.isCallerValid(Request);
            },
            [this](const std::string &Workspace) {
              return Entrance.weightOf(Workspace);
            }),
        Entrance({Settings.Host, Loop, Clock, Member, Door, Peers, Metrics,
                  Settings.RequestTimeout, [this] { act(); }}),
        Backends(Loop, Client, Clock, Door,
                 [this](const auto &Services) {
                   Member.setServices(Services);
                   act();
                 }),
        Admin({Settings.Host, Settings.Admin.Address, Settings.OperatorToken,
               Clock, Member, Table, Backends, Metrics,
               [this] { return isReady(); },
               [this](row_version Revision) { spreadNews(Revision); }}),
        Datagrams(Loop, Settings.Peer,
                  [this](std::string_view Bytes) { onDatagram(Bytes); }),
        PeerServer(Loop, Settings.Peer, Settings.MaxBody,
                   [this](const exchange_pointer &Exchange) {
                     Entrance.serveForwarded(Exchange);
                   }) {
    Member.setInFlight(&Door);
  }

  int run() {
    http_limits Limits;
    Limits.MaxBody = Settings.MaxBody;
    http_server Callers(Settings.Entrance, Settings.EntranceThreads, Limits,
                        onLoop([this](const exchange_pointer &Exchange) {
                          Entrance.serve(Exchange);
                        }));
    http_server Operators(Settings.Admin, AdminThreads, Limits,
                          onLoop([this](const exchange_pointer &Exchange) {
                            Admin.serve(Exchange);
                          }));
    Ticks = Loop.every(TickPeriod, [this] { tick(); });
    TokenTicks = Loop.every(TokenTickPeriod, [this] {
      Member.tickTokens(Clock.now());
      act();
    });
    Polls = Loop.every(TablePollPeriod, [this] { readTable(); });
    LoadReports = Loop.every(LoadReportPeriod, [this] { reportLoad(); });
    Loop.onTermination([this] { beginStop(); });
    writeLog(log_level::Info, "started",
             {{"step", "start"},
              {"domain", Settings.Domain},
              {"entrance", toString(Settings.Entrance)}});
    act();
    Loop.run();
    writeLog(log_level::Info, "stopped", {{"step", "stop"}});
    return 0;
  }

private:
  http_handler onLoop(std::function<void(const exchange_pointer &)> Serve) {
    return [this, Serve = std::move(Serve)](exchange_pointer Exchange) {
      Loop.post([Serve, Exchange = std::move(Exchange)] { Serve(Exchange); });
    };
  }

  void tick() {
    Member.tick(Clock.now());
    Door.tick();
    act();
    if (Stopping)
      continueStop();
  }

  /// Does what the member wants done.
  void act() {
    member_actions Actions = Member.takeActions();
    for (const outgoing_message &Message : Actions.Messages)
      sendDatagram(Message);
    for (const outgoing_write &Write : Actions.Writes)
      writeTable(Write);
    if (Actions.ReadTable)
      readTable();
    for (const member_event &Event : Member.takeEvents())
      writeLog(log_level::Info, Event.What,
               {{"step", "ownership"},
                {"peer", Event.Peer},
                {"detail", Event.Detail}});
    if (Member.isReplaced()) {
      writeLog(log_level::Error, "another process runs under this host's name",
               {{"step", "ownership"}});
      Loop.stop();
    }
  }

  void sendDatagram(const outgoing_message &Message) {
    const host_record *Record = Member.view().host(Message.To);
    if (!Record)
      return;
    std::string Bytes = encodeMessage({Settings.Host, Message.Body});
    metric_labels Labels = {{"kind", kindOf(Message.Body)}};
    Metrics.count("datagram_bytes_sent_total", Labels, Bytes.size());
    Metrics.count("datagrams_sent_total", Labels);
    Datagrams.send(parseEndpoint(Record->DatagramAddress), Bytes);
  }

  void onDatagram(std::string_view Bytes) {
    auto Envelope = decodeMessage(Bytes);
    if (!Envelope) {
      Metrics.count("datagrams_malformed_total");
      return;
    }
    Member.onMessage(*Envelope, Clock.now());
    act();
  }

  void writeTable(const outgoing_write &Write) {
    Table.transact(Write.Transaction,
                   [this, Id = Write.Id](const transaction_result &Result) {
                     Member.onTransaction(Id, Result, Clock.now());
                     act();
                   });
  }

  void readTable() {
    if (Reading) {
      ReadAgain = true;
      return;
    }
    Reading = true;
    ReadAgain = false;
    Table.readChanges(Member.view().revision(),
                      [this, Begun = Clock.now()](const auto &Changes) {
                        onTableRead(Changes, Begun);
                      });
  }

  void onTableRead(const std::optional<table_changes> &Changes,
                   time_point Begun) {
    Reading = false;
    Metrics.count("table_reads_total", {{"answered", Changes ? "yes" : "no"}});
    if (Changes)
      Member.onTable(*Changes, Begun, Clock.now());
    act();
    if (ReadAgain && Changes)
      readTable();
  }

  void spreadNews(row_version Revision) {
    readTable();
    for (const auto &[Name, Row] : Member.view().hosts())
      if (Name != Settings.Host)
        sendDatagram({Name, table_news{Revision}});
  }

  void reportLoad() {
    slice_loads Rates;
    double Seconds = std::chrono::duration<double>(LoadReportPeriod).count();
    for (const auto &[Slice, Count] : Door.takeCounts())
      Rates[Slice] = static_cast<double>(Count) / Seconds;
    Member.reportLoad(Rates, Clock.now());
    Metrics.set("in_office", {}, Member.isInOffice(Clock.now()) ? 1 : 0);
    act();
  }

  bool isReady() const {
    return !Stopping && Member.view().configurationRow().has_value();
  }

  void beginStop() {
    Stopping = true;
    StopBegun = Clock.now();
    Entrance.setPhase(entrance::stop_phase::Closing);
    writeLog(log_level::Info, "stopping",
             {{"step", "stop"},
              {"running", Door.total()},
              {"callers", Entrance.open()}});
    Member.leave();
    act();
  }

  void continueStop() {
    time_point Now = Clock.now();
    bool Quiet = Member.hasLeft() && Door.total() == 0 && Entrance.open() == 0;
    bool Late = Now >= StopBegun + Settings.DrainTimeout;
    if (Member.hasLeft() && Now >= StopBegun + ClosingTime)
      Entrance.setPhase(entrance::stop_phase::Refusing);
    if (!Quiet && !Late) {
      QuietSince.reset();
      return;
    }
    if (!QuietSince)
      QuietSince = Now;
    if (!Late && Now - *QuietSince < StopGrace)
      return;
    if (Late && !Quiet)
      writeLog(log_level::Warning, "stopped before all requests had ended",
               {{"step", "stop"},
                {"running", Door.total()},
                {"callers", Entrance.open()}});
    Loop.stop();
  }

  settings Settings;
  boot_clock Clock;
  metrics Metrics;
  event_loop Loop;
  http_client Client;
  table_client Table;
  peer_client Peers;
  member Member;
  door Door;
  entrance Entrance;
  backend_watch Backends;
  admin Admin;
  datagram_socket Datagrams;
  peer_server PeerServer;
  timer Ticks;
  timer TokenTicks;
  timer Polls;
  timer LoadReports;
  bool Reading = false;
  bool ReadAgain = false;
  bool Stopping = false;
  time_point StopBegun;
  std::optional<time_point> QuietSince;
};

daemon::daemon(const settings &Settings)
    : Implementation(std::make_unique<implementation>(Settings)) {}

daemon::~daemon() = default;

int daemon::run() { return Implementation->run(); }

} // namespace dragonflyvane
