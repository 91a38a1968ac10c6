// The memory of real daemons under large messages.
#include "process/local_cluster.hpp"

#include <doctest/doctest.h>

using namespace dragonflyvane;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a large request that is held several times, and takes a
// process over the memory limit at which the platform kills it.
TEST_CASE("a large request takes no daemon over its memory limit") {
  constexpr size_t MemoryLimit = size_t{260} << 20;
  local_cluster Cluster(3, milliseconds(5));
  Cluster.start();
  std::string Body;
  Body.resize(60'000'000, 'x');
  for (int Host = 0; Host < Cluster.hostCount(); ++Host)
    statusOf(Cluster.callerEndpoint(Host), "POST", "/orders/1", Body,
             seconds(10));
  for (int Host = 0; Host < Cluster.hostCount(); ++Host) {
    CHECK(Cluster.daemon(Host).peakMemory() > 0);
    CHECK(Cluster.daemon(Host).peakMemory() < MemoryLimit);
    CHECK(statusOf(Cluster.callerEndpoint(Host), "GET", "/parts/1") == 200);
  }
}
