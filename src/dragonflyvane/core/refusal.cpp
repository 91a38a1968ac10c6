#include "dragonflyvane/core/refusal.hpp"

#include <cstdio>

namespace dragonflyvane {

std::string toString(run_state Ran) {
  return Ran == run_state::NotRun ? "not run" : "unknown";
}

http_response toResponse(const refusal &Refusal) {
  http_response Response = jsonResponse(
      Refusal.Status, "{\"code\":\"" + Refusal.Code + "\",\"ran\":\"" +
                          toString(Refusal.Ran) + "\"}\n");
  if (Refusal.RetryAfter.count() > 0) {
    char Text[32];
    snprintf(Text, sizeof(Text), "%.3f",
             std::chrono::duration<double>(Refusal.RetryAfter).count());
    Response.Headers.add("Retry-After", Text);
  }
  return Response;
}

} // namespace dragonflyvane
