/// One daemon's part in ownership: lease holder, witness, owner, standby and,
/// at times, steward. Events go in, actions come out; it does no input or
/// output of its own.
#ifndef DRAGONFLYVANE_CORE_MEMBER_HPP
#define DRAGONFLYVANE_CORE_MEMBER_HPP

#include "dragonflyvane/core/cluster_view.hpp"
#include "dragonflyvane/core/freshness.hpp"
#include "dragonflyvane/core/host_lease.hpp"
#include "dragonflyvane/core/lapse_registry.hpp"
#include "dragonflyvane/core/list_changes.hpp"
#include "dragonflyvane/core/messages.hpp"
#include "dragonflyvane/core/ownership_settings.hpp"
#include "dragonflyvane/core/rate_home.hpp"
#include "dragonflyvane/core/steward_plan.hpp"
#include "dragonflyvane/core/token_cache.hpp"
#include "dragonflyvane/core/witness.hpp"

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace dragonflyvane {

/// Who a daemon is, from its settings.
struct member_identity {
  std::string Host;
  std::string Domain;
  std::string PeerAddress;
  std::string DatagramAddress;
  std::string EntranceAddress;
  incarnation Incarnation = 0;
};

/// A transaction to be sent to the table.
struct outgoing_write {
  uint64_t Id = 0;
  table_transaction Transaction;
};

/// What a member wants done.
struct member_actions {
  std::vector<outgoing_message> Messages;
  std::vector<outgoing_write> Writes;
  bool ReadTable = false;
};

/// Something worth a log line.
struct member_event {
  std::string What;
  std::string Peer;
  std::string Detail;
};

/// What runs at the local backend server.
class in_flight_source {
public:
  virtual ~in_flight_source() = default;
  virtual size_t ofSlice(const slice_id &Slice) const = 0;
  virtual size_t total() const = 0;
};

/// The ownership state machine of one daemon.
///
///     member Member(Identity, Clock.now());
///     Member.onTable(Changes, Clock.now());
///     Member.tick(Clock.now());
///     for (auto &Message : Member.takeActions().Messages)
///       send(Message);
class member {
public:
  member(member_identity Identity, time_point Start,
         ownership_timing Timing = {}, safety_rules Rules = {});

  // Events.

  void onMessage(const envelope &Envelope, time_point Now);
  /// The table was read; the read began at `Begun`.
  void onTable(const table_changes &Changes, time_point Begun, time_point Now);
  void onTransaction(uint64_t Id, const transaction_result &Result,
                     time_point Now);
  /// To be called about every 50 ms.
  void tick(time_point Now);

  // Orders.

  /// The services, with slots, that the local backend server can serve now. If
  /// one disappears, the host gives its office up and joins again without it.
  void setServices(const std::map<std::string, uint32_t> &Services);
  void setInFlight(const in_flight_source *Source) { InFlight = Source; }
  /// Stops owning anything: standbys take over as soon as what runs is done.
  void leave();
  /// A host did not answer: ask its witnesses.
  void suspect(const std::string &Host);
  void reportLoad(const slice_loads &Loads, time_point Now);
  /// Takes a token of a workspace's rate; the callback says whether it was had.
  void takeToken(const std::string &Workspace, time_point Deadline,
                 time_point Now, token_cache::callback Callback);
  /// To be called about every 10 ms: asks for tokens that requests wait for.
  void tickTokens(time_point Now);

  // Questions.

  /// The token with which a request of this slice may be dispatched now; none
  /// if this host may not.
  std::optional<fencing_token> dispatchToken(const slice_id &Slice,
                                             time_point Now) const;
  /// The owner as far as this daemon knows.
  std::optional<host_ref> ownerOf(const slice_id &Slice) const;
  /// When the present lease ends for the holder, margin taken off.
  time_point servesUntil() const;
  bool isInOffice(time_point Now) const;
  /// No newer configuration can have been in force for more than
  /// `MaxConfigurationAge`.
  bool isConfigurationCurrent(time_point Now) const;
  /// It has left, and its witnesses have been told.
  bool hasLeft() const { return Left; }
  /// Another process has joined under this host's name.
  bool isReplaced() const { return Replaced; }
  bool isSteward() const;
  std::optional<host_ref> self() const;
  size_t changesUnderWay() const { return Changes.size(); }
  const cluster_view &view() const { return View; }
  const lapse_registry &registry() const { return Registry; }

  member_actions takeActions();
  std::vector<member_event> takeEvents();

private:
  enum class write_kind { OwnRow, Steward, Lists };
  struct pending_write {
    write_kind Kind = write_kind::Lists;
    table_transaction Transaction;
  };
  struct repeated_certificate {
    lapse_certificate Certificate;
    time_point Next;
    int Left = 0;
  };

  /// Takes rows in, from a read or from an own write that was committed.
  void apply(const table_changes &Changes, time_point Now);

  // Messages, by kind.
  void on(const std::string &From, const lease_renewal &Body, time_point Now);
  void on(const std::string &From, const lease_answer &Body, time_point Now);
  void on(const std::string &From, const lapse_certificate &Body,
          time_point Now);
  void on(const std::string &From, const lapse_query &Body, time_point Now);
  void on(const std::string &From, const lease_resignation &Body,
          time_point Now);
  void on(const std::string &From, const release_request &Body, time_point Now);
  void on(const std::string &From, const release_answer &Body, time_point Now);
  void on(const std::string &From, const list_proposal &Body, time_point Now);
  void on(const std::string &From, const table_news &Body, time_point Now);
  void on(const std::string &From, const certificate_digest &Body,
          time_point Now);
  void on(const std::string &From, const load_report &Body, time_point Now);
  void on(const std::string &From, const token_ask &Body, time_point Now);
  void on(const std::string &From, const token_grant &Body, time_point Now);
  void on(const std::string &From, const status_query &Body, time_point Now);
  void on(const std::string &From, const status_reply &Body, time_point Now);

  // Parts of a tick.
  void renewLease(time_point Now);
  void watchOwnLease(time_point Now);
  void certify(time_point Now);
  void repeatCertificates(time_point Now);
  void exchangeDigest(time_point Now);
  void askStatus(time_point Now);
  void maintainOwnRow(time_point Now);
  void promoteReleased(time_point Now);
  void changeLists(time_point Now);
  void actAsSteward(time_point Now);

  // The own row.
  host_record makeRecord(uint64_t Generation) const;
  void join(time_point Now);
  void writeOwnRow(const host_record &Record);
  void adoptOwnRow(time_point Now);
  void endGeneration(const std::string &Why);
  void finishResignation();
  std::optional<witness_set> wantedWitnesses(time_point Now);

  // Lists.
  bool isActingOwner(const slice_id &Slice, const succession_list &List) const;
  change_context changeContext() const;
  void noteCommittedRow(const std::string &RowKey);

  // The steward.
  void claimStewardship(time_point Now);
  void runPlan(time_point Now);
  void writeAssignments(const std::vector<list_assignment> &Assignments);
  void sendProposals(const std::vector<owner_proposal> &Proposals);

  // The rate.
  void sendAsks(time_point Now);
  void watchHomes(time_point Now);
  bool isHome(const std::string &Workspace, time_point Now);

  void send(const std::string &To, message Body);
  void sendToAll(const message &Body);
  void write(write_kind Kind, table_transaction Transaction);
  bool isWriting(const std::string &RowKey) const;
  void note(std::string What, std::string Peer = "", std::string Detail = "");

  member_identity Identity;
  ownership_timing Timing;
  safety_rules Rules;
  cluster_view View;
  lapse_registry Registry;
  witness Witness;
  list_changes Changes;
  std::optional<host_lease> Lease;
  const in_flight_source *InFlight = nullptr;
  std::function<size_t(const slice_id &)> InFlightOfSlice;
  std::function<bool(const std::string &)> IsRowBeingWritten;

  std::map<std::string, uint32_t> Services;
  /// Generations up to this one were ended by this process itself.
  uint64_t EndedGeneration = 0;
  /// Stopped serving; witnesses are told once nothing runs any more.
  bool Resigning = false;
  bool Leaving = false;
  bool Left = false;
  bool Replaced = false;
  /// The own row has named this process as its claimant.
  bool HasClaimed = false;
  bool HasReadTable = false;
  /// Epochs under which this host promised never to take over.
  std::map<slice_id, uint64_t> Released;
  std::vector<repeated_certificate> Repeats;
  slice_loads Loads;
  freshness Freshness;
  /// Status queries by sequence, with the time of their sending.
  std::map<uint64_t, time_point> StatusAsked;
  uint64_t LastStatusQuery = 0;
  time_point LastStatusTime;
  rate_home RateHome;
  /// By workspace, the epoch under which this host is home of its bucket.
  std::map<std::string, uint64_t> HomeEpochs;
  token_cache Tokens;

  uint64_t LastWrite = 0;
  std::map<uint64_t, pending_write> Writes;
  time_point LastTableRead;
  time_point LastRenewal;
  time_point LastRowCheck;
  time_point LastDigest;
  time_point LastPlan;
  time_point LastBeat;
  time_point ValidSince;
  time_point LastValid;
  time_point WitnessesAdopted;
  time_point LastWitnessChoice;
  row_version StewardVersion = 0;
  time_point StewardChanged;
  std::mt19937_64 Random;
  member_actions Actions;
  std::vector<member_event> Events;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_MEMBER_HPP
