/// A cluster of real ownership keepers on a fake clock, with random faults, and
/// the checks of what must hold at every moment.
#ifndef DRAGONFLYVANE_TESTS_OWNERSHIP_SIMULATION_HPP
#define DRAGONFLYVANE_TESTS_OWNERSHIP_SIMULATION_HPP

#include "dragonflyvane/node/coalescing_store.hpp"
#include "dragonflyvane/node/ownership_manager.hpp"
#include "dragonflyvane/node/relayed_store.hpp"
#include "fake_peers.hpp"
#include "fake_server.hpp"
#include "fake_store.hpp"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace dragonflyvane {

/// A rule that a trial breaks on purpose, to see that the checks notice.
struct simulation_defects {
  fake_store::defect Store = fake_store::defect::None;
  /// 0.98 is the slowest that holds allow for.
  double ServerClockSpeed = 0.98;
  /// Backend servers report a release before their work on it has ended.
  bool EarlyRelease = false;
  /// Daemons do not tell each other how far their views have come.
  bool NoNews = false;
};

/// What was seen.
struct simulation_report {
  int TwoOwners = 0;
  int TokensNotRisen = 0;
  int StaleGrants = 0;
  /// Checked points, and how many of them had an owner.
  int Checked = 0;
  int Owned = 0;
};

/// One trial.
class ownership_simulation {
public:
  ownership_simulation(uint64_t Seed, int Hosts, simulation_defects Flaws = {});
  ~ownership_simulation();

  void runFor(duration Span);
  /// One random fault or its end.
  void disturb();
  /// Ends all faults.
  void calm();
  const simulation_report &report() const { return Report; }
  /// The part of points with an owner now.
  double ownedPart();
  /// The part of points with an owner at some moment of a span.
  double ownedPartWithin(duration Span);

  // Faults by hand.
  void killDaemon(int Host);
  void startDaemon(int Host);
  void freeze(int Host, bool Value);
  void cut(int Host, bool Value);
  /// Cut off from the store and from all peers.
  void isolate(int Host, bool Value);
  void deafen(int Host, bool Value);
  fake_server &server(int Host) { return *Hosts[Host].Server; }
  fake_store &rows() { return Store; }
  const ownership_map *map() const;
  /// How others see the backend server of a host.
  server_availability observedAvailability(int Host) const;
  /// A line for each host, for a trial that ends badly.
  std::string describe() const;
  std::string nameOf(int Host) const { return "host" + std::to_string(Host); }

private:
  struct host;

  void check();
  void sendReports();
  relayed_store::dependencies storeParts(host &Host);
  std::optional<std::optional<grant>> onBeat(int Host,
                                             const heartbeat &Heartbeat);
  static std::optional<operator_row> decode(const stored_row &Row);

  struct host {
    std::string Name;
    settings Settings;
    std::unique_ptr<fake_store_client> Client;
    std::unique_ptr<coalescing_store> CoalescingStore;
    std::unique_ptr<relayed_store> Store;
    std::unique_ptr<operator_state> OperatorState;
    std::unique_ptr<ownership_manager> Ownership;
    std::unique_ptr<fake_server> Server;
    bool Frozen = false;
    bool Disconnected = false;
    bool WatchesStalled = false;
    bool Isolated = false;
  };

  manual_scheduler Loop;
  timer Reports;
  std::mt19937_64 Random;
  simulation_defects Flaws;
  fake_store Store;
  fake_peers Peers;
  std::vector<host> Hosts;
  simulation_report Report;
  /// The highest token of each checked point, and the life that had it.
  std::map<key_point, std::pair<uint64_t, server_incarnation>> Highest;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_TESTS_OWNERSHIP_SIMULATION_HPP
