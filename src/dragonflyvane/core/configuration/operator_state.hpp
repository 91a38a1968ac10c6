/// What operators have ordered, and how sure it is that nothing newer exists.
#ifndef DRAGONFLYVANE_CORE_CONFIGURATION_OPERATOR_STATE_HPP
#define DRAGONFLYVANE_CORE_CONFIGURATION_OPERATOR_STATE_HPP

#include "dragonflyvane/core/clock.hpp"
#include "dragonflyvane/core/configuration/configuration.hpp"
#include "dragonflyvane/core/store.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace dragonflyvane {

/// One decoded row of operators.
struct operator_row {
  /// The newest configuration, in full.
  std::shared_ptr<const configuration> Configuration;
  /// A failure domain that is to get nothing while the row stands.
  std::string EvacuatedFailureDomain;
};

/// Decodes a row's name and value; nothing if it is not understood, which the
/// decoder logs.
using operator_row_decoder =
    std::function<std::optional<operator_row>(const stored_row &)>;

/// The orders in force at this daemon. Rows never go back to an older version.
class operator_state {
public:
  /// `Rows` are those that a confirmation names.
  operator_state(std::vector<row_id> Rows, operator_row_decoder Decode)
      : Rows(std::move(Rows)), Decode(std::move(Decode)) {}

  /// A row as the store showed it. Returns whether anything changed.
  bool apply(const stored_row &Row);
  /// All rows of operators as of one moment; rows that are missing are gone.
  bool applyAll(const row_batch &Batch);
  /// The store confirmed that the rows have the known versions; the question
  /// was sent at this moment.
  void confirm(time_point SentAt);

  /// Conditions that hold only while nothing newer exists.
  std::vector<row_condition> conditions() const;
  std::shared_ptr<const configuration> config() const { return Config; }
  bool isEvacuated(const std::string &Domain) const {
    return Evacuated.contains(Domain);
  }
  /// The age of the newest evidence that the orders are current.
  duration confirmationAge(time_point Now) const { return Now - ConfirmedAt; }

private:
  std::vector<row_id> Rows;
  operator_row_decoder Decode;
  std::map<row_id, row_version> Versions;
  std::map<row_id, std::string> DomainOfRow;
  std::shared_ptr<const configuration> Config;
  std::set<std::string> Evacuated;
  time_point ConfirmedAt{};
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_CONFIGURATION_OPERATOR_STATE_HPP
