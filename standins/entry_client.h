/// \file
/// HTTP client for the system's entries (processes with --role entry), with
/// fail-over to the next entry.

#ifndef STANDINS_ENTRY_CLIENT_H
#define STANDINS_ENTRY_CLIENT_H

#include "standins/clock.h"

#include <cstddef>
#include <httplib.h>
#include <memory>
#include <string>
#include <vector>

namespace standins {

struct entry_response {
  /// 0 if no response was received.
  int Status = 0;
  std::string Body;
};

/// Creates a client for "IP:port" with TCP_NODELAY and HTTP keep-alive. Throws
/// std::invalid_argument if Address has another form.
std::unique_ptr<httplib::Client> makeClient(const std::string &Address,
                                            milliseconds ReadTimeout);

/// Uses one connection to one of the entries at a time. Not thread-safe.
class entry_client {
public:
  /// Entries are addresses "IP:port"; there must be at least one.
  entry_client(std::vector<std::string> Entries, milliseconds ReadTimeout);

  entry_response call(const std::string &Method, const std::string &Path,
                      const std::string &Body);
  /// For requests with headers, or with a response that is read as a stream.
  httplib::Error send(httplib::Request &Request, httplib::Response &Response);
  /// Sends the following requests to the next entry, over a new connection.
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

#endif // STANDINS_ENTRY_CLIENT_H
