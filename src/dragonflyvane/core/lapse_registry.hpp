/// The lapse certificates that a daemon has heard of.
#ifndef DRAGONFLYVANE_CORE_LAPSE_REGISTRY_HPP
#define DRAGONFLYVANE_CORE_LAPSE_REGISTRY_HPP

#include "dragonflyvane/core/cluster_view.hpp"
#include "dragonflyvane/core/messages.hpp"
#include "dragonflyvane/core/ownership_settings.hpp"

#include <map>
#include <vector>

namespace dragonflyvane {

/// Collects certificates and says whose lease is proven to have lapsed: by a
/// majority of the witnesses that the holder's row names.
class lapse_registry {
public:
  explicit lapse_registry(const safety_rules &Rules = {}) : Rules(Rules) {}

  /// Returns whether the certificate was new.
  bool add(const lapse_certificate &Certificate);
  bool isLapsed(const host_ref &Holder, const cluster_view &View) const;
  bool hasCertified(const witness_id &Witness, const host_ref &Holder) const;
  /// Forgets the certificates of generations that are over.
  void forgetEnded(const cluster_view &View);
  /// Equal for daemons that know the same certificates.
  uint64_t digest() const;
  std::vector<lapse_certificate> all() const;

private:
  bool counts(const lapse_certificate &Certificate, const witness_id &Member,
              const witness_set &Set) const;

  safety_rules Rules;
  std::map<host_ref, std::vector<lapse_certificate>> Certificates;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_LAPSE_REGISTRY_HPP
