/// A member's own row: joining, witnesses, ending a generation.
#include "dragonflyvane/core/member.hpp"

#include "dragonflyvane/core/membership.hpp"

#include <algorithm>
#include <utility>

namespace dragonflyvane {

namespace {

/// Choosing looks at every member, so it is not done at each tick.
constexpr std::chrono::milliseconds WitnessChoicePeriod{1000};

} // namespace

host_record member::makeRecord(uint64_t Generation) const {
  host_record Record;
  Record.Host = Identity.Host;
  Record.Generation = Generation;
  Record.Incarnation = Identity.Incarnation;
  Record.Claimant = Identity.Incarnation;
  Record.Domain = Identity.Domain;
  Record.PeerAddress = Identity.PeerAddress;
  Record.DatagramAddress = Identity.DatagramAddress;
  Record.EntranceAddress = Identity.EntranceAddress;
  Record.Services = Services;
  Record.Services[RateService] = 1;
  return Record;
}

void member::maintainOwnRow(time_point Now) {
  if (!HasReadTable || Leaving || Replaced ||
      isWriting(hostRowKey(Identity.Host)))
    return;
  if (!Lease)
    return join(Now);
  const host_record *Present = View.host(Identity.Host);
  host_record Wanted = makeRecord(Lease->holder().Generation);
  Wanted.Witnesses = Present->Witnesses;
  if (auto Set = wantedWitnesses(Now)) {
    Lease->propose(*Set);
    Wanted.Witnesses = *Set;
  }
  if (Wanted != *Present)
    writeOwnRow(Wanted);
}

/// Begins a generation, once the one before is over.
void member::join(time_point Now) {
  const host_record *Old = View.host(Identity.Host);
  if (Resigning)
    return;
  if (!Old) {
    host_record First = makeRecord(1);
    First.Witnesses = {
        1, chooseWitnesses({Identity.Host, 1}, View, Registry, {}, {})};
    return writeOwnRow(First);
  }
  if (Old->Claimant != Identity.Incarnation) {
    host_record Claim = *Old;
    Claim.Claimant = Identity.Incarnation;
    return writeOwnRow(Claim);
  }
  bool EndedBySelf = Old->Incarnation == Identity.Incarnation &&
                     Old->Generation <= EndedGeneration;
  bool Over = EndedBySelf || Old->Witnesses.Members.empty() ||
              Registry.isLapsed(Old->ref(), View) ||
              !Rules.EndedGenerationIsCertified;
  if (!Over) {
    suspect(Identity.Host);
    if (auto Own = Witness.onQuery(Old->ref(), Now))
      on(Identity.Host, *Own, Now);
    return;
  }
  host_ref Next{Identity.Host, Old->Generation + 1};
  host_record Record = makeRecord(Next.Generation);
  Record.Witnesses = {Old->Witnesses.Version + 1,
                      chooseWitnesses(Next, View, Registry, {}, {})};
  writeOwnRow(Record);
}

void member::writeOwnRow(const host_record &Record) {
  std::string Key = hostRowKey(Identity.Host);
  write(write_kind::OwnRow,
        {{{Key, View.versionOf(Key)}}, {{Key, encodeHost(Record)}}});
}

void member::adoptOwnRow(time_point Now) {
  const host_record *Own = View.host(Identity.Host);
  if (!Own)
    return;
  if (Own->Claimant != Identity.Incarnation) {
    if (Lease)
      endGeneration("replaced by another process");
    Replaced = HasClaimed && Rules.ClaimsName;
    return;
  }
  if (!std::exchange(HasClaimed, true))
    for (const auto &[Name, Host] : View.hosts())
      Witness.onHostRow(Host.Content, Now);
  if (Own->Incarnation != Identity.Incarnation)
    return;
  if (Lease && Own->Generation != Lease->holder().Generation)
    return endGeneration("declared gone");
  if (!Lease && !Resigning && Own->Generation > EndedGeneration) {
    Lease.emplace(Own->ref(), Timing, Rules);
    Lease->adopt(Own->Witnesses);
    LastValid = Now;
    WitnessesAdopted = Now;
    note("joined", Identity.Host, toString(Own->ref()));
    return;
  }
  if (Lease && Own->Witnesses.Version > Lease->current().Version) {
    Lease->adopt(Own->Witnesses);
    WitnessesAdopted = Now;
  }
}

std::optional<witness_set> member::wantedWitnesses(time_point Now) {
  if (Lease->proposed())
    return Lease->proposed();
  if (Lease->isChanging())
    return std::nullopt;
  if (Now - LastWitnessChoice < WitnessChoicePeriod)
    return std::nullopt;
  LastWitnessChoice = Now;
  std::set<std::string> Unwanted;
  if (Now - WitnessesAdopted >= Timing.WitnessSilence)
    for (std::string &Silent : Lease->silentSince(Now - Timing.WitnessSilence))
      Unwanted.insert(std::move(Silent));
  witness_set Set{Lease->current().Version + 1,
                  chooseWitnesses(Lease->holder(), View, Registry,
                                  Lease->current(), Unwanted)};
  if (Set.Members == Lease->current().Members || Set.Members.empty())
    return std::nullopt;
  return Set;
}

/// From here on nothing of this generation is dispatched. Witnesses are told
/// when the last request has ended.
void member::endGeneration(const std::string &Why) {
  note("generation ended", Identity.Host,
       toString(Lease->holder()) + ": " + Why);
  Resigning = true;
  EndedGeneration = std::max(EndedGeneration, Lease->holder().Generation);
}

void member::finishResignation() {
  if (!Resigning || !Lease || (InFlight && InFlight->total() > 0))
    return;
  for (const witness_id &Member : Lease->current().Members)
    send(Member.Host, lease_resignation{Lease->holder()});
  Lease.reset();
  Resigning = false;
  Changes.clear();
  Released.clear();
  Left = Leaving;
}

} // namespace dragonflyvane
