/// What happens to a call whose peer falls silent.
#ifndef DRAGONFLYVANE_NET_SILENCE_POLICY_HPP
#define DRAGONFLYVANE_NET_SILENCE_POLICY_HPP

namespace dragonflyvane {

/// A peer that shows no sign of life may be lost, but a full link or a process
/// that does not run for a while look the same.
enum class silence_policy {
  /// The call ends as soon as the peer is silent, so that the caller can go to
  /// another host.
  End,
  /// If the whole request was sent, the call waits for its response for longer.
  /// For calls that nobody can repeat.
  Wait
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NET_SILENCE_POLICY_HPP
