#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include "dragonflyvane/net/log.hpp"

int main(int Count, char **Arguments) {
  dragonflyvane::setUpLog("test", dragonflyvane::log_level::Error);
  return doctest::Context(Count, Arguments).run();
}
