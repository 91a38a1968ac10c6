#include "dragonflyvane/core/list_changes.hpp"

#include <algorithm>

namespace dragonflyvane {

namespace {

/// Slices named in one datagram.
constexpr size_t SlicesPerMessage = 64;

} // namespace

void list_changes::begin(const slice_id &Slice, uint64_t Epoch,
                         std::vector<host_ref> Target) {
  auto [Place, IsNew] = Changes.try_emplace(Slice);
  if (!IsNew)
    return;
  Place->second.Epoch = Epoch;
  Place->second.Target = std::move(Target);
}

bool list_changes::isGivenUp(const slice_id &Slice,
                             const host_ref &Self) const {
  auto Found = Changes.find(Slice);
  return Rules.StopBeforeGivingUp && Found != Changes.end() &&
         Found->second.Stopped && Found->second.Target.front() != Self;
}

void list_changes::onRelease(const release_answer &Answer) {
  for (const slice_epoch &Slice : Answer.Slices) {
    auto Found = Changes.find({Answer.Service, Slice.Index});
    if (Found != Changes.end() && Found->second.Epoch == Slice.Epoch)
      Found->second.Released.insert(Answer.From);
  }
}

void list_changes::onView(const cluster_view &View) {
  std::erase_if(Changes, [&](const auto &Entry) {
    const succession_list *List = View.list(Entry.first);
    return List && List->Epoch > Entry.second.Epoch;
  });
}

void list_changes::onTableAnswered() {
  for (auto &[Slice, Change] : Changes)
    Change.TableAnswered = true;
}

void list_changes::abandon(const std::string &RowKey) {
  std::erase_if(Changes, [&](const auto &Entry) {
    return rowKeyOf(Entry.first) == RowKey && Entry.second.WritesSent == 1;
  });
}

void list_changes::retry(const std::string &RowKey) {
  for (auto &[Slice, Change] : Changes)
    if (rowKeyOf(Slice) == RowKey)
      Change.LastWritten = {};
}

bool list_changes::hasDrained(const slice_id &Slice, const change &Change,
                              const change_context &Context) {
  bool KeepsOwner = Change.Target.front() == Context.Self;
  return KeepsOwner || !Context.InFlight || Context.InFlight(Slice) == 0;
}

std::vector<host_ref>
list_changes::missingReleases(const slice_id &Slice, const change &Change,
                              const change_context &Context) const {
  std::vector<host_ref> Missing;
  const succession_list *List = Context.View.list(Slice);
  if (!List || !Rules.ReleaseBeforeWrite)
    return Missing;
  for (const host_ref &Ref : List->Entries) {
    bool Settled = Ref == Context.Self || Change.Released.contains(Ref) ||
                   Context.Registry.isLapsed(Ref, Context.View);
    if (!Settled)
      Missing.push_back(Ref);
  }
  return Missing;
}

std::vector<outgoing_message>
list_changes::askReleases(const change_context &Context, time_point Now) {
  std::map<std::pair<std::string, std::string>, std::vector<slice_epoch>> Due;
  for (auto &[Slice, Change] : Changes) {
    bool IsDue =
        Change.TableAnswered && Now - Change.LastAsked >= Timing.RetryPeriod;
    if (!IsDue)
      continue;
    for (const host_ref &Ref : missingReleases(Slice, Change, Context))
      Due[{Ref.Host, Slice.Service}].push_back({Slice.Index, Change.Epoch});
    Change.LastAsked = Now;
  }
  std::vector<outgoing_message> Out;
  for (const auto &[Place, Slices] : Due)
    for (size_t I = 0; I < Slices.size(); I += SlicesPerMessage) {
      auto End = Slices.begin() + std::min(I + SlicesPerMessage, Slices.size());
      release_request Request{Place.second, {Slices.begin() + I, End}};
      Out.push_back({Place.first, Request});
    }
  return Out;
}

bool list_changes::isReady(const slice_id &Slice, change &Change,
                           const change_context &Context,
                           time_point Now) const {
  const succession_list *List = Context.View.list(Slice);
  bool MayStop = List && List->Epoch == Change.Epoch && Change.TableAnswered &&
                 missingReleases(Slice, Change, Context).empty();
  Change.Stopped = Change.Stopped || MayStop;
  return MayStop && Now - Change.LastWritten >= Timing.RetryPeriod &&
         hasDrained(Slice, Change, Context) &&
         !Context.IsWriting(rowKeyOf(Slice));
}

std::vector<row_change> list_changes::readyRows(const change_context &Context,
                                                time_point Now) {
  std::map<std::string, row_change> Rows;
  std::map<std::string, succession_row> Contents;
  for (auto &[Slice, Change] : Changes) {
    if (!isReady(Slice, Change, Context, Now))
      continue;
    Change.LastWritten = Now;
    ++Change.WritesSent;
    std::string Key = rowKeyOf(Slice);
    auto [Content, IsNew] = Contents.try_emplace(Key);
    if (IsNew)
      Content->second = *Context.View.row(Key);
    Content->second[Slice.Index % SlicesPerRow] = {Change.Epoch + 1,
                                                   Change.Target};
    Rows[Key].Slices.push_back(Slice);
  }
  std::vector<row_change> Ready;
  for (auto &[Key, Row] : Rows) {
    Row.RowKey = Key;
    Row.Transaction.Conditions.push_back({Key, Context.View.versionOf(Key)});
    Row.Transaction.Writes.push_back({Key, encodeRow(Contents[Key])});
    Ready.push_back(std::move(Row));
  }
  return Ready;
}

} // namespace dragonflyvane
