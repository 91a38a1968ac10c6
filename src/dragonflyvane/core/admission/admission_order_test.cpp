#include "dragonflyvane/core/admission/admission_queue.hpp"

#include <doctest/doctest.h>

#include <array>
#include <map>

using namespace dragonflyvane;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Requests of one kind that arrive at a steady rate.
struct request_kind {
  int Priority = 0;
  double PerSecond = 0;
  milliseconds SoftTimeout{0};
  milliseconds Timeout{0};
  milliseconds ProcessingTime{0};
};

/// What became of the requests of a priority.
struct kind_counts {
  int Arrived = 0;
  int InTime = 0;
  int Late = 0;
  int Refused = 0;
  /// The longest time that a refused request was held.
  duration LongestHold{0};

  double share(int Count) const { return 1.0 * Count / std::max(1, Arrived); }
  double servedShare() const { return share(InTime + Late); }
};

/// A backend server with 9 slots behind an admission queue. Processing times
/// differ from the expected one by up to 30 percent.
struct served_queue {
  static constexpr uint32_t Slots = 9;

  struct waiting_request {
    queued_request Request;
    time_point ArrivedAt;
  };
  struct running_request {
    waiting_request Waiting;
    time_point EndsAt;
  };

  void arrive(const request_kind &Kind) {
    queued_request Request{++LastId,
                           Kind.Priority,
                           Now + Kind.Timeout,
                           Now + Kind.SoftTimeout,
                           Kind.ProcessingTime,
                           Kind.ProcessingTime / 5};
    Requests[LastId] = {Request, Now};
    ++Counts[Kind.Priority].Arrived;
    auto Running = static_cast<uint32_t>(Server.size());
    if (!Queue.offer(Request, Slots, Running, Now))
      return refuse(LastId);
    for (dispatch_id Id : Queue.takeDisplaced(Slots, Now))
      refuse(Id);
    startWaiting();
  }

  void refuse(dispatch_id Id) {
    kind_counts &Kind = Counts[Requests[Id].Request.Priority];
    ++Kind.Refused;
    Kind.LongestHold = std::max(Kind.LongestHold, Now - Requests[Id].ArrivedAt);
  }

  void startWaiting() {
    std::vector<dispatch_id> TooLate;
    while (Server.size() < Slots) {
      auto Id = Queue.pop(Now, TooLate);
      if (!Id)
        break;
      constexpr std::array<int, 5> Percent{70, 115, 100, 130, 85};
      duration Time =
          Requests[*Id].Request.ProcessingTime * Percent[*Id % 5] / 100;
      Server.push_back({Requests[*Id], Now + Time});
    }
    for (dispatch_id Id : TooLate)
      refuse(Id);
  }

  void finishDue() {
    std::erase_if(Server, [this](const running_request &Running) {
      if (Running.EndsAt > Now)
        return false;
      const queued_request &Request = Running.Waiting.Request;
      kind_counts &Kind = Counts[Request.Priority];
      ++(Now <= Request.SoftDeadline ? Kind.InTime : Kind.Late);
      return true;
    });
  }

  void run(duration Span, const std::vector<request_kind> &Kinds) {
    std::vector<double> Due(Kinds.size());
    for (time_point End = Now + Span; Now < End; Now += milliseconds(1)) {
      finishDue();
      std::vector<dispatch_id> Expired = Queue.takeDisplaced(Slots, Now);
      Queue.expire(Now, Expired);
      for (dispatch_id Id : Expired)
        refuse(Id);
      startWaiting();
      for (size_t I = 0; I < Kinds.size(); ++I)
        for (Due[I] += Kinds[I].PerSecond / 1000; Due[I] >= 1; --Due[I])
          arrive(Kinds[I]);
    }
  }

  admission_queue Queue;
  time_point Now{std::chrono::hours(1)};
  dispatch_id LastId = 0;
  std::map<dispatch_id, waiting_request> Requests;
  std::vector<running_request> Server;
  std::map<int, kind_counts> Counts;
};

/// A server with 9 slots serves 150 requests of 60 ms a second.
request_kind usualKind(int Priority, double PerSecond) {
  return {Priority, PerSecond, milliseconds(300), milliseconds(3000),
          milliseconds(60)};
}

} // namespace

// Guards against slots that go to requests which are late already while new
// ones become late behind them. Pattern: lasting overload, 1.5 times the
// capacity, with a short soft timeout and a long deadline.
TEST_CASE("under lasting overload nearly the whole capacity serves requests in "
          "time") {
  served_queue Server;
  Server.run(seconds(20), {usualKind(0, 225)});
  const kind_counts &Kind = Server.Counts[0];
  CHECK(Kind.share(Kind.InTime) > 0.95 / 1.5);
  CHECK(Kind.share(Kind.Late) < 0.03);
  CHECK(Kind.LongestHold < milliseconds(1000));
}

// Guards against the same when the work takes longer than expected, so that
// requests become late while they wait. Pattern: lasting overload of a server
// that works three times as slowly for 400 ms of each 2 s.
TEST_CASE("requests that become late while they wait do not delay new ones") {
  served_queue Server;
  for (int I = 0; I < 10; ++I) {
    Server.run(milliseconds(1600), {usualKind(0, 225)});
    for (served_queue::running_request &Running : Server.Server)
      Running.EndsAt += milliseconds(270);
    Server.run(milliseconds(400), {usualKind(0, 225)});
  }
  const kind_counts &Kind = Server.Counts[0];
  CHECK(Kind.share(Kind.InTime) > 0.75 / 1.5);
  CHECK(Kind.share(Kind.Late) < 0.1);
}

// Guards against a burst that is refused although there is room for it before
// its deadline. Pattern: 60 requests at once at an idle server.
TEST_CASE("what a burst leaves over is served late, not refused") {
  served_queue Server;
  for (int I = 0; I < 60; ++I)
    Server.arrive(usualKind(0, 0));
  Server.run(seconds(3), {});
  const kind_counts &Kind = Server.Counts[0];
  CHECK(Kind.InTime >= 25);
  CHECK(Kind.Refused == 0);
}

// Guards against late requests of a wave's crest that stand before the fresh
// ones of its trough. Pattern: demand between 0.45 and 1.55 of the capacity,
// with a period of 15 s.
TEST_CASE("after the crest of a wave all new requests are in time") {
  served_queue Server;
  Server.run(milliseconds(7500), {usualKind(0, 232)});
  Server.Counts.clear();
  Server.Requests.clear();
  served_queue Fresh;
  Fresh.Queue = Server.Queue;
  Fresh.Server = Server.Server;
  Fresh.Now = Server.Now;
  Fresh.LastId = Server.LastId;
  Fresh.run(milliseconds(7500), {usualKind(0, 68)});
  const kind_counts &Kind = Fresh.Counts[0];
  CHECK(Kind.InTime >= 0.97 * Kind.Arrived);
}

// Guards against less urgent requests in the way of urgent ones. Pattern: less
// urgent flood of twice the capacity against an urgent trickle.
TEST_CASE("a less urgent flood does not harm an urgent trickle") {
  served_queue Server;
  Server.run(seconds(10), {usualKind(0, 10), usualKind(1, 300)});
  const kind_counts &Urgent = Server.Counts[0];
  CHECK(Urgent.InTime >= 0.97 * Urgent.Arrived);
  CHECK(Server.Counts[1].share(Server.Counts[1].InTime) > 0.4);
}

// Guards against less urgent requests that are held until their deadline after
// urgent ones have taken their room. Pattern: a queue of less urgent requests,
// then a burst of urgent ones.
TEST_CASE("less urgent requests that no longer fit are refused at once") {
  served_queue Server;
  request_kind Patient{1, 0, milliseconds(900), milliseconds(1000),
                       milliseconds(60)};
  for (int I = 0; I < 100; ++I)
    Server.arrive(Patient);
  int RefusedBefore = Server.Counts[1].Refused;
  for (int I = 0; I < 40; ++I)
    Server.arrive(usualKind(0, 0));
  CHECK(Server.Counts[0].Refused == 0);
  CHECK(Server.Counts[1].Refused > RefusedBefore);
  CHECK(Server.Counts[1].LongestHold == duration{0});
}

// Guards against starvation and priority inversion. Pattern: urgent flood of
// twice the capacity, with less urgent requests of half of it and a trickle.
TEST_CASE("under an urgent flood each priority is served a quarter as often as "
          "all, and none more often than a more urgent one") {
  served_queue Server;
  Server.run(seconds(30),
             {usualKind(0, 300), usualKind(1, 75), usualKind(2, 4)});
  int Arrived = 0;
  int Served = 0;
  for (const auto &[Priority, Kind] : Server.Counts) {
    Arrived += Kind.Arrived;
    Served += Kind.InTime + Kind.Late;
  }
  double ServedShare = 1.0 * Served / Arrived;
  for (auto &[Priority, Kind] : Server.Counts)
    CHECK(Kind.servedShare() > ServedShare / 4);
  CHECK(Server.Counts[1].servedShare() < Server.Counts[0].servedShare());
  CHECK(Server.Counts[2].servedShare() < Server.Counts[1].servedShare() + 0.05);
}

// Guards against a floor that takes room from urgent requests without need.
// Pattern: all priorities together need 0.8 of the capacity.
TEST_CASE("without overload the floors delay no urgent request") {
  served_queue Server;
  Server.run(seconds(10),
             {usualKind(0, 60), usualKind(1, 40), usualKind(2, 20)});
  for (auto &[Priority, Kind] : Server.Counts)
    CHECK(Kind.InTime >= 0.97 * Kind.Arrived);
}

// Guards against a change for routes without a soft timeout. Pattern: a queue
// that is filled up to the deadline.
TEST_CASE("without a soft timeout the deadline limits the queue, and the order "
          "is that of arrival") {
  admission_queue Queue;
  time_point Now{std::chrono::hours(1)};
  time_point Deadline = Now + milliseconds(200);
  dispatch_id Id = 0;
  while (
      Queue.offer({++Id, 1, Deadline, Deadline, milliseconds(60)}, 9, 9, Now))
    continue;
  CHECK(Queue.size() == 21);
  std::vector<dispatch_id> TooLate;
  CHECK(Queue.pop(Now + milliseconds(150), TooLate) == 1);
  CHECK(TooLate.empty());
}
