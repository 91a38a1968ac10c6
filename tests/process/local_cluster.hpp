/// A small cluster on loopback addresses: real daemons, and stand-ins for the
/// store and the backend servers, each as a process.
#ifndef DRAGONFLYVANE_TESTS_PROCESS_LOCAL_CLUSTER_HPP
#define DRAGONFLYVANE_TESTS_PROCESS_LOCAL_CLUSTER_HPP

#include "dragonflyvane/core/clock.hpp"
#include "dragonflyvane/core/endpoint.hpp"
#include "platform/standin/cluster_files.hpp"
#include "process/child_process.hpp"
#include "slow_link.hpp"

#include <chrono>
#include <csignal>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace dragonflyvane {

/// Which services a cluster has.
enum class cluster_services {
  /// `bookings` at all hosts. It is keyed.
  Bookings,
  /// `bookings` at the even hosts, and `catalogue`, which is not keyed, at the
  /// odd ones. Servers close idle connections after 1 s, may make calls, and
  /// drain before they leave. Between the first server of each service and its
  /// daemon is a slow link.
  BookingsAndCatalogue,
  /// `bookings` at the first hosts, and `catalogue` at the last two.
  BookingsAndTwoCatalogues,
};

/// The work of a server on one attempt of a request.
struct server_run {
  time_point Begin;
  /// Nothing if the work has not ended.
  std::optional<time_point> End;
  /// Whether the server answered with a failure.
  bool HasFailed = false;
};

/// The runs of all requests, by request id.
using runs_by_id = std::map<std::string, std::vector<server_run>>;

/// Daemons that serve requests of `cluster.example`: `/parts/` and `/orders/`
/// go to `bookings`, `/photos/` and `/albums/` to `catalogue`; only `/orders/`
/// and `/albums/` may not be repeated. A wait that times out throws
/// `std::runtime_error`.
class local_cluster {
public:
  /// Starts the store and the servers, each of which works for `WorkTime` on a
  /// request, but no daemons. With `LinkMbps`, each host has a network link of
  /// that bandwidth in each direction, which the connections of peers to it
  /// share with those of callers that use `remoteEndpoint`.
  local_cluster(int HostCount, std::chrono::milliseconds WorkTime,
                cluster_services Services = cluster_services::Bookings,
                int LinkMbps = 0);
  ~local_cluster();
  local_cluster(const local_cluster &) = delete;
  local_cluster &operator=(const local_cluster &) = delete;

  int hostCount() const { return HostCount; }
  /// Writes the settings file of a host. Hosts count from 0.
  void writeSettings(int Host) const;
  std::string settingsPath(int Host) const;
  /// Starts the daemon of a host, with its output to a file descriptor or, if
  /// that is -1, to a log file. It takes the place of an earlier one.
  void startDaemon(int Host, int Output = -1);
  /// Waits until the daemon of a host, whose output goes to its log file, has
  /// written something since its start.
  void awaitOutput(int Host) const;
  /// Starts all daemons, and waits until each serves both kinds of requests.
  void start();
  /// Writes the next version of the configuration, with further routes and
  /// another timeout of all routes.
  void reconfigure(int FurtherRoutes, std::chrono::milliseconds RouteTimeout);
  /// Asks the server of a host to leave.
  void stopServer(int Host) { Servers.at(Host)->signal(SIGTERM); }
  /// Sets the memory limit of daemons that start from now on.
  void setMemoryLimit(int Megabytes);
  /// Replaces the server of a host by one that announces another address, at
  /// which the test responds to its requests. The daemon of the host must not
  /// have started.
  void announceServerAt(int Host, const endpoint &Address);
  /// Puts rollouts in force at daemons that start from now on.
  void enableRollouts();
  /// Replaces the server of a host at once by one of another version, of whose
  /// responses a percentage are failures.
  void replaceServer(int Host, const std::string &Version, int FailurePercent);
  /// Ends the server of a host at once.
  void killServer(int Host) { Servers.at(Host).reset(); }
  /// Orders that a service be moved to servers of a version.
  void orderRollout(const std::string &Service, const std::string &Version,
                    std::chrono::seconds Duration) const;
  /// Returns what operators read about the rollout of a service.
  std::string rolloutStatus(const std::string &Service) const;
  /// Starts a new server if that of the host has ended.
  void replaceEndedServer(int Host);
  /// Ends the store at once, with all connections; `startStore` starts a new
  /// one without any rows but the operator's.
  void killStore() { Store.reset(); }
  void startStore();
  child_process &daemon(int Host) { return *Daemons.at(Host); }
  /// The address at which a host takes requests of callers.
  endpoint callerEndpoint(int Host) const;
  /// The same for callers elsewhere, who reach the host by its link.
  endpoint remoteEndpoint(int Host) const;
  /// The link of a host.
  const slow_link &hostLink(int Host) const { return *HostLinks.at(Host).Link; }
  endpoint readinessEndpoint(int Host) const;
  /// The address at which a host takes calls of other daemons.
  endpoint peerEndpoint(int Host) const;
  /// The address at which a host takes requests of operators.
  endpoint adminEndpoint(int Host) const;
  /// The address at which a host takes heartbeats.
  endpoint controlEndpoint(int Host) const;
  endpoint storeEndpoint() const;
  /// How often each request has begun at the servers, by its id.
  std::map<std::string, int> runCounts() const;
  /// What the servers ran, from their logs.
  runs_by_id runs() const;
  /// The folder with all logs.
  const std::string &folder() const { return Folder; }
  /// Keeps the folder when the cluster ends.
  void keepFolder() { KeepsFolder = true; }
  /// What the daemon of a host has logged.
  std::string log(int Host) const;
  /// Waits until the daemon of a host serves requests.
  void awaitService(int Host) const;

private:
  /// A link in front of the ports of a host.
  struct host_link {
    std::unique_ptr<slow_link> Link;
    endpoint Peers;
    endpoint Callers;
  };

  std::string addressOf(int Host) const;
  std::string folderPath(const std::string &Name) const;
  void configure() const;
  void startServer(int Host, const std::vector<std::string> &Further = {});
  std::string serviceOf(int Host) const;
  endpoint serverEndpoint(int Host) const;
  void startServerLinks();
  void startHostLinks();

  int HostCount;
  std::chrono::milliseconds WorkTime;
  cluster_services Services;
  int LinkMbps;
  platform::standin::configuration_options Configuration;
  bool HasRollouts = false;
  int MemoryMb = 260;
  /// The addresses that servers announce by order of the test.
  std::map<int, endpoint> AnnouncedAddresses;
  bool KeepsFolder = false;
  std::string Prefix;
  std::string Folder;
  std::unique_ptr<child_process> Store;
  /// In front of the servers of the first hosts.
  std::vector<std::unique_ptr<slow_link>> ServerLinks;
  /// Empty without links.
  std::vector<host_link> HostLinks;
  std::vector<std::unique_ptr<child_process>> Servers;
  std::vector<std::unique_ptr<child_process>> Daemons;
  /// The sizes of the log files when the daemons were started.
  std::vector<size_t> LogSizes;
};

/// Sends a request on a new connection. Returns the status, or 0 if there is no
/// response within the timeout.
int statusOf(const endpoint &Remote, const std::string &Method,
             const std::string &Target, const std::string &Body = "",
             std::chrono::milliseconds Timeout = std::chrono::seconds(2));

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_TESTS_PROCESS_LOCAL_CLUSTER_HPP
