/// A member as steward.
#include "dragonflyvane/core/member.hpp"

#include <utility>

namespace dragonflyvane {

namespace {

constexpr std::chrono::milliseconds BeatPeriod{2000};
constexpr size_t ProposalsPerMessage = 16;

} // namespace

void member::actAsSteward(time_point Now) {
  bool CanAct =
      isInOffice(Now) && HasReadTable && Now - LastTableRead < FreshRead;
  if (!CanAct || Now - LastPlan < Timing.StewardPeriod)
    return;
  LastPlan = Now;
  claimStewardship(Now);
  if (isSteward())
    runPlan(Now);
}

void member::claimStewardship(time_point Now) {
  if (isWriting(StewardRowKey))
    return;
  const auto &Row = View.steward();
  bool Vacant = !Row || Registry.isLapsed(Row->Content.Steward, View) ||
                Now - StewardChanged > Timing.StewardSilence;
  bool BeatIsDue = isSteward() && Now - LastBeat >= BeatPeriod;
  if (!BeatIsDue && (isSteward() || !Vacant))
    return;
  LastBeat = Now;
  steward_record Record{Lease->holder(), Row ? Row->Content.Beat + 1 : 1};
  write(write_kind::Steward, {{{StewardRowKey, View.versionOf(StewardRowKey)}},
                              {{StewardRowKey, encodeSteward(Record)}}});
}

void member::runPlan(time_point) {
  steward_plan Plan = planRound(View, Registry, Loads);
  writeAssignments(Plan.Assignments);
  sendProposals(Plan.Proposals);
}

void member::writeAssignments(const std::vector<list_assignment> &Assignments) {
  std::map<std::string, succession_row> Rows;
  for (const list_assignment &Assignment : Assignments) {
    std::string Key = rowKeyOf(Assignment.Slice);
    if (isWriting(Key))
      continue;
    auto [Place, IsNew] = Rows.try_emplace(Key);
    if (IsNew && View.row(Key))
      Place->second = *View.row(Key);
    size_t Position = Assignment.Slice.Index % SlicesPerRow;
    if (Place->second.size() <= Position)
      Place->second.resize(Position + 1);
    Place->second[Position] = Assignment.List;
  }
  for (const auto &[Key, Row] : Rows)
    write(write_kind::Lists,
          {{{Key, View.versionOf(Key)}}, {{Key, encodeRow(Row)}}});
}

void member::sendProposals(const std::vector<owner_proposal> &Proposals) {
  std::map<std::pair<std::string, std::string>, list_proposal> ByOwner;
  for (const owner_proposal &Proposal : Proposals) {
    list_proposal &Message = ByOwner[{Proposal.Owner, Proposal.Service}];
    Message.Service = Proposal.Service;
    Message.Lists.push_back(Proposal.List);
    if (Message.Lists.size() < ProposalsPerMessage)
      continue;
    send(Proposal.Owner, Message);
    Message.Lists.clear();
  }
  for (const auto &[Place, Message] : ByOwner)
    if (!Message.Lists.empty())
      send(Place.first, Message);
}

} // namespace dragonflyvane
