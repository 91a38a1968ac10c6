#include "dragonflyvane/core/refusal.hpp"

#include <nlohmann/json.hpp>

namespace dragonflyvane {

std::string toString(run_state Ran) {
  return Ran == run_state::NotRun ? "not run" : "unknown";
}

http_response toResponse(const refusal &Refusal) {
  nlohmann::ordered_json Body = {
      {"code", Refusal.Code},
      {"ran", toString(Refusal.Ran)},
      {"step", Refusal.Step},
      {"peer", Refusal.Peer},
      {"retry_after_ms", Refusal.RetryAfter.count()}};
  http_response Response = jsonResponse(Refusal.Status, Body.dump() + "\n");
  Response.Headers.add(
      RefusalHeader, Refusal.Ran == run_state::NotRun ? "not-run" : "unknown");
  return Response;
}

} // namespace dragonflyvane
