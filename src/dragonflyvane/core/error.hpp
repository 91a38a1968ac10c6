/// The exception type of all layers.
#ifndef DRAGONFLYVANE_CORE_ERROR_HPP
#define DRAGONFLYVANE_CORE_ERROR_HPP

#include <stdexcept>
#include <string>
#include <utility>

namespace dragonflyvane {

/// An error with the step that failed and the peer that it concerns. `what()`
/// reads `STEP (PEER): REASON`, or `STEP: REASON` if no other process is
/// involved and the peer is empty.
class step_error : public std::runtime_error {
public:
  step_error(std::string Step, std::string Peer, const std::string &What)
      : std::runtime_error(Step + (Peer.empty() ? "" : " (" + Peer + ")") +
                           ": " + What),
        Step(std::move(Step)), Peer(std::move(Peer)) {}

  const std::string &step() const { return Step; }
  const std::string &peer() const { return Peer; }

private:
  std::string Step;
  std::string Peer;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_ERROR_HPP
