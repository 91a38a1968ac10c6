#include "dragonflyvane/core/steward_plan.hpp"

#include <algorithm>
#include <set>

namespace dragonflyvane {

namespace {

/// Weight of a slice without measured load, in requests a second; it keeps
/// quiet slices spread out.
constexpr double BaseWeight = 0.2;

struct candidate {
  const host_record *Record = nullptr;
  double Load = 0;
};

/// Plans one service.
class service_planner {
public:
  service_planner(const cluster_view &View, const lapse_registry &Registry,
                  const slice_loads &Loads, const std::string &Service,
                  const service &Settings, steward_plan &Plan)
      : View(View), Registry(Registry), Loads(Loads), Service(Service),
        Settings(Settings), Plan(Plan) {
    findCandidates();
  }

  void plan() {
    if (Candidates.empty())
      return;
    for (uint32_t Index = 0; Index < Settings.SliceCount; ++Index)
      countOwner(Index);
    for (uint32_t Index = 0; Index < Settings.SliceCount; ++Index)
      planSlice(Index);
    balance();
  }

private:
  void findCandidates() {
    const configuration &Config = View.configurationRow()->Content;
    for (const auto &[Name, Row] : View.hosts()) {
      const host_record &Record = Row.Content;
      auto Domain = Config.FailureDomainOut.find(Record.Domain);
      bool Out = Domain != Config.FailureDomainOut.end() && Domain->second;
      bool Drained =
          std::find(Config.DrainedHosts.begin(), Config.DrainedHosts.end(),
                    Name) != Config.DrainedHosts.end();
      bool Usable = Record.Services.contains(Service) && !Out && !Drained &&
                    !Registry.isLapsed(Record.ref(), View);
      if (!Usable)
        continue;
      Candidates[Name] = {&Record, 0};
      Domains.insert(Record.Domain);
    }
  }

  double weightOf(uint32_t Index) const {
    auto Found = Loads.find({Service, Index});
    return BaseWeight + (Found == Loads.end() ? 0 : Found->second);
  }

  const succession_list &listOf(uint32_t Index) const {
    static const succession_list None;
    const succession_list *List = View.list({Service, Index});
    return List ? *List : None;
  }

  const host_ref *ownerOf(const succession_list &List) const {
    for (const host_ref &Ref : List.Entries)
      if (!Registry.isLapsed(Ref, View))
        return &Ref;
    return nullptr;
  }

  candidate *candidateOf(const host_ref &Ref) {
    auto Found = Candidates.find(Ref.Host);
    bool Same = Found != Candidates.end() && Found->second.Record->ref() == Ref;
    return Same ? &Found->second : nullptr;
  }

  void countOwner(uint32_t Index) {
    const host_ref *Owner = ownerOf(listOf(Index));
    candidate *Candidate = Owner ? candidateOf(*Owner) : nullptr;
    if (Candidate)
      Candidate->Load += weightOf(Index);
  }

  void planSlice(uint32_t Index) {
    const succession_list &List = listOf(Index);
    const host_ref *Owner = ownerOf(List);
    if (!Owner) {
      host_ref Chosen = leastLoaded(Index);
      std::vector<host_ref> Entries = entriesFor(Index, Chosen, List);
      Plan.Assignments.push_back(
          {{Service, Index}, {List.Epoch + 1, std::move(Entries)}});
      return;
    }
    if (!candidateOf(*Owner)) {
      host_ref Chosen = successorOf(Index, List);
      propose(Index, *Owner, entriesFor(Index, Chosen, List));
      return;
    }
    if (needsMending(List))
      propose(Index, *Owner, entriesFor(Index, *Owner, List));
  }

  /// A list is left alone unless an entry is unusable or a better spread is to
  /// be had.
  bool needsMending(const succession_list &List) {
    bool AllUsable = std::all_of(
        List.Entries.begin(), List.Entries.end(),
        [&](const host_ref &Ref) { return candidateOf(Ref) != nullptr; });
    return !AllUsable ||
           List.Entries.size() < std::min(FullListSize, Candidates.size()) ||
           domainsIn(List.Entries) < std::min(FullListSize, Domains.size());
  }

  size_t domainsIn(const std::vector<host_ref> &Entries) {
    std::set<std::string> Found;
    for (const host_ref &Ref : Entries)
      if (candidate *Candidate = candidateOf(Ref))
        Found.insert(Candidate->Record->Domain);
    return Found.size();
  }

  void propose(uint32_t Index, const host_ref &Owner,
               std::vector<host_ref> Entries) {
    if (!Proposed.insert(Index).second)
      return;
    uint64_t Epoch = listOf(Index).Epoch;
    Plan.Proposals.push_back(
        {Owner.Host, Service, {{Index, Epoch}, std::move(Entries)}});
  }

  host_ref take(uint32_t Index, candidate &Candidate) {
    Candidate.Load += weightOf(Index);
    return Candidate.Record->ref();
  }

  host_ref leastLoaded(uint32_t Index) {
    auto Least = std::min_element(Candidates.begin(), Candidates.end(),
                                  [](const auto &A, const auto &B) {
                                    return A.second.Load < B.second.Load;
                                  });
    return take(Index, Least->second);
  }

  /// A usable standby that is not overloaded, or else the least loaded host.
  host_ref successorOf(uint32_t Index, const succession_list &List) {
    double Limit = meanLoad() * BalanceTolerance;
    for (const host_ref &Ref : List.Entries)
      if (candidate *Candidate = candidateOf(Ref))
        if (Candidate->Load + weightOf(Index) <= Limit)
          return take(Index, *Candidate);
    return leastLoaded(Index);
  }

  double meanLoad() const {
    double Total = 0;
    for (uint32_t Index = 0; Index < Settings.SliceCount; ++Index)
      Total += weightOf(Index);
    return Total / static_cast<double>(Candidates.size());
  }

  /// The owner, then usable standbys of the old list, then others; one of each
  /// failure domain first.
  std::vector<host_ref> entriesFor(uint32_t Index, const host_ref &Owner,
                                   const succession_list &Old) {
    std::vector<host_ref> Pool;
    for (const host_ref &Ref : Old.Entries)
      if (Ref != Owner && candidateOf(Ref))
        Pool.push_back(Ref);
    for (const host_ref &Ref : rankedFor(Index))
      if (Ref != Owner &&
          std::find(Pool.begin(), Pool.end(), Ref) == Pool.end())
        Pool.push_back(Ref);
    std::vector<host_ref> Entries = {Owner};
    std::set<std::string> Used = {domainOf(Owner)};
    for (const host_ref &Ref : Pool)
      if (Entries.size() < FullListSize && Used.insert(domainOf(Ref)).second)
        Entries.push_back(Ref);
    for (const host_ref &Ref : Pool)
      if (Entries.size() < FullListSize &&
          std::find(Entries.begin(), Entries.end(), Ref) == Entries.end())
        Entries.push_back(Ref);
    return Entries;
  }

  std::string domainOf(const host_ref &Ref) const {
    const host_record *Record = View.host(Ref.Host);
    return Record ? Record->Domain : "";
  }

  std::vector<host_ref> rankedFor(uint32_t Index) const {
    std::vector<std::pair<uint64_t, host_ref>> Ranked;
    std::string Key = Service + "/" + std::to_string(Index);
    for (const auto &[Name, Candidate] : Candidates)
      Ranked.emplace_back(rendezvousHash(Name, Key), Candidate.Record->ref());
    std::sort(Ranked.begin(), Ranked.end());
    std::vector<host_ref> Result;
    Result.reserve(Ranked.size());
    for (auto &[Hash, Ref] : Ranked)
      Result.push_back(std::move(Ref));
    return Result;
  }

  void balance() {
    double Limit = meanLoad() * BalanceTolerance;
    uint32_t Left = std::max(1U, Settings.SliceCount / BalanceMovesDivisor);
    for (uint32_t Index = 0; Index < Settings.SliceCount && Left > 0; ++Index) {
      const succession_list &List = listOf(Index);
      const host_ref *Owner = ownerOf(List);
      candidate *From = Owner ? candidateOf(*Owner) : nullptr;
      if (!From || Proposed.contains(Index) || From->Load <= Limit)
        continue;
      auto Least = std::min_element(Candidates.begin(), Candidates.end(),
                                    [](const auto &A, const auto &B) {
                                      return A.second.Load < B.second.Load;
                                    });
      double Weight = weightOf(Index);
      if (Least->second.Load + Weight >= From->Load)
        continue;
      From->Load -= Weight;
      host_ref Chosen = take(Index, Least->second);
      propose(Index, *Owner, entriesFor(Index, Chosen, List));
      --Left;
    }
  }

  const cluster_view &View;
  const lapse_registry &Registry;
  const slice_loads &Loads;
  const std::string &Service;
  const service &Settings;
  steward_plan &Plan;
  std::map<std::string, candidate> Candidates;
  std::set<std::string> Domains;
  std::set<uint32_t> Proposed;
};

} // namespace

steward_plan planRound(const cluster_view &View, const lapse_registry &Registry,
                       const slice_loads &Loads) {
  steward_plan Plan;
  if (!View.configurationRow())
    return Plan;
  std::map<std::string, service> Services =
      View.configurationRow()->Content.Services;
  Services[RateService].SliceCount = RateSliceCount;
  for (const auto &[Name, Settings] : Services)
    service_planner(View, Registry, Loads, Name, Settings, Plan).plan();
  return Plan;
}

} // namespace dragonflyvane
