/// Switches for features that not every deployment needs.
#ifndef DRAGONFLYVANE_CORE_CONFIGURATION_FEATURE_SWITCH_HPP
#define DRAGONFLYVANE_CORE_CONFIGURATION_FEATURE_SWITCH_HPP

#include "dragonflyvane/core/configuration/operator_state.hpp"

namespace dragonflyvane {

/// Whether a feature is on.
enum class feature_mode {
  /// On if the configuration has no workspaces. The rates of workspaces bound
  /// the demand; without them only the servers do.
  Automatic,
  On,
  Off,
};

/// The state of one feature, which may change with the configuration.
class feature_switch {
public:
  /// `OperatorState` must outlive the object.
  feature_switch(feature_mode Mode, const operator_state &OperatorState)
      : Mode(Mode), OperatorState(OperatorState) {}

  /// Whether the feature is on now. In automatic mode it is off before the
  /// first configuration.
  bool isOn() const {
    if (Mode != feature_mode::Automatic)
      return Mode == feature_mode::On;
    auto Config = OperatorState.config();
    return Config && Config->Workspaces.empty();
  }

private:
  feature_mode Mode;
  const operator_state &OperatorState;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_CONFIGURATION_FEATURE_SWITCH_HPP
