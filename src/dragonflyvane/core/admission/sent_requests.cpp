#include "dragonflyvane/core/admission/sent_requests.hpp"

#include <xxhash.h>

#include <utility>

namespace dragonflyvane {

namespace {

constexpr std::chrono::seconds Period{30};

} // namespace

bool sent_requests::insert(std::string_view RequestId, time_point Now) {
  if (RequestId.empty())
    return false;
  if (Now - RecentSince >= Period) {
    bool IsAdjacent = Now - RecentSince < 2 * Period;
    Earlier = IsAdjacent ? std::move(Recent) : hash_set();
    Recent = {};
    RecentSince = Now;
  }
  uint64_t Hash = XXH3_64bits(RequestId.data(), RequestId.size());
  bool IsNew = !Earlier.contains(Hash);
  return Recent.insert(Hash).second && IsNew;
}

} // namespace dragonflyvane
