#include "dragonflyvane/node/admin.hpp"

#include "dragonflyvane/core/error.hpp"
#include "dragonflyvane/net/log.hpp"

#include <nlohmann/json.hpp>
#include <openssl/crypto.h>

namespace dragonflyvane {

namespace {

using json = nlohmann::ordered_json;

constexpr const char *AnnouncementsPath = "/v1/announcements";
constexpr const char *SlicesPrefix = "/v1/slices/";

void answerJson(const exchange_pointer &Exchange, int Status,
                const json &Body) {
  Exchange->answer(jsonResponse(Status, Body.dump(2) + "\n"));
}

void answerError(const exchange_pointer &Exchange, int Status,
                 const std::string &Step, const std::string &Why) {
  answerJson(Exchange, Status, {{"error", Why}, {"step", Step}, {"peer", ""}});
}

void answerText(const exchange_pointer &Exchange, int Status,
                std::string Text) {
  http_response Response;
  Response.Status = Status;
  Response.Headers.add("Content-Type", "text/plain; version=0.0.4");
  Response.Body = std::move(Text);
  Exchange->answer(Response);
}

bool startsWith(std::string_view Text, std::string_view Prefix) {
  return Text.substr(0, Prefix.size()) == Prefix;
}

announcement readAnnouncement(const std::string &Text) {
  try {
    nlohmann::json Document = nlohmann::json::parse(Text);
    announcement Result;
    Result.Service = Document.at("service");
    Result.Address = parseEndpoint(Document.at("address"));
    Result.Slots = Document.value("slots", 1U);
    if (Result.Slots == 0 || Result.Service.empty())
      throw step_error("announce", "", "a service and at least 1 slot");
    return Result;
  } catch (const nlohmann::json::exception &Error) {
    throw step_error("announce", "",
                     std::string("expected {\"service\", \"address\", "
                                 "\"slots\"}: ") +
                         Error.what());
  }
}

} // namespace

bool admin::isOperator(const http_request &Request) const {
  std::string Expected = "Bearer " + Parts.OperatorToken;
  std::string Given = Request.Headers.find("authorization").value_or("");
  return Given.size() == Expected.size() &&
         CRYPTO_memcmp(Given.data(), Expected.data(), Given.size()) == 0;
}

void admin::serve(const exchange_pointer &Exchange) {
  const http_request &Request = Exchange->request();
  std::string_view Path = pathOf(Request.Target);
  const std::string &Method = Request.Method;
  if (Path == "/healthz")
    return answerText(Exchange, 200, "ok\n");
  if (Path == "/readyz")
    return Parts.IsReady() ? answerText(Exchange, 200, "ready\n")
                           : answerText(Exchange, 503, "not ready\n");
  if (Path == "/metrics")
    return answerText(Exchange, 200, Parts.Metrics.exposition());
  if (Path == AnnouncementsPath && Method == "POST")
    return announce(Exchange);
  if (startsWith(Path, std::string(AnnouncementsPath) + "/") &&
      Method == "DELETE")
    return withdraw(Exchange);
  if (!isOperator(Request))
    return answerError(Exchange, 401, "authenticate operator",
                       "the operator token is missing or wrong");
  if (Path == "/v1/configuration" && Method == "GET")
    return showConfiguration(Exchange);
  if (Path == "/v1/configuration" && Method == "PUT")
    return putConfiguration(Exchange);
  if (Path == "/v1/status" && Method == "GET")
    return showStatus(Exchange);
  if (startsWith(Path, SlicesPrefix) && Method == "GET")
    return showSlices(Exchange);
  answerError(Exchange, 404, "administration", "no such resource");
}

void admin::announce(const exchange_pointer &Exchange) {
  try {
    announcement Announcement = readAnnouncement(Exchange->request().Body);
    if (Announcement.Address.Address != Parts.Address)
      throw step_error("announce", toString(Announcement.Address),
                       "expected a backend server at " + Parts.Address);
    Parts.Backends.announce(Announcement);
    answerJson(Exchange, 200, {{"service", Announcement.Service}});
  } catch (const step_error &Error) {
    answerError(Exchange, 400, Error.step(), Error.what());
  }
}

void admin::withdraw(const exchange_pointer &Exchange) {
  std::string_view Path = pathOf(Exchange->request().Target);
  Path.remove_prefix(std::string_view(AnnouncementsPath).size() + 1);
  Parts.Backends.withdraw(std::string(Path));
  answerJson(Exchange, 200, {{"service", Path}});
}

void admin::showConfiguration(const exchange_pointer &Exchange) const {
  const auto &Row = Parts.Member.view().configurationRow();
  json Body = {{"version", Row ? Row->Version : 0}};
  Body["document"] = Row ? json::parse(Row->Content.Document) : json::object();
  answerJson(Exchange, 200, Body);
}

void admin::putConfiguration(const exchange_pointer &Exchange) {
  row_version IfVersion = 0;
  std::string Document;
  try {
    auto Body = nlohmann::json::parse(Exchange->request().Body);
    IfVersion = Body.at("if_version");
    Document = Body.at("document").dump();
    parseConfiguration(Body.at("document"), 0);
  } catch (const std::exception &Error) {
    return answerError(Exchange, 400, "check configuration", Error.what());
  }
  table_transaction Transaction{{{ConfigurationRowKey, IfVersion}},
                                {{ConfigurationRowKey, Document}}};
  Parts.Table.transact(
      Transaction, [this, Exchange](const transaction_result &Result) {
        switch (Result.Outcome) {
        case transaction_outcome::Committed:
          writeLog(log_level::Info, "configuration changed",
                   {{"step", "audit"}, {"version", Result.Revision}});
          Parts.SpreadNews(Result.Revision);
          return answerJson(Exchange, 200, {{"version", Result.Revision}});
        case transaction_outcome::Conflict:
          return answerError(Exchange, 409, "write configuration",
                             "another change came first; look again");
        case transaction_outcome::NotSent:
          return answerError(Exchange, 503, "write configuration",
                             "the table cannot be reached; nothing changed");
        case transaction_outcome::Unknown:
          return answerError(Exchange, 504, "write configuration",
                             "the outcome is unknown; look again");
        }
      });
}

void admin::showStatus(const exchange_pointer &Exchange) const {
  const member &Member = Parts.Member;
  const auto &Config = Member.view().configurationRow();
  json Hosts = json::array();
  for (const auto &[Name, Row] : Member.view().hosts()) {
    const host_record &Record = Row.Content;
    json Witnesses = json::array();
    for (const witness_id &Witness : Record.Witnesses.Members)
      Witnesses.push_back(Witness.Host);
    Hosts.push_back(
        {{"host", Name},
         {"generation", Record.Generation},
         {"domain", Record.Domain},
         {"services", Record.Services},
         {"witnesses", Witnesses},
         {"lapsed", Member.registry().isLapsed(Record.ref(), Member.view())}});
  }
  answerJson(Exchange, 200,
             {{"host", Parts.Host},
              {"in_office", Member.isInOffice(Parts.Clock.now())},
              {"steward", Member.isSteward()},
              {"configuration_version", Config ? Config->Version : 0},
              {"table_revision", Member.view().revision()},
              {"list_changes", Member.changesUnderWay()},
              {"hosts", Hosts}});
}

void admin::showSlices(const exchange_pointer &Exchange) const {
  std::string_view Path = pathOf(Exchange->request().Target);
  std::string Service(Path.substr(std::string_view(SlicesPrefix).size()));
  json Slices = json::array();
  slice_id Slice{Service, 0};
  while (const succession_list *List = Parts.Member.view().list(Slice)) {
    json Entries = json::array();
    for (const host_ref &Ref : List->Entries)
      Entries.push_back(toString(Ref));
    auto Owner = Parts.Member.ownerOf(Slice);
    Slices.push_back({{"slice", Slice.Index},
                      {"epoch", List->Epoch},
                      {"owner", Owner ? Owner->Host : ""},
                      {"entries", Entries}});
    ++Slice.Index;
  }
  answerJson(Exchange, 200, {{"service", Service}, {"slices", Slices}});
}

} // namespace dragonflyvane
