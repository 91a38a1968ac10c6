#include "dragonflyvane/core/member.hpp"

#include <algorithm>
#include <utility>

namespace dragonflyvane {

namespace {

constexpr std::chrono::milliseconds DigestPeriod{2000};
/// A lease that stayed invalid for so long is given up for a new generation.
constexpr std::chrono::milliseconds HopelessLease{4000};
/// Certificates are sent again, since datagrams get lost.
constexpr int CertificateRepeats = 3;
constexpr std::chrono::milliseconds CertificateRepeatPeriod{200};
/// Members are asked once the last read of the table is older than this.
constexpr std::chrono::milliseconds QuietReadAge{1200};
constexpr std::chrono::milliseconds StatusPeriod{500};
constexpr size_t RememberedQueries = 16;

} // namespace

member::member(member_identity Identity, time_point Start,
               ownership_timing Timing, safety_rules Rules)
    : Identity(std::move(Identity)), Timing(Timing), Rules(Rules),
      Registry(Rules), Witness(this->Identity.Host, this->Identity.Incarnation,
                               Start, Timing, Rules),
      Changes(Timing, Rules),
      Tokens(static_cast<uint64_t>(Start.time_since_epoch().count())),
      LastTableRead(Start), LastRenewal(Start), LastRowCheck(Start),
      LastDigest(Start), LastPlan(Start), LastBeat(Start), ValidSince(Start),
      LastValid(Start), WitnessesAdopted(Start), StewardChanged(Start),
      Random(this->Identity.Incarnation) {
  InFlightOfSlice = [this](const slice_id &Slice) {
    return InFlight ? InFlight->ofSlice(Slice) : 0;
  };
  IsRowBeingWritten = [this](const std::string &Key) { return isWriting(Key); };
  Actions.ReadTable = true;
}

// Events.

void member::onMessage(const envelope &Envelope, time_point Now) {
  if (!Replaced)
    std::visit([&](const auto &Body) { on(Envelope.From, Body, Now); },
               Envelope.Body);
}

void member::onTable(const table_changes &Changes, time_point Begun,
                     time_point Now) {
  Freshness.onRead(Begun);
  HasReadTable = true;
  LastTableRead = Now;
  this->Changes.onTableAnswered();
  apply(Changes, Now);
}

void member::apply(const table_changes &Changes, time_point Now) {
  for (const std::string &Key : View.apply(Changes))
    note("malformed row skipped", "", Key);
  if (HasClaimed)
    for (const table_row &Row : Changes.Rows)
      if (const host_record *Record = View.hostOfRow(Row.Key))
        Witness.onHostRow(*Record, Now);
  this->Changes.onView(View);
  Registry.forgetEnded(View);
  std::erase_if(Released, [&](const auto &Entry) {
    const succession_list *List = View.list(Entry.first);
    return List && List->Epoch > Entry.second;
  });
  if (View.steward() && View.steward()->Version != StewardVersion) {
    StewardVersion = View.steward()->Version;
    StewardChanged = Now;
  }
  adoptOwnRow(Now);
}

void member::onTransaction(uint64_t Id, const transaction_result &Result,
                           time_point Now) {
  auto Found = Writes.find(Id);
  if (Found == Writes.end())
    return;
  pending_write Write = std::move(Found->second);
  Writes.erase(Found);
  if (Result.Outcome == transaction_outcome::NotSent &&
      Write.Kind == write_kind::Lists)
    for (const row_write &Row : Write.Transaction.Writes)
      Changes.abandon(Row.Key);
  if (Result.Outcome == transaction_outcome::Conflict)
    for (const row_write &Row : Write.Transaction.Writes)
      Changes.retry(Row.Key);
  if (Result.Outcome != transaction_outcome::Committed) {
    Actions.ReadTable = true;
    return;
  }
  table_changes Own;
  for (const row_write &Row : Write.Transaction.Writes)
    Own.Rows.push_back({Row.Key, Result.Revision, Row.Value});
  // The rows are known now; the revision is not, as others may have written.
  Own.Revision = View.revision();
  apply(Own, Now);
  if (Write.Kind == write_kind::Lists)
    for (const row_write &Row : Write.Transaction.Writes)
      noteCommittedRow(Row.Key);
}

void member::tick(time_point Now) {
  if (Replaced)
    return;
  certify(Now);
  repeatCertificates(Now);
  renewLease(Now);
  watchOwnLease(Now);
  finishResignation();
  exchangeDigest(Now);
  askStatus(Now);
  if (Now - LastRowCheck >= Timing.RetryPeriod) {
    LastRowCheck = Now;
    maintainOwnRow(Now);
    promoteReleased(Now);
  }
  changeLists(Now);
  actAsSteward(Now);
  watchHomes(Now);
}

// Orders.

void member::setServices(const std::map<std::string, uint32_t> &Services) {
  bool LosesOne = std::any_of(
      this->Services.begin(), this->Services.end(),
      [&](const auto &Entry) { return !Services.contains(Entry.first); });
  this->Services = Services;
  if (LosesOne && Lease)
    endGeneration("backend server lost");
}

void member::leave() {
  if (Leaving)
    return;
  Leaving = true;
  if (Lease)
    endGeneration("leaving");
  else
    Left = true;
}

void member::suspect(const std::string &Host) {
  const host_record *Record = View.host(Host);
  if (!Record || Registry.isLapsed(Record->ref(), View))
    return;
  for (const witness_id &Member : Record->Witnesses.Members)
    send(Member.Host, lapse_query{Record->ref()});
}

void member::reportLoad(const slice_loads &Loads, time_point) {
  constexpr size_t RatesPerMessage = 64;
  if (!View.steward())
    return;
  std::map<std::string, load_report> Reports;
  const std::string &Steward = View.steward()->Content.Steward.Host;
  for (const auto &[Slice, Rate] : Loads) {
    load_report &Report = Reports[Slice.Service];
    Report.Service = Slice.Service;
    Report.Rates.emplace_back(Slice.Index, Rate);
    if (Report.Rates.size() < RatesPerMessage)
      continue;
    send(Steward, Report);
    Report.Rates.clear();
  }
  for (const auto &[Service, Report] : Reports)
    if (!Report.Rates.empty())
      send(Steward, Report);
}

// Questions.

bool member::isConfigurationCurrent(time_point Now) const {
  const auto &Config = View.configurationRow();
  auto IsExcused = [this](const std::string &Host) {
    return Host == Identity.Host ||
           Registry.isLapsed(View.host(Host)->ref(), View);
  };
  return Config &&
         Freshness.isCurrent(Config->Version, View.hosts(), IsExcused, Now);
}

std::optional<host_ref> member::self() const {
  return Lease ? std::optional(Lease->holder()) : std::nullopt;
}

time_point member::servesUntil() const {
  return Lease ? Lease->end() - Timing.Margin : time_point::min();
}

bool member::isInOffice(time_point Now) const {
  return Lease && !Resigning && Lease->isValid(Now);
}

bool member::isActingOwner(const slice_id &Slice,
                           const succession_list &List) const {
  auto Promise = Released.find(Slice);
  bool Promised = Promise != Released.end() && Promise->second >= List.Epoch;
  if (!Lease || Promised)
    return false;
  for (const host_ref &Ref : List.Entries) {
    if (Ref == Lease->holder())
      return true;
    if (!Registry.isLapsed(Ref, View))
      return false;
  }
  return false;
}

std::optional<fencing_token> member::dispatchToken(const slice_id &Slice,
                                                   time_point Now) const {
  bool InOffice =
      Rules.LeaseCheckedAtDispatch ? isInOffice(Now) : Lease && !Resigning;
  const succession_list *List = View.list(Slice);
  if (!InOffice || !List || !isActingOwner(Slice, *List) ||
      Changes.isGivenUp(Slice, Lease->holder()))
    return std::nullopt;
  auto Place =
      std::find(List->Entries.begin(), List->Entries.end(), Lease->holder());
  return fencing_token{List->Epoch,
                       static_cast<uint32_t>(Place - List->Entries.begin())};
}

std::optional<host_ref> member::ownerOf(const slice_id &Slice) const {
  const succession_list *List = View.list(Slice);
  if (!List)
    return std::nullopt;
  for (const host_ref &Ref : List->Entries)
    if (!Registry.isLapsed(Ref, View))
      return Ref;
  return std::nullopt;
}

bool member::isSteward() const {
  return Lease && View.steward() &&
         View.steward()->Content.Steward == Lease->holder();
}

member_actions member::takeActions() {
  member_actions Taken = std::move(Actions);
  Actions = {};
  return Taken;
}

std::vector<member_event> member::takeEvents() {
  return std::exchange(Events, {});
}

// Parts of a tick.

void member::renewLease(time_point Now) {
  if (!Lease || Now - LastRenewal < Timing.RenewPeriod)
    return;
  LastRenewal = Now;
  for (outgoing_message &Message : Lease->renew(Now))
    Actions.Messages.push_back(std::move(Message));
}

void member::watchOwnLease(time_point Now) {
  if (!Lease || Resigning)
    return;
  if (Lease->isValid(Now)) {
    LastValid = Now;
    return;
  }
  bool Over = Lease->isLost() || Registry.isLapsed(Lease->holder(), View);
  bool Hopeless = Now - LastValid > HopelessLease;
  if (Over)
    endGeneration("lease lapsed");
  else if (Hopeless && Now - LastTableRead < FreshRead)
    endGeneration("witnesses lost");
}

void member::certify(time_point Now) {
  for (const lapse_certificate &Certificate : Witness.tick(Now)) {
    sendToAll(Certificate);
    Repeats.push_back(
        {Certificate, Now + CertificateRepeatPeriod, CertificateRepeats});
    on(Identity.Host, Certificate, Now);
  }
}

void member::repeatCertificates(time_point Now) {
  for (repeated_certificate &Repeat : Repeats) {
    if (Now < Repeat.Next)
      continue;
    sendToAll(Repeat.Certificate);
    Repeat.Next = Now + CertificateRepeatPeriod;
    --Repeat.Left;
  }
  std::erase_if(Repeats, [](const auto &Repeat) { return Repeat.Left <= 0; });
}

void member::exchangeDigest(time_point Now) {
  if (Now - LastDigest < DigestPeriod || View.hosts().size() < 2)
    return;
  LastDigest = Now;
  auto Place = View.hosts().begin();
  std::advance(Place, Random() % View.hosts().size());
  if (Place->first != Identity.Host)
    send(Place->first, certificate_digest{Registry.digest(), View.revision()});
}

/// While the table does not answer, other members are asked whether they know a
/// newer configuration.
void member::askStatus(time_point Now) {
  auto Age = Freshness.readAge(Now);
  bool Needed = !Age || *Age > QuietReadAge;
  if (!Needed || Now - LastStatusTime < StatusPeriod)
    return;
  LastStatusTime = Now;
  StatusAsked[++LastStatusQuery] = Now;
  if (StatusAsked.size() > RememberedQueries)
    StatusAsked.erase(StatusAsked.begin());
  sendToAll(status_query{LastStatusQuery});
}

void member::on(const std::string &From, const status_query &Body,
                time_point Now) {
  status_reply Reply;
  Reply.Sequence = Body.Sequence;
  const auto &Config = View.configurationRow();
  Reply.ConfigurationVersion = Config ? Config->Version : 0;
  if (auto Age = Freshness.readAge(Now)) {
    Reply.HasRead = true;
    Reply.ReadAgeMs = static_cast<uint32_t>(
        std::chrono::ceil<std::chrono::milliseconds>(*Age).count());
  }
  send(From, Reply);
}

void member::on(const std::string &From, const status_reply &Body, time_point) {
  auto Asked = StatusAsked.find(Body.Sequence);
  if (Asked != StatusAsked.end())
    Freshness.onReply(From, Body, Asked->second);
}

// Sending.

void member::send(const std::string &To, message Body) {
  Actions.Messages.push_back({To, std::move(Body)});
}

void member::sendToAll(const message &Body) {
  for (const auto &[Name, Row] : View.hosts())
    if (Name != Identity.Host)
      send(Name, Body);
}

void member::write(write_kind Kind, table_transaction Transaction) {
  uint64_t Id = ++LastWrite;
  Writes[Id] = {Kind, Transaction};
  Actions.Writes.push_back({Id, std::move(Transaction)});
}

bool member::isWriting(const std::string &RowKey) const {
  for (const auto &[Id, Write] : Writes)
    for (const row_write &Row : Write.Transaction.Writes)
      if (Row.Key == RowKey)
        return true;
  return false;
}

void member::note(std::string What, std::string Peer, std::string Detail) {
  Events.push_back({std::move(What), std::move(Peer), std::move(Detail)});
}

} // namespace dragonflyvane
