// The policy against servers of a good and of several bad versions. The bounds
// are those of the deployment with rollouts.
#include "dragonflyvane/core/rollout/rollout_policy.hpp"

#include "dragonflyvane/core/rollout/rollout_evidence.hpp"

#include <doctest/doctest.h>

#include <cmath>
#include <functional>
#include <random>

using namespace dragonflyvane;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr milliseconds Tick{500};
constexpr int Seeds = 15;
constexpr double BusyRate = 64;

/// What one request meets at a server of the new version.
struct encounter {
  std::string Route;
  milliseconds SinceStart{0};
  /// The part of the server's slots that is in use.
  double Use = 0;
};

/// How a version behaves: the probability of a failure, and the factor of the
/// time.
struct behaviour {
  double Failures = 0.003;
  double Factor = 1;
};

using version_model = std::function<behaviour(const encounter &)>;

/// Requests to servers of two versions, whose hosts report once in a tick and
/// learn of a change one tick later.
class modelled_service {
public:
  modelled_service(int Seed, double Rate, version_model NewVersion)
      : Random(Seed), Rate(Rate), NewVersion(std::move(NewVersion)) {
    State.To = "v2";
    State.Duration = seconds(12);
    Known = State;
    for (int I = 0; I < Servers; ++I) {
      NewHosts.push_back("new-" + std::to_string(I));
      Speeds.push_back(
          std::uniform_real_distribution<double>(0.6, 1.6)(Random));
    }
  }

  /// Runs until the rollout has ended or a time has passed.
  void run(milliseconds Time) {
    for (milliseconds End = Now + Time; Now < End && State.isRunning();)
      runTick();
  }

  void runTick() {
    auto Count = static_cast<int>(Rate * 0.5);
    for (int I = 0; I < Count; ++I)
      runRequest();
    Now += Tick;
    Known = State;
    if (IsStoreAway)
      return;
    if (auto Next = nextState(State, rollout_bounds{}, situation())) {
      State = *Next;
      ++State.Sequence;
    }
  }

  /// The successor of a coordinator has the row, but not the evidence.
  void replaceCoordinator() { Evidence.clear(); }

  bool isWithinExposure() const {
    double Seconds = std::chrono::duration<double>(State.Duration).count();
    return Exposed <= 0.1 * Rate * Seconds + 50;
  }

  rollout_state State;
  std::vector<std::string> NewHosts;
  bool IsStoreAway = false;
  uint64_t Exposed = 0;
  milliseconds Now{0};

private:
  static constexpr int Servers = 20;

  void runRequest() {
    bool IsNew = draw() < Known.Share && !NewHosts.empty();
    std::vector<std::string> Hosts(Known.Canaries.begin(),
                                   Known.Canaries.end());
    if (Known.Step == rollout_step::All)
      Hosts = NewHosts;
    if (Hosts.empty())
      IsNew = false;
    size_t Server = Random() % (IsNew ? Hosts.size() : Servers);
    double Use = IsNew ? Known.Share * Rate /
                             (static_cast<double>(Hosts.size()) * BusyRate)
                       : 0.5;
    encounter Encounter{draw() < 0.7 ? "parts" : "orders", Now, Use};
    behaviour Behaviour = IsNew ? NewVersion(Encounter) : behaviour{};
    auto Spell =
        static_cast<int64_t>(Server) * 1000 + Now.count() / 400 + IsNew;
    bool IsSlowedDown =
        std::hash<double>{}(static_cast<double>(Spell)) % 5 == 0;
    double Ms = (Encounter.Route == "parts" ? 140 : 40) * Behaviour.Factor *
                std::exp(std::normal_distribution<double>(0, 0.4)(Random)) /
                Speeds[Server] * (IsSlowedDown ? 3 : 1);
    ++Total;
    Exposed += IsNew ? 1 : 0;
    std::string Host = IsNew ? Hosts[Server] : "old-" + std::to_string(Server);
    Evidence.add(time_point(Now), Host, IsNew,
                 {{"desk",
                   "",
                   Encounter.Route,
                   {1, draw() < Behaviour.Failures ? 1U : 0U, std::log(Ms)}}});
  }

  rollout_situation situation() const {
    rollout_situation Situation;
    Situation.Now = Now;
    Situation.NewHosts = NewHosts;
    Situation.NewSlots = 9.0 * static_cast<double>(NewHosts.size());
    Situation.OldSlots = 9.0 * Servers;
    Situation.Rate = Rate;
    Situation.ServerRate = BusyRate;
    Situation.Exposed = Exposed;
    Situation.Total = Total;
    Situation.All = Evidence.all();
    Situation.Recent = Evidence.since(time_point(Now - seconds(2)));
    Situation.SinceStep = Evidence.since(time_point(State.StepAt));
    Situation.HasLeftOld = Known.Step == rollout_step::All;
    return Situation;
  }

  double draw() { return std::uniform_real_distribution<double>(0, 1)(Random); }

  std::mt19937_64 Random;
  double Rate;
  version_model NewVersion;
  std::vector<double> Speeds;
  /// The state that the hosts route by.
  rollout_state Known;
  rollout_evidence Evidence;
  uint64_t Total = 0;
};

behaviour good(const encounter &) { return {}; }

void checkRolledBack(const version_model &Model, double Rate = 1000) {
  for (int Seed = 1; Seed <= Seeds; ++Seed) {
    modelled_service Service(Seed, Rate, Model);
    Service.run(seconds(14));
    CAPTURE(Seed);
    CAPTURE(formatStep(Service.State.Step));
    CHECK(Service.State.Outcome == rollout_outcome::RolledBack);
    CHECK(Service.isWithinExposure());
  }
}

void checkCompleted(double Rate) {
  for (int Seed = 1; Seed <= Seeds; ++Seed) {
    modelled_service Service(Seed, Rate, good);
    Service.run(seconds(14));
    CAPTURE(Seed);
    CAPTURE(Service.State.Reason);
    CHECK(Service.State.Outcome == rollout_outcome::Completed);
    CHECK(Service.Now < Service.State.Duration - seconds(1));
  }
}

} // namespace

// Guards against a rollback because of failures and slowdowns that good
// versions have, too, and against a completion after the deadline.
TEST_CASE("a good version is completed well before its deadline") {
  checkCompleted(1000);
  checkCompleted(200);
}

TEST_CASE("a version that fails from the start is rolled back") {
  checkRolledBack([](const encounter &) { return behaviour{0.15, 1}; });
  checkRolledBack([](const encounter &) { return behaviour{0.15, 1}; }, 200);
}

TEST_CASE("a version that fails after a while is rolled back") {
  checkRolledBack([](const encounter &E) {
    return behaviour{E.SinceStart > seconds(5) ? 0.2 : 0.003, 1};
  });
}

TEST_CASE("a version that fails on one route is rolled back") {
  checkRolledBack([](const encounter &E) {
    return behaviour{E.Route == "orders" ? 0.3 : 0.003, 1};
  });
}

// Guards against a share that is spread so thinly that no new server is full
// before all traffic moves.
TEST_CASE("a version that fails when its servers are nearly full is rolled "
          "back") {
  checkRolledBack([](const encounter &E) {
    return behaviour{E.Use > 0.75 ? 0.25 : 0.003, 1};
  });
}

TEST_CASE("a version that is several times slower is rolled back") {
  checkRolledBack([](const encounter &) { return behaviour{0.003, 4}; });
}

// Guards against a completion without evidence, and against steps that nobody
// can take.
TEST_CASE("an order whose version has no servers waits") {
  modelled_service Service(1, 1000, good);
  Service.NewHosts.clear();
  Service.run(seconds(20));
  CHECK(Service.State.isRunning());
  CHECK(Service.State.Step == rollout_step::Waiting);
  CHECK(Service.Exposed == 0);
}

// Guards against a service of which the successor of the coordinator begins
// the rollout again, or completes it without evidence of its own.
TEST_CASE(
    "a change of the coordinator halfway neither begins the rollout again "
    "nor hides a bad version") {
  modelled_service Good(1, 1000, good);
  Good.run(seconds(4));
  rollout_step Step = Good.State.Step;
  Good.replaceCoordinator();
  Good.run(seconds(10));
  CHECK(Step > rollout_step::Waiting);
  CHECK(Good.State.Outcome == rollout_outcome::Completed);
  modelled_service Bad(2, 1000, [](const encounter &E) {
    return behaviour{E.SinceStart > seconds(4) ? 0.2 : 0.003, 1};
  });
  Bad.run(seconds(4));
  Bad.replaceCoordinator();
  Bad.run(seconds(10));
  CHECK(Bad.State.Outcome == rollout_outcome::RolledBack);
  CHECK(Bad.isWithinExposure());
}

// Guards against a rollout that does not go on after the store was away.
TEST_CASE("while the store is away no step is taken") {
  modelled_service Service(1, 1000, good);
  Service.run(seconds(3));
  rollout_state Before = Service.State;
  Service.IsStoreAway = true;
  Service.run(seconds(3));
  CHECK(Service.State == Before);
  Service.IsStoreAway = false;
  Service.run(seconds(10));
  CHECK(Service.State.Outcome == rollout_outcome::Completed);
}

// Guards against a service that nobody serves: old servers refuse while new
// ones are to get all traffic, and these are gone.
TEST_CASE("a rollout is rolled back when all new servers are gone at its end") {
  rollout_state State;
  State.To = "v2";
  State.Duration = seconds(12);
  State.Step = rollout_step::All;
  State.Share = 1;
  rollout_situation Situation;
  Situation.Now = seconds(9);
  auto Next = nextState(State, rollout_bounds{}, Situation);
  REQUIRE(Next);
  CHECK(Next->Outcome == rollout_outcome::RolledBack);
}

// Guards against a bound on the exposure that begins anew when a long rollout
// has collected much evidence.
TEST_CASE("summarized evidence still counts") {
  rollout_evidence Evidence;
  time_point Now(seconds(100));
  constexpr uint64_t Reports = 50'000;
  for (uint64_t I = 0; I < Reports; ++I)
    Evidence.add(Now, "new-1", true, {{"desk", "v2", "parts", {1, 0, 5}}});
  CHECK(Evidence.all().total().New.Responses == Reports);
}

// Guards against traffic for a version after its rollout has ended.
TEST_CASE("an ended rollout takes no step") {
  modelled_service Service(1, 1000, good);
  Service.State = rolledBack(Service.State, "withdrawn");
  CHECK(!nextState(Service.State, rollout_bounds{}, rollout_situation{}));
  CHECK(Service.State.Share == 0);
}
