/// \file
/// HTTP client that goes on to the next entry after a failure.

#ifndef STANDINS_ENTRY_CALLER_H
#define STANDINS_ENTRY_CALLER_H

#include "standins/clock.h"

#include <cstddef>
#include <httplib.h>
#include <memory>
#include <string>
#include <vector>

namespace standins {

struct entry_response {
  /// 0 when there was no answer.
  int Status = 0;
  std::string Body;
};

/// Creates a client for "IP:port" with TCP_NODELAY and a kept-alive
/// connection. Throws std::invalid_argument for other texts.
std::unique_ptr<httplib::Client> makeClient(const std::string &Address,
                                            milliseconds ReadTimeout);

/// Keeps one connection to one of the entries. Not thread-safe.
class entry_client {
public:
  /// Entries are "IP:port" and must not be empty.
  entry_client(std::vector<std::string> Entries, milliseconds ReadTimeout);

  entry_response call(const std::string &Method, const std::string &Path,
                      const std::string &Body);
  /// For calls that need headers or read the answer as it comes.
  httplib::Error send(httplib::Request &Request, httplib::Response &Response);
  /// The next call goes to the next entry, over a new connection.
  void useNextEntry();
  [[nodiscard]] const std::string &entry() const {
    return Entries[CurrentEntry];
  }

private:
  std::vector<std::string> Entries;
  milliseconds ReadTimeout;
  size_t CurrentEntry = 0;
  std::unique_ptr<httplib::Client> Client;
};

} // namespace standins

#endif // STANDINS_ENTRY_CALLER_H
