/// A caller of the soak: it sends one request after another, mostly on
/// connections that it keeps as long as the daemon does.
#ifndef DRAGONFLYVANE_TESTS_PROCESS_SOAK_CALLER_HPP
#define DRAGONFLYVANE_TESTS_PROCESS_SOAK_CALLER_HPP

#include "dragonflyvane/core/clock.hpp"
#include "dragonflyvane/core/endpoint.hpp"
#include "process/caller_connection.hpp"
#include "process/soak_call.hpp"
#include "process/soak_request.hpp"

#include <atomic>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace dragonflyvane {

/// Where a caller sends its requests.
struct caller_place {
  std::string Name;
  int Host = 0;
  endpoint Remote;
  /// Of the link between the caller and the daemon.
  duration RoundTrip{0};
  /// What the caller sends.
  request_source Draw = drawRequest;
};

/// Runs on a thread of its own.
class soak_caller {
public:
  soak_caller(caller_place Place, int Seed);
  ~soak_caller();
  soak_caller(const soak_caller &) = delete;
  soak_caller &operator=(const soak_caller &) = delete;

  /// Lets the caller send nothing more, without waiting for its last request.
  void requestFinish() { IsFinished = true; }
  /// Lets the last request end, and returns all calls.
  std::vector<soak_call> finish();

private:
  void run();
  void pause();
  soak_call call(const soak_request &Request);
  void connect();
  bool sendAll(const soak_request &Request, time_point Deadline);
  void readAnswer(const soak_request &Request, time_point Deadline,
                  soak_call &Call);

  caller_place Place;
  boot_clock Clock;
  std::mt19937 Random;
  std::unique_ptr<caller_connection> Connection;
  std::vector<soak_call> Calls;
  std::atomic<bool> IsFinished{false};
  std::thread Thread;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_TESTS_PROCESS_SOAK_CALLER_HPP
