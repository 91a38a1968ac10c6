/// Changes of succession lists, as their owner carries them out.
#ifndef DRAGONFLYVANE_CORE_LIST_CHANGES_HPP
#define DRAGONFLYVANE_CORE_LIST_CHANGES_HPP

#include "dragonflyvane/core/cluster_view.hpp"
#include "dragonflyvane/core/host_lease.hpp"
#include "dragonflyvane/core/lapse_registry.hpp"
#include "dragonflyvane/core/messages.hpp"
#include "dragonflyvane/core/ownership_settings.hpp"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace dragonflyvane {

/// What a change looks at while it goes on.
struct change_context {
  const cluster_view &View;
  const lapse_registry &Registry;
  const host_ref &Self;
  /// Requests of a slice that are still running here.
  const std::function<size_t(const slice_id &)> &InFlight;
  /// A write of the row is under way.
  const std::function<bool(const std::string &)> &IsWriting;
};

/// A row with new lists, ready to be written.
struct row_change {
  std::string RowKey;
  table_transaction Transaction;
  std::vector<slice_id> Slices;
};

/// Carries changes through: have the other entries release the old epoch, stop
/// serving if the slice is to be given up, wait for what runs, then write the
/// next epoch by compare-and-set. The outcome of a write is learned by reading.
class list_changes {
public:
  list_changes(const ownership_timing &Timing, const safety_rules &Rules)
      : Timing(Timing), Rules(Rules) {}

  /// Begins a change unless one is under way for the slice.
  void begin(const slice_id &Slice, uint64_t Epoch,
             std::vector<host_ref> Target);
  /// The slice is about to be handed over: admit nothing.
  bool isGivenUp(const slice_id &Slice, const host_ref &Self) const;
  void onRelease(const release_answer &Answer);
  /// Ends the changes that rows now show as done or overtaken.
  void onView(const cluster_view &View);
  /// The table answered: changes that wait for it may go on. Until then a slice
  /// is served as before, so that an outage does not stop it.
  void onTableAnswered();
  /// Another write of this row came first: try again as soon as it is read.
  void retry(const std::string &RowKey);
  /// The last write of this row certainly did not happen. Slices of which no
  /// earlier write may still land are served on.
  void abandon(const std::string &RowKey);

  /// Release requests that are due.
  std::vector<outgoing_message> askReleases(const change_context &Context,
                                            time_point Now);
  /// Stops the slices whose releases are in, and returns the rows that can be
  /// written now.
  std::vector<row_change> readyRows(const change_context &Context,
                                    time_point Now);

  size_t size() const { return Changes.size(); }
  void clear() { Changes.clear(); }

private:
  struct change {
    uint64_t Epoch = 0;
    std::vector<host_ref> Target;
    std::set<host_ref> Released;
    time_point LastAsked;
    time_point LastWritten;
    /// The table answered since the change began.
    bool TableAnswered = false;
    /// All releases are in: a slice that is handed over is not served any more.
    bool Stopped = false;
    int WritesSent = 0;
  };

  bool isReady(const slice_id &Slice, change &Change,
               const change_context &Context, time_point Now) const;
  static bool hasDrained(const slice_id &Slice, const change &Change,
                         const change_context &Context);
  std::vector<host_ref> missingReleases(const slice_id &Slice,
                                        const change &Change,
                                        const change_context &Context) const;

  ownership_timing Timing;
  safety_rules Rules;
  std::map<slice_id, change> Changes;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_LIST_CHANGES_HPP
