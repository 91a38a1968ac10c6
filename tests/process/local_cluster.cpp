#include "process/local_cluster.hpp"

#include "dragonflyvane/net/http_client.hpp"
#include "platform/header_names.hpp"
#include "platform/standin/cluster_files.hpp"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <netinet/in.h>
#include <random>
#include <sstream>
#include <stdexcept>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

#include <arpa/inet.h>

namespace dragonflyvane {

using namespace platform::standin;

namespace {

constexpr uint16_t StorePort = 7000;
constexpr uint16_t AdminPort = 9464;
constexpr std::chrono::seconds StartTimeout{30};
constexpr std::chrono::milliseconds PollPeriod{50};
constexpr int SlowServerCount = 2;
constexpr std::chrono::milliseconds HostLinkDelay{1};
constexpr size_t BytesPerMegabit = 125'000;
constexpr link_direction ServerLink{std::chrono::milliseconds(20), 0};

bool isFree(const std::string &Address, uint16_t Port) {
  int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int One = 1;
  setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &One, sizeof(One));
  sockaddr_in Local{};
  Local.sin_family = AF_INET;
  Local.sin_port = htons(Port);
  inet_pton(AF_INET, Address.c_str(), &Local.sin_addr);
  bool Free =
      bind(Socket, reinterpret_cast<sockaddr *>(&Local), sizeof(Local)) == 0 &&
      listen(Socket, 1) == 0;
  close(Socket);
  return Free;
}

/// Chooses a part of the loopback network that no other test uses.
std::string choosePrefix() {
  std::random_device Random;
  while (true) {
    std::string Prefix = "127." + std::to_string(20 + Random() % 200) + "." +
                         std::to_string(1 + Random() % 250) + ".";
    if (isFree(Prefix + "1", StorePort) && isFree(Prefix + "10", CallerPort))
      return Prefix;
  }
}

void await(const std::string &What, const std::function<bool()> &Condition) {
  auto Deadline = std::chrono::steady_clock::now() + StartTimeout;
  while (!Condition()) {
    if (std::chrono::steady_clock::now() > Deadline)
      throw std::runtime_error("timed out: " + What);
    std::this_thread::sleep_for(PollPeriod);
  }
}

} // namespace

int statusOf(const endpoint &Remote, const std::string &Method,
             const std::string &Target, const std::string &Body,
             std::chrono::milliseconds Timeout) {
  event_loop Loop;
  http_client Client(Loop);
  header_names Names = platform::headerNames();
  http_request Request;
  Request.Method = Method;
  Request.Target = Target;
  Request.Headers.add("Host", "cluster.example");
  Request.Headers.add(Names.KeyPoint, "4711");
  Request.Headers.add(Names.RequestId, "test");
  Request.Body = Body;
  call_options Options;
  Options.Timeout = Timeout;
  int Status = 0;
  Client.send(Remote, Request, std::move(Options),
              [&](const call_result &Result) {
                if (Result.Outcome == call_outcome::Completed)
                  Status = Result.Response.Status;
                Loop.stop();
              });
  Loop.run();
  return Status;
}

local_cluster::local_cluster(int HostCount, std::chrono::milliseconds WorkTime,
                             cluster_services Services, int LinkMbps)
    : HostCount(HostCount), WorkTime(WorkTime), Services(Services),
      LinkMbps(LinkMbps), Prefix(choosePrefix()), Servers(HostCount),
      Daemons(HostCount), LogSizes(HostCount) {
  Configuration.HasCatalogue = Services != cluster_services::Bookings;
  Folder = std::filesystem::temp_directory_path() / "dragonflyvane-XXXXXX";
  if (!mkdtemp(Folder.data()))
    throw std::runtime_error("cannot make a temporary folder");
  startStore();
  if (Services == cluster_services::BookingsAndCatalogue)
    startServerLinks();
  if (LinkMbps > 0)
    startHostLinks();
  for (int Host = 0; Host < HostCount; ++Host) {
    startServer(Host);
    writeSettings(Host);
  }
}

local_cluster::~local_cluster() {
  Daemons.clear();
  Servers.clear();
  Store.reset();
  std::error_code Ignored;
  if (!KeepsFolder)
    std::filesystem::remove_all(Folder, Ignored);
}

std::string local_cluster::serviceOf(int Host) const {
  bool HasCatalogue = false;
  if (Services == cluster_services::BookingsAndCatalogue)
    HasCatalogue = Host % 2 == 1;
  if (Services == cluster_services::BookingsAndTwoCatalogues)
    HasCatalogue = Host >= HostCount - 2;
  return HasCatalogue ? "catalogue" : "bookings";
}

endpoint local_cluster::serverEndpoint(int Host) const {
  auto Announced = AnnouncedAddresses.find(Host);
  if (Announced != AnnouncedAddresses.end())
    return Announced->second;
  if (Host < static_cast<int>(ServerLinks.size()))
    return ServerLinks[Host]->localEndpoint();
  return {addressOf(Host), ServerPort};
}

void local_cluster::startServerLinks() {
  for (int Host = 0; Host < SlowServerCount; ++Host)
    ServerLinks.push_back(std::make_unique<slow_link>(
        endpoint{addressOf(Host), ServerPort}, ServerLink, ServerLink));
}

void local_cluster::startHostLinks() {
  link_direction Direction{HostLinkDelay, LinkMbps * BytesPerMegabit};
  for (int Host = 0; Host < HostCount; ++Host) {
    host_link HostLink;
    HostLink.Link = std::make_unique<slow_link>(
        endpoint{addressOf(Host), PeerPort}, Direction, Direction,
        link_sharing::AllConnections);
    HostLink.Peers = HostLink.Link->localEndpoint();
    HostLink.Callers = HostLink.Link->addTarget(callerEndpoint(Host));
    HostLinks.push_back(std::move(HostLink));
  }
}

void local_cluster::startServer(int Host,
                                const std::vector<std::string> &Further) {
  std::string Address = addressOf(Host);
  std::string Service = serviceOf(Host);
  std::vector<std::string> Arguments = {
      "--listen=" + Address + ":" + std::to_string(ServerPort),
      "--address=" + toString(serverEndpoint(Host)),
      "--control=" + Address + ":" + std::to_string(ControlPort),
      "--domain=" + failureDomainOf(Host),
      "--service=" + Service,
      "--work_ms=" + std::to_string(WorkTime.count()),
      "--run_log=" + folderPath("runs-" + std::to_string(Host))};
  if (Services == cluster_services::BookingsAndCatalogue)
    Arguments.insert(Arguments.end(),
                     {"--idle_ms=1000", "--leave_ms=2000",
                      "--calls=" + toString(callerEndpoint(Host))});
  if (Service == "catalogue")
    Arguments.push_back("--keyed=no");
  Arguments.insert(Arguments.end(), Further.begin(), Further.end());
  Servers.at(Host) = std::make_unique<child_process>(
      "standin_backend", Arguments,
      folderPath("server-" + std::to_string(Host) + ".log"));
}

void local_cluster::setMemoryLimit(int Megabytes) {
  MemoryMb = Megabytes;
  for (int Host = 0; Host < HostCount; ++Host)
    writeSettings(Host);
}

void local_cluster::announceServerAt(int Host, const endpoint &Address) {
  AnnouncedAddresses[Host] = Address;
  killServer(Host);
  startServer(Host);
  writeSettings(Host);
}

void local_cluster::enableRollouts() {
  HasRollouts = true;
  for (int Host = 0; Host < HostCount; ++Host)
    writeSettings(Host);
}

void local_cluster::replaceServer(int Host, const std::string &Version,
                                  int FailurePercent) {
  killServer(Host);
  startServer(Host, {"--version=" + Version,
                     "--failure_percent=" + std::to_string(FailurePercent)});
}

void local_cluster::orderRollout(const std::string &Service,
                                 const std::string &Version,
                                 std::chrono::seconds Duration) const {
  std::string Order = R"({"service":")" + Service + R"(","to":")" + Version +
                      R"(","durationS":)" + std::to_string(Duration.count()) +
                      "}";
  await("the store takes the order", [&] {
    return statusOf(storeEndpoint(), "PUT", "/standin/op/rollout/" + Service,
                    Order) == 200;
  });
}

std::string local_cluster::rolloutStatus(const std::string &Service) const {
  event_loop Loop;
  http_client Client(Loop);
  http_request Request;
  Request.Target = "/standin/status/rollout/" + Service;
  std::string Text;
  Client.send(storeEndpoint(), Request, {}, [&](const call_result &Result) {
    if (Result.Outcome == call_outcome::Completed)
      Text = Result.Response.Body.text();
    Loop.stop();
  });
  Loop.run();
  return Text;
}

void local_cluster::replaceEndedServer(int Host) {
  if (Servers.at(Host)->wait(std::chrono::milliseconds(0)))
    startServer(Host);
}

void local_cluster::reconfigure(int FurtherRoutes,
                                std::chrono::milliseconds RouteTimeout) {
  ++Configuration.Version;
  Configuration.FurtherRoutes = FurtherRoutes;
  Configuration.RouteTimeout = RouteTimeout;
  configure();
}

std::string local_cluster::addressOf(int Host) const {
  return Prefix + std::to_string(Host + 10);
}

std::string local_cluster::folderPath(const std::string &Name) const {
  return Folder + "/" + Name;
}

std::string local_cluster::settingsPath(int Host) const {
  return folderPath("host-" + std::to_string(Host) + ".json");
}

endpoint local_cluster::callerEndpoint(int Host) const {
  return {addressOf(Host), CallerPort};
}

endpoint local_cluster::remoteEndpoint(int Host) const {
  return HostLinks.empty() ? callerEndpoint(Host) : HostLinks.at(Host).Callers;
}

endpoint local_cluster::readinessEndpoint(int Host) const {
  return {addressOf(Host), ReadinessPort};
}

endpoint local_cluster::peerEndpoint(int Host) const {
  return {addressOf(Host), PeerPort};
}

endpoint local_cluster::adminEndpoint(int Host) const {
  return {addressOf(Host), AdminPort};
}

endpoint local_cluster::controlEndpoint(int Host) const {
  return {addressOf(Host), ControlPort};
}

endpoint local_cluster::storeEndpoint() const {
  return {Prefix + "1", StorePort};
}

void local_cluster::writeSettings(int Host) const {
  std::ofstream(settingsPath(Host)) << settingsFile(
      Host, addressOf(Host),
      {serviceOf(Host), serverEndpoint(Host), HasRollouts, LinkMbps, MemoryMb},
      storeEndpoint());
}

void local_cluster::startStore() {
  Store = std::make_unique<child_process>(
      "standin_store",
      std::vector<std::string>{"--listen=" + toString(storeEndpoint())},
      folderPath("store.log"));
  configure();
}

void local_cluster::configure() const {
  await("the store takes the configuration", [&] {
    return statusOf(storeEndpoint(), "PUT", "/standin/op/config",
                    configurationFile(Configuration)) == 200;
  });
}

void local_cluster::startDaemon(int Host, int Output) {
  LogSizes.at(Host) = log(Host).size();
  std::vector<std::string> Arguments = {"--config=" + settingsPath(Host)};
  if (!HostLinks.empty())
    Arguments.push_back("--peer_advertise=" +
                        toString(HostLinks.at(Host).Peers));
  Daemons.at(Host) = std::make_unique<child_process>(
      "dragonflyvaned", Arguments,
      folderPath("daemon-" + std::to_string(Host) + ".log"), Output);
}

void local_cluster::start() {
  for (int Host = 0; Host < HostCount; ++Host)
    startDaemon(Host);
  for (int Host = 0; Host < HostCount; ++Host)
    awaitService(Host);
}

void local_cluster::awaitOutput(int Host) const {
  await("host " + std::to_string(Host) + " starts",
        [&] { return log(Host).size() > LogSizes.at(Host); });
}

void local_cluster::awaitService(int Host) const {
  await("host " + std::to_string(Host) + " serves", [&] {
    return statusOf(callerEndpoint(Host), "GET", "/parts/1", "",
                    StartTimeout) == 200;
  });
  if (!Configuration.HasCatalogue)
    return;
  await("host " + std::to_string(Host) + " serves the catalogue", [&] {
    return statusOf(callerEndpoint(Host), "GET", "/photos/1", "",
                    StartTimeout) == 200;
  });
}

runs_by_id local_cluster::runs() const {
  runs_by_id Runs;
  for (int Host = 0; Host < HostCount; ++Host) {
    std::ifstream File(folderPath("runs-" + std::to_string(Host)));
    std::string Event;
    std::string Id;
    int64_t Milliseconds = 0;
    while (File >> Event >> Id >> Milliseconds) {
      time_point At{std::chrono::milliseconds(Milliseconds)};
      if (Event == "begin")
        Runs[Id].push_back({At, std::nullopt});
      else
        Runs[Id].back() = {Runs[Id].back().Begin, At, Event == "fail"};
    }
  }
  return Runs;
}

std::map<std::string, int> local_cluster::runCounts() const {
  std::map<std::string, int> Counts;
  for (const auto &[Id, Runs] : runs())
    Counts[Id] = static_cast<int>(Runs.size());
  return Counts;
}

std::string local_cluster::log(int Host) const {
  std::ifstream File(folderPath("daemon-" + std::to_string(Host) + ".log"));
  std::stringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

} // namespace dragonflyvane
