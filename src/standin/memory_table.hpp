/// A transactional table in memory, behind the platform stand-in and the tests.
#ifndef DRAGONFLYVANE_STANDIN_MEMORY_TABLE_HPP
#define DRAGONFLYVANE_STANDIN_MEMORY_TABLE_HPP

#include "dragonflyvane/core/table.hpp"

#include <map>
#include <string>

namespace dragonflyvane {

/// Rows with versions; a deleted row stays as one without a value.
class memory_table {
public:
  table_changes changesAfter(row_version After) const {
    table_changes Changes;
    Changes.Revision = Revision;
    for (const auto &[Key, Row] : Rows)
      if (Row.Version > After)
        Changes.Rows.push_back(Row);
    return Changes;
  }

  transaction_result commit(const table_transaction &Transaction) {
    for (const row_condition &Condition : Transaction.Conditions)
      if (versionOf(Condition.Key) != Condition.Version)
        return {transaction_outcome::Conflict, 0};
    ++Revision;
    for (const row_write &Write : Transaction.Writes)
      Rows[Write.Key] = {Write.Key, Revision, Write.Value};
    return {transaction_outcome::Committed, Revision};
  }

  row_version versionOf(const std::string &Key) const {
    auto Found = Rows.find(Key);
    return Found == Rows.end() ? 0 : Found->second.Version;
  }

  row_version revision() const { return Revision; }
  const std::map<std::string, table_row> &rows() const { return Rows; }

private:
  row_version Revision = 0;
  std::map<std::string, table_row> Rows;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_STANDIN_MEMORY_TABLE_HPP
