#include "dragonflyvane/core/ownership/host_lease.hpp"

#include <doctest/doctest.h>

using namespace dragonflyvane;
using std::chrono::milliseconds;

namespace {

row_batch leases(row_version Version, int Ms,
                 const std::string &Value = encodeLease({"mine", 1, {}})) {
  stored_row Row{{row_kind::Lease, "host1"}, Version, Value};
  return {Version, milliseconds(Ms), {Row}};
}

} // namespace

TEST_CASE("a lease lapses when its row stands still, by the store's clock") {
  lease_tracker Watch;
  for (int Ms = 10'000; Ms <= 15'000; Ms += 1000)
    Watch.observe(leases(4, Ms), true);
  CHECK(Watch.expired().empty());
  Watch.observe(leases(4, 15'300), true);
  CHECK(Watch.expired().contains("host1"));
  CHECK(!Watch.isEligible("host1"));
  Watch.observe(leases(5, 15'400), true);
  CHECK(Watch.isEligible("host1"));
}

TEST_CASE("after the store was away, holders get time to renew") {
  lease_tracker Watch;
  Watch.observe(leases(4, 10'000), true);
  Watch.observe(leases(4, 40'000), true);
  CHECK(Watch.expired().empty());
  Watch.observe(leases(4, 41'000), true);
  CHECK(Watch.expired().empty());
  Watch.observe(leases(4, 42'000), true);
  CHECK(Watch.expired().contains("host1"));
}

TEST_CASE("a host that was taken over is out until it renews") {
  lease_tracker Watch;
  Watch.observe(leases(4, 10'000), true);
  Watch.onTakeover("host1");
  CHECK(!Watch.isEligible("host1"));
  Watch.observe(leases(6, 11'000, TakeoverMarker), true);
  CHECK(!Watch.isEligible("host1"));
  Watch.observe(leases(7, 12'000), true);
  CHECK(Watch.isEligible("host1"));
}

TEST_CASE("one who looks for the first time knows which leases have lapsed") {
  std::string Value = encodeLease({"mine", 7, milliseconds(10'000)});
  lease_tracker Early;
  Early.observe(leases(4, 15'200, Value), true);
  CHECK(Early.expired().empty());
  lease_tracker Late;
  Late.observe(leases(4, 15'300, Value), true);
  CHECK(Late.expired().contains("host1"));
}

TEST_CASE("a first look after the store was away leaves holders time") {
  std::string Value = encodeLease({"mine", 7, milliseconds(10'000)});
  lease_tracker Watch;
  Watch.observe(leases(4, 40'000, Value), false);
  CHECK(Watch.expired().empty());
  Watch.observe(leases(4, 41'000, Value), true);
  CHECK(Watch.expired().empty());
  Watch.observe(leases(4, 42'000, Value), true);
  CHECK(Watch.expired().contains("host1"));
}
