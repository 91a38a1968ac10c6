#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include "dragonflyvane/net/log.hpp"

#include <cstdlib>

int main(int Count, char **Arguments) {
  bool IsLoud = std::getenv("DRAGONFLYVANE_TEST_LOG") != nullptr;
  dragonflyvane::initLogging(IsLoud ? dragonflyvane::log_level::Info
                                    : dragonflyvane::log_level::Error);
  return doctest::Context(Count, Arguments).run();
}
