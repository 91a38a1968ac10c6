/// The operator state of a daemon: the configuration, evacuations and rollout
/// orders in force, and the time at which the store last confirmed that they
/// are current.
#ifndef DRAGONFLYVANE_CORE_CONFIGURATION_OPERATOR_STATE_HPP
#define DRAGONFLYVANE_CORE_CONFIGURATION_OPERATOR_STATE_HPP

#include "dragonflyvane/core/clock.hpp"
#include "dragonflyvane/core/configuration/configuration.hpp"
#include "dragonflyvane/core/rollout/rollout_order.hpp"
#include "dragonflyvane/core/store.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace dragonflyvane {

/// A decoded operator row; it holds a configuration, an evacuation or the order
/// of a rollout.
struct operator_row {
  /// The complete configuration, or null.
  std::shared_ptr<const configuration> Configuration;
  /// The failure domain that must get no requests and no ranges while the row
  /// exists, or empty.
  std::string EvacuatedFailureDomain;
  /// The order of a rollout, if the row holds one.
  std::optional<rollout_order> Rollout = std::nullopt;
};

/// Decodes an operator row. Returns nothing for an unknown or invalid row, and
/// logs why a row is invalid.
using operator_row_decoder =
    std::function<std::optional<operator_row>(const stored_row &)>;

/// The configuration that a daemon has in force, for daemons that start beside
/// a return of the store.
struct known_configuration {
  /// The row that holds the configuration; its version is not that of the
  /// store.
  stored_row Row;
  /// As in `operator_state::confirmationAge`.
  std::chrono::milliseconds ConfirmationAge{0};
};

/// The operator rows that are in force at this daemon. A row is changed or
/// deleted only by a newer version, and a deleted row does not come back by an
/// older one. A deletion without a version applies to any. A
/// configuration is also never replaced by an earlier one, which the store
/// shows after it has come back from an older copy.
class operator_state {
public:
  /// `Rows` are the operator rows whose versions the store has to confirm. Rows
  /// of rollout orders are not among them, since their names come from the
  /// configuration; they are read and watched with the others.
  operator_state(std::vector<row_id> Rows, operator_row_decoder Decode)
      : Rows(std::move(Rows)), Decode(std::move(Decode)) {}

  /// Applies a row that was read or watched. Returns whether the state changed.
  /// An unknown or invalid row changes only the known version of the row.
  bool apply(const stored_row &Row);
  /// Applies a batch of all operator rows; a missing row counts as deleted.
  /// Returns whether the state changed.
  bool applyAll(const row_batch &Batch);

  /// Returns the version of the newest change of the confirmed rows, which are
  /// those that the constructor got.
  row_version newestVersion() const { return NewestVersion; }
  /// Returns the confirmed rows that exist, for peers that know an older
  /// version.
  row_batch confirmedRows() const;
  /// Applies the confirmed rows of a peer if the peer knows a newer version.
  /// The rows must be of the known era. Returns whether they were newer.
  bool applyRowsOfPeer(const row_batch &Batch);
  /// Records that the store confirmed the known versions in response to a
  /// request that was sent at `SentAt`. Has no effect while the state is
  /// settling and the store has an earlier configuration than the one in force:
  /// a later one that operators have written may be missing as well.
  void confirm(time_point SentAt);
  /// Sets whether operators may not have written their rows again since the
  /// store came back from an older copy. Evacuations and rollout orders then
  /// stay as they are.
  /// Returns whether the state changed.
  bool setSettling(bool Value);

  /// Called when the daemon starts beside a return of the store. The store may
  /// have an earlier configuration than the newest one. It is not confirmed
  /// before `endAwaiting`, a configuration row of a version above `Noted` (if
  /// that is not 0), or `adopt`.
  void awaitNewest(row_version Noted);
  /// Called when operators have had the time to write their rows again. From
  /// then on the store has the newest configuration.
  void endAwaiting();
  /// Whether the newest configuration may still be unknown.
  bool awaitsNewest() const { return AwaitsNewest; }
  /// Takes up the configuration of a daemon that knows the newest one. Returns
  /// whether the configuration in force changed.
  bool adopt(const known_configuration &Known, time_point Now);
  /// Returns the configuration in force for other daemons; nothing if this
  /// daemon may not know the newest one.
  std::optional<known_configuration> knownConfiguration(time_point Now) const;

  /// Returns a condition for each row, which holds only while the known version
  /// of the row is current.
  std::vector<row_condition> conditions() const;
  /// Returns the configuration in force, or null before the first one. It stays
  /// in force when its row is deleted.
  std::shared_ptr<const configuration> config() const { return Config; }
  /// Returns whether operators have evacuated the failure domain.
  bool isEvacuated(const std::string &Domain) const {
    return Evacuated.contains(Domain);
  }
  /// Returns whether the failure domain was evacuated already when this daemon
  /// first saw the row that evacuates it, so that it is not known since when.
  bool wasFoundEvacuated(const std::string &Domain) const {
    return FoundEvacuated.contains(Domain);
  }
  /// Returns the rollout orders in force by service.
  const std::map<std::string, rollout_order> &rollouts() const {
    return Rollouts;
  }
  /// Returns the confirmation age: the time since the sending of the latest
  /// request whose response confirmed that the state is current.
  duration confirmationAge(time_point Now) const { return Now - ConfirmedAt; }

private:
  std::vector<row_id> Rows;
  operator_row_decoder Decode;
  /// Applies a row that evacuates a failure domain.
  void applyEvacuation(const row_id &Row, const std::string &Domain,
                       bool IsFirstSight);
  /// Brings the evacuations and rollout orders in force in line with the rows,
  /// unless settling. Returns whether they changed.
  bool updateOrders();
  /// Returns the ids of all rows that may exist in the store.
  std::set<row_id> knownRows() const;
  /// Returns whether the configuration in force changed.
  bool applyConfiguration(const std::shared_ptr<const configuration> &Latest,
                          const std::string &Value);

  /// Whether the store has to confirm the versions of the row.
  bool isConfirmed(const row_id &Id) const;

  /// What is known of a row in the store.
  struct known_row {
    /// The version of the newest known change, also of a deletion.
    row_version Version = 0;
    bool Exists = false;
    /// Whether this daemon has seen the row or its absence.
    bool IsSeen = false;
  };

  std::map<row_id, known_row> KnownRows;
  /// The values of the confirmed rows.
  std::map<row_id, std::string> Values;
  row_version NewestVersion = 0;
  /// The failure domain of each row that evacuates one.
  std::map<row_id, std::string> DomainOfRow;
  /// The rollout order of each row that holds one.
  std::map<row_id, rollout_order> RolloutOfRow;
  bool IsSettling = false;
  bool AwaitsNewest = false;
  /// The version of the era row since which `AwaitsNewest`.
  row_version NotedVersion = 0;
  /// The configuration in force came from a peer, and the store may have an
  /// earlier one.
  bool IsAdopted = false;
  /// The value of the row of the configuration in force.
  std::string ConfigValue;
  std::shared_ptr<const configuration> Config;
  /// The row that holds the configuration, once known.
  std::optional<row_id> ConfigRow;
  /// The version of the configuration that the store has; 0 if it has none.
  uint64_t StoredConfigVersion = 0;
  std::set<std::string> Evacuated;
  /// The evacuated failure domains whose rows existed at first sight.
  std::set<std::string> FoundEvacuated;
  std::map<std::string, rollout_order> Rollouts;
  time_point ConfirmedAt{};
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_CONFIGURATION_OPERATOR_STATE_HPP
