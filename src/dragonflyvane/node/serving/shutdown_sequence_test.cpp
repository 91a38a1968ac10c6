#include "dragonflyvane/node/serving/shutdown_sequence.hpp"

#include "manual_scheduler.hpp"

#include <doctest/doctest.h>

#include <string>

using namespace dragonflyvane;
using std::chrono::milliseconds;

namespace {

/// A server whose connections do what a test says. It keeps the name of each
/// call in the order of the first ones.
class fake_server final : public stoppable_server {
public:
  void startClosing() override { add("start"); }
  void stopAccepting() override { add("stop"); }
  void refuseArriving() override {
    add("refuse");
    Activity.IsReceiving = false;
  }
  void finishClosing() override { add("finish"); }
  server_activity activity() const override { return Activity; }

  server_activity Activity;
  std::string Calls;

private:
  void add(const std::string &Call) {
    if (Calls.find(Call) == std::string::npos)
      Calls += (Calls.empty() ? "" : " ") + Call;
  }
};

/// A process that stops, with a server for callers and one for heartbeats.
struct sequence_fixture {
  sequence_fixture() {
    Sequence.add(Callers);
    Sequence.addControl(Control);
    Sequence.begin();
  }

  manual_scheduler Loop;
  graceful_shutdown Shutdown{Loop.clock(), milliseconds(5600)};
  fake_server Callers;
  fake_server Control;
  bool HasWork = false;
  int Ends = 0;
  shutdown_sequence Sequence{{Loop, Loop.clock(), Shutdown,
                              [this] { return HasWork; },
                              [this] { HasWork = false; }, [this] { ++Ends; }}};
};

} // namespace

// Guards against callers that are sent away while their host still has to
// accept requests, since they need time to notice that it stops.
TEST_CASE("servers accept connections in a shutdown until no request is open") {
  sequence_fixture F;
  F.HasWork = true;
  F.Loop.runFor(milliseconds(2100));
  CHECK(F.Callers.Calls == "start");
  F.Loop.runFor(milliseconds(900));
  CHECK(F.Callers.Calls == "start");
  F.HasWork = false;
  F.Callers.Activity.IsWriting = true;
  F.Loop.runFor(milliseconds(100));
  CHECK(F.Callers.Calls == "start");
  F.Callers.Activity.IsWriting = false;
  F.Loop.runFor(milliseconds(50));
  CHECK(F.Callers.Calls == "start stop finish");
  CHECK(F.Ends == 1);
}

// Guards against requests that are cut while their bodies arrive over a slow
// link.
TEST_CASE("a shutdown waits for requests that are arriving") {
  sequence_fixture F;
  F.Callers.Activity = {true, false, true};
  F.Loop.runFor(milliseconds(2900));
  CHECK(F.Callers.Calls == "start stop");
  CHECK(F.Ends == 0);
  F.Callers.Activity = {false, true, true};
  F.Loop.runFor(milliseconds(50));
  CHECK(F.Callers.Calls == "start stop");
  F.Callers.Activity = {};
  F.Loop.runFor(milliseconds(50));
  CHECK(F.Callers.Calls == "start stop finish");
  CHECK(F.Ends == 1);
}

// Guards against a caller that sends no more, or a byte at a time, and keeps a
// host that serves nobody from ending; and against a close without an answer.
TEST_CASE("a shutdown refuses requests that take too long to arrive") {
  sequence_fixture F;
  F.Callers.Activity = {true, false, true};
  F.Loop.runFor(milliseconds(3150));
  CHECK(F.Callers.Calls == "start stop");
  F.Loop.runFor(milliseconds(50));
  CHECK(F.Callers.Calls == "start stop refuse finish");
  CHECK(F.Ends == 0);
  F.Callers.Activity.HasConnections = false;
  F.Loop.runFor(milliseconds(50));
  CHECK(F.Ends == 1);
}

// Guards against one response that is never read, because of which all other
// connections are cut off instead of being closed.
TEST_CASE("a shutdown refuses requests and closes idle connections at the time "
          "of the last response, whatever is being written") {
  sequence_fixture F;
  F.Callers.Activity = {true, true, true};
  F.Control.Activity = {true, false, true};
  F.Loop.runFor(milliseconds(5300));
  CHECK(F.Callers.Calls == "start");
  CHECK(F.Control.Calls.empty());
  F.Loop.runFor(milliseconds(50));
  CHECK(F.Callers.Calls == "start stop refuse finish");
  CHECK(F.Control.Calls == "refuse start stop finish");
  CHECK(F.Ends == 0);
  F.Loop.runFor(milliseconds(250));
  CHECK(F.Ends == 1);
}

// Guards against a request that is on its way when an idle connection closes
// and against a stop that takes longer than its callers need.
TEST_CASE("a shutdown without requests ends as soon as callers have closed "
          "their connections") {
  sequence_fixture F;
  F.Callers.Activity.HasConnections = true;
  F.Loop.runFor(milliseconds(2400));
  CHECK(F.Callers.Calls == "start stop finish");
  CHECK(F.Ends == 0);
  F.Callers.Activity.HasConnections = false;
  F.Loop.runFor(milliseconds(50));
  CHECK(F.Ends == 1);
  F.Loop.runFor(milliseconds(5000));
  CHECK(F.Ends == 1);
}

// Guards against a caller that keeps a host from ending.
TEST_CASE("connections that callers never close hold a shutdown for no longer "
          "than the linger time") {
  sequence_fixture F;
  F.Callers.Activity.HasConnections = true;
  F.Loop.runFor(milliseconds(2650));
  CHECK(F.Ends == 0);
  F.Loop.runFor(milliseconds(50));
  CHECK(F.Ends == 1);
}

// Guards against a process that outlives its grace, and is killed.
TEST_CASE("a shutdown ends in time although a response is never read") {
  sequence_fixture F;
  F.HasWork = true;
  F.Callers.Activity = {false, true, true};
  F.Loop.runFor(milliseconds(5350));
  CHECK(!F.HasWork);
  CHECK(F.Ends == 0);
  F.Loop.runFor(milliseconds(250));
  CHECK(F.Ends == 1);
}

// Guards against heartbeats that are refused or get a reset while a host stops
// and still serves others: their senders would turn to other hosts.
TEST_CASE("control servers go on in a shutdown until the last requests are "
          "answered") {
  sequence_fixture F;
  F.Callers.Activity = {true, false, true};
  F.Control.Activity = {false, false, true};
  F.Loop.runFor(milliseconds(3150));
  CHECK(F.Control.Calls.empty());
  F.Callers.Activity = {};
  F.Control.Activity = {true, false, true};
  F.Loop.runFor(milliseconds(50));
  CHECK(F.Control.Calls == "start stop finish");
  CHECK(F.Ends == 0);
  F.Control.Activity = {false, true, true};
  F.Loop.runFor(milliseconds(50));
  CHECK(F.Ends == 0);
  F.Control.Activity = {false, false, true};
  F.Loop.runFor(milliseconds(50));
  CHECK(F.Ends == 1);
}

// Guards against a stop that is held up by heartbeats, of which there is nearly
// always one on its way.
TEST_CASE("requests to control servers do not delay the steps of a shutdown") {
  sequence_fixture F;
  F.Control.Activity = {true, true, true};
  F.Loop.runFor(milliseconds(2250));
  CHECK(F.Callers.Calls == "start stop finish");
  CHECK(F.Control.Calls == "start stop finish");
}
