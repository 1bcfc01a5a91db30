/// \file
/// Clients of replicas on one event loop, for tests.

#ifndef CARDAMOM_GATEWAY_TEST_ENVIRONMENT_H
#define CARDAMOM_GATEWAY_TEST_ENVIRONMENT_H

#include "gateway/dispatch_gate.h"
#include "gateway/replica_directory.h"
#include "gateway/stream_client.h"
#include "gateway/unary_client.h"
#include "http/event_loop.h"
#include "http/http_client.h"
#include "policy/router.h"

#include <arpa/inet.h>
#include <cppunit/TestAssert.h>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace cardamom {

struct test_environment {
  event_loop Loop;
  http_client Client{Loop, {}};
  replica_directory Directory{{}};
  time_point ConfirmedAt = event_loop::now();
  bool StoreReachable = true;
  unsigned Renewals = 0;
  dispatch_gate Gate{{.Loop = Loop,
                      .Directory = Directory,
                      .MaxAge = milliseconds(60000),
                      .ConfirmedAt = [this] { return ConfirmedAt; },
                      .StoreReachable = [this] { return StoreReachable; },
                      .Renew = [this] { ++Renewals; }}};
  router Router{{}};
  /// Id of the replica that the last request was meant for.
  std::string Chosen;
  upstream_protocol Protocol{
      .Encode =
          [this](const upstream_request &Request) {
            Chosen = Request.ReplicaId;
            return http_request{.Method = "POST",
                                .Target = "/",
                                .Headers = {{"Host", "h"}},
                                .Body = {}};
          },
      .Decode =
          [](const http_response &Response) {
            return upstream_head{.Status = Response.Status,
                                 .Headers = Response.Headers,
                                 .RequestId = "r",
                                 .Signature = "s"};
          }};
  std::shared_ptr<buffer_budget> Buffers =
      std::make_shared<buffer_budget>(buffer_budget_options{});
  unary_client UnaryClient{{.Loop = Loop,
                            .Client = Client,
                            .Directory = Directory,
                            .Gate = Gate,
                            .Router = Router,
                            .Protocol = Protocol,
                            .Buffers = Buffers}};
  stream_client StreamClient{{.Loop = Loop,
                              .Client = Client,
                              .Directory = Directory,
                              .Gate = Gate,
                              .Router = Router,
                              .Protocol = Protocol,
                              .Buffers = Buffers}};

  static std::string unusedAddress() {
    const int Socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    CPPUNIT_ASSERT_EQUAL(
        0,
        ::bind(Socket, reinterpret_cast<sockaddr *>(&Address), sizeof Address));
    socklen_t Length = sizeof Address;
    ::getsockname(Socket, reinterpret_cast<sockaddr *>(&Address), &Length);
    ::close(Socket);
    return "127.0.0.1:" + std::to_string(ntohs(Address.sin_port));
  }

  static unary_request unaryRequest() {
    const time_point Now = event_loop::now();
    return {.UpstreamRequest = {.RequestId = "r"},
            .Service = "s",
            .MaxAttempts = 1,
            .ReceivedAt = Now,
            .Deadline = Now + milliseconds(1000)};
  }

  static stream_request streamRequest() {
    return {.UpstreamRequest = {.RequestId = "r"},
            .Service = "s",
            .MaxAttempts = 1,
            .FirstEventDeadline = event_loop::now() + milliseconds(1000)};
  }

  void addReplica(const std::string &Id, const std::string &Address) {
    Directory.update({.Id = Id, .Service = "s", .Address = Address},
                     event_loop::now());
  }

  void runFor(milliseconds Time) {
    const timer_handle Timer = Loop.after(Time, [this] { Loop.stop(); });
    Loop.run();
    Loop.restart();
  }
};

} // namespace cardamom

#endif // CARDAMOM_GATEWAY_TEST_ENVIRONMENT_H
