#include "dragonflyvane/core/cluster/cluster_view.hpp"

#include "dragonflyvane/core/error.hpp"

#include <algorithm>

namespace dragonflyvane {

namespace {

const std::string HostPrefix = "host/";
const std::string MapPrefix = "map/";
const std::string RolloutPrefix = "rollout/";
const std::string CoordinatorKey = "steward";

bool startsWith(const std::string &Text, const std::string &Prefix) {
  return Text.compare(0, Prefix.size(), Prefix) == 0;
}

/// Applies a row to the decoded rows of its type, if it is newer than the known
/// row. Returns whether the decoded rows changed.
template <typename Value>
bool applyRow(std::map<std::string, versioned<Value>> &Rows,
              const std::string &Name, const stored_row &Row,
              Value (*Decode)(const std::string &)) {
  auto Known = Rows.find(Name);
  if (Known != Rows.end() && Row.Version <= Known->second.Version)
    return false;
  if (!Row.Value)
    return Rows.erase(Name) > 0;
  Rows[Name] = {Decode(*Row.Value), Row.Version};
  return true;
}

} // namespace

row_version lineageOf(const ownership_map &Map, row_version RowVersion) {
  if (Map.RestoredFrom > 0)
    return Map.RestoredFrom;
  return versionIn(Map.Era, versionInEra(RowVersion));
}

row_id hostRow(const std::string &Host) {
  return {row_kind::Cluster, HostPrefix + Host};
}

row_id mapRow(const std::string &Service) {
  return {row_kind::Cluster, MapPrefix + Service};
}

row_id rolloutRow(const std::string &Service) {
  return {row_kind::Cluster, RolloutPrefix + Service};
}

row_id rolloutStatusRow(const std::string &Service) {
  return {row_kind::Status, RolloutPrefix + Service};
}

row_id coordinatorRow() { return {row_kind::Cluster, CoordinatorKey}; }

row_id leaseRow(const std::string &Holder) { return {row_kind::Lease, Holder}; }

bool cluster_view::apply(const stored_row &Row) {
  auto Known = Unreadable.find(Row.Id);
  bool IsOlder =
      Row.Value && Known != Unreadable.end() && Row.Version <= Known->second;
  if (IsOlder)
    return false;
  try {
    bool IsChanged = applyReadable(Row);
    Unreadable.erase(Row.Id);
    return IsChanged;
  } catch (const step_error &) {
    Unreadable[Row.Id] = Row.Version;
    throw;
  }
}

bool cluster_view::applyReadable(const stored_row &Row) {
  const std::string &Key = Row.Id.Key;
  if (startsWith(Key, HostPrefix))
    return applyRow(Hosts, Key.substr(HostPrefix.size()), Row, &decodeHost);
  if (startsWith(Key, MapPrefix))
    return applyMap(Key.substr(MapPrefix.size()), Row);
  if (startsWith(Key, RolloutPrefix))
    return applyRollout(Key.substr(RolloutPrefix.size()), Row);
  if (Key != CoordinatorKey || Row.Version <= CoordinatorHost.Version)
    return false;
  CoordinatorHost = {Row.Value.value_or(""), Row.Value ? Row.Version : 0};
  return true;
}

bool cluster_view::applyMap(const std::string &Service, const stored_row &Row) {
  auto Known = Maps.find(Service);
  if (!Row.Value ||
      (Known != Maps.end() && Row.Version <= Known->second.Version))
    return false;
  ownership_map Map = decodeMap(*Row.Value);
  known_map &Entry = Maps[Service];
  Entry.Version = Row.Version;
  Entry.StoredLineage = lineageOf(Map, Row.Version);
  if (Entry.isStoreBehind())
    return true;
  Entry.Lineage = Entry.StoredLineage;
  Entry.Content = std::move(Map);
  return true;
}

bool cluster_view::applyRollout(const std::string &Service,
                                const stored_row &Row) {
  auto Known = Rollouts.find(Service);
  if (!Row.Value ||
      (Known != Rollouts.end() && Row.Version <= Known->second.Version))
    return false;
  rollout_state State = decodeRollout(*Row.Value);
  known_rollout &Entry = Rollouts[Service];
  Entry.Version = Row.Version;
  Entry.StoredSequence = State.Sequence;
  if (!Entry.isStoreBehind())
    Entry.Content = std::move(State);
  return true;
}

bool cluster_view::removeMissingRow(const row_condition &Condition) {
  const std::string &Key = Condition.Id.Key;
  if (Condition.Version == 0)
    return false;
  auto Found = Unreadable.find(Condition.Id);
  if (Found != Unreadable.end() && Found->second == Condition.Version)
    Unreadable.erase(Found);
  for (auto &[Service, Map] : Maps) {
    if (mapRow(Service) != Condition.Id || Map.Version != Condition.Version)
      continue;
    Map.Version = 0;
    Map.StoredLineage = 0;
    return true;
  }
  for (auto &[Service, Rollout] : Rollouts) {
    if (rolloutRow(Service) != Condition.Id ||
        Rollout.Version != Condition.Version)
      continue;
    Rollout.Version = 0;
    Rollout.StoredSequence = 0;
    return true;
  }
  if (Key == CoordinatorKey && CoordinatorHost.Version == Condition.Version) {
    CoordinatorHost = {};
    return true;
  }
  return std::erase_if(Hosts, [&](const auto &Host) {
           return hostRow(Host.first) == Condition.Id &&
                  Host.second.Version == Condition.Version;
         }) > 0;
}

void cluster_view::removeMissing(const row_batch &Batch) {
  auto Exists = [&](const row_id &Id) {
    return std::any_of(Batch.Rows.begin(), Batch.Rows.end(),
                       [&](const stored_row &Row) { return Row.Id == Id; });
  };
  std::erase_if(Unreadable, [&](const auto &U) { return !Exists(U.first); });
  std::erase_if(Hosts,
                [&](const auto &H) { return !Exists(hostRow(H.first)); });
  for (auto &[Service, Map] : Maps) {
    if (Exists(mapRow(Service)))
      continue;
    Map.Version = 0;
    Map.StoredLineage = 0;
  }
  for (auto &[Service, Rollout] : Rollouts) {
    if (Exists(rolloutRow(Service)))
      continue;
    Rollout.Version = 0;
    Rollout.StoredSequence = 0;
  }
  if (!Exists(coordinatorRow()))
    CoordinatorHost = {};
}

const known_map *cluster_view::map(const std::string &Service) const {
  auto Found = Maps.find(Service);
  return Found == Maps.end() ? nullptr : &Found->second;
}

const known_rollout *cluster_view::rollout(const std::string &Service) const {
  auto Found = Rollouts.find(Service);
  return Found == Rollouts.end() ? nullptr : &Found->second;
}

std::set<std::string> cluster_view::knownHosts() const {
  std::set<std::string> Names;
  for (const auto &[Name, Row] : Hosts)
    Names.insert(Name);
  for (const auto &[Id, Version] : Unreadable)
    if (startsWith(Id.Key, HostPrefix))
      Names.insert(Id.Key.substr(HostPrefix.size()));
  for (const auto &[Service, Map] : Maps)
    for (const owned_range &Range : Map.Content.Ranges)
      if (!Range.Owner.empty())
        Names.insert(Range.Owner);
  return Names;
}

row_version cluster_view::hostVersion(const std::string &Name) const {
  auto Readable = Hosts.find(Name);
  auto Latest = Unreadable.find(hostRow(Name));
  if (Latest != Unreadable.end())
    return Latest->second;
  return Readable == Hosts.end() ? 0 : Readable->second.Version;
}

const host_info *cluster_view::host(const std::string &Name) const {
  auto Found = Hosts.find(Name);
  return Found == Hosts.end() ? nullptr : &Found->second.Content;
}

size_t otherReadyServers(const cluster_view &View, const std::string &Host) {
  const host_info *Info = View.host(Host);
  if (!Info)
    return 0;
  size_t Others = 0;
  size_t Ready = 0;
  for (const auto &[Name, Row] : View.hosts()) {
    if (Name == Host || Row.Content.Service != Info->Service)
      continue;
    ++Others;
    Ready += Row.Content.Availability == server_availability::Ready;
  }
  return Others == 0 ? 1 : Ready;
}

} // namespace dragonflyvane
