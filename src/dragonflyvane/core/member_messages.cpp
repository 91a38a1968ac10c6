/// What each kind of message makes a member do.
#include "dragonflyvane/core/member.hpp"

#include <algorithm>

namespace dragonflyvane {

namespace {

/// Weight of a new load report; the rest is what was known before, so that
/// chance does not move slices.
constexpr double LoadSmoothing = 0.2;

} // namespace

void member::on(const std::string &From, const lease_renewal &Body,
                time_point Now) {
  send(From, Witness.onRenewal(Body, Now));
}

void member::on(const std::string &From, const lease_answer &Body,
                time_point Now) {
  if (Lease)
    Lease->onAnswer(From, Body, Now);
}

void member::on(const std::string &, const lapse_certificate &Body,
                time_point) {
  bool WasLapsed = Registry.isLapsed(Body.Holder, View);
  if (View.isEnded(Body.Holder) || !Registry.add(Body) || WasLapsed)
    return;
  if (Registry.isLapsed(Body.Holder, View))
    note("lease certified lapsed", Body.Holder.Host, toString(Body.Holder));
}

void member::on(const std::string &From, const lapse_query &Body,
                time_point Now) {
  if (auto Certificate = Witness.onQuery(Body.Holder, Now))
    send(From, *Certificate);
}

void member::on(const std::string &From, const lease_resignation &Body,
                time_point Now) {
  if (From != Body.Holder.Host || View.isEnded(Body.Holder))
    return;
  lapse_certificate Certificate = Witness.onResignation(Body.Holder);
  sendToAll(Certificate);
  on(Identity.Host, Certificate, Now);
}

void member::on(const std::string &From, const release_request &Body,
                time_point) {
  if (!Lease)
    return;
  release_answer Answer;
  Answer.From = Lease->holder();
  Answer.Service = Body.Service;
  for (const slice_epoch &Asked : Body.Slices) {
    slice_id Slice{Body.Service, Asked.Index};
    const succession_list *List = View.list(Slice);
    bool Serves =
        List && List->Epoch == Asked.Epoch && isActingOwner(Slice, *List);
    if (Serves)
      continue;
    uint64_t &Promise = Released[Slice];
    Promise = std::max(Promise, Asked.Epoch);
    Answer.Slices.push_back(Asked);
  }
  send(From, Answer);
}

void member::on(const std::string &, const release_answer &Body, time_point) {
  Changes.onRelease(Body);
}

void member::on(const std::string &, const list_proposal &Body, time_point) {
  if (!Lease || Resigning)
    return;
  for (const proposed_list &Proposed : Body.Lists) {
    slice_id Slice{Body.Service, Proposed.Slice.Index};
    const succession_list *List = View.list(Slice);
    bool Fits = List && List->Epoch == Proposed.Slice.Epoch &&
                !Proposed.Entries.empty() && isActingOwner(Slice, *List);
    if (!Fits)
      continue;
    Changes.begin(Slice, List->Epoch, Proposed.Entries);
    Actions.ReadTable = true;
  }
}

void member::on(const std::string &, const table_news &Body, time_point) {
  if (Body.Revision > View.revision())
    Actions.ReadTable = true;
}

void member::on(const std::string &From, const certificate_digest &Body,
                time_point) {
  if (Body.Revision > View.revision())
    Actions.ReadTable = true;
  if (Body.Digest == Registry.digest())
    return;
  for (const lapse_certificate &Certificate : Registry.all())
    send(From, Certificate);
}

void member::on(const std::string &, const load_report &Body, time_point) {
  for (const auto &[Index, Rate] : Body.Rates) {
    auto [Place, IsNew] = Loads.try_emplace({Body.Service, Index}, Rate);
    Place->second += LoadSmoothing * (Rate - Place->second);
  }
}

} // namespace dragonflyvane
