#include "ownership_trial.hpp"

#include <doctest/doctest.h>

#include <cstdlib>
#include <iostream>

using namespace dragonflyvane;

namespace {

/// Seeds of one run in CI; `DRAGONFLYVANE_SEEDS` asks for more.
uint64_t seedCount(uint64_t Default) {
  const char *Asked = std::getenv("DRAGONFLYVANE_SEEDS");
  return Asked ? std::strtoull(Asked, nullptr, 10) : Default;
}

uint64_t firstSeed() {
  const char *Asked = std::getenv("DRAGONFLYVANE_FIRST_SEED");
  return Asked ? std::strtoull(Asked, nullptr, 10) : 1;
}

void printTail(const ownership_trial &Trial, size_t Lines) {
  const auto &Log = Trial.log();
  for (size_t I = Log.size() > Lines ? Log.size() - Lines : 0; I < Log.size();
       ++I)
    std::cerr << "    " << Log[I] << "\n";
}

trial_settings settingsFor(uint64_t Seed) {
  trial_settings Settings;
  Settings.Seed = Seed;
  Settings.Faults.Aim = static_cast<trial_aim>(Seed % 5);
  return Settings;
}

/// A rule to switch off, and faults under which that shows.
struct broken_rule {
  const char *Name;
  bool safety_rules::*Rule;
  trial_faults Faults;
};

constexpr uint64_t MaxSeeds = 400;

/// How many seeds it took until the checker saw the rule broken; 0 for never.
uint64_t seedsToFind(const broken_rule &Broken) {
  for (uint64_t I = 0; I < MaxSeeds; ++I) {
    trial_settings Settings;
    Settings.Seed = I + 1;
    Settings.Faults = Broken.Faults;
    Settings.Rules.*Broken.Rule = false;
    if (!ownership_trial(Settings).run().Violation.empty())
      return I + 1;
  }
  return 0;
}

trial_faults aimedAt(trial_aim Aim, std::chrono::milliseconds MeanGap) {
  trial_faults Faults;
  Faults.Aim = Aim;
  Faults.MeanGap = MeanGap;
  return Faults;
}

/// An owner whose write was committed learns of it late.
trial_faults handOversWithLostAnswers() {
  trial_faults Faults =
      aimedAt(trial_aim::HandOvers, std::chrono::milliseconds(1000));
  Faults.LostAnswers = 0.9;
  return Faults;
}

/// The owner of slice 0 is cut off while the table is out; its witnesses
/// certify the lapse and restart; then the owner is back.
std::string witnessesRestartAfterCertifying(bool Barred) {
  using namespace std::chrono_literals;
  trial_settings Settings;
  Settings.Faults = {0ms, 0, 0, 0, trial_aim::None};
  Settings.Rules.RestartedWitnessIsBarred = Barred;
  ownership_trial Trial(Settings);
  Trial.advance(6s);
  size_t Owner = std::stoul(Trial.ownersOf(0).at(0).substr(1));
  Trial.setOutage(20s);
  for (size_t Other = 0; Other < Settings.Hosts; ++Other) {
    Trial.cut(Owner, Other, 2200ms);
    Trial.cut(Other, Owner, 2200ms);
  }
  Trial.advance(2s);
  REQUIRE(Trial.ownersOf(0).size() == 1);
  size_t Next = std::stoul(Trial.ownersOf(0).at(0).substr(1));
  REQUIRE(Next != Owner);
  for (size_t Other = 0; Other < Settings.Hosts; ++Other)
    if (Other != Owner && Other != Next) {
      Trial.kill(Other);
      Trial.start(Other);
    }
  Trial.advance(1s);
  return Trial.result().Violation;
}

/// One witness after another is cut off from the owner of slice 0, certifies
/// wrongly, restarts, and is taken into the owner's witness set again.
std::string witnessesCertifyOneByOne(bool NamesRun) {
  using namespace std::chrono_literals;
  trial_settings Settings;
  Settings.Faults = {0ms, 0, 0, 0, trial_aim::None};
  Settings.Rules.CertificateNamesRun = NamesRun;
  ownership_trial Trial(Settings);
  Trial.advance(6s);
  const succession_list List = *Trial.at(0).view().list({"s", 0});
  size_t Owner = std::stoul(List.Entries.at(0).Host.substr(1));
  std::set<std::string> Restarted = {List.Entries.at(1).Host};
  for (int Round = 0; Round < 4; ++Round) {
    witness_set Set =
        Trial.at(Owner).view().host(List.Entries.at(0).Host)->Witnesses;
    for (const witness_id &Witness : Set.Members) {
      if (!Restarted.insert(Witness.Host).second)
        continue;
      size_t Host = std::stoul(Witness.Host.substr(1));
      Trial.cut(Owner, Host, 1600ms);
      Trial.advance(1700ms);
      Trial.kill(Host);
      Trial.start(Host);
      break;
    }
    Trial.advance(7s);
  }
  if (NamesRun)
    CHECK((Trial.at(Owner).self() == List.Entries.at(0)));
  return Trial.result().Violation;
}

} // namespace

TEST_CASE("random faults never make two owners") {
  uint64_t First = firstSeed();
  uint64_t Count = seedCount(300);
  uint64_t Bad = 0;
  double Served = 0;
  for (uint64_t Seed = First; Seed < First + Count; ++Seed) {
    ownership_trial Trial(settingsFor(Seed));
    trial_result Result = Trial.run();
    Served += Result.Served;
    if (Result.Violation.empty())
      continue;
    ++Bad;
    std::cerr << "seed " << Seed << ": " << Result.Violation << "\n";
    if (Bad == 1)
      printTail(Trial, 60);
  }
  MESSAGE(Count << " seeds, " << Bad << " with two owners, served "
                << 100 * Served / static_cast<double>(Count) << " %");
  CHECK(Bad == 0);
}

TEST_CASE("the checker finds each broken rule") {
  using namespace std::chrono_literals;
  using rules = safety_rules;
  const broken_rule Broken[] = {
      {"lease counts from receipt", &rules::LeaseCountsFromSending, {}},
      {"one witness renews", &rules::MajorityRenews, {}},
      {"witness forgets its certificate",
       &rules::WitnessKeepsItsCertificate,
       {}},
      {"new witness certifies at once", &rules::NewWitnessWaits,
       aimedAt(trial_aim::Witnesses, 500ms)},
      {"no release before the write", &rules::ReleaseBeforeWrite,
       aimedAt(trial_aim::LateWrites, 1500ms)},
      {"serves while it gives up", &rules::StopBeforeGivingUp,
       handOversWithLostAnswers()},
      {"one witness set while changing", &rules::BothWitnessSetsWhileChanging,
       aimedAt(trial_aim::Witnesses, 500ms)},
      {"lease not checked at dispatch", &rules::LeaseCheckedAtDispatch, {}},
      {"joins over an uncertified generation",
       &rules::EndedGenerationIsCertified,
       {}},
      {"goes on after it was replaced", &rules::ClaimsName,
       aimedAt(trial_aim::Replacements, 1000ms)}};
  for (const broken_rule &Rule : Broken) {
    std::string Name = Rule.Name;
    CAPTURE(Name);
    uint64_t Seeds = seedsToFind(Rule);
    MESSAGE(Name << ": seeds until found " << Seeds);
    CHECK(Seeds > 0);
  }
}

TEST_CASE("a certificate does not count for a later run of its witness") {
  CHECK(witnessesCertifyOneByOne(true) == "");
  CHECK(witnessesCertifyOneByOne(false) != "");
}

TEST_CASE("a restarted witness does not renew what it certified") {
  CHECK(witnessesRestartAfterCertifying(true) == "");
  CHECK(witnessesRestartAfterCertifying(false) != "");
}
