/// A member as owner and standby of slices.
#include "dragonflyvane/core/member.hpp"

#include <utility>

namespace dragonflyvane {

change_context member::changeContext() const {
  return {View, Registry, Lease->holder(), InFlightOfSlice, IsRowBeingWritten};
}

/// Slices whose owner is gone, and whose old epoch this host has released,
/// need a new list in the table before anyone can serve them.
void member::promoteReleased(time_point Now) {
  if (!isInOffice(Now))
    return;
  for (const auto &[Slice, Epoch] : Released) {
    const succession_list *List = View.list(Slice);
    if (!List || List->Epoch != Epoch || ownerOf(Slice) != Lease->holder())
      continue;
    std::vector<host_ref> Target = {Lease->holder()};
    for (const host_ref &Ref : List->Entries)
      if (Ref != Lease->holder() && !Registry.isLapsed(Ref, View))
        Target.push_back(Ref);
    Changes.begin(Slice, Epoch, std::move(Target));
    Actions.ReadTable = true;
  }
}

void member::changeLists(time_point Now) {
  if (!isInOffice(Now) || Changes.size() == 0)
    return;
  change_context Context = changeContext();
  for (outgoing_message &Message : Changes.askReleases(Context, Now))
    Actions.Messages.push_back(std::move(Message));
  for (row_change &Row : Changes.readyRows(Context, Now))
    write(write_kind::Lists, std::move(Row.Transaction));
}

void member::noteCommittedRow(const std::string &RowKey) {
  const succession_row *Row = View.row(RowKey);
  if (!Row)
    return;
  std::set<std::string> Hosts;
  for (const succession_list &List : *Row)
    for (const host_ref &Ref : List.Entries)
      Hosts.insert(Ref.Host);
  for (const std::string &Host : Hosts)
    send(Host, table_news{View.versionOf(RowKey)});
}

} // namespace dragonflyvane
