#include "dragonflyvane/node/admin/admin.hpp"

#include <nlohmann/json.hpp>

namespace dragonflyvane {

namespace {

using json = nlohmann::json;

const std::string OwnersPrefix = "/v1/owners/";
const std::string QuarantinePrefix = "/v1/quarantine/";

double secondsOf(duration Time) {
  return std::chrono::duration<double>(Time).count();
}

http_response jsonPage(const json &Document) {
  return jsonResponse(200, Document.dump(2) + "\n");
}

} // namespace

void admin::serve(const exchange_pointer &Exchange) {
  std::string Path(pathOf(Exchange->request().Target));
  if (Exchange->request().Method == "DELETE" &&
      Path.compare(0, QuarantinePrefix.size(), QuarantinePrefix) == 0)
    return Exchange->respond(release(Path.substr(QuarantinePrefix.size())));
  if (Exchange->request().Method != "GET")
    return Exchange->respond(jsonResponse(405, "{\"code\":\"only-get\"}\n"));
  if (Path == "/metrics")
    return Exchange->respond(showMetrics());
  if (Path == "/v1/status")
    return Exchange->respond(showStatus());
  if (Path == "/v1/hosts")
    return Exchange->respond(showHosts());
  if (Path == "/v1/quarantine")
    return Exchange->respond(showQuarantine());
  if (Path.compare(0, OwnersPrefix.size(), OwnersPrefix) == 0)
    return Exchange->respond(showOwners(Path.substr(OwnersPrefix.size())));
  Exchange->respond(jsonResponse(404, "{\"code\":\"no-such-page\"}\n"));
}

http_response admin::showMetrics() {
  time_point Now = Deps.Clock.now();
  metrics &Metrics = Deps.Metrics;
  auto Config = Deps.OperatorState.config();
  Metrics.set("configuration_version", {},
              Config ? static_cast<double>(Config->Version) : 0);
  Metrics.set("evidence_age_seconds", {},
              Config ? secondsOf(Deps.OperatorState.confirmationAge(Now)) : -1);
  Metrics.set(
      "lease_seconds_left", {},
      std::max(0.0, secondsOf(Deps.Ownership.sync().grantDeadline() - Now)));
  Metrics.set("door_busy", {}, Deps.Dispatcher.load().Busy);
  Metrics.set("server_rate_limit", {},
              Deps.Ownership.server().condition().RateLimit.value_or(-1));
  Metrics.set("unreadable_rows", {},
              static_cast<double>(Deps.Ownership.view().unreadableRows()));
  Metrics.set("steward", {}, Deps.Ownership.coordinator().isActive() ? 1 : 0);
  const host_takeover::counters &Takeovers =
      Deps.Ownership.coordinator().takeoverCounts();
  Metrics.set("hosts_taken_over", {}, static_cast<double>(Takeovers.Hosts));
  Metrics.set("takeover_transactions", {{"end", "committed"}},
              static_cast<double>(Takeovers.Transactions));
  Metrics.set("takeover_transactions", {{"end", "failed"}},
              static_cast<double>(Takeovers.FailedTransactions));
  for (const auto &[Service, Map] : Deps.Ownership.view().maps())
    Metrics.set("map_version", {{"service", Service}},
                static_cast<double>(Map.Version));
  http_response Response;
  Response.Headers.add("Content-Type", "text/plain; version=0.0.4");
  Response.Body = Metrics.exposition();
  return Response;
}

http_response admin::showStatus() const {
  time_point Now = Deps.Clock.now();
  auto Config = Deps.OperatorState.config();
  return jsonPage(
      {{"host", Deps.Settings.Host},
       {"failure_domain", Deps.Settings.FailureDomain},
       {"service", Deps.Settings.LocalService},
       {"server", Deps.Ownership.server().incarnation().Instance},
       {"standing", formatAvailability(Deps.Ownership.server().availability())},
       {"configuration", Config ? Config->Version : 0},
       {"evidence_age_s",
        Config ? secondsOf(Deps.OperatorState.confirmationAge(Now)) : -1},
       {"lease_left_s",
        std::max(0.0, secondsOf(Deps.Ownership.sync().grantDeadline() - Now))},
       {"steward", Deps.Ownership.view().coordinatorHost().Content},
       {"busy", Deps.Dispatcher.load().Busy}});
}

http_response admin::showHosts() const {
  json Hosts = json::object();
  for (const auto &[Name, Row] : Deps.Ownership.view().hosts())
    Hosts[Name] = {{"peer", toString(Row.Content.PeerEndpoint)},
                   {"failure_domain", Row.Content.FailureDomain},
                   {"service", Row.Content.Service},
                   {"server", Row.Content.Incarnation.Instance},
                   {"standing", formatAvailability(Row.Content.Availability)},
                   {"slots", Row.Content.Slots}};
  return jsonPage(Hosts);
}

http_response admin::showOwners(const std::string &Service) const {
  const known_map *Map = Deps.Ownership.view().map(Service);
  if (!Map)
    return jsonResponse(404, "{\"code\":\"no-such-service\"}\n");
  json Ranges = json::array();
  for (const owned_range &Range : Map->Content.Ranges)
    Ranges.push_back({{"first", Range.First},
                      {"last", Range.Last},
                      {"owner", Range.Owner},
                      {"server", Range.Incarnation.Instance},
                      {"token", Range.Token},
                      {"next", Range.NextOwner}});
  return jsonPage({{"version", Map->Version}, {"ranges", Ranges}});
}

http_response admin::showQuarantine() const {
  json Quarantined = json::array();
  for (request_fingerprint Request : Deps.CrashGuard.quarantined())
    Quarantined.push_back(formatFingerprint(Request));
  json Suspects = json::array();
  for (request_fingerprint Request : Deps.CrashGuard.suspects())
    Suspects.push_back(formatFingerprint(Request));
  return jsonPage({{"quarantined", Quarantined}, {"suspects", Suspects}});
}

http_response admin::release(const std::string &Fingerprint) {
  auto Request = parseFingerprint(Fingerprint);
  if (!Request || !Deps.CrashGuard.suspects().contains(*Request))
    return jsonResponse(404, "{\"code\":\"no-such-fingerprint\"}\n");
  Deps.CrashGuard.release(*Request);
  return jsonPage({{"released", Fingerprint}});
}

} // namespace dragonflyvane
