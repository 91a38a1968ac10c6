/// A host's row in the table: who it is, where it is reached, what it serves,
/// and who witnesses its lease.
#ifndef DRAGONFLYVANE_CORE_HOST_RECORD_HPP
#define DRAGONFLYVANE_CORE_HOST_RECORD_HPP

#include "dragonflyvane/core/identity.hpp"

#include <map>
#include <string>
#include <vector>

namespace dragonflyvane {

/// One witness: a host in a certain run of its daemon.
struct witness_id {
  std::string Host;
  incarnation Incarnation = 0;

  auto operator<=>(const witness_id &) const = default;
};

/// The witnesses of a lease. A change has a higher version.
struct witness_set {
  uint64_t Version = 0;
  std::vector<witness_id> Members;

  size_t majority() const { return Members.size() / 2 + 1; }
  const witness_id *find(const std::string &Host) const;
  bool operator==(const witness_set &) const = default;
};

/// A host's row. Only its own daemon writes it, but for an operator who
/// declares the host gone for good.
struct host_record {
  std::string Host;
  uint64_t Generation = 0;
  /// The run that began this generation.
  incarnation Incarnation = 0;
  /// The newest run under this name. It claims the name before it does anything
  /// else, so that an older one, back from a pause, knows that it is replaced.
  incarnation Claimant = 0;
  std::string Domain;
  /// `IP:PORT` of its peer streams, its datagrams and its entrance.
  std::string PeerAddress;
  std::string DatagramAddress;
  std::string EntranceAddress;
  /// Slots by service, as its backend server announced them.
  std::map<std::string, uint32_t> Services;
  witness_set Witnesses;

  host_ref ref() const { return {Host, Generation}; }
  bool operator==(const host_record &) const = default;
};

/// `hosts/NAME`.
std::string hostRowKey(const std::string &Host);

std::string encodeHost(const host_record &Record);
/// Throws `step_error` on malformed text.
host_record decodeHost(const std::string &Text);

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_HOST_RECORD_HPP
