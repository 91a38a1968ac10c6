#include "dragonflyvane/core/cluster/store_relays.hpp"

#include <doctest/doctest.h>

using namespace dragonflyvane;

namespace {

void add(cluster_view &View, const std::string &Name, const std::string &Domain,
         double Share) {
  host_info Info;
  Info.PeerEndpoint = {"127.0.0.1", 7780};
  Info.FailureDomain = Domain;
  Info.CpuShare = Share;
  View.apply({hostRow(Name), View.hosts().size() + 1, encodeHost(Info)});
}

} // namespace

TEST_CASE(
    "the host with the largest CPU share of a failure domain is its relay") {
  cluster_view View;
  add(View, "a", "west", 0.1);
  add(View, "b", "west", 0.5);
  add(View, "c", "west", 0.1);
  add(View, "d", "east", 2);
  CHECK(relayCandidatesOf(View, "west") == std::vector<std::string>{"b"});
  CHECK(relayCandidatesOf(View, "east") == std::vector<std::string>{"d"});
  CHECK(relayCandidatesOf(View, "north").empty());
}

// When the one relay of a large failure domain lost the store, all its hosts
// called the store themselves and overloaded it.
TEST_CASE("a large failure domain has further relays") {
  cluster_view View;
  for (int I = 0; I < 59; ++I)
    add(View, "h" + std::to_string(100 + I), "west", 0.1);
  CHECK(relayCandidatesOf(View, "west") ==
        std::vector<std::string>{"h100", "h101", "h102"});
  for (int I = 0; I < 19; ++I)
    add(View, "s" + std::to_string(100 + I), "east", 0.1);
  CHECK(relayCandidatesOf(View, "east").size() == 1);
}

TEST_CASE("hosts are ranked by CPU share, then by name") {
  cluster_view View;
  add(View, "a", "west", 0.1);
  add(View, "b", "west", 0.5);
  add(View, "c", "east", 0.5);
  CHECK(hostRank(View, "b") == 0);
  CHECK(hostRank(View, "c") == 1);
  CHECK(hostRank(View, "a") == 2);
  CHECK(hostRank(View, "unknown") == 3);
}
