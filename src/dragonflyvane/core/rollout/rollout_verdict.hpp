/// Judges by the responses of both versions whether the new one is bad.
#ifndef DRAGONFLYVANE_CORE_ROLLOUT_ROLLOUT_VERDICT_HPP
#define DRAGONFLYVANE_CORE_ROLLOUT_ROLLOUT_VERDICT_HPP

#include "dragonflyvane/core/rollout/rollout_evidence.hpp"

#include <string>

namespace dragonflyvane {

/// What the evidence says about the new version.
struct rollout_verdict {
  /// The version certainly fails more often or is several times slower.
  bool IsBad = false;
  /// The version looks worse, but that may be chance.
  bool IsSuspicious = false;
  /// What is bad, for operators; empty if nothing is.
  std::string Reason;
};

/// Judges one sample. The failures of the new version are compared with those
/// of the old version in `Sample` and in `Baseline`, the longer sample, and the
/// times with those in `Baseline`, both by route.
rollout_verdict judge(const rollout_sample &Sample,
                      const rollout_sample &Baseline);

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_ROLLOUT_ROLLOUT_VERDICT_HPP
