/// The operators' command-line tool.
#include <dragonflyvane/node.hpp>

int main(int Count, char **Arguments) {
  return dragonflyvane::runOperatorTool(Count, Arguments);
}
