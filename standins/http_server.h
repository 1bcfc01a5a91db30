/// \file
/// HTTP server that all emulators share.
///
/// Usage:
///   CLI::App App("...");
///   server_options Options;
///   addServerFlags(App, Options);
///   http_server Server;                 // before any thread starts
///   Server.routes().Get("/x", ...);
///   return Server.run(Options);         // ends on SIGTERM or SIGINT

#ifndef STANDINS_HTTP_SERVER_H
#define STANDINS_HTTP_SERVER_H

#include <CLI/App.hpp>
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

namespace standins {

struct server_options {
  std::string Host = "127.0.0.1";
  /// 0 picks a free port.
  int Port = 0;
};

/// Adds --host and --port.
void addServerFlags(CLI::App &App, server_options &Options);

class http_server {
public:
  /// Blocks SIGTERM and SIGINT in the calling thread and its future threads.
  http_server();

  httplib::Server &routes() { return Server; }

  /// Prints `listening IP:port`, serves, and ends the process on a signal.
  /// Returns only if the address cannot be bound.
  int run(const server_options &Options);

  /// Shuts down the connection of a request; later writes to it are lost.
  void dropConnection(const httplib::Request &Request) const;
  void dropAllConnections() const;
  /// Returns the client ports of the connections that are open now.
  [[nodiscard]] std::set<int> openConnections() const;

private:
  template <typename visitor> void visitConnections(visitor Visit) const;

  httplib::Server Server;
  int ListenSocket = -1;
  int ListenPort = 0;
};

void respondJson(httplib::Response &Response, int Status,
                 const nlohmann::json &Body);

/// Parses a request body that must be a JSON object. If it is not one, responds
/// with 400 and returns null.
nlohmann::json parseJsonBody(const httplib::Request &Request,
                             httplib::Response &Response);

} // namespace standins

#endif // STANDINS_HTTP_SERVER_H
