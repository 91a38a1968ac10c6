/// Grants by call: which calls the local backend server is to get next, and
/// which ranges it may hold after the calls that it got.
#ifndef DRAGONFLYVANE_CORE_OWNERSHIP_CALL_GRANTS_HPP
#define DRAGONFLYVANE_CORE_OWNERSHIP_CALL_GRANTS_HPP

#include "dragonflyvane/core/ownership/grant_policy.hpp"

#include <optional>
#include <string>
#include <vector>

namespace dragonflyvane {

/// The longest time between the decision to call and the arrival of the call at
/// the server, if it arrives. The sender drops a call that it cannot send well
/// before that.
inline constexpr std::chrono::milliseconds MaxCallArrivalDelay{400};
/// A call is dropped if it has not been sent this long after the decision.
inline constexpr std::chrono::milliseconds MaxCallSendDelay{300};

/// The grants to a backend server that is called for each range. A hold begins
/// when the call arrives. A call without a response may be applied at any later
/// time, even after newer grants and releases, but its hold ends as if it had
/// been applied on arrival.
class call_grants {
public:
  /// No hold of a server lasts longer than `MaxHold`. Grants of an earlier run
  /// of the daemon may be in force for this long after `Now`.
  call_grants(duration MaxHold, time_point Now)
      : EarlierRunExpiry(Now + MaxHold) {}

  /// Returns the calls to make now, and records them as made. The holds that
  /// they grant end before `Until`, the end of the host's lease.
  std::vector<key_call> takeDueCalls(grant_policy &Policy,
                                     const ownership_map &Map, time_point Until,
                                     time_point Now);
  /// Records the result of a call. A range for which the server has seen a
  /// higher token is not granted again under its current one.
  void onResult(uint64_t CallId, const key_call_result &Result, time_point Now);
  /// Records that the server refused a request since it does not hold the key
  /// point. Its range is granted again at once.
  void onKeyRefused(key_point Point);

  /// Lets failed calls be repeated at once, since the server has just sent a
  /// heartbeat.
  void retryAtOnce() { Deferred.clear(); }

  // The operations of `grant_method`.
  void startIncarnation(time_point Now);
  void onServerTerminated();
  bool holds(key_point Point, time_point Now) const;
  bool mayHold(const owned_range &Range, time_point Now) const;
  std::string handoverOf(const owned_range &Range) const;

private:
  /// A grant that the server may have applied, or a part of it.
  struct possible_hold {
    uint64_t CallId = 0;
    key_point First = 0;
    key_point Last = 0;
    uint64_t Token = 0;
    /// When the hold has ended, even by the slowest clock of a server.
    time_point ExpiresAt{};
    /// Whether the server has responded that it applied the grant, so that it
    /// cannot apply it later.
    bool IsAnswered = false;
  };
  /// A range for which requests may be sent to the server.
  struct usable_range {
    key_point First = 0;
    key_point Last = 0;
    uint64_t Token = 0;
    time_point Until{};
  };
  struct pending_call {
    key_call Call;
    time_point SentAt{};
  };
  /// A range that is not to be called about before a time.
  struct deferred_range {
    key_point First = 0;
    key_point Last = 0;
    time_point Until{};
  };
  /// A range that the server has released, with the token of the release.
  struct completed_release {
    key_point First = 0;
    key_point Last = 0;
    uint64_t Token = 0;
    std::string Handover;
  };

  int countPendingRepeats() const;
  /// Returns whether the range may have been granted under its token before.
  bool wasSent(const owned_range &Range) const;
  /// Returns whether a call about a part of the range is pending or deferred.
  bool mustWait(const owned_range &Range, time_point Now) const;
  bool needsGrant(const owned_range &Range, time_point NewEnd,
                  time_point Now) const;
  bool needsRelease(const owned_range &Range, time_point Now) const;
  /// Returns the time until which all keys of the range are usable.
  time_point usableUntil(const owned_range &Range) const;
  key_call &addCall(key_call_kind Kind, const owned_range &Range,
                    std::vector<key_call> &Calls, time_point Now);
  void recordSent(const granted_range &Range);
  void onGranted(const pending_call &Call, time_point Now);
  void onReleased(const pending_call &Call, const std::string &Handover);
  void removeHoldsOf(uint64_t CallId);
  void defer(const granted_range &Range, time_point Until);
  void removeExpired(time_point Now);

  /// The time by which every hold of an earlier run of the daemon has expired.
  time_point EarlierRunExpiry;
  uint64_t LastCallId = 0;
  std::vector<possible_hold> Holds;
  std::vector<usable_range> Usable;
  std::vector<pending_call> Pending;
  std::vector<deferred_range> Deferred;
  /// The oldest first.
  std::vector<completed_release> Releases;
  /// The highest token in the first map that this run of the daemon saw. An
  /// earlier run may have sent grants with tokens up to it.
  std::optional<uint64_t> HighestEarlierToken;
  /// The ranges and tokens of all grants that the server may have received, the
  /// latest last.
  std::vector<held_range> Sent;
  /// Ranges under tokens that the server refused.
  std::vector<held_range> Refused;
};

static_assert(grant_method<call_grants>);

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_OWNERSHIP_CALL_GRANTS_HPP
