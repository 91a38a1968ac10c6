#include "dragonflyvane/core/admission/nested_calls.hpp"

#include <doctest/doctest.h>

using namespace dragonflyvane;

namespace {

const time_point Now{std::chrono::hours(1)};

call_origin from(const std::string &Address, const std::string &Route) {
  return {Route, false, false, Address, "10.1.0.5", true, true};
}

} // namespace

// Guards against priority inversion between a request and the calls that it
// makes, where no keys tell them from callers' requests.
TEST_CASE("a request from the running server's address is a nested call") {
  nested_calls Calls;
  CHECK(!Calls.observe(from("10.1.0.9", "stock"), Now));
  CHECK(Calls.observe(from("10.1.0.5", "record"), Now));
  call_origin Idle = from("10.1.0.5", "record");
  Idle.IsServerRunning = false;
  CHECK(!Calls.observe(Idle, Now));
}

// Guards against callers' requests that pass for nested calls, and so begin
// during a shutdown, on a host where all processes share one address.
TEST_CASE("an address that all callers share proves nothing") {
  nested_calls Calls;
  for (int I = 0; I < 10; ++I)
    CHECK(!Calls.observe(from("10.1.0.5", "stock"), Now));
  CHECK(!Calls.observe(from("10.1.0.9", "stock"), Now));
  CHECK(!Calls.observe(from("10.1.0.5", "record"),
                       Now + std::chrono::minutes(2)));
}

TEST_CASE("a request on a route that callers elsewhere use is no nested call") {
  nested_calls Calls;
  for (int I = 0; I < 10; ++I)
    Calls.observe(from("10.1.0.9", "stock"), Now);
  CHECK(!Calls.observe(from("10.1.0.5", "stock"), Now));
}

// Guards against a change for deployments in which callers have keys.
TEST_CASE("with workspaces only anonymous requests are nested calls") {
  nested_calls Calls;
  Calls.observe(from("10.1.0.9", "stock"), Now);
  call_origin WithKey = from("10.1.0.5", "record");
  WithKey.HasWorkspaces = true;
  CHECK(!Calls.observe(WithKey, Now));
  call_origin Anonymous = from("10.1.0.9", "record");
  Anonymous.HasWorkspaces = true;
  Anonymous.IsAnonymous = true;
  CHECK(Calls.observe(Anonymous, Now));
  Anonymous.IsServerActive = false;
  CHECK(!Calls.observe(Anonymous, Now));
}
