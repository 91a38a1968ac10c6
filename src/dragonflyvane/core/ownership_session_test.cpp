#include "ownership_trial.hpp"

#include <doctest/doctest.h>

#include <cstdlib>
#include <fstream>
#include <sstream>

using namespace dragonflyvane;
using namespace std::chrono_literals;

namespace {

/// From the brief: a key is served again within 2 s of a loss.
constexpr std::chrono::milliseconds ServedAgainWithin{2000};

trial_settings quiet() {
  trial_settings Settings;
  Settings.Faults = {0ms, 0, 0, 0, trial_aim::None};
  Settings.Slices = 12;
  return Settings;
}

std::string ownersLine(ownership_trial &Trial, uint32_t Slices) {
  std::string Line = "owners";
  for (uint32_t Slice = 0; Slice < Slices; ++Slice) {
    auto Owners = Trial.ownersOf(Slice);
    Line += " " + (Owners.empty() ? std::string("-") : Owners[0]);
  }
  return Line;
}

/// Compares with a golden file; `DRAGONFLYVANE_UPDATE_GOLDEN` writes it.
void checkGolden(const std::string &Name, const std::string &Text) {
  std::string Path = std::string(GOLDEN_DIRECTORY) + "/" + Name + ".txt";
  if (std::getenv("DRAGONFLYVANE_UPDATE_GOLDEN"))
    std::ofstream(Path) << Text;
  std::stringstream Expected;
  Expected << std::ifstream(Path).rdbuf();
  CHECK(Expected.str() == Text);
}

std::string join(const std::vector<std::string> &Lines) {
  std::string Text;
  for (const std::string &Line : Lines)
    Text += Line + "\n";
  return Text;
}

std::string ownerOf(ownership_trial &Trial, uint32_t Slice) {
  auto Owners = Trial.ownersOf(Slice);
  return Owners.empty() ? "" : Owners[0];
}

/// Hosts that own something.
std::set<std::string> owning(ownership_trial &Trial, uint32_t Slices) {
  std::set<std::string> Hosts;
  for (uint32_t Slice = 0; Slice < Slices; ++Slice)
    Hosts.insert(ownerOf(Trial, Slice));
  return Hosts;
}

std::string withDomainOut(bool Out) {
  return std::string(R"({"services":{"s":{"slices":12}},)") +
         R"("failure_domains":{"d0":{"state":")" + (Out ? "out" : "in") +
         R"("}}})";
}

} // namespace

TEST_CASE("golden session: join, loss, takeover, return, domain out and in") {
  trial_settings Settings = quiet();
  ownership_trial Trial(Settings);
  std::vector<std::string> Lines;
  auto Note = [&](const std::string &Step) {
    Lines.push_back("== " + Step);
    Lines.push_back(ownersLine(Trial, Settings.Slices));
  };
  Trial.advance(6s);
  Note("joined");
  Trial.kill(3);
  Trial.advance(2s);
  Note("h3 lost, 2 s later");
  Trial.start(3);
  Trial.advance(6s);
  Note("h3 returned, 6 s later");
  Trial.setConfiguration(withDomainOut(true));
  Trial.advance(3s);
  Note("domain d0 out, 3 s later");
  Trial.setConfiguration(withDomainOut(false));
  Trial.advance(8s);
  Note("domain d0 in, 8 s later");
  CHECK(Trial.result().Violation == "");
  checkGolden("session-ownership",
              join(Lines) + "== log\n" + join(Trial.log()));
}

TEST_CASE("a lost host is replaced within 2 s, also while the table is out") {
  for (bool Outage : {false, true})
    for (size_t Lost = 0; Lost < 7; ++Lost) {
      CAPTURE(Outage);
      CAPTURE(Lost);
      trial_settings Settings = quiet();
      Settings.Seed = Lost + 1;
      ownership_trial Trial(Settings);
      Trial.advance(7s);
      if (Outage)
        Trial.setOutage(60s);
      Trial.kill(Lost);
      Trial.advance(8s);
      CHECK(Trial.result().Violation == "");
      CHECK(Trial.result().LongestGap <= ServedAgainWithin);
    }
}

TEST_CASE("a lost failure domain is replaced within 2 s during an outage") {
  for (size_t Domain = 0; Domain < 3; ++Domain) {
    CAPTURE(Domain);
    trial_settings Settings = quiet();
    Settings.Hosts = 9;
    ownership_trial Trial(Settings);
    Trial.advance(8s);
    Trial.setOutage(60s);
    for (size_t Host = Domain; Host < Settings.Hosts; Host += 3)
      Trial.kill(Host);
    Trial.advance(6s);
    CHECK(Trial.result().Violation == "");
    CHECK(Trial.result().LongestGap <= ServedAgainWithin);
  }
}

TEST_CASE("a cut-off failure domain stops, and its keys are served elsewhere") {
  trial_settings Settings = quiet();
  Settings.Hosts = 9;
  ownership_trial Trial(Settings);
  Trial.advance(8s);
  Trial.cutDomain(1, 6s);
  Trial.advance(3s);
  for (const std::string &Host : owning(Trial, Settings.Slices))
    CHECK(std::stoul(Host.substr(1)) % 3 != 1);
  Trial.advance(10s);
  CHECK(Trial.result().Violation == "");
  CHECK(Trial.result().LongestGap <= ServedAgainWithin);
}

TEST_CASE("a failure domain that is taken out owns nothing after 3 s") {
  trial_settings Settings = quiet();
  Settings.Hosts = 9;
  ownership_trial Trial(Settings);
  Trial.advance(8s);
  Trial.setConfiguration(withDomainOut(true));
  Trial.advance(3s);
  for (const std::string &Host : owning(Trial, Settings.Slices))
    CHECK(std::stoul(Host.substr(1)) % 3 != 0);
  Trial.setConfiguration(withDomainOut(false));
  Trial.advance(20s);
  CHECK(owning(Trial, Settings.Slices).size() == Settings.Hosts);
  CHECK(Trial.result().LongestGap <= ServedAgainWithin);
  CHECK(Trial.result().Violation == "");
}

TEST_CASE(
    "a host that leaves hands over at once, also while the table is out") {
  for (bool Outage : {false, true}) {
    CAPTURE(Outage);
    trial_settings Settings = quiet();
    ownership_trial Trial(Settings);
    Trial.advance(8s);
    if (Outage)
      Trial.setOutage(60s);
    size_t Leaver = std::stoul(ownerOf(Trial, 0).substr(1));
    Trial.at(Leaver).leave();
    Trial.advance(300ms);
    CHECK(ownerOf(Trial, 0) != ownership_trial::hostName(Leaver));
    CHECK(ownerOf(Trial, 0) != "");
    CHECK(Trial.at(Leaver).hasLeft());
    CHECK(Trial.result().Violation == "");
  }
}

TEST_CASE("an owner that pauses for less than its lease stays owner") {
  trial_settings Settings = quiet();
  ownership_trial Trial(Settings);
  Trial.advance(8s);
  std::string Before = ownersLine(Trial, Settings.Slices);
  Trial.pause(2, 700ms);
  Trial.advance(3s);
  CHECK(ownersLine(Trial, Settings.Slices) == Before);
}

TEST_CASE("running owners serve on through a long table outage") {
  trial_settings Settings = quiet();
  ownership_trial Trial(Settings);
  Trial.advance(8s);
  std::string Before = ownersLine(Trial, Settings.Slices);
  Trial.setOutage(120s);
  Trial.advance(120s);
  CHECK(ownersLine(Trial, Settings.Slices) == Before);
  CHECK(Trial.result().LongestGap <= ServedAgainWithin);
}
