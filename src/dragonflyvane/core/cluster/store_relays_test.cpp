#include "dragonflyvane/core/cluster/store_relays.hpp"

#include <doctest/doctest.h>

using namespace dragonflyvane;

namespace {

void add(cluster_view &View, const std::string &Name, const std::string &Domain,
         double Share) {
  host_info Info;
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
