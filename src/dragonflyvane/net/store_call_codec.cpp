#include "dragonflyvane/net/store_call_codec.hpp"

#include <nlohmann/json.hpp>

namespace dragonflyvane {

namespace {

using json = nlohmann::json;

/// Header field that names the call. Only daemons may send it; it is removed
/// from requests of callers.
constexpr const char *StoreCallField = "x-dragonflyvane-store";

json toJson(const row_id &Id) { return {static_cast<int>(Id.Kind), Id.Key}; }

row_id toRowId(const json &Json) {
  return {static_cast<row_kind>(Json.at(0).get<int>()),
          Json.at(1).get<std::string>()};
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
    Rows.push_back({toRowId(Row.at(0)), Row.at(1).get<row_version>(),
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
  for (const json &Row : Json.at("conditions"))
    Transaction.Conditions.push_back(
        {toRowId(Row.at(0)), Row.at(1).get<row_version>()});
  for (const json &Row : Json.at("writes"))
    Transaction.Writes.push_back({toRowId(Row.at(0)), toRowValue(Row.at(1))});
  Transaction.MaxBatchDelay =
      std::chrono::milliseconds(Json.at("patience").get<int64_t>());
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
  auto RowKind = static_cast<row_kind>(Body.at("kind").get<int>());
  if (CallKind == "read")
    return store_read{RowKind};
  return store_watch{RowKind, Body.at("after").get<row_version>(),
                     std::chrono::milliseconds(Body.at("wait").get<int>())};
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
    return toCall(*CallKind, json::parse(Request.Body));
  } catch (const json::exception &) {
    return std::nullopt;
  }
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
    json Body = json::parse(Response.Body);
    Result.Batch.Revision = Body.at("revision").get<row_version>();
    Result.Batch.StoreTime =
        std::chrono::milliseconds(Body.at("time").get<int64_t>());
    Result.Batch.Rows = toRows(Body.at("rows"));
    Result.Error = Body.at("error").get<std::string>();
    Result.Outcome = static_cast<read_outcome>(Body.at("outcome").get<int>());
  } catch (const json::exception &Error) {
    Result.Outcome = read_outcome::Failed;
    Result.Error = Error.what();
  }
  return Result;
}

transaction_result decodeTransactionResult(const http_response &Response) {
  transaction_result Result;
  try {
    json Body = json::parse(Response.Body);
    Result.Revision = Body.at("revision").get<row_version>();
    Result.StoreTime =
        std::chrono::milliseconds(Body.at("time").get<int64_t>());
    Result.Current = toRows(Body.at("rows"));
    Result.Error = Body.at("error").get<std::string>();
    if (Body.contains("era"))
      Result.Era = Body.at("era").get<store_era>();
    Result.Outcome =
        static_cast<transaction_outcome>(Body.at("outcome").get<int>());
  } catch (const json::exception &Error) {
    Result.Outcome = transaction_outcome::Unknown;
    Result.Error = Error.what();
  }
  return Result;
}

} // namespace dragonflyvane
