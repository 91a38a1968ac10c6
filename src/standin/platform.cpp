/// Stand-in for the platform: a transactional table and an object store over
/// HTTP, with outages, slowness and lost answers on demand.
///
///     GET  /v1/rows?after=REVISION      rows changed since
///     POST /v1/transactions             conditions and writes
///     PUT, GET, DELETE /v1/objects/NAME
///     POST /control/faults              {"outage": bool, "slow_ms": N,
///                                        "lose_answers": N}
///     GET  /control/report              reads, writes, revision
#include <dragonflyvane/core.hpp>
#include <dragonflyvane/net.hpp>
#include <dragonflyvane/node.hpp>

#include "standin/memory_table.hpp"

#include <absl/flags/flag.h>
#include <nlohmann/json.hpp>

#include <map>
#include <memory>

ABSL_FLAG(std::string, listen, "127.0.0.1:7000", "IP:PORT to listen on");

namespace dragonflyvane {

namespace {

using json = nlohmann::json;

struct faults {
  bool Outage = false;
  std::chrono::milliseconds Slow{0};
  /// So many next transactions commit, but their answers are lost.
  int LoseAnswers = 0;
};

class platform {
public:
  explicit platform(event_loop &Loop) : Loop(Loop) {}

  void serve(const exchange_pointer &Exchange) {
    std::string_view Path = pathOf(Exchange->request().Target);
    if (Path == "/control/faults")
      return setFaults(Exchange);
    if (Path == "/control/report")
      return report(Exchange);
    if (Faults.Outage)
      return; // Silent, as a lost service is.
    if (Faults.Slow == std::chrono::milliseconds::zero())
      return serveNow(Exchange);
    auto Delay = std::make_shared<timer>();
    *Delay = Loop.after(Faults.Slow, [this, Exchange, Delay] {
      serveNow(Exchange);
      Delay->cancel();
    });
  }

private:
  void serveNow(const exchange_pointer &Exchange) {
    std::string_view Path = pathOf(Exchange->request().Target);
    if (Path == "/v1/rows")
      return readRows(Exchange);
    if (Path == "/v1/transactions")
      return transact(Exchange);
    if (Path.substr(0, 12) == "/v1/objects/")
      return serveObject(Exchange, std::string(Path.substr(12)));
    answer(Exchange, 404, "{}");
  }

  void readRows(const exchange_pointer &Exchange) {
    ++Reads;
    auto After = queryParameter(Exchange->request().Target, "after");
    answer(Exchange, 200,
           encodeChanges(Table.changesAfter(std::stoull(After.value_or("0")))));
  }

  void transact(const exchange_pointer &Exchange) {
    auto Transaction = decodeTransaction(Exchange->request().Body);
    if (!Transaction)
      return answer(Exchange, 400, "{}");
    ++Transactions;
    bool Committed =
        Table.commit(*Transaction).Outcome == transaction_outcome::Committed;
    if (Faults.LoseAnswers > 0) {
      --Faults.LoseAnswers;
      return;
    }
    Conflicts += !Committed;
    answer(Exchange, Committed ? 200 : 409, encodeRevision(Table.revision()));
  }

  void serveObject(const exchange_pointer &Exchange, const std::string &Name) {
    const http_request &Request = Exchange->request();
    if (Request.Method == "PUT")
      Objects[Name] = Request.Body;
    else if (Request.Method == "DELETE")
      Objects.erase(Name);
    auto Found = Objects.find(Name);
    bool Missing = Request.Method == "GET" && Found == Objects.end();
    answer(Exchange, Missing ? 404 : 200,
           Request.Method == "GET" && !Missing ? Found->second : "");
  }

  void setFaults(const exchange_pointer &Exchange) {
    json Wanted = json::parse(Exchange->request().Body, nullptr, false);
    if (!Wanted.is_object())
      return answer(Exchange, 400, "{}");
    Faults.Outage = Wanted.value("outage", false);
    Faults.Slow = std::chrono::milliseconds(Wanted.value("slow_ms", 0));
    Faults.LoseAnswers = Wanted.value("lose_answers", 0);
    answer(Exchange, 200, "{}");
  }

  void report(const exchange_pointer &Exchange) {
    answer(Exchange, 200,
           json{{"reads", Reads},
                {"transactions", Transactions},
                {"conflicts", Conflicts},
                {"revision", Table.revision()}}
               .dump());
  }

  static void answer(const exchange_pointer &Exchange, int Status,
                     std::string Body) {
    Exchange->answer(jsonResponse(Status, std::move(Body)));
  }

  event_loop &Loop;
  memory_table Table;
  faults Faults;
  std::map<std::string, std::string> Objects;
  uint64_t Reads = 0;
  uint64_t Transactions = 0;
  uint64_t Conflicts = 0;
};

} // namespace

} // namespace dragonflyvane

int main(int Count, char **Arguments) {
  using namespace dragonflyvane;
  parseFlags(Count, Arguments, "standin_platform: table and object store");
  event_loop Loop;
  platform Platform(Loop);
  http_server Server(
      endpointFlag("listen"), 1, {}, [&](const exchange_pointer &Exchange) {
        Loop.post([&Platform, Exchange] { Platform.serve(Exchange); });
      });
  Loop.onTermination([&] { Loop.stop(); });
  Loop.run();
  return 0;
}
