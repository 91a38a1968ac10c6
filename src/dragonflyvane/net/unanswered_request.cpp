#include "dragonflyvane/net/unanswered_request.hpp"

namespace dragonflyvane {

std::string toString(request_phase Phase) {
  switch (Phase) {
  case request_phase::Unread:
    return "unread";
  case request_phase::Receiving:
    return "receiving";
  case request_phase::Serving:
    return "serving";
  case request_phase::Responding:
    return "responding";
  }
  return "unknown";
}

} // namespace dragonflyvane
