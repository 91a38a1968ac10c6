#include "dragonflyvane/core/configuration/feature_switch.hpp"

#include <doctest/doctest.h>

using namespace dragonflyvane;

namespace {

operator_state makeState(const configuration &Config) {
  row_id Row{row_kind::Operator, "config"};
  operator_state State({Row}, [Config](const stored_row &) {
    operator_row Decoded;
    Decoded.Configuration = std::make_shared<const configuration>(Config);
    return Decoded;
  });
  State.apply({Row, 1, "config"});
  return State;
}

} // namespace

// Guards against a feature that changes deployments which do not call for it.
TEST_CASE("an automatic feature is on only without workspaces") {
  configuration Config;
  operator_state Open = makeState(Config);
  Config.Workspaces["members"] = workspace{"members"};
  operator_state Limited = makeState(Config);
  operator_state Empty({}, nullptr);
  CHECK(feature_switch(feature_mode::Automatic, Open).isOn());
  CHECK_FALSE(feature_switch(feature_mode::Automatic, Limited).isOn());
  CHECK_FALSE(feature_switch(feature_mode::Automatic, Empty).isOn());
  CHECK(feature_switch(feature_mode::On, Limited).isOn());
  CHECK_FALSE(feature_switch(feature_mode::Off, Open).isOn());
}
