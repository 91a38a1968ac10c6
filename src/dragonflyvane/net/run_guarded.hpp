/// The one place where an unexpected exception becomes a log line, so that one
/// malformed message does not end the process.
#ifndef DRAGONFLYVANE_NET_RUN_GUARDED_HPP
#define DRAGONFLYVANE_NET_RUN_GUARDED_HPP

#include "dragonflyvane/net/http_exchange.hpp"
#include "dragonflyvane/net/log.hpp"

#include <exception>

namespace dragonflyvane {

/// Runs a function. Logs an exception with the step, and returns whether there
/// was none.
template <typename Function>
bool runGuarded(const char *Step, const Function &Work) noexcept {
  try {
    Work();
    return true;
  } catch (const std::exception &Error) {
    writeLog(log_level::Error, "unexpected error",
             {{"step", Step}, {"reason", Error.what()}});
    return false;
  }
}

/// Serves a request. If the handler throws, responds with 500, which does not
/// say whether the request was run.
inline void serveGuarded(const http_handler &Handler,
                         const exchange_pointer &Exchange) noexcept {
  if (!runGuarded("handler", [&] { Handler(Exchange); }))
    runGuarded("handler", [&] { Exchange->respond({500, {}, ""}); });
}

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NET_RUN_GUARDED_HPP
