#include "dragonflyvane/core/configuration/configuration.hpp"

#include <doctest/doctest.h>

using namespace dragonflyvane;

TEST_CASE("the route with the longest matching prefix is chosen") {
  configuration Config;
  for (const char *Prefix : {"/a/", "/a/b/", "/"}) {
    route Route;
    Route.Name = Prefix;
    Route.Host = "x.example";
    Route.Prefix = Prefix;
    Config.add(Route);
  }
  CHECK(findRoute(Config, "x.example", "/a/b/c?q=/z/")->Name == "/a/b/");
  CHECK(findRoute(Config, "x.example:80", "/a/bc")->Name == "/a/");
  CHECK(findRoute(Config, "x.example", "/q?/a/b/")->Name == "/");
  CHECK(!findRoute(Config, "y.example", "/a/"));
}
