#include "dragonflyvane/node/serving/forwarding.hpp"

#include <charconv>
#include <cmath>
#include <cstdio>

namespace dragonflyvane {

namespace {

constexpr const char *ServiceField = "x-dragonflyvane-service";
constexpr const char *PointField = "x-dragonflyvane-point";
constexpr const char *WorkspaceField = "x-dragonflyvane-workspace";
constexpr const char *OriginField = "x-dragonflyvane-origin";
constexpr const char *RouteField = "x-dragonflyvane-route";
constexpr const char *PriorityField = "x-dragonflyvane-priority";
/// Present if the request may run more than once.
constexpr const char *IdempotentField = "x-dragonflyvane-idempotent";
constexpr const char *TimeLeftField = "x-dragonflyvane-time-left";
constexpr const char *SoftTimeLeftField = "x-dragonflyvane-aim-left";
/// `not-run` or `unknown`; absent if the backend server responded.
constexpr const char *OutcomeField = "x-dragonflyvane-outcome";
constexpr const char *CodeField = "x-dragonflyvane-code";
constexpr const char *ReachedField = "x-dragonflyvane-reached";
constexpr const char *RetryAfterField = "x-dragonflyvane-retry-ms";
/// `BUSY,SLOTS,WORK_MS,LINK_DELAY_MS,TOKEN_DELAY_MS,SPEED,INCOMING_DELAY_MS`.
/// The speed is 0 if it is not known. Daemons of earlier versions leave out the
/// last parts.
constexpr const char *LoadField = "x-dragonflyvane-load";

/// A `condition_report`, in requests and in results.
constexpr const char *ConditionField = "x-dragonflyvane-server-condition";

std::optional<condition_report> findCondition(const header_list &Headers) {
  auto Text = Headers.find(ConditionField);
  return Text ? decodeConditionReport(*Text) : std::nullopt;
}

void addCondition(const std::optional<condition_report> &Report,
                  header_list &Headers) {
  if (Report)
    Headers.add(ConditionField, encodeConditionReport(*Report));
}

/// The speed is written in thousandths.
constexpr double SpeedUnits = 1000;

template <typename Number>
Number toNumber(const std::optional<std::string> &Text, Number Default) {
  if (!Text)
    return Default;
  Number Value = Default;
  std::from_chars(Text->data(), Text->data() + Text->size(), Value);
  return Value;
}

std::string encodeLoad(const dispatcher_load &Load) {
  long Speed = std::lround(Load.Speed.value_or(0) * SpeedUnits);
  std::string Text;
  for (long Value :
       {long{Load.Busy}, long{Load.Slots}, Load.ProcessingTime.count(),
        Load.LinkDelay.count(), Load.TokenDelay.count(), Speed,
        Load.IncomingDelay.count()}) {
    if (!Text.empty())
      Text.push_back(',');
    Text.append(std::to_string(Value));
  }
  return Text;
}

dispatcher_load decodeLoad(const std::optional<std::string> &Text) {
  dispatcher_load Load;
  unsigned Busy = 0;
  unsigned Slots = 0;
  long ProcessingTime = 0;
  long LinkDelay = 0;
  long TokenDelay = 0;
  long Speed = 0;
  long IncomingDelay = 0;
  int FieldCount = Text ? sscanf(Text->c_str(), "%u,%u,%ld,%ld,%ld,%ld,%ld",
                                 &Busy, &Slots, &ProcessingTime, &LinkDelay,
                                 &TokenDelay, &Speed, &IncomingDelay)
                        : 0;
  if (FieldCount < 4)
    return Load;
  Load = {Busy, Slots, std::chrono::milliseconds(ProcessingTime),
          std::chrono::milliseconds(LinkDelay),
          std::chrono::milliseconds(TokenDelay)};
  if (Speed > 0)
    Load.Speed = static_cast<double>(Speed) / SpeedUnits;
  Load.IncomingDelay = std::chrono::milliseconds(IncomingDelay);
  return Load;
}

} // namespace

void writeMetadata(const forward_metadata &Metadata, header_list &Headers) {
  Headers.add(ServiceField, Metadata.Service);
  if (Metadata.Point)
    Headers.add(PointField, std::to_string(*Metadata.Point));
  if (!Metadata.Workspace.empty())
    Headers.add(WorkspaceField, Metadata.Workspace);
  Headers.add(OriginField, Metadata.OriginService);
  Headers.add(RouteField, Metadata.Route);
  Headers.add(PriorityField, std::to_string(Metadata.Priority));
  Headers.add(TimeLeftField, std::to_string(Metadata.TimeLeft.count()));
  Headers.add(SoftTimeLeftField, std::to_string(Metadata.SoftTimeLeft.count()));
  if (Metadata.Idempotent)
    Headers.add(IdempotentField, "1");
  addCondition(Metadata.ServerCondition, Headers);
}

std::optional<forward_metadata> extractMetadata(header_list &Headers,
                                                duration TransitDelay) {
  auto Service = Headers.find(ServiceField);
  auto TimeLeft = Headers.find(TimeLeftField);
  if (!Service || !TimeLeft)
    return std::nullopt;
  forward_metadata Metadata;
  Metadata.Service = *Service;
  if (auto Point = Headers.find(PointField))
    Metadata.Point = toNumber<key_point>(Point, 0);
  Metadata.Workspace = Headers.find(WorkspaceField).value_or("");
  Metadata.OriginService = Headers.find(OriginField).value_or("");
  Metadata.Route = Headers.find(RouteField).value_or("");
  Metadata.Priority = toNumber<int>(Headers.find(PriorityField), 0);
  Metadata.TimeLeft = std::chrono::milliseconds(toNumber<int64_t>(TimeLeft, 0));
  Metadata.SoftTimeLeft = std::chrono::milliseconds(toNumber<int64_t>(
      Headers.find(SoftTimeLeftField), Metadata.TimeLeft.count()));
  Metadata.TransitDelay =
      std::chrono::duration_cast<std::chrono::milliseconds>(TransitDelay);
  Metadata.TimeLeft -= Metadata.TransitDelay;
  Metadata.SoftTimeLeft -= Metadata.TransitDelay;
  Metadata.Idempotent = Headers.find(IdempotentField).has_value();
  Metadata.ServerCondition = findCondition(Headers);
  removeInternal(Headers);
  return Metadata;
}

http_response encodeResult(forward_result Result) {
  http_response Response = std::move(Result.Response);
  if (Result.Outcome != forward_outcome::Answered) {
    bool NotRun = Result.Outcome == forward_outcome::NotRun;
    Response.Status = NotRun ? 503 : 502;
    Response.Headers.add(OutcomeField, NotRun ? "not-run" : "unknown");
    Response.Headers.add(CodeField, Result.Code);
  }
  if (Result.Reached)
    Response.Headers.add(ReachedField, "1");
  if (Result.RetryAfter.count() > 0)
    Response.Headers.add(RetryAfterField,
                         std::to_string(Result.RetryAfter.count()));
  Response.Headers.add(LoadField, encodeLoad(Result.Load));
  addCondition(Result.ServerCondition, Response.Headers);
  return Response;
}

forward_result decodeResult(http_response Response) {
  forward_result Result;
  auto Outcome = Response.Headers.find(OutcomeField);
  if (!Outcome)
    Result.Outcome = forward_outcome::Answered;
  else
    Result.Outcome = *Outcome == "not-run" ? forward_outcome::NotRun
                                           : forward_outcome::Unknown;
  Result.Code = Response.Headers.find(CodeField).value_or("");
  Result.Reached = Response.Headers.find(ReachedField).has_value();
  Result.RetryAfter = std::chrono::milliseconds(
      toNumber<int64_t>(Response.Headers.find(RetryAfterField), 0));
  Result.Load = decodeLoad(Response.Headers.find(LoadField));
  Result.ServerCondition = findCondition(Response.Headers);
  removeInternal(Response.Headers);
  Result.Response = std::move(Response);
  return Result;
}

} // namespace dragonflyvane
