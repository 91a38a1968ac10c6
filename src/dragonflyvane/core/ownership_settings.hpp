/// Times and rules of ownership, shared by every part of it.
#ifndef DRAGONFLYVANE_CORE_OWNERSHIP_SETTINGS_HPP
#define DRAGONFLYVANE_CORE_OWNERSHIP_SETTINGS_HPP

#include "dragonflyvane/core/clock.hpp"

#include <cstddef>

namespace dragonflyvane {

/// The times of leases. Every daemon of a deployment uses the same.
struct ownership_timing {
  /// How long a lease runs from the sending of a renewal.
  std::chrono::milliseconds Lease{1200};
  /// How long before the end of the lease a holder stops by itself.
  std::chrono::milliseconds Margin{100};
  std::chrono::milliseconds RenewPeriod{300};
  /// The most that two clocks drift apart, in thousandths.
  int DriftPermille = 10;
  /// A witness that did not answer for so long is replaced.
  std::chrono::milliseconds WitnessSilence{3000};
  std::chrono::milliseconds RetryPeriod{200};
  /// A steward whose row did not change for so long is replaced.
  std::chrono::milliseconds StewardSilence{5000};
  std::chrono::milliseconds StewardPeriod{1000};

  /// How long a witness hears nothing before it certifies a lapse.
  duration lapseAfter() const {
    return duration(Lease) * (1000 + DriftPermille) / 1000;
  }
};

/// The rules that keep a key from having two owners. All of them hold outside
/// tests; a test switches one off to show that its checker finds the fault.
struct safety_rules {
  bool LeaseCountsFromSending = true;
  bool MajorityRenews = true;
  bool WitnessKeepsItsCertificate = true;
  bool RestartedWitnessIsBarred = true;
  bool NewWitnessWaits = true;
  bool ReleaseBeforeWrite = true;
  bool StopBeforeGivingUp = true;
  bool BothWitnessSetsWhileChanging = true;
  bool LeaseCheckedAtDispatch = true;
  bool EndedGenerationIsCertified = true;
  bool CertificateNamesRun = true;
  bool ClaimsName = true;
};

/// A table read older than this does not show enough to plan by.
inline constexpr std::chrono::milliseconds FreshRead{3000};
/// The most witnesses of one host; a majority of them renews its lease.
inline constexpr size_t MaxWitnesses = 5;
/// Entries of a full succession list: the owner and its standbys.
inline constexpr size_t FullListSize = 3;

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_OWNERSHIP_SETTINGS_HPP
