#include "dragonflyvane/core/ownership/host_lease.hpp"

#include <doctest/doctest.h>

using namespace dragonflyvane;
using std::chrono::milliseconds;

namespace {

row_batch leases(row_version Version, int Ms, const char *Value = "mine") {
  stored_row Row{{row_kind::Lease, "host1"}, Version, Value};
  return {Version, milliseconds(Ms), {Row}};
}

} // namespace

TEST_CASE("a lease lapses when its row stands still, by the store's clock") {
  lease_watch Watch;
  for (int Ms = 10'000; Ms <= 15'000; Ms += 1000)
    Watch.observe(leases(4, Ms));
  CHECK(Watch.lapsed().empty());
  Watch.observe(leases(4, 15'300));
  CHECK(Watch.lapsed().contains("host1"));
  CHECK(!Watch.isInOffice("host1"));
  Watch.observe(leases(5, 15'400));
  CHECK(Watch.isInOffice("host1"));
}

TEST_CASE("after the store was away, holders get time to renew") {
  lease_watch Watch;
  Watch.observe(leases(4, 10'000));
  Watch.observe(leases(4, 40'000));
  CHECK(Watch.lapsed().empty());
  Watch.observe(leases(4, 41'000));
  CHECK(Watch.lapsed().empty());
  Watch.observe(leases(4, 42'000));
  CHECK(Watch.lapsed().contains("host1"));
}

TEST_CASE("a host that was taken over is out until it renews") {
  lease_watch Watch;
  Watch.observe(leases(4, 10'000));
  Watch.onTakeOver("host1");
  CHECK(!Watch.isInOffice("host1"));
  Watch.observe(leases(6, 11'000, TakenOverLease));
  CHECK(!Watch.isInOffice("host1"));
  Watch.observe(leases(7, 12'000));
  CHECK(Watch.isInOffice("host1"));
}
