// Starts of real daemons in unfavourable circumstances.
#include "process/local_cluster.hpp"
#include "process/raw_http.hpp"
#include "raw_connection.hpp"

#include <doctest/doctest.h>

#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <thread>
#include <unistd.h>
#include <utility>

using namespace dragonflyvane;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// The platform sends SIGKILL this long after SIGTERM.
constexpr seconds Grace{6};

/// A pipe for the output of a daemon.
struct output_pipe {
  output_pipe() { REQUIRE(pipe2(Ends, O_CLOEXEC) == 0); }
  ~output_pipe() {
    closeReader();
    close(Ends[1]);
  }
  void closeReader() {
    if (Ends[0] >= 0)
      close(std::exchange(Ends[0], -1));
  }
  /// Waits until the daemon writes its first bytes.
  void awaitOutput() const {
    char Byte = 0;
    REQUIRE(read(Ends[0], &Byte, 1) == 1);
  }

  int Ends[2];
};

void checkStops(child_process &Daemon) {
  Daemon.signal(SIGTERM);
  auto End = Daemon.wait(Grace);
  REQUIRE(End);
  CHECK(End->isSuccess());
}

} // namespace

// Guards against a process that a signal ends because its handler is not set
// yet: the platform sends SIGHUP and SIGTERM at any moment.
TEST_CASE("signals during the start do not end a daemon without a stop") {
  local_cluster Cluster(1, milliseconds(5));
  for (int Round = 0; Round < 10; ++Round) {
    output_pipe Output;
    Cluster.startDaemon(0, Output.Ends[1]);
    Output.awaitOutput();
    Cluster.daemon(0).signal(SIGHUP);
    CHECK(!Cluster.daemon(0).wait(milliseconds(100)));
  }
  output_pipe Output;
  Cluster.startDaemon(0, Output.Ends[1]);
  Output.awaitOutput();
  Cluster.daemon(0).signal(SIGHUP);
  checkStops(Cluster.daemon(0));
}

// Guards against a process that SIGPIPE ends when it writes a line to its log.
TEST_CASE("a daemon goes on when the reader of its output has gone") {
  local_cluster Cluster(1, milliseconds(5));
  output_pipe Output;
  Cluster.startDaemon(0, Output.Ends[1]);
  Output.awaitOutput();
  Output.closeReader();
  Cluster.awaitService(0);
  checkStops(Cluster.daemon(0));
}

// Guards against a daemon that waits for the reader of its output.
TEST_CASE("a daemon goes on when nobody reads its output") {
  local_cluster Cluster(1, milliseconds(5));
  output_pipe Output;
  REQUIRE(fcntl(Output.Ends[1], F_SETPIPE_SZ, 4096) > 0);
  Cluster.startDaemon(0, Output.Ends[1]);
  Cluster.awaitService(0);
  for (int I = 0; I < 100; ++I)
    CHECK(statusOf(Cluster.callerEndpoint(0), "GET", "/none/") == 404);
  checkStops(Cluster.daemon(0));
}

// Guards against a process that ends because it was started in the moment in
// which the platform replaces its settings file.
TEST_CASE("a daemon waits for settings that are still being written") {
  local_cluster Cluster(1, milliseconds(5));
  std::string Path = Cluster.settingsPath(0);
  SUBCASE("the file is not there yet") { std::remove(Path.c_str()); }
  SUBCASE("the file is empty") { std::ofstream(Path).flush(); }
  SUBCASE("the file ends early") {
    std::ofstream(Path) << R"({"name": "host-0", "addr)";
  }
  Cluster.startDaemon(0);
  CHECK(!Cluster.daemon(0).wait(milliseconds(300)));
  Cluster.writeSettings(0);
  Cluster.awaitService(0);
  checkStops(Cluster.daemon(0));
}

// Guards against hosts that peers cannot reach, since they are told where the
// daemon listens although it is behind a proxy.
TEST_CASE("peers connect to the address that a daemon advertises") {
  local_cluster Cluster(2, milliseconds(5), cluster_services::Bookings, 10);
  Cluster.start();
  // About half of the keys belong to the other host.
  raw_connection Caller(Cluster.callerEndpoint(0));
  for (int I = 0; I < 20; ++I) {
    Caller.send(makeRequestHead("test-" + std::to_string(I), "GET /parts/1",
                                seconds(2)));
    response_reader Response;
    while (Response.status() == 0 && Caller.awaitInput(seconds(2)))
      Response.take(Caller.readSome());
    CHECK(Response.status() == 200);
  }
  CHECK(Cluster.hostLink(1).connectionCount() > 0);
  for (int Host : {0, 1})
    checkStops(Cluster.daemon(Host));
}

// Guards against a mistyped address that is published to all peers.
TEST_CASE("a daemon rejects a malformed address to advertise") {
  local_cluster Cluster(1, milliseconds(5));
  std::string LogPath = Cluster.folder() + "/rejected.log";
  for (const char *Value : {"127.0.0.1", "127.0.0.1:0", "host:7780"}) {
    child_process Daemon(
        "dragonflyvaned",
        {"--config=/none", std::string("--peer_advertise=") + Value}, LogPath);
    auto End = Daemon.wait(seconds(20));
    REQUIRE(End);
    CHECK(End->ExitCode == 2);
  }
  std::stringstream Log;
  Log << std::ifstream(LogPath).rdbuf();
  CHECK(Log.str().find("DRAGONFLYVANE_PEER_ADVERTISE") != std::string::npos);
}

TEST_CASE("a daemon without valid settings ends with an error, not at once") {
  local_cluster Cluster(1, milliseconds(5));
  std::ofstream(Cluster.settingsPath(0)) << "{";
  Cluster.startDaemon(0);
  auto End = Cluster.daemon(0).wait(seconds(20));
  REQUIRE(End);
  CHECK(End->ExitCode == 2);
  CHECK(Cluster.log(0).find("\"step\":\"settings\"") != std::string::npos);
}

// Guards against a process that ends because the process before it still has
// its ports.
TEST_CASE("a daemon waits for its ports while an earlier process ends") {
  local_cluster Cluster(1, milliseconds(5));
  Cluster.startDaemon(0);
  Cluster.awaitService(0);
  child_process Next("dragonflyvaned", {"--config=" + Cluster.settingsPath(0)},
                     "/dev/null");
  CHECK(!Next.wait(milliseconds(500)));
  checkStops(Cluster.daemon(0));
  Cluster.awaitService(0);
  checkStops(Next);
}

TEST_CASE("a daemon that waits for its ports stops on SIGTERM") {
  local_cluster Cluster(1, milliseconds(5));
  Cluster.startDaemon(0);
  Cluster.awaitService(0);
  child_process Next("dragonflyvaned", {"--config=" + Cluster.settingsPath(0)},
                     "/dev/null");
  CHECK(!Next.wait(milliseconds(500)));
  checkStops(Next);
}

// Guards against a process that ends, or never serves, because the store was
// away when it started.
TEST_CASE("a daemon that starts without a store serves once there is one") {
  local_cluster Cluster(1, milliseconds(5));
  Cluster.killStore();
  Cluster.startDaemon(0);
  CHECK(!Cluster.daemon(0).wait(seconds(3)));
  CHECK(statusOf(Cluster.callerEndpoint(0), "GET", "/parts/1") == 503);
  Cluster.startStore();
  Cluster.awaitService(0);
}

// Guards against signals in series: a reload in the stop, a second stop, a stop
// just after the start.
TEST_CASE("signals in series end in one graceful stop") {
  local_cluster Cluster(1, milliseconds(5));
  Cluster.startDaemon(0);
  Cluster.awaitService(0);
  for (int Signal : {SIGHUP, SIGHUP, SIGTERM, SIGHUP, SIGTERM, SIGINT}) {
    Cluster.daemon(0).signal(Signal);
    std::this_thread::sleep_for(milliseconds(20));
  }
  checkStops(Cluster.daemon(0));
}
