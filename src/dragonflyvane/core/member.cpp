#include "dragonflyvane/core/member.hpp"

#include "dragonflyvane/core/membership.hpp"

#include <algorithm>
#include <utility>

namespace dragonflyvane {

namespace {

constexpr std::chrono::milliseconds DigestPeriod{2000};
constexpr std::chrono::milliseconds BeatPeriod{2000};
/// A table read older than this does not show the steward enough to act on.
constexpr std::chrono::milliseconds FreshRead{3000};
/// A lease that stayed invalid for so long is given up for a new generation.
constexpr std::chrono::milliseconds HopelessLease{4000};
/// Certificates are sent again, since datagrams get lost.
constexpr int CertificateRepeats = 3;
constexpr std::chrono::milliseconds CertificateRepeatPeriod{200};
constexpr size_t ProposalsPerMessage = 16;
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

// Messages, by kind.

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
  for (const auto &[Index, Rate] : Body.Rates)
    Loads[{Body.Service, Index}] = Rate;
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

// The own row.

host_record member::makeRecord(uint64_t Generation) const {
  host_record Record;
  Record.Host = Identity.Host;
  Record.Generation = Generation;
  Record.Incarnation = Identity.Incarnation;
  Record.Claimant = Identity.Incarnation;
  Record.Domain = Identity.Domain;
  Record.PeerAddress = Identity.PeerAddress;
  Record.DatagramAddress = Identity.DatagramAddress;
  Record.EntranceAddress = Identity.EntranceAddress;
  Record.Services = Services;
  Record.Services[RateService] = 1;
  return Record;
}

void member::maintainOwnRow(time_point Now) {
  if (!HasReadTable || Leaving || Replaced ||
      isWriting(hostRowKey(Identity.Host)))
    return;
  if (!Lease)
    return join(Now);
  const host_record *Present = View.host(Identity.Host);
  host_record Wanted = makeRecord(Lease->holder().Generation);
  Wanted.Witnesses = Present->Witnesses;
  if (auto Set = wantedWitnesses(Now)) {
    Lease->propose(*Set);
    Wanted.Witnesses = *Set;
  }
  if (Wanted != *Present)
    writeOwnRow(Wanted);
}

/// Begins a generation, once the one before is over.
void member::join(time_point Now) {
  const host_record *Old = View.host(Identity.Host);
  if (Resigning)
    return;
  if (!Old) {
    host_record First = makeRecord(1);
    First.Witnesses = {
        1, chooseWitnesses({Identity.Host, 1}, View, Registry, {}, {})};
    return writeOwnRow(First);
  }
  if (Old->Claimant != Identity.Incarnation) {
    host_record Claim = *Old;
    Claim.Claimant = Identity.Incarnation;
    return writeOwnRow(Claim);
  }
  bool EndedBySelf = Old->Incarnation == Identity.Incarnation &&
                     Old->Generation <= EndedGeneration;
  bool Over = EndedBySelf || Old->Witnesses.Members.empty() ||
              Registry.isLapsed(Old->ref(), View) ||
              !Rules.EndedGenerationIsCertified;
  if (!Over) {
    suspect(Identity.Host);
    if (auto Own = Witness.onQuery(Old->ref(), Now))
      on(Identity.Host, *Own, Now);
    return;
  }
  host_ref Next{Identity.Host, Old->Generation + 1};
  host_record Record = makeRecord(Next.Generation);
  Record.Witnesses = {Old->Witnesses.Version + 1,
                      chooseWitnesses(Next, View, Registry, {}, {})};
  writeOwnRow(Record);
}

void member::writeOwnRow(const host_record &Record) {
  std::string Key = hostRowKey(Identity.Host);
  write(write_kind::OwnRow,
        {{{Key, View.versionOf(Key)}}, {{Key, encodeHost(Record)}}});
}

void member::adoptOwnRow(time_point Now) {
  const host_record *Own = View.host(Identity.Host);
  if (!Own)
    return;
  if (Own->Claimant != Identity.Incarnation) {
    if (Lease)
      endGeneration("replaced by another process");
    Replaced = HasClaimed && Rules.ClaimsName;
    return;
  }
  if (!std::exchange(HasClaimed, true))
    for (const auto &[Name, Host] : View.hosts())
      Witness.onHostRow(Host.Content, Now);
  if (Own->Incarnation != Identity.Incarnation)
    return;
  if (Lease && Own->Generation != Lease->holder().Generation)
    return endGeneration("declared gone");
  if (!Lease && !Resigning && Own->Generation > EndedGeneration) {
    Lease.emplace(Own->ref(), Timing, Rules);
    Lease->adopt(Own->Witnesses);
    LastValid = Now;
    WitnessesAdopted = Now;
    note("joined", Identity.Host, toString(Own->ref()));
    return;
  }
  if (Lease && Own->Witnesses.Version > Lease->current().Version) {
    Lease->adopt(Own->Witnesses);
    WitnessesAdopted = Now;
  }
}

std::optional<witness_set> member::wantedWitnesses(time_point Now) {
  if (Lease->proposed())
    return Lease->proposed();
  if (Lease->isChanging())
    return std::nullopt;
  std::set<std::string> Unwanted;
  if (Now - WitnessesAdopted >= Timing.WitnessSilence)
    for (std::string &Silent : Lease->silentSince(Now - Timing.WitnessSilence))
      Unwanted.insert(std::move(Silent));
  witness_set Set{Lease->current().Version + 1,
                  chooseWitnesses(Lease->holder(), View, Registry,
                                  Lease->current(), Unwanted)};
  if (Set.Members == Lease->current().Members || Set.Members.empty())
    return std::nullopt;
  return Set;
}

/// From here on nothing of this generation is dispatched. Witnesses are told
/// when the last request has ended.
void member::endGeneration(const std::string &Why) {
  note("generation ended", Identity.Host,
       toString(Lease->holder()) + ": " + Why);
  Resigning = true;
  EndedGeneration = std::max(EndedGeneration, Lease->holder().Generation);
}

void member::finishResignation() {
  if (!Resigning || !Lease || (InFlight && InFlight->total() > 0))
    return;
  for (const witness_id &Member : Lease->current().Members)
    send(Member.Host, lease_resignation{Lease->holder()});
  Lease.reset();
  Resigning = false;
  Changes.clear();
  Released.clear();
  Left = Leaving;
}

// Lists.

change_context member::changeContext() const {
  return {View, Registry, Lease->holder(), InFlightOfSlice, IsRowBeingWritten};
}

/// Slices whose owner is gone, and whose old epoch this host has released,
/// need a new list in the table before anyone can serve them.
void member::promoteReleased(time_point Now) {
  if (!isInOffice(Now))
    return;
  for (const auto &[Slice, Epoch] : Released) {
    const succession_list *List = View.list(Slice);
    if (!List || List->Epoch != Epoch || ownerOf(Slice) != Lease->holder())
      continue;
    std::vector<host_ref> Target = {Lease->holder()};
    for (const host_ref &Ref : List->Entries)
      if (Ref != Lease->holder() && !Registry.isLapsed(Ref, View))
        Target.push_back(Ref);
    Changes.begin(Slice, Epoch, std::move(Target));
    Actions.ReadTable = true;
  }
}

void member::changeLists(time_point Now) {
  if (!isInOffice(Now) || Changes.size() == 0)
    return;
  change_context Context = changeContext();
  for (outgoing_message &Message : Changes.askReleases(Context, Now))
    Actions.Messages.push_back(std::move(Message));
  for (row_change &Row : Changes.readyRows(Context, Now))
    write(write_kind::Lists, std::move(Row.Transaction));
}

void member::noteCommittedRow(const std::string &RowKey) {
  const succession_row *Row = View.row(RowKey);
  if (!Row)
    return;
  std::set<std::string> Hosts;
  for (const succession_list &List : *Row)
    for (const host_ref &Ref : List.Entries)
      Hosts.insert(Ref.Host);
  for (const std::string &Host : Hosts)
    send(Host, table_news{View.versionOf(RowKey)});
}

// The steward.

void member::actAsSteward(time_point Now) {
  bool CanAct =
      isInOffice(Now) && HasReadTable && Now - LastTableRead < FreshRead;
  if (!CanAct || Now - LastPlan < Timing.StewardPeriod)
    return;
  LastPlan = Now;
  claimStewardship(Now);
  if (isSteward())
    runPlan(Now);
}

void member::claimStewardship(time_point Now) {
  if (isWriting(StewardRowKey))
    return;
  const auto &Row = View.steward();
  bool Vacant = !Row || Registry.isLapsed(Row->Content.Steward, View) ||
                Now - StewardChanged > Timing.StewardSilence;
  bool BeatIsDue = isSteward() && Now - LastBeat >= BeatPeriod;
  if (!BeatIsDue && (isSteward() || !Vacant))
    return;
  LastBeat = Now;
  steward_record Record{Lease->holder(), Row ? Row->Content.Beat + 1 : 1};
  write(write_kind::Steward, {{{StewardRowKey, View.versionOf(StewardRowKey)}},
                              {{StewardRowKey, encodeSteward(Record)}}});
}

void member::runPlan(time_point) {
  steward_plan Plan = planRound(View, Registry, Loads);
  writeAssignments(Plan.Assignments);
  sendProposals(Plan.Proposals);
}

void member::writeAssignments(const std::vector<list_assignment> &Assignments) {
  std::map<std::string, succession_row> Rows;
  for (const list_assignment &Assignment : Assignments) {
    std::string Key = rowKeyOf(Assignment.Slice);
    if (isWriting(Key))
      continue;
    auto [Place, IsNew] = Rows.try_emplace(Key);
    if (IsNew && View.row(Key))
      Place->second = *View.row(Key);
    size_t Position = Assignment.Slice.Index % SlicesPerRow;
    if (Place->second.size() <= Position)
      Place->second.resize(Position + 1);
    Place->second[Position] = Assignment.List;
  }
  for (const auto &[Key, Row] : Rows)
    write(write_kind::Lists,
          {{{Key, View.versionOf(Key)}}, {{Key, encodeRow(Row)}}});
}

void member::sendProposals(const std::vector<owner_proposal> &Proposals) {
  std::map<std::pair<std::string, std::string>, list_proposal> ByOwner;
  for (const owner_proposal &Proposal : Proposals) {
    list_proposal &Message = ByOwner[{Proposal.Owner, Proposal.Service}];
    Message.Service = Proposal.Service;
    Message.Lists.push_back(Proposal.List);
    if (Message.Lists.size() < ProposalsPerMessage)
      continue;
    send(Proposal.Owner, Message);
    Message.Lists.clear();
  }
  for (const auto &[Place, Message] : ByOwner)
    if (!Message.Lists.empty())
      send(Place.first, Message);
}

// The rate.

void member::takeToken(const std::string &Workspace, time_point Deadline,
                       time_point Now, token_cache::callback Callback) {
  Tokens.take(Workspace, Deadline, Now, std::move(Callback));
  sendAsks(Now);
}

void member::tickTokens(time_point Now) {
  Tokens.tick(Now);
  sendAsks(Now);
}

void member::sendAsks(time_point Now) {
  for (token_ask &Ask : Tokens.takeAsks(Now)) {
    auto Home = ownerOf(rateSliceOf(Ask.Workspace));
    if (!Home)
      continue;
    if (Home->Host == Identity.Host)
      on(Identity.Host, Ask, Now);
    else
      send(Home->Host, std::move(Ask));
  }
}

/// A bucket begins when this host becomes its home, and ends when it is not any
/// more. A new epoch that only this host can have written changes nothing.
bool member::isHome(const std::string &Workspace, time_point Now) {
  auto Token = dispatchToken(rateSliceOf(Workspace), Now);
  if (!Token) {
    RateHome.end(Workspace);
    return false;
  }
  uint64_t &Epoch = HomeEpochs[Workspace];
  if (!RateHome.has(Workspace) || Token->Epoch > Epoch + 1)
    RateHome.begin(Workspace, Now);
  Epoch = Token->Epoch;
  return true;
}

void member::watchHomes(time_point Now) {
  const auto &Config = View.configurationRow();
  if (!Config)
    return;
  for (const auto &[Name, Workspace] : Config->Content.Workspaces)
    isHome(Name, Now);
}

void member::on(const std::string &From, const token_ask &Body,
                time_point Now) {
  const auto &Config = View.configurationRow();
  if (!Config || !isHome(Body.Workspace, Now))
    return;
  auto Workspace = Config->Content.Workspaces.find(Body.Workspace);
  if (Workspace == Config->Content.Workspaces.end())
    return;
  token_grant Grant = RateHome.grant(From, Body, Workspace->second, Now);
  if (From == Identity.Host)
    Tokens.onGrant(Grant, Now);
  else
    send(From, Grant);
}

void member::on(const std::string &, const token_grant &Body, time_point Now) {
  Tokens.onGrant(Body, Now);
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
