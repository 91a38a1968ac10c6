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

TEST_CASE(
    "a lease expires when its row does not change, by the store's clock") {
  lease_tracker Tracker;
  for (int Ms = 10'000; Ms <= 15'000; Ms += 1000)
    Tracker.observe(leases(4, Ms), {}, true);
  CHECK(Tracker.expired().empty());
  Tracker.observe(leases(4, 15'300), {}, true);
  CHECK(Tracker.expired().contains("host1"));
  CHECK(!Tracker.isEligible("host1"));
  Tracker.observe(leases(5, 15'400), {}, true);
  CHECK(Tracker.isEligible("host1"));
}

TEST_CASE("holders have time to renew after the store was unavailable") {
  lease_tracker Tracker;
  Tracker.observe(leases(4, 10'000), {}, true);
  Tracker.observe(leases(4, 40'000), {}, true);
  CHECK(Tracker.expired().empty());
  Tracker.observe(leases(4, 41'000), {}, true);
  CHECK(Tracker.expired().empty());
  Tracker.observe(leases(4, 42'000), {}, true);
  CHECK(Tracker.expired().contains("host1"));
}

TEST_CASE("a host is not eligible from its takeover until it renews") {
  lease_tracker Tracker;
  Tracker.observe(leases(4, 10'000), {}, true);
  Tracker.onTakeover("host1", 6);
  CHECK(!Tracker.isEligible("host1"));
  Tracker.observe(leases(6, 11'000, TakeoverMarker), {}, true);
  CHECK(!Tracker.isEligible("host1"));
  Tracker.observe(leases(7, 12'000), {}, true);
  CHECK(Tracker.isEligible("host1"));
}

TEST_CASE("the first observation finds the leases that have expired") {
  std::string Value = encodeLease({"mine", 7, milliseconds(10'000)});
  lease_tracker BeforeExpiry;
  BeforeExpiry.observe(leases(4, 15'200, Value), {}, true);
  CHECK(BeforeExpiry.expired().empty());
  lease_tracker AfterExpiry;
  AfterExpiry.observe(leases(4, 15'300, Value), {}, true);
  CHECK(AfterExpiry.expired().contains("host1"));
}

TEST_CASE(
    "holders have time to renew if the store was unavailable before the first "
    "observation") {
  std::string Value = encodeLease({"mine", 7, milliseconds(10'000)});
  lease_tracker Tracker;
  Tracker.observe(leases(4, 40'000, Value), {}, false);
  CHECK(Tracker.expired().empty());
  Tracker.observe(leases(4, 41'000, Value), {}, true);
  CHECK(Tracker.expired().empty());
  Tracker.observe(leases(4, 42'000, Value), {}, true);
  CHECK(Tracker.expired().contains("host1"));
}

// Guards against the takeover of all hosts when a copy shows renewals that were
// sent before it was made.
TEST_CASE("holders have time to renew after the store came back from a copy") {
  lease_tracker Tracker;
  std::string Old = encodeLease({"mine", 1, milliseconds(10'000)});
  Tracker.observe(
      leases(40, 18'000, encodeLease({"mine", 9, milliseconds(17'900)})), {},
      true);
  CHECK(!Tracker.wasObservedIn(1));
  Tracker.observe(leases(versionIn(1, 4), 20'000, Old), {}, true);
  CHECK(Tracker.wasObservedIn(1));
  CHECK(Tracker.expired().empty());
  Tracker.observe(leases(versionIn(1, 4), 22'400, Old), {}, true);
  CHECK(Tracker.expired().empty());
  Tracker.observe(leases(versionIn(1, 4), 24'700, Old), {}, true);
  Tracker.observe(leases(versionIn(1, 4), 25'300, Old), {}, true);
  CHECK(Tracker.expired().contains("host1"));
}

// Guards against ranges that stay with a host for the duration of a lease after
// its lease was overwritten, and against a host whose lease row another writer
// has made unreadable, and which may still grant keys.
TEST_CASE("a lease that a takeover has overwritten has expired, and an "
          "unreadable one has not") {
  lease_tracker Taken;
  Taken.observe(leases(4, 10'000, TakeoverMarker), {}, true);
  CHECK(Taken.expired().contains("host1"));
  CHECK(Taken.unchanged().empty());
  for (int Ms = 11'000; Ms <= 16'000; Ms += 1000)
    Taken.observe(leases(4, Ms, TakeoverMarker), {}, true);
  CHECK(Taken.unchanged().contains("host1"));
  lease_tracker Unreadable;
  Unreadable.observe(leases(4, 10'000, "odd"), {}, true);
  CHECK(Unreadable.expired().empty());
}

// Guards against a read that was sent before a takeover, and that would make a
// lost host eligible again.
TEST_CASE("an older row does not replace a known one") {
  lease_tracker Tracker;
  Tracker.observe(leases(4, 10'000), {}, true);
  Tracker.onTakeover("host1", 6);
  Tracker.observe(leases(4, 10'100), {}, true);
  CHECK(Tracker.versionOf("host1") == 6);
  CHECK(!Tracker.isEligible("host1"));
}

TEST_CASE("a row that a conflict shows replaces the known one") {
  lease_tracker Tracker;
  for (int Ms = 10'000; Ms <= 16'000; Ms += 1000)
    Tracker.observe(leases(4, Ms), {}, true);
  REQUIRE(Tracker.expired().contains("host1"));
  Tracker.observeRow(leases(5, 16'000).Rows.front());
  CHECK(Tracker.expired().empty());
  CHECK(Tracker.versionOf("host1") == 5);
}

// Guards against a host whose keys are never taken over since it has no lease
// row: the store came back from a copy that is older than the host, or the host
// ended before its first claim.
TEST_CASE("a known host without a lease row expires like one with a row") {
  lease_tracker Tracker;
  row_batch NoRows{4, milliseconds(10'000), {}};
  Tracker.observe(NoRows, {"host1"}, true);
  CHECK(Tracker.expired().empty());
  CHECK(Tracker.isEligible("host1"));
  for (int Ms = 11'000; Ms <= 15'000; Ms += 1000) {
    NoRows.StoreTime = milliseconds(Ms);
    Tracker.observe(NoRows, {"host1"}, true);
    CHECK(Tracker.expired().empty());
  }
  NoRows.StoreTime = milliseconds(15'300);
  Tracker.observe(NoRows, {"host1"}, true);
  CHECK(Tracker.expired().contains("host1"));
  CHECK(Tracker.versionOf("host1") == 0);
  CHECK(!Tracker.isEligible("host1"));
  Tracker.observe(leases(6, 15'400), {"host1"}, true);
  CHECK(Tracker.expired().empty());
  CHECK(Tracker.isEligible("host1"));
}

// Guards against the takeover of a host that lives, has a lease from before the
// return, and has not renewed it yet.
TEST_CASE("a host whose row a return has lost has the time of a whole lease") {
  lease_tracker Tracker;
  for (int Ms = 10'000; Ms <= 17'000; Ms += 1000)
    Tracker.observe(leases(row_version(Ms), Ms), {"host1"}, true);
  for (int Ms = 18'000; Ms <= 23'000; Ms += 1000) {
    row_batch NoRows{versionIn(1, 4), milliseconds(Ms), {}};
    Tracker.observe(NoRows, {"host1"}, true);
    CHECK(Tracker.expired().empty());
  }
  Tracker.observe({versionIn(1, 4), milliseconds(23'300), {}}, {"host1"}, true);
  CHECK(Tracker.expired().contains("host1"));
}
