/// HTTP for tests that decide themselves when each byte is sent.
#ifndef DRAGONFLYVANE_TESTS_PROCESS_RAW_HTTP_HPP
#define DRAGONFLYVANE_TESTS_PROCESS_RAW_HTTP_HPP

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>

namespace dragonflyvane {

/// Returns the head of a request to `cluster.example`, which waits so long.
/// `Fields` are further lines with their line ends.
std::string makeRequestHead(const std::string &RequestId,
                            const std::string &RequestLine,
                            std::chrono::milliseconds Timeout,
                            const std::string &Fields = "");

/// Returns the fields by which a backend server proves that a response is its
/// own and that of the request with this head.
std::string makeOwnFields(const std::string &RequestHead);

/// Returns the response of a sound server to a request with this head. Its body
/// is `sound`.
std::string makeSoundResponse(const std::string &RequestHead);

/// Parses one response and the interim responses before it.
class response_reader {
public:
  response_reader();
  ~response_reader();

  void take(const std::string &Bytes);
  bool hasInterim() const { return HasInterim; }
  /// 0 if the response is not complete.
  int status() const;
  size_t bodySize() const;
  /// Whether the connection stays open after the response.
  bool keepsAlive() const;
  /// What follows the response.
  const std::string &rest() const { return Buffer; }

private:
  struct parser;

  std::string Buffer;
  std::unique_ptr<parser> Parser;
  bool HasInterim = false;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_TESTS_PROCESS_RAW_HTTP_HPP
