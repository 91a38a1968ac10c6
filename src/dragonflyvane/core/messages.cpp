#include "dragonflyvane/core/messages.hpp"

#include <nlohmann/json.hpp>

#include <array>
#include <utility>

namespace dragonflyvane {

namespace {

using json = nlohmann::json;

json encode(const host_ref &Ref) { return {Ref.Host, Ref.Generation}; }

host_ref decodeRef(const json &Value) { return {Value.at(0), Value.at(1)}; }

json encode(const std::vector<slice_epoch> &Slices) {
  json Result = json::array();
  for (const slice_epoch &Slice : Slices) {
    Result.push_back(Slice.Index);
    Result.push_back(Slice.Epoch);
  }
  return Result;
}

std::vector<slice_epoch> decodeSlices(const json &Value) {
  std::vector<slice_epoch> Slices;
  for (size_t I = 0; I + 1 < Value.size(); I += 2)
    Slices.push_back({Value.at(I), Value.at(I + 1)});
  return Slices;
}

// One pair of functions for each kind: its fields as an array.

json encode(const lease_renewal &M) {
  return {encode(M.Holder), M.Sequence, M.SetVersion, M.WitnessIncarnation,
          M.SupersededBelow};
}
void decode(const json &V, lease_renewal &M) {
  M = {decodeRef(V.at(0)), V.at(1), V.at(2), V.at(3), V.at(4)};
}

json encode(const lease_answer &M) {
  return {encode(M.Holder),  M.Sequence, M.WitnessIncarnation,
          M.SupersededBelow, M.Lapsed,   M.WrongIncarnation};
}
void decode(const json &V, lease_answer &M) {
  M = {decodeRef(V.at(0)), V.at(1), V.at(2), V.at(3), V.at(4), V.at(5)};
}

json encode(const lapse_certificate &M) {
  return {encode(M.Holder), M.Witness.Host, M.Witness.Incarnation,
          M.MinSetVersion, M.KnownSetVersion};
}
void decode(const json &V, lapse_certificate &M) {
  M = {decodeRef(V.at(0)), {V.at(1), V.at(2)}, V.at(3), V.at(4)};
}

json encode(const lapse_query &M) { return json::array({encode(M.Holder)}); }
void decode(const json &V, lapse_query &M) { M = {decodeRef(V.at(0))}; }

json encode(const lease_resignation &M) {
  return json::array({encode(M.Holder)});
}
void decode(const json &V, lease_resignation &M) { M = {decodeRef(V.at(0))}; }

json encode(const release_request &M) { return {M.Service, encode(M.Slices)}; }
void decode(const json &V, release_request &M) {
  M = {V.at(0), decodeSlices(V.at(1))};
}

json encode(const release_answer &M) {
  return {encode(M.From), M.Service, encode(M.Slices)};
}
void decode(const json &V, release_answer &M) {
  M = {decodeRef(V.at(0)), V.at(1), decodeSlices(V.at(2))};
}

json encode(const list_proposal &M) {
  json Lists = json::array();
  for (const proposed_list &List : M.Lists) {
    json Entries = json::array();
    for (const host_ref &Ref : List.Entries)
      Entries.push_back(encode(Ref));
    Lists.push_back({List.Slice.Index, List.Slice.Epoch, Entries});
  }
  return {M.Service, Lists};
}
void decode(const json &V, list_proposal &M) {
  M.Service = V.at(0);
  for (const json &Encoded : V.at(1)) {
    proposed_list List;
    List.Slice = {Encoded.at(0), Encoded.at(1)};
    for (const json &Ref : Encoded.at(2))
      List.Entries.push_back(decodeRef(Ref));
    M.Lists.push_back(std::move(List));
  }
}

json encode(const table_news &M) { return json::array({M.Revision}); }
void decode(const json &V, table_news &M) { M = {V.at(0)}; }

json encode(const certificate_digest &M) { return {M.Digest, M.Revision}; }
void decode(const json &V, certificate_digest &M) { M = {V.at(0), V.at(1)}; }

json encode(const load_report &M) { return {M.Service, M.Rates}; }
void decode(const json &V, load_report &M) {
  M.Service = V.at(0);
  M.Rates = V.at(1).get<std::vector<std::pair<uint32_t, double>>>();
}

json encode(const token_ask &M) {
  json Finished = json::array();
  for (const finished_chunk &Chunk : M.Finished) {
    Finished.push_back(Chunk.Chunk);
    Finished.push_back(Chunk.Unused);
  }
  return {M.Workspace, M.Sequence, M.Wanted, Finished};
}
void decode(const json &V, token_ask &M) {
  M = {V.at(0), V.at(1), V.at(2), {}};
  const json &Finished = V.at(3);
  for (size_t I = 0; I + 1 < Finished.size(); I += 2)
    M.Finished.push_back({Finished.at(I), Finished.at(I + 1)});
}

json encode(const token_grant &M) {
  return {M.Workspace, M.Sequence, M.Tokens};
}
void decode(const json &V, token_grant &M) { M = {V.at(0), V.at(1), V.at(2)}; }

json encode(const status_query &M) { return json::array({M.Sequence}); }
void decode(const json &V, status_query &M) { M = {V.at(0)}; }

json encode(const status_reply &M) {
  return {M.Sequence, M.ConfigurationVersion, M.ReadAgeMs, M.HasRead};
}
void decode(const json &V, status_reply &M) {
  M = {V.at(0), V.at(1), V.at(2), V.at(3)};
}

template <size_t Index = 0>
message decodeKind(size_t Kind, const json &Fields) {
  if constexpr (Index < std::variant_size_v<message>) {
    if (Kind != Index)
      return decodeKind<Index + 1>(Kind, Fields);
    std::variant_alternative_t<Index, message> Body;
    decode(Fields, Body);
    return Body;
  } else {
    throw std::out_of_range("unknown kind of message");
  }
}

} // namespace

const char *kindOf(const message &Body) {
  static constexpr std::array<const char *, std::variant_size_v<message>>
      Names = {"lease_renewal",      "lease_answer",      "lapse_certificate",
               "lapse_query",        "lease_resignation", "release_request",
               "release_answer",     "list_proposal",     "table_news",
               "certificate_digest", "load_report",       "token_ask",
               "token_grant",        "status_query",      "status_reply"};
  return Names[Body.index()];
}

std::string encodeMessage(const envelope &Envelope) {
  json Fields =
      std::visit([](const auto &Body) { return encode(Body); }, Envelope.Body);
  json Whole = {Envelope.From, Envelope.Body.index(), std::move(Fields)};
  std::string Bytes;
  json::to_msgpack(Whole, Bytes);
  return Bytes;
}

std::optional<envelope> decodeMessage(std::string_view Bytes) {
  try {
    json Whole = json::from_msgpack(Bytes);
    return envelope{Whole.at(0), decodeKind(Whole.at(1), Whole.at(2))};
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

} // namespace dragonflyvane
