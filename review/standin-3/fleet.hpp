// A small deployment on loopback addresses: a store, daemons as processes of
// their own, a target beside each of them, and clients.
#ifndef REVIEW_STANDIN_3_FLEET_HPP
#define REVIEW_STANDIN_3_FLEET_HPP

#include "target.hpp"

#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <fcntl.h>
#include <fstream>
#include <memory>
#include <random>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace review {

/// Writes lines with the time since the start to `record.txt`.
class recorder {
public:
  explicit recorder(const std::string &Path)
      : File(std::fopen(Path.c_str(), "w")), Start(nowMs()) {}

  void line(const char *Format, ...) __attribute__((format(printf, 2, 3))) {
    std::lock_guard Lock(Mutex);
    std::fprintf(File, "%9.3f ", static_cast<double>(nowMs() - Start) / 1000);
    va_list Arguments;
    va_start(Arguments, Format);
    std::vfprintf(File, Format, Arguments);
    va_end(Arguments);
    std::fputc('\n', File);
    std::fflush(File);
  }

  /// Writes a line without the time.
  void plain(const char *Format, ...) __attribute__((format(printf, 2, 3))) {
    std::lock_guard Lock(Mutex);
    va_list Arguments;
    va_start(Arguments, Format);
    std::vfprintf(File, Format, Arguments);
    va_end(Arguments);
    std::fputc('\n', File);
  }

  double since(int64_t At) const {
    return static_cast<double>(At - Start) / 1000;
  }

  void flush() { std::fflush(File); }

private:
  std::FILE *File;
  int64_t Start;
  std::mutex Mutex;
};

struct sent_request {
  std::string Id;
  std::string Route;
  int Machine = 0;
  int64_t SentAt = 0;
  int64_t EndedAt = 0;
  /// 0 if the connection ended, or the deadline passed, without an answer.
  int Status = 0;
  bool IsServed = false;
  /// Whether the answer bears `Server-Leaving`.
  bool SaysLeaving = false;
};

struct fleet_options {
  std::string Program;
  std::string Root;
  std::string Folder;
  int CounterMachines = 9;
  int StoreroomMachines = 3;
  /// Whether clients also send requests that may not be repeated.
  bool HasBookings = false;
  int64_t WorkMs = 10;
};

class fleet {
public:
  fleet(fleet_options Options, recorder &Record)
      : Options(std::move(Options)), Record(Record), Store(4) {
    std::random_device Random;
    Prefix = "127." + std::to_string(40 + Random() % 80) + "." +
             std::to_string(1 + Random() % 250) + ".";
    StoreServer = std::make_unique<server>(
        Prefix + "250", 8362,
        [this](const message &Request) { return Store.serve(Request); });
    Pids.assign(static_cast<size_t>(size()), 0);
  }

  ~fleet() { stopDaemons(); }

  int size() const {
    return Options.CounterMachines + Options.StoreroomMachines;
  }
  bool isCounter(int Machine) const {
    return Machine < Options.CounterMachines;
  }
  store &platformStore() { return Store; }

  /// Writes the next version of the configuration.
  void configure(int FurtherRoutes) {
    char Version[9];
    std::snprintf(Version, sizeof(Version), "%08x", ++ConfigVersion);
    json Routes = {route("lookup", "safe", "counter"),
                   route("stock", "safe", "storeroom"),
                   route("booking", "unsafe", "counter")};
    for (int I = 0; I < FurtherRoutes; ++I)
      Routes.push_back(route("more" + std::to_string(I), "safe", "storeroom"));
    json Config = {
        {"version", Version},
        {"routes", Routes},
        {"services",
         {{{"name", "counter"},
           {"healthPath", "/health"},
           {"connectionLimit", 130},
           {"coldStartS", 3.0},
           {"coldPerS", 37.0},
           {"sharded", true},
           {"warmupS", 5.0},
           {"grants", "heartbeat"}},
          {{"name", "storeroom"},
           {"healthPath", "/health"},
           {"connectionLimit", 130},
           {"coldStartS", 3.0},
           {"coldPerS", 37.0}}}},
        {"limits",
         {{"headerBytes", 16384},
          {"bodyBytes", 67108864},
          {"headerTimeoutMs", 3000},
          {"idleTimeoutMs", 15000}}},
        {"tenants",
         {{{"name", "member"}, {"apiKeys", {"key-of-member"}}, {"priority", 1}}}}};
    Store.putOperatorRow("config", Config.dump());
    Record.line("operator: configuration %s is acknowledged", Version);
  }

  void startTargets() {
    for (int I = 0; I < size(); ++I) {
      target_options Target;
      Target.Ip = address(I);
      Target.Port = AppPort;
      Target.ControlPort = ControlPort;
      Target.Service = serviceOf(I);
      Target.Zone = zoneOf(I);
      Target.Instance = "i-" + std::to_string(1000 + I);
      Target.IsKeyed = isCounter(I);
      Target.WorkMs = Options.WorkMs;
      Targets.push_back(std::make_unique<target>(Target));
    }
  }

  void startDaemon(int I) {
    std::string Path = settingsFile(I);
    std::string Log =
        Options.Folder + "/daemon-" + std::to_string(I) + ".log";
    pid_t Pid = ::fork();
    if (Pid == 0) {
      // The daemons end with the case.
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      int Output = ::open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(Output, 1);
      ::dup2(Output, 2);
      if (::chdir(Options.Root.c_str()) != 0)
        std::_Exit(127);
      std::string Setting = "DRAGONFLYVANE_CONFIG=" + Path;
      std::string SearchPath =
          std::string("PATH=") + (std::getenv("PATH") ? std::getenv("PATH") : "");
      char *Arguments[] = {Options.Program.data(), nullptr};
      char *Environment[] = {Setting.data(), SearchPath.data(), nullptr};
      ::execve(Options.Program.c_str(), Arguments, Environment);
      std::_Exit(127);
    }
    Pids.at(static_cast<size_t>(I)) = Pid;
  }

  void startDaemons() {
    for (int I = 0; I < size(); ++I)
      startDaemon(I);
    Record.line("platform: %d daemons started", size());
  }

  void killDaemons() {
    for (pid_t &Pid : Pids)
      if (Pid > 0)
        ::kill(Pid, SIGKILL);
    for (pid_t &Pid : Pids) {
      if (Pid > 0)
        ::waitpid(Pid, nullptr, 0);
      Pid = 0;
    }
    Record.line("platform: all daemons are killed");
  }

  /// Stops a daemon as the platform does: SIGTERM, and SIGKILL after `graceS`.
  void terminateDaemon(int I) {
    pid_t &Pid = Pids.at(static_cast<size_t>(I));
    ::kill(Pid, SIGTERM);
    Record.line("platform: the daemon of machine %d gets SIGTERM", I);
    int64_t Deadline = nowMs() + GraceMs;
    while (::waitpid(Pid, nullptr, WNOHANG) == 0) {
      if (nowMs() >= Deadline)
        ::kill(Pid, SIGKILL);
      sleepMs(5);
    }
    Pid = 0;
    Record.line("platform: the daemon of machine %d has ended", I);
  }

  target &targetOf(int I) { return *Targets.at(static_cast<size_t>(I)); }

  /// Counts the daemons that ended by themselves.
  int endedDaemons() {
    int Count = 0;
    for (pid_t Pid : Pids)
      if (Pid > 0 && ::waitpid(Pid, nullptr, WNOHANG) == Pid)
        ++Count;
    return Count;
  }

  void stopDaemons() {
    for (pid_t Pid : Pids)
      if (Pid > 0)
        ::kill(Pid, SIGKILL);
    for (pid_t &Pid : Pids) {
      if (Pid > 0)
        ::waitpid(Pid, nullptr, 0);
      Pid = 0;
    }
  }

  int readyDaemons() {
    int Count = 0;
    for (int I = 0; I < size(); ++I) {
      stream Stream;
      if (!Stream.connect(address(I), ReadyPort, 100))
        continue;
      Stream.write(encodeRequest("GET", "/-/readiness", {{"Host", "ready"}}, ""),
                   nowMs() + 200);
      auto Answer = Stream.read(nowMs() + 200);
      Count += Answer && Answer->Second == "200";
    }
    return Count;
  }

  int heldKeys() {
    int Count = 0;
    for (const auto &Target : Targets)
      Count += Target->heldKeys();
    return Count;
  }

  /// Starts clients at each machine. Each sends a request, waits for its end,
  /// and goes on at a fixed pace.
  void startClients(int PerMachine, int64_t PeriodMs) {
    for (int I = 0; I < size(); ++I)
      for (int J = 0; J < PerMachine; ++J)
        Clients.emplace_back(
            [this, I, J, PeriodMs] { runClient(I, J, PeriodMs); });
  }

  void stopClients() {
    IsStopping = true;
    for (std::thread &Client : Clients)
      Client.join();
  }

  std::vector<sent_request> requests() {
    std::lock_guard Lock(Mutex);
    return Requests;
  }

  /// Writes what was sent, answered and run to the record.
  void listRequests() {
    Record.line("what was sent: id, route, machine, sent and ended (s), status "
                "(0: no answer), whether a target's answer");
    for (const sent_request &Request : requests())
      Record.plain("sent %s %s %d %.3f %.3f %d %s", Request.Id.c_str(),
                   Request.Route.c_str(), Request.Machine,
                   Record.since(Request.SentAt), Record.since(Request.EndedAt),
                   Request.Status, Request.IsServed ? "served" : "-");
    Record.line("what was run: machine of the target, id, begun and ended (s; 0: "
                "the target ended before)");
    for (int I = 0; I < size(); ++I)
      for (const target::arrival &Arrival : targetOf(I).arrivals())
        Record.plain("run %d %s %.3f %.3f", I, Arrival.RequestId.c_str(),
                     Record.since(Arrival.At),
                     Arrival.EndedAt == 0 ? 0 : Record.since(Arrival.EndedAt));
  }

  std::string address(int I) const { return Prefix + std::to_string(11 + I); }
  static constexpr int OutboundPort = 8365;

private:
  static constexpr int AppPort = 8363;
  static constexpr int ControlPort = 8367;
  static constexpr int ReadyPort = 8369;
  static constexpr int64_t GraceMs = 6000;

  static json route(const std::string &Name, const std::string &Kind,
                    const std::string &Service) {
    return {{"name", Name},
            {"host", "shop.example"},
            {"prefix", "/" + Name + "/"},
            {"kind", Kind},
            {"timeoutMs", 500},
            {"aimMs", 200},
            {"priority", 1},
            {"service", Service},
            {"attempts", 2},
            {"allowAnonymous", false}};
  }

  std::string serviceOf(int I) const {
    return isCounter(I) ? "counter" : "storeroom";
  }
  static std::string zoneOf(int I) {
    static const char *Zones[] = {"erie", "huron", "michigan"};
    return Zones[I % 3];
  }

  std::string settingsFile(int I) {
    std::string Ip = address(I);
    auto At = [&](int Port) { return Ip + ":" + std::to_string(Port); };
    json Settings = {
        {"nodeName", "sidecar-" + std::to_string(I)},
        {"role", "dragonflyvaned"},
        {"machineClass", "sidecar"},
        {"serves", {"sidecar"}},
        {"ipAddress", Ip},
        {"zone", zoneOf(I)},
        {"region", "lakes"},
        {"zones", {{"erie", "lakes"}, {"huron", "lakes"}, {"michigan", "lakes"}}},
        {"listenAddresses",
         {{"inbound", At(8366)},
          {"outbound", At(OutboundPort)},
          {"ready", At(ReadyPort)},
          {"controlPlane", At(ControlPort)}}},
        {"internalPortRange", {7780, 7795}},
        {"seedAddresses", json::array()},
        {"bootstrap", true},
        {"countsAsLoss", false},
        {"limits",
         {{"cpuShare", 0.2},
          {"cores", 1},
          {"memoryMb", 260},
          {"fdLimit", 4100},
          {"linkMbps", 1000.0},
          {"diskMb", 0}}},
        {"dataDirectory", nullptr},
        {"discovery", "local"},
        {"entry", "local"},
        {"heartbeatIntervalMs", 870},
        {"contracts",
         {"base", "drain", "config", "cost", "retry", "recover", "own", "places",
          "tenants", "quota", "platform"}},
        {"faultTolerance", {{"machines", 2}, {"zones", 1}, {"regions", 0}}},
        {"bounds",
         {"seedLagS=3", "reuseAfterS=2", "touchMs=3000", "ackMs=4000",
          "catchUpS=4", "drainMs=2000", "graceS=6", "lossSlackMs=200",
          "configMs=2000", "rollbackSlackMs=250", "maximumStretchMs=5000",
          "strictRevocation=true", "revocationMs=5000", "budgetRatio=0.2",
          "budgetWindowS=10", "budgetExtraAttempts=64", "quotaWindowS=5",
          "quotaOver=0.1", "quotaSlack=20", "coldOver=1.5", "coldSlack=5",
          "evacuationMs=5000", "recoverS=15", "maximumHoldMs=10000",
          "thawMs=300"}},
        {"grants", "heartbeat"},
        {"appAddress", At(AppPort)},
        {"service", serviceOf(I)},
        {"platform",
         {{"address", Prefix + "250:8362"},
          {"form", "table"},
          {"writesPerS", 400},
          {"readsPerS", 2000},
          {"transactionMs", 5.0},
          {"partWritesPerS", 200},
          {"rowBytes", 65536},
          {"across", false},
          {"historyS", 20},
          {"blobBytes", 8388608},
          {"blobMs", 25.0},
          {"blobMbPerS", 80.0}}}};
    std::string Path = Options.Folder + "/node-" + std::to_string(I) + ".json";
    std::ofstream(Path) << Settings.dump(1);
    return Path;
  }

  void runClient(int Machine, int Number, int64_t PeriodMs) {
    std::minstd_rand Random(
        static_cast<unsigned>(Machine * 1000 + Number * 17 + 1));
    stream Stream;
    int64_t NextAt = nowMs() + static_cast<int64_t>(Random()) % PeriodMs;
    for (int I = 0; !IsStopping; ++I) {
      sleepMs(NextAt - nowMs());
      NextAt = std::max(NextAt + PeriodMs, nowMs());
      sent_request Request;
      Request.Id = "c" + std::to_string(Machine) + "-" +
                   std::to_string(Number) + "-" + std::to_string(I);
      auto Draw = Random() % 4;
      Request.Route = Draw == 0                           ? "stock"
                      : Draw == 1 && Options.HasBookings ? "booking"
                                                          : "lookup";
      Request.Machine = Machine;
      send(Stream, Request, static_cast<int>(Random() % 65536));
      std::lock_guard Lock(Mutex);
      Requests.push_back(Request);
    }
  }

  void send(stream &Stream, sent_request &Request, int Key) {
    constexpr int64_t DeadlineMs = 500;
    Request.SentAt = nowMs();
    int64_t Deadline = Request.SentAt + DeadlineMs;
    std::vector<std::pair<std::string, std::string>> Fields = {
        {"Host", "shop.example"},
        {"Request-Id", Request.Id},
        {"Request-Deadline", std::to_string(DeadlineMs)},
        {"Api-Key", "key-of-member"}};
    if (Request.Route != "stock")
      Fields.emplace_back("Shard-Key", std::to_string(Key));
    if (!Stream.isOpen())
      Stream.connect(address(Request.Machine), OutboundPort, DeadlineMs);
    std::optional<message> Answer;
    bool IsSent = Stream.isOpen() &&
                  Stream.write(encodeRequest(Request.Route == "booking" ? "POST"
                                                                        : "GET",
                                             "/" + Request.Route + "/" +
                                                 std::to_string(Key),
                                             Fields, ""),
                               Deadline);
    if (IsSent)
      Answer = Stream.read(Deadline);
    Request.EndedAt = nowMs();
    if (!Answer) {
      Stream.close();
      return;
    }
    Request.Status = std::atoi(Answer->Second.c_str());
    Request.IsServed = Request.Status == 200 && Answer->find("Server-Stamp") &&
                       Answer->find("Request-Id") == Request.Id;
    Request.SaysLeaving = Answer->find("Server-Leaving").has_value();
    if (Answer->find("Connection").value_or("") == "close")
      Stream.close();
  }

  fleet_options Options;
  recorder &Record;
  std::string Prefix;
  store Store;
  std::unique_ptr<server> StoreServer;
  std::vector<std::unique_ptr<target>> Targets;
  std::vector<pid_t> Pids;
  int ConfigVersion = 0;
  std::atomic<bool> IsStopping{false};
  std::vector<std::thread> Clients;
  std::mutex Mutex;
  std::vector<sent_request> Requests;
};

} // namespace review

#endif // REVIEW_STANDIN_3_FLEET_HPP
