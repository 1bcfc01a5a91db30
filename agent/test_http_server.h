/// \file
/// HTTP server for tests on an ephemeral port of 127.0.0.1.

#ifndef CARDAMOM_AGENT_TEST_HTTP_SERVER_H
#define CARDAMOM_AGENT_TEST_HTTP_SERVER_H

#include "base/time.h"

#include <httplib.h>

#include <string>
#include <thread>

// <httplib.h> includes <resolv.h>, whose headers define this macro.
#undef REFUSED

namespace cardamom {

/// Serves from start() until destruction. Handlers must have returned by then.
struct test_http_server {
  httplib::Server Server;
  int Port = 0;
  std::thread Thread;

  void start() {
    Port = Server.bind_to_any_port("127.0.0.1");
    Thread = std::thread([this] { Server.listen_after_bind(); });
    // httplib's stop() has no effect until the server loop runs.
    while (!Server.is_running())
      std::this_thread::sleep_for(milliseconds(1));
  }
  ~test_http_server() {
    Server.stop();
    if (Thread.joinable())
      Thread.join();
  }
  [[nodiscard]] std::string address() const {
    return "127.0.0.1:" + std::to_string(Port);
  }
};

} // namespace cardamom

#endif // CARDAMOM_AGENT_TEST_HTTP_SERVER_H
