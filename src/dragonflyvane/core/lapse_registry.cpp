#include "dragonflyvane/core/lapse_registry.hpp"

#include <algorithm>

namespace dragonflyvane {

bool lapse_registry::add(const lapse_certificate &Certificate) {
  auto &Known = Certificates[Certificate.Holder];
  if (std::find(Known.begin(), Known.end(), Certificate) != Known.end())
    return false;
  Known.push_back(Certificate);
  return true;
}

bool lapse_registry::counts(const lapse_certificate &Certificate,
                            const witness_id &Member,
                            const witness_set &Set) const {
  bool Applies = Certificate.Witness.Host == Member.Host &&
                 Certificate.MinSetVersion <= Set.Version;
  bool SameRun = Certificate.Witness == Member;
  return Applies && (SameRun || !Rules.CertificateNamesRun ||
                     Certificate.KnownSetVersion >= Set.Version);
}

bool lapse_registry::isLapsed(const host_ref &Holder,
                              const cluster_view &View) const {
  if (View.isEnded(Holder))
    return true;
  auto Found = Certificates.find(Holder);
  const host_record *Record = View.host(Holder.Host);
  if (Found == Certificates.end() || !Record ||
      Record->Generation != Holder.Generation)
    return false;
  const witness_set &Set = Record->Witnesses;
  size_t Votes = 0;
  for (const witness_id &Member : Set.Members)
    Votes += std::any_of(Found->second.begin(), Found->second.end(),
                         [&](const lapse_certificate &Certificate) {
                           return counts(Certificate, Member, Set);
                         });
  return !Set.Members.empty() && Votes >= Set.majority();
}

bool lapse_registry::hasCertified(const witness_id &Witness,
                                  const host_ref &Holder) const {
  auto Found = Certificates.find(Holder);
  if (Found == Certificates.end())
    return false;
  return std::any_of(Found->second.begin(), Found->second.end(),
                     [&](const lapse_certificate &Certificate) {
                       return Certificate.Witness == Witness;
                     });
}

void lapse_registry::forgetEnded(const cluster_view &View) {
  std::erase_if(Certificates,
                [&](const auto &Entry) { return View.isEnded(Entry.first); });
}

uint64_t lapse_registry::digest() const {
  uint64_t Sum = 0;
  for (const auto &[Holder, Known] : Certificates)
    for (const lapse_certificate &Certificate : Known)
      Sum += rendezvousHash(toString(Holder), Certificate.Witness.Host) +
             Certificate.Witness.Incarnation + Certificate.MinSetVersion;
  return Sum;
}

std::vector<lapse_certificate> lapse_registry::all() const {
  std::vector<lapse_certificate> Result;
  for (const auto &[Holder, Known] : Certificates)
    Result.insert(Result.end(), Known.begin(), Known.end());
  return Result;
}

} // namespace dragonflyvane
