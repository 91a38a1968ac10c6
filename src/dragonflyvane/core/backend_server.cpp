#include "dragonflyvane/core/backend_server.hpp"

#include "dragonflyvane/core/error.hpp"

namespace dragonflyvane {

namespace {

void requireEqual(const heartbeat &Heartbeat, const char *Field,
                  const std::string &Actual, const std::string &Expected) {
  if (Actual != Expected)
    throw step_error("heartbeat", Heartbeat.Incarnation.Instance,
                     std::string(Field) + " is " + Actual + ", not " +
                         Expected);
}

} // namespace

void requireSender(const server_identity &Server, const heartbeat &Heartbeat) {
  requireEqual(Heartbeat, "service", Heartbeat.Service, Server.Service);
  requireEqual(Heartbeat, "failure domain", Heartbeat.FailureDomain,
               Server.FailureDomain);
  if (!Server.Address.empty())
    requireEqual(Heartbeat, "address", Heartbeat.Address, Server.Address);
}

} // namespace dragonflyvane
