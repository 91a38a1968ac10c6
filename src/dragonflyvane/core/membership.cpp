#include "dragonflyvane/core/membership.hpp"

#include <algorithm>
#include <map>
#include <tuple>

namespace dragonflyvane {

namespace {

/// A possible witness; the lesser is the better.
struct rated_witness {
  size_t OfSameDomain = 0;
  bool IsNew = false;
  uint64_t Hash = 0;
  witness_id Id;

  bool operator<(const rated_witness &Other) const {
    return std::tie(OfSameDomain, IsNew, Hash) <
           std::tie(Other.OfSameDomain, Other.IsNew, Other.Hash);
  }
};

size_t oddAtMost(size_t Count) {
  size_t Capped = std::min(Count, MaxWitnesses);
  return Capped == 0 ? 0 : Capped - (Capped + 1) % 2;
}

} // namespace

std::vector<witness_id> chooseWitnesses(const host_ref &Holder,
                                        const cluster_view &View,
                                        const lapse_registry &Registry,
                                        const witness_set &Present,
                                        const std::set<std::string> &Unwanted) {
  std::vector<const host_record *> Pool;
  for (const auto &[Name, Row] : View.hosts()) {
    const host_record &Record = Row.Content;
    bool Usable = Name != Holder.Host && !Unwanted.contains(Name) &&
                  !Registry.hasCertified({Name, Record.Incarnation}, Holder) &&
                  !Registry.isLapsed(Record.ref(), View);
    if (Usable)
      Pool.push_back(&Record);
  }
  std::vector<witness_id> Chosen;
  std::map<std::string, size_t> ByDomain;
  size_t Wanted = oddAtMost(Pool.size());
  while (Chosen.size() < Wanted) {
    std::vector<rated_witness> Rated;
    for (const host_record *Record : Pool) {
      witness_id Id{Record->Host, Record->Incarnation};
      const witness_id *Old = Present.find(Record->Host);
      Rated.push_back({ByDomain[Record->Domain], !Old || *Old != Id,
                       rendezvousHash(Holder.Host, Record->Host), Id});
    }
    rated_witness Best = *std::min_element(Rated.begin(), Rated.end());
    Chosen.push_back(Best.Id);
    ++ByDomain[View.host(Best.Id.Host)->Domain];
    std::erase_if(Pool, [&](const host_record *Record) {
      return Record->Host == Best.Id.Host;
    });
  }
  std::sort(Chosen.begin(), Chosen.end());
  return Chosen;
}

} // namespace dragonflyvane
