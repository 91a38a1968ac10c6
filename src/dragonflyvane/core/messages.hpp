/// What daemons say to each other about ownership. Each message fits into one
/// datagram, may be lost, repeated or late.
#ifndef DRAGONFLYVANE_CORE_MESSAGES_HPP
#define DRAGONFLYVANE_CORE_MESSAGES_HPP

#include "dragonflyvane/core/host_record.hpp"
#include "dragonflyvane/core/slice.hpp"
#include "dragonflyvane/core/table.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace dragonflyvane {

/// Holder to witness: renew my lease.
struct lease_renewal {
  host_ref Holder;
  uint64_t Sequence = 0;
  uint64_t SetVersion = 0;
  /// The run of the witness that the holder's row names.
  incarnation WitnessIncarnation = 0;
  /// Asks the witness never to certify under a set older than this version.
  uint64_t SupersededBelow = 0;
};

/// Witness to holder.
struct lease_answer {
  host_ref Holder;
  uint64_t Sequence = 0;
  incarnation WitnessIncarnation = 0;
  uint64_t SupersededBelow = 0;
  /// The lease was certified lapsed; this generation is over.
  bool Lapsed = false;
  /// The renewal names an earlier run of the witness.
  bool WrongIncarnation = false;
};

/// Witness to all: this run of the witness never again renews the holder's
/// lease. It counts under sets of at least `MinSetVersion` that name this run,
/// and under those up to `KnownSetVersion` that name an earlier run, since this
/// one has read them and bars the renewals that they lead to.
struct lapse_certificate {
  host_ref Holder;
  witness_id Witness;
  uint64_t MinSetVersion = 0;
  uint64_t KnownSetVersion = 0;

  bool operator==(const lapse_certificate &) const = default;
};

/// Anyone to a witness: certify, if the lease has lapsed.
struct lapse_query {
  host_ref Holder;
};

/// Holder to its witnesses: it serves no more; certify at once.
struct lease_resignation {
  host_ref Holder;
};

/// A slice under a certain epoch.
struct slice_epoch {
  uint32_t Index = 0;
  uint64_t Epoch = 0;

  bool operator==(const slice_epoch &) const = default;
};

/// Owner to the other entries: never take over under these epochs.
struct release_request {
  std::string Service;
  std::vector<slice_epoch> Slices;
};

/// The answer: it never will.
struct release_answer {
  host_ref From;
  std::string Service;
  std::vector<slice_epoch> Slices;
};

/// A list that the steward would like to see.
struct proposed_list {
  slice_epoch Slice;
  std::vector<host_ref> Entries;
};

/// Steward to owner: change these lists.
struct list_proposal {
  std::string Service;
  std::vector<proposed_list> Lists;
};

/// Read the table: it has reached this revision.
struct table_news {
  row_version Revision = 0;
};

/// Compares what two daemons know; the answer to a differing one is the
/// certificates themselves.
struct certificate_digest {
  uint64_t Digest = 0;
  row_version Revision = 0;
};

/// Requests a second on an owner's slices, to the steward.
struct load_report {
  std::string Service;
  std::vector<std::pair<uint32_t, double>> Rates;
};

/// A chunk that is used up or expired, and what was left in it.
struct finished_chunk {
  uint64_t Chunk = 0;
  uint32_t Unused = 0;
};

/// Entrance to the home of a workspace's bucket: tokens, please. The answer's
/// chunk is known by the ask's sequence.
struct token_ask {
  std::string Workspace;
  uint64_t Sequence = 0;
  uint32_t Wanted = 0;
  std::vector<finished_chunk> Finished;
};

/// Home to entrance.
struct token_grant {
  std::string Workspace;
  uint64_t Sequence = 0;
  uint32_t Tokens = 0;
};

/// Asks a member which configuration it knows.
struct status_query {
  uint64_t Sequence = 0;
};

/// The answer, with the age of the member's last read of the table.
struct status_reply {
  uint64_t Sequence = 0;
  row_version ConfigurationVersion = 0;
  uint32_t ReadAgeMs = 0;
  bool HasRead = false;
};

using message =
    std::variant<lease_renewal, lease_answer, lapse_certificate, lapse_query,
                 lease_resignation, release_request, release_answer,
                 list_proposal, table_news, certificate_digest, load_report,
                 token_ask, token_grant, status_query, status_reply>;

/// A message with the host that sent it.
struct envelope {
  std::string From;
  message Body;
};

/// The name of a message's kind, as in metrics.
const char *kindOf(const message &Body);

/// MessagePack.
std::string encodeMessage(const envelope &Envelope);
/// Nothing on malformed bytes.
std::optional<envelope> decodeMessage(std::string_view Bytes);

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_MESSAGES_HPP
