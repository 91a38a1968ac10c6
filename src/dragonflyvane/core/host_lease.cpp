#include "dragonflyvane/core/host_lease.hpp"

#include <algorithm>

namespace dragonflyvane {

namespace {

/// Renewals whose sending time is remembered.
constexpr size_t RememberedRenewals = 16;

constexpr time_point FarFuture = time_point::max() - std::chrono::hours(1);

} // namespace

host_lease::host_lease(host_ref Holder, const ownership_timing &Timing,
                       const safety_rules &Rules)
    : Holder(std::move(Holder)), Timing(Timing), Rules(Rules) {}

void host_lease::adopt(const witness_set &Set) {
  if (Set.Version <= Current.Version)
    return;
  if (Rules.BothWitnessSetsWhileChanging && !Current.Members.empty() && !Former)
    Former = Current;
  Current = Set;
  if (Proposed && Proposed->Version <= Set.Version)
    Proposed.reset();
  finishChangeIfPromised();
}

void host_lease::propose(const witness_set &Set) { Proposed = Set; }

std::vector<outgoing_message> host_lease::renew(time_point Now) {
  SentAt[++Sequence] = Now;
  if (SentAt.size() > RememberedRenewals)
    SentAt.erase(SentAt.begin());
  std::vector<outgoing_message> Out;
  sendTo(Current, Out);
  if (Proposed)
    sendTo(*Proposed, Out);
  if (Former)
    sendTo(*Former, Out);
  return Out;
}

void host_lease::sendTo(const witness_set &Set,
                        std::vector<outgoing_message> &Out) const {
  for (const witness_id &Member : Set.Members) {
    lease_renewal Renewal;
    Renewal.Holder = Holder;
    Renewal.Sequence = Sequence;
    Renewal.SetVersion = Set.Version;
    Renewal.WitnessIncarnation = Member.Incarnation;
    Renewal.SupersededBelow = Former ? Current.Version : 0;
    auto SameMember = [&](const outgoing_message &Other) {
      const auto &Sent = std::get<lease_renewal>(Other.Body);
      return Other.To == Member.Host &&
             Sent.WitnessIncarnation == Member.Incarnation;
    };
    if (std::none_of(Out.begin(), Out.end(), SameMember))
      Out.push_back({Member.Host, Renewal});
  }
}

void host_lease::onAnswer(const std::string &Witness,
                          const lease_answer &Answer, time_point Now) {
  if (Answer.Holder != Holder || Answer.WrongIncarnation)
    return;
  witness_id Id{Witness, Answer.WitnessIncarnation};
  if (const witness_id *Named = Current.find(Witness);
      Named && !Rules.RestartedWitnessIsBarred)
    Id = *Named;
  answer_state &State = Answers[Id];
  State.Heard = Now;
  State.Lapsed = State.Lapsed || Answer.Lapsed;
  if (Answer.Lapsed)
    return;
  State.SupersededBelow =
      std::max(State.SupersededBelow, Answer.SupersededBelow);
  auto Sent = SentAt.find(Answer.Sequence);
  if (Sent == SentAt.end())
    return;
  time_point From = Rules.LeaseCountsFromSending ? Sent->second : Now;
  State.Renewed = State.HasRenewed ? std::max(State.Renewed, From) : From;
  State.HasRenewed = true;
  finishChangeIfPromised();
}

time_point host_lease::endUnder(const witness_set &Set) const {
  if (Set.Members.empty())
    return FarFuture;
  std::vector<time_point> Renewed;
  for (const witness_id &Member : Set.Members) {
    auto Found = Answers.find(Member);
    if (Found != Answers.end() && Found->second.HasRenewed)
      Renewed.push_back(Found->second.Renewed);
  }
  size_t Needed = Rules.MajorityRenews ? Set.majority() : 1;
  if (Renewed.size() < Needed)
    return time_point::min() + std::chrono::hours(1);
  std::sort(Renewed.rbegin(), Renewed.rend());
  return Renewed[Needed - 1] + Timing.Lease;
}

time_point host_lease::end() const {
  time_point End = endUnder(Current);
  if (!Rules.BothWitnessSetsWhileChanging)
    return Proposed ? endUnder(*Proposed) : End;
  if (Proposed)
    End = std::min(End, endUnder(*Proposed));
  if (Former)
    End = std::min(End, endUnder(*Former));
  return End;
}

bool host_lease::lostUnder(const witness_set &Set) const {
  size_t Left = 0;
  for (const witness_id &Member : Set.Members) {
    auto Found = Answers.find(Member);
    Left += Found == Answers.end() || !Found->second.Lapsed;
  }
  return !Set.Members.empty() && Left < Set.majority();
}

bool host_lease::isLost() const {
  return lostUnder(Current) || (Former && lostUnder(*Former));
}

void host_lease::finishChangeIfPromised() {
  if (!Former)
    return;
  size_t Promised = 0;
  for (const witness_id &Member : Former->Members) {
    auto Found = Answers.find(Member);
    Promised += Found != Answers.end() &&
                Found->second.SupersededBelow >= Current.Version;
  }
  if (Promised >= Former->majority())
    Former.reset();
}

std::vector<std::string> host_lease::silentSince(time_point Since) const {
  std::vector<std::string> Silent;
  for (const witness_id &Member : Current.Members) {
    auto Found = Answers.find(Member);
    if (Found == Answers.end() || Found->second.Heard < Since)
      Silent.push_back(Member.Host);
  }
  return Silent;
}

} // namespace dragonflyvane
