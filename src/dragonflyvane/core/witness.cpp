#include "dragonflyvane/core/witness.hpp"

#include <algorithm>

namespace dragonflyvane {

namespace {

/// A longer gap between ticks means that this process was paused: renewals may
/// be waiting unread.
constexpr std::chrono::milliseconds PauseGap{250};

} // namespace

witness::witness(std::string Host, incarnation Incarnation, time_point Start,
                 const ownership_timing &Timing, const safety_rules &Rules)
    : Host(std::move(Host)), Incarnation(Incarnation), LastTick(Start),
      Resumed(Start), Timing(Timing), Rules(Rules) {}

lease_answer witness::onRenewal(const lease_renewal &Renewal, time_point Now) {
  lease_answer Answer;
  Answer.Holder = Renewal.Holder;
  Answer.Sequence = Renewal.Sequence;
  Answer.WitnessIncarnation = Incarnation;
  if (Rules.WitnessKeepsItsCertificate && isOver(Renewal.Holder)) {
    Answer.Lapsed = true;
    return Answer;
  }
  if (Rules.RestartedWitnessIsBarred &&
      Renewal.WitnessIncarnation != Incarnation) {
    Answer.WrongIncarnation = true;
    return Answer;
  }
  watch &Watch = watchOf(Renewal.Holder, Now);
  if (!Watch.KnowsSet || Renewal.SetVersion < Watch.OldestSet)
    Watch.OldestSet = Renewal.SetVersion;
  Watch.KnowsSet = true;
  Watch.LastHeard = Now;
  Watch.SupersededBelow =
      std::max(Watch.SupersededBelow, Renewal.SupersededBelow);
  Answer.SupersededBelow = Watch.SupersededBelow;
  return Answer;
}

lapse_certificate witness::onResignation(const host_ref &Holder) {
  return certify(Holder);
}

std::optional<lapse_certificate> witness::onQuery(const host_ref &Holder,
                                                  time_point Now) {
  auto Known = Certified.find(Holder);
  if (Known != Certified.end())
    return Known->second;
  if (!hasLapsed(watchOf(Holder, Now), Now))
    return std::nullopt;
  return certify(Holder);
}

/// A holder that is new to this process may have been renewed by the one before
/// it: the wait begins now.
witness::watch &witness::watchOf(const host_ref &Holder, time_point Now) {
  auto [Place, IsNew] = Watches.try_emplace(Holder);
  if (IsNew && Rules.NewWitnessWaits)
    Place->second.LastHeard = Now;
  return Place->second;
}

bool witness::isOver(const host_ref &Holder) const {
  auto Newest = NewestGeneration.find(Holder.Host);
  return Certified.contains(Holder) || (Newest != NewestGeneration.end() &&
                                        Holder.Generation < Newest->second);
}

void witness::onHostRow(const host_record &Record, time_point Now) {
  uint64_t &Newest = NewestGeneration[Record.Host];
  Newest = std::max(Newest, Record.Generation);
  auto IsOld = [&](const auto &Entry) {
    return Entry.first.Host == Record.Host && Entry.first.Generation < Newest;
  };
  std::erase_if(Watches, IsOld);
  std::erase_if(Certified, IsOld);
  const witness_id *Self = Record.Witnesses.find(Host);
  if (!Self) {
    Watches.erase(Record.ref());
    return;
  }
  if (isOver(Record.ref()))
    return;
  watch &Watch = watchOf(Record.ref(), Now);
  if (!Watch.KnowsSet)
    Watch.OldestSet = Record.Witnesses.Version;
  Watch.KnowsSet = true;
  Watch.KnownSet = std::max(Watch.KnownSet, Record.Witnesses.Version);
}

std::vector<lapse_certificate> witness::tick(time_point Now) {
  if (Now - LastTick > PauseGap)
    Resumed = Now;
  LastTick = Now;
  std::vector<host_ref> Lapsed;
  for (const auto &[Holder, Watch] : Watches)
    if (!Certified.contains(Holder) && hasLapsed(Watch, Now))
      Lapsed.push_back(Holder);
  std::vector<lapse_certificate> Certificates;
  Certificates.reserve(Lapsed.size());
  for (const host_ref &Holder : Lapsed)
    Certificates.push_back(certify(Holder));
  return Certificates;
}

bool witness::hasLapsed(const watch &Watch, time_point Now) const {
  bool RunsAgain = Now - Resumed >= 2 * Timing.RenewPeriod;
  return Watch.KnowsSet && RunsAgain &&
         Now - Watch.LastHeard >= Timing.lapseAfter();
}

lapse_certificate witness::certify(const host_ref &Holder) {
  lapse_certificate Certificate{Holder, {Host, Incarnation}, 0, 0};
  auto Found = Watches.find(Holder);
  if (Found != Watches.end()) {
    const watch &Watch = Found->second;
    Certificate.MinSetVersion =
        std::max(Watch.OldestSet, Watch.SupersededBelow);
    Certificate.KnownSetVersion = Watch.KnownSet;
    Watches.erase(Found);
  }
  Certified[Holder] = Certificate;
  return Certificate;
}

} // namespace dragonflyvane
