#include "dragonflyvane/core/rate/workspace_rates.hpp"

#include <doctest/doctest.h>

#include <deque>
#include <random>

using namespace dragonflyvane;
using std::chrono::milliseconds;

namespace {

constexpr double Rate = 50;
constexpr double Burst = 40;

std::map<std::string, workspace> workspaces(double WorkspaceRate = Rate) {
  return {{"ferry", {"ferry", WorkspaceRate, Burst, -1}}};
}

/// Hosts and their rate pool, connected by function calls.
struct rate_cluster {
  explicit rate_cluster(size_t Count) : Hosts(Count) { configure(Rate); }

  void configure(double NewRate) {
    for (host_rate_share &Host : Hosts)
      Host.configure(workspaces(NewRate), Hosts.size(), Clock.now());
    Pool.configure(workspaces(NewRate), Clock.now());
  }

  bool take(size_t Host) {
    host_rate_share &Rates = Hosts[Host];
    rate_decision Decision = Rates.take("ferry", Clock.now());
    if (Decision == rate_decision::RequestFromPool) {
      duration PoolRetryAfter{0};
      double Tokens = Pool.take("ferry", Rates.poolRequestSize("ferry"),
                                PoolRetryAfter, Clock.now());
      Rates.onPoolResponse("ferry", Tokens, PoolRetryAfter, Clock.now());
      Decision = Rates.take("ferry", Clock.now());
    }
    return Decision == rate_decision::Granted;
  }

  manual_clock Clock;
  std::vector<host_rate_share> Hosts;
  rate_pool Pool;
};

} // namespace

TEST_CASE("a busy workspace gets at most its rate and burst in any 5 s") {
  rate_cluster Cluster(12);
  std::mt19937 Random(3);
  std::deque<time_point> Admitted;
  double MaxAdmitted = 0;
  for (int I = 0; I < 20000; ++I) {
    Cluster.Clock.advance(milliseconds(1));
    if (Cluster.take(Random() % 12))
      Admitted.push_back(Cluster.Clock.now());
    while (!Admitted.empty() &&
           Cluster.Clock.now() - Admitted.front() > std::chrono::seconds(5))
      Admitted.pop_front();
    MaxAdmitted = std::max(MaxAdmitted, static_cast<double>(Admitted.size()));
  }
  // The bucket of each of the 12 hosts can hold at least one token, whatever
  // its share of the burst.
  CHECK(MaxAdmitted <= Rate * 5 + Burst + 12);
}

TEST_CASE("a workspace gets at least half of its rate at a single host") {
  rate_cluster Cluster(12);
  int Admitted = 0;
  for (int I = 0; I < 10000; ++I) {
    Cluster.Clock.advance(milliseconds(1));
    Admitted += Cluster.take(0);
  }
  CHECK(Admitted >= Rate * 10 * 0.5);
}

TEST_CASE("a reduced rate is in force at once") {
  rate_cluster Cluster(12);
  Cluster.Clock.advance(std::chrono::seconds(2));
  Cluster.configure(5);
  std::mt19937 Random(3);
  int Admitted = 0;
  for (int I = 0; I < 10000; ++I) {
    Cluster.Clock.advance(milliseconds(1));
    Admitted += Cluster.take(Random() % 12);
  }
  CHECK(Admitted <= 5 * 10 + Burst + 12);
}

TEST_CASE("the token of a request that was not executed is refunded") {
  host_rate_share Rates;
  manual_clock Clock;
  Rates.configure(workspaces(), 1, Clock.now());
  Clock.advance(std::chrono::seconds(1));
  while (Rates.take("ferry", Clock.now()) == rate_decision::Granted) {
  }
  Rates.refund("ferry");
  CHECK(Rates.take("ferry", Clock.now()) == rate_decision::Granted);
  CHECK(Rates.take("ferry", Clock.now()) == rate_decision::RequestFromPool);
}

TEST_CASE("a new rate pool is empty") {
  rate_pool Pool;
  manual_clock Clock;
  duration PoolRetryAfter{0};
  Pool.configure(workspaces(), Clock.now());
  CHECK(Pool.take("ferry", 1, PoolRetryAfter, Clock.now()) == 0);
  CHECK(PoolRetryAfter > duration{0});
}
