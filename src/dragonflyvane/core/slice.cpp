#include "dragonflyvane/core/slice.hpp"

#include <xxhash.h>

namespace dragonflyvane {

uint64_t rendezvousHash(std::string_view A, std::string_view B) {
  uint64_t Seed = XXH3_64bits(A.data(), A.size());
  return XXH3_64bits_withSeed(B.data(), B.size(), Seed);
}

slice_id rateSliceOf(std::string_view Workspace) {
  return {RateService, sliceOf(RateService, Workspace, RateSliceCount)};
}

uint32_t sliceOf(std::string_view Service, std::string_view Key,
                 uint32_t SliceCount) {
  return static_cast<uint32_t>(rendezvousHash(Service, Key) % SliceCount);
}

} // namespace dragonflyvane
