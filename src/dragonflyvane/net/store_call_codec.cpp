#include "dragonflyvane/net/store_call_codec.hpp"

#include "dragonflyvane/core/error.hpp"
#include "dragonflyvane/core/json_fields.hpp"

namespace dragonflyvane {

namespace {

using json = nlohmann::json;

/// Header field that names the call. Only daemons may send it; it is removed
/// from requests of callers.
constexpr const char *StoreCallField = "x-dragonflyvane-store";
constexpr const char *PingKind = "ping";

/// Far beyond any clock, and small enough to calculate with.
constexpr int64_t MaxTimeMs = int64_t{1} << 52;

/// Returns the enumerator with this number, which is at most `Last`.
template <typename Enumeration>
Enumeration toEnumerator(const json &Value, const char *Field,
                         Enumeration Last) {
  return static_cast<Enumeration>(
      toInteger<int>(Value, Field, 0, static_cast<int>(Last)));
}

row_kind toRowKind(const json &Value) {
  return toEnumerator(Value, "kind", row_kind::Status);
}

std::chrono::milliseconds requireMilliseconds(const json &Body,
                                              const char *Field) {
  return std::chrono::milliseconds(
      requireInteger<int64_t>(Body, Field, 0, MaxTimeMs));
}

json toJson(const row_id &Id) { return {static_cast<int>(Id.Kind), Id.Key}; }

row_id toRowId(const json &Json) {
  return {toRowKind(Json.at(0)), Json.at(1).get<std::string>()};
}

json toJson(const std::optional<std::string> &Value) {
  return Value ? json(*Value) : json();
}

std::optional<std::string> toRowValue(const json &Json) {
  if (Json.is_null())
    return std::nullopt;
  return Json.get<std::string>();
}

json toJson(const std::vector<stored_row> &Rows) {
  json List = json::array();
  for (const stored_row &Row : Rows)
    List.push_back({toJson(Row.Id), Row.Version, toJson(Row.Value)});
  return List;
}

std::vector<stored_row> toRows(const json &List) {
  std::vector<stored_row> Rows;
  for (const json &Row : List)
    Rows.push_back({toRowId(Row.at(0)),
                    toInteger<row_version>(Row.at(1), "version"),
                    toRowValue(Row.at(2))});
  return Rows;
}

json toJson(const store_transaction &Transaction) {
  json Conditions = json::array();
  for (const row_condition &Condition : Transaction.Conditions)
    Conditions.push_back({toJson(Condition.Id), Condition.Version});
  json Writes = json::array();
  for (const row_write &Write : Transaction.Writes)
    Writes.push_back({toJson(Write.Id), toJson(Write.Value)});
  return {{"conditions", Conditions},
          {"writes", Writes},
          {"patience", Transaction.MaxBatchDelay.count()}};
}

store_transaction toTransaction(const json &Json) {
  store_transaction Transaction;
  for (const json &Row : requireList(Json, "conditions"))
    Transaction.Conditions.push_back(
        {toRowId(Row.at(0)), toInteger<row_version>(Row.at(1), "version")});
  for (const json &Row : requireList(Json, "writes"))
    Transaction.Writes.push_back({toRowId(Row.at(0)), toRowValue(Row.at(1))});
  Transaction.MaxBatchDelay = requireMilliseconds(Json, "patience");
  return Transaction;
}

http_response encodeResponse(const json &Body) {
  return jsonResponse(
      200, Body.dump(-1, ' ', false, json::error_handler_t::replace));
}

http_request encodeRequest(const char *CallKind, const json &Body) {
  http_request Request;
  Request.Method = "POST";
  Request.Headers.add(StoreCallField, CallKind);
  Request.Body = Body.dump(-1, ' ', false, json::error_handler_t::replace);
  return Request;
}

store_call toCall(const std::string &CallKind, const json &Body) {
  if (CallKind == "transact")
    return toTransaction(Body);
  row_kind RowKind = toRowKind(requireField(Body, "kind"));
  if (CallKind == "read")
    return store_read{RowKind};
  return store_watch{RowKind, requireInteger<row_version>(Body, "after"),
                     requireMilliseconds(Body, "wait")};
}

/// Throws if the peer has not made the call.
void requireResult(const http_response &Response) {
  if (Response.Status != 200)
    throw step_error("store call", "",
                     "HTTP status " + std::to_string(Response.Status));
}

} // namespace

http_request encodeStoreCall(const store_call &Call) {
  if (const auto *Read = std::get_if<store_read>(&Call))
    return encodeRequest("read", {{"kind", static_cast<int>(Read->Kind)}});
  if (const auto *Watch = std::get_if<store_watch>(&Call))
    return encodeRequest("watch", {{"kind", static_cast<int>(Watch->Kind)},
                                   {"after", Watch->After},
                                   {"wait", Watch->Wait.count()}});
  return encodeRequest("transact", toJson(std::get<store_transaction>(Call)));
}

std::optional<store_call> decodeStoreCall(const http_request &Request) {
  auto CallKind = Request.Headers.find(StoreCallField);
  if (!CallKind)
    return std::nullopt;
  try {
    return toCall(*CallKind, parseJson(Request.Body));
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

http_request encodeStorePing() {
  return encodeRequest(PingKind, json::object());
}

bool isStorePing(const http_request &Request) {
  return Request.Headers.find(StoreCallField) == PingKind;
}

http_response encodeStoreResult(const read_result &Result) {
  return encodeResponse({{"outcome", static_cast<int>(Result.Outcome)},
                         {"revision", Result.Batch.Revision},
                         {"time", Result.Batch.StoreTime.count()},
                         {"rows", toJson(Result.Batch.Rows)},
                         {"error", Result.Error}});
}

http_response encodeStoreResult(const transaction_result &Result) {
  json Body = {{"outcome", static_cast<int>(Result.Outcome)},
               {"revision", Result.Revision},
               {"time", Result.StoreTime.count()},
               {"rows", toJson(Result.Current)},
               {"error", Result.Error}};
  if (Result.Era)
    Body["era"] = *Result.Era;
  return encodeResponse(Body);
}

read_result decodeReadResult(const http_response &Response) {
  read_result Result;
  try {
    requireResult(Response);
    json Body = parseJson(Response.Body);
    Result.Batch.Revision = requireInteger<row_version>(Body, "revision");
    Result.Batch.StoreTime = requireMilliseconds(Body, "time");
    Result.Batch.Rows = toRows(requireList(Body, "rows"));
    Result.Error = Body.at("error").get<std::string>();
    Result.Outcome =
        toEnumerator(Body.at("outcome"), "outcome", read_outcome::Failed);
  } catch (const std::exception &Error) {
    Result.Outcome = read_outcome::Failed;
    Result.Error = Error.what();
  }
  return Result;
}

transaction_result decodeTransactionResult(const http_response &Response) {
  transaction_result Result;
  try {
    requireResult(Response);
    json Body = parseJson(Response.Body);
    Result.Revision = requireInteger<row_version>(Body, "revision");
    Result.StoreTime = requireMilliseconds(Body, "time");
    Result.Current = toRows(requireList(Body, "rows"));
    Result.Error = Body.at("error").get<std::string>();
    if (Body.contains("era"))
      Result.Era = requireInteger<store_era>(Body, "era");
    Result.Outcome = toEnumerator(Body.at("outcome"), "outcome",
                                  transaction_outcome::Unknown);
  } catch (const std::exception &Error) {
    Result.Outcome = transaction_outcome::Unknown;
    Result.Error = Error.what();
  }
  return Result;
}

} // namespace dragonflyvane
