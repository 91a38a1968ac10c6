#include "dragonflyvane/core/memory_budget.hpp"

#include <algorithm>
#include <utility>

namespace dragonflyvane {

memory_share::~memory_share() {
  if (Budget)
    Budget->Used -= Size;
}

bool memory_share::resize(size_t NewSize) {
  if (!Budget)
    return true;
  size_t UsedByOthers = Budget->Used - Size;
  size_t Free = Budget->Limit - std::min(Budget->Limit, UsedByOthers);
  if (NewSize > Size && NewSize > Free / 2)
    return false;
  Budget->Used = UsedByOthers + NewSize;
  Size = NewSize;
  return true;
}

void memory_share::swap(memory_share &Other) noexcept {
  std::swap(Budget, Other.Budget);
  std::swap(Size, Other.Size);
}

} // namespace dragonflyvane
