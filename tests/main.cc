#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include "dragonflyvane/net/log.hpp"

#include <cstdlib>

/// Logs errors only, unless the environment sets `DRAGONFLYVANE_TEST_LOG`.
int main(int Count, char **Arguments) {
  bool IsVerbose = std::getenv("DRAGONFLYVANE_TEST_LOG") != nullptr;
  dragonflyvane::initLogging(IsVerbose ? dragonflyvane::log_level::Info
                                       : dragonflyvane::log_level::Error);
  return doctest::Context(Count, Arguments).run();
}
