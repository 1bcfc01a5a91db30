#include "http/event_loop.h"
#include "http/http_client.h"
#include "http/http_server.h"
#include "http/test_blocking_server.h"

#include <arpa/inet.h>
#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
#include <functional>
#include <netinet/in.h>
#include <optional>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace cardamom {

namespace {

/// Returns an address whose port was unused when the function returned.
std::string unusedAddress() {
  const int Socket = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  CPPUNIT_ASSERT_EQUAL(0, ::bind(Socket, reinterpret_cast<sockaddr *>(&Address),
                                 sizeof Address));
  socklen_t Length = sizeof Address;
  ::getsockname(Socket, reinterpret_cast<sockaddr *>(&Address), &Length);
  ::close(Socket);
  return "127.0.0.1:" + std::to_string(ntohs(Address.sin_port));
}

int connectTo(const std::string &Address) {
  const int Socket = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Target{};
  Target.sin_family = AF_INET;
  Target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  Target.sin_port =
      htons(uint16_t(std::stoi(Address.substr(Address.find(':') + 1))));
  CPPUNIT_ASSERT_EQUAL(
      0,
      ::connect(Socket, reinterpret_cast<sockaddr *>(&Target), sizeof Target));
  return Socket;
}

std::string readAll(int Socket) {
  std::string Text;
  char Buffer[4096];
  ssize_t Count = 0;
  while ((Count = ::recv(Socket, Buffer, sizeof Buffer, 0)) > 0)
    Text.append(Buffer, size_t(Count));
  return Text;
}

} // namespace

class http_engine_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(http_engine_test);
  CPPUNIT_TEST(reusesConnection);
  CPPUNIT_TEST(repeatedRequestTakesNoCopyForItsResponse);
  CPPUNIT_TEST(truncatedResponseIsInvalid);
  CPPUNIT_TEST(responseWithoutLengthEndsAtClose);
  CPPUNIT_TEST(responseToHeadHasNoBody);
  CPPUNIT_TEST(unsolicitedResponseClosesConnection);
  CPPUNIT_TEST(cancelledCallClosesConnection);
  CPPUNIT_TEST(endlessHeadEndsCall);
  CPPUNIT_TEST(endlessBodyEndsFetch);
  CPPUNIT_TEST(endlessFramingEndsFetch);
  CPPUNIT_TEST(reportsClientDisconnect);
  CPPUNIT_TEST(rejectsRequestsOverLimits);
  CPPUNIT_TEST(abortedStreamHasNoFinalChunk);
  CPPUNIT_TEST(readsChunkedAndPipelinedRequests);
  CPPUNIT_TEST(drainClosesIdleConnections);
  CPPUNIT_TEST(drainReadsBegunRequests);
  CPPUNIT_TEST(streamToCallerThatDoesNotReadIsEnded);
  CPPUNIT_TEST(exceptionEndsItsExchangeOnly);
  CPPUNIT_TEST_SUITE_END();

  struct outcome {
    call_result Result;
    http_response Response;
    bool Reused;
  };

  static void runFor(event_loop &Loop, milliseconds Limit) {
    const timer_handle Timer = Loop.after(Limit, [&] { Loop.stop(); });
    Loop.run();
  }

  static std::vector<outcome> fetchRepeatedly(const std::string &Address,
                                              int Times) {
    event_loop Loop;
    http_client Client(Loop, {});
    std::vector<outcome> Outcomes;
    call_handle Call;
    timer_handle Pause;
    std::function<void()> Next = [&] {
      Call = Client.fetch(
          Address, {.Method = "GET", .Target = "/", .Headers = {{"Host", "h"}}},
          milliseconds(2000),
          [&](const call_completion &End, http_response Response) {
            Outcomes.push_back({End.Result, std::move(Response), End.Reused});
            if (int(Outcomes.size()) == Times)
              Loop.stop();
            else
              Pause = Loop.after(milliseconds(50), [&] { Next(); });
          });
    };
    Next();
    runFor(Loop, milliseconds(5000));
    return Outcomes;
  }

  /// Runs a server's event loop while Caller runs on another thread.
  static void serve(const std::function<void(exchange_ptr)> &OnRequest,
                    const http_server_limits &Limits,
                    const std::function<void(const std::string &)> &Caller) {
    event_loop Loop;
    const std::string Address = unusedAddress();
    http_server Server(
        Loop, {.Listen = Address, .Limits = Limits, .OnRequest = OnRequest});
    std::thread Thread([&] {
      Caller(Address);
      Loop.post([&] { Loop.stop(); });
    });
    runFor(Loop, milliseconds(10000));
    Thread.join();
  }

  /// Sends Start and then Repeated until the client closes the connection.
  /// Returns how the call ended; checks that it ended long before its timeout
  /// and that the client did not read on.
  static call_result fetchEndless(const std::string &Start,
                                  const std::string &Repeated) {
    static constexpr size_t MaxSentBytes = size_t(32) << 20;
    std::atomic<size_t> SentBytes = 0;
    blocking_server Server([&](int Connection) {
      readRequest(Connection);
      sendText(Connection, Start);
      std::string Block;
      while (Block.size() < 65536)
        Block += Repeated;
      while (SentBytes < 2 * MaxSentBytes) {
        const ssize_t Count =
            ::send(Connection, Block.data(), Block.size(), MSG_NOSIGNAL);
        if (Count <= 0)
          return;
        SentBytes += size_t(Count);
      }
    });
    event_loop Loop;
    http_client Client(Loop, {});
    std::optional<call_result> Result;
    const call_handle Call = Client.fetch(
        Server.address(),
        {.Method = "GET", .Target = "/", .Headers = {{"Host", "h"}}},
        milliseconds(8000),
        [&](const call_completion &End, const http_response &) {
          Result = End.Result;
          Loop.stop();
        });
    const time_point StartedAt = event_loop::now();
    runFor(Loop, milliseconds(9000));
    CPPUNIT_ASSERT(Result);
    CPPUNIT_ASSERT_MESSAGE(Start + Repeated.substr(0, 20),
                           SentBytes < MaxSentBytes);
    CPPUNIT_ASSERT(event_loop::now() - StartedAt < milliseconds(7000));
    return *Result;
  }

public:
  // Guards against memory that grows with a head that never ends.
  void endlessHeadEndsCall() {
    const std::vector<std::pair<std::string, std::string>> Heads = {
        {"", "x"},
        {"", "\r\n"},
        {"HTTP/1.1 200 ", "x"},
        {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
        {"HTTP/1.1 200 OK\r\nA: ", "x"},
        {"HTTP/1.1 200 OK\r\nA: b\r\n", " x\r\n"},
        {"", "HTTP/1.1 100 Continue\r\n\r\n"},
        {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n", "A: b\r\n"}};
    for (const auto &[Start, Repeated] : Heads)
      CPPUNIT_ASSERT(fetchEndless(Start, Repeated) ==
                     call_result::InvalidResponse);
  }

  // Guards against memory that grows with a body that never ends.
  void endlessBodyEndsFetch() {
    for (const std::string Head :
         {"HTTP/1.1 200 OK\r\n\r\n",
          "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
          "HTTP/1.1 503 Busy\r\n\r\n"})
      CPPUNIT_ASSERT(fetchEndless(Head, "x") == call_result::InvalidResponse);
    CPPUNIT_ASSERT(
        fetchEndless("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                     "4\r\nabcd\r\n") == call_result::InvalidResponse);
  }

  // Guards against memory that grows with chunk sizes, extensions and trailers
  // that never end.
  void endlessFramingEndsFetch() {
    const std::string Head =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const auto &[Start, Repeated] :
         std::vector<std::pair<std::string, std::string>>{
             {Head, "0"}, {Head + "4;a=", "x"}, {Head + "0\r\n", "A: b\r\n"}})
      CPPUNIT_ASSERT(fetchEndless(Start, Repeated) ==
                     call_result::InvalidResponse);
  }

  // Guards against a late copy of the response to an earlier attempt that is
  // taken for the response to the next attempt with the same id (review/3).
  void repeatedRequestTakesNoCopyForItsResponse() {
    const std::string Refusal =
        "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
    std::atomic<int> Connections = 0;
    blocking_server Server([&](int Connection) {
      if (Connections++ > 0) {
        readRequest(Connection);
        sendText(Connection, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
                             "Connection: close\r\n\r\nok");
        return;
      }
      readRequest(Connection);
      sendText(Connection, Refusal);
      readRequest(Connection);
      sendText(Connection, Refusal);
    });
    event_loop Loop;
    http_client Client(Loop, {});
    std::vector<unsigned> Statuses;
    call_handle Call;
    std::function<void()> Next = [&] {
      Call = Client.send(
          Server.address(),
          {.Method = "GET", .Target = "/", .Headers = {}, .Body = {}},
          {.RequestId = "r",
           .OnHead =
               [&](const http_response &Head) {
                 Statuses.push_back(Head.Status);
               },
           .OnEnd =
               [&](const call_completion & /*End*/) {
                 if (Statuses.size() == 2)
                   Loop.stop();
                 else
                   Loop.post([&] { Next(); });
               }});
    };
    Next();
    // The server serves one connection at a time.
    const timer_handle Timer = Loop.after(milliseconds(100), [&] {
      Client.closeIdleConnections(Server.address());
    });
    runFor(Loop, milliseconds(2000));
    CPPUNIT_ASSERT_EQUAL(size_t(2), Statuses.size());
    CPPUNIT_ASSERT_EQUAL(503U, Statuses[0]);
    CPPUNIT_ASSERT_EQUAL(200U, Statuses[1]);
  }

  void reusesConnection() {
    event_loop Loop;
    const std::string Address = unusedAddress();
    http_server Server(
        Loop,
        {.Listen = Address, .OnRequest = [](const exchange_ptr &Exchange) {
           Exchange->respond({.Status = 200, .Body = "hello"});
         }});
    http_client Client(Loop, {});
    std::vector<bool> Reused;
    call_handle Call;
    std::function<void()> Next = [&] {
      Call = Client.fetch(
          Address, {.Method = "GET", .Target = "/", .Headers = {}, .Body = {}},
          milliseconds(1000),
          [&](const call_completion &End, const http_response &Response) {
            CPPUNIT_ASSERT_EQUAL(std::string("hello"), Response.Body);
            Reused.push_back(End.Reused);
            if (Reused.size() == 3)
              Loop.stop();
            else
              Loop.post([&] { Next(); });
          });
    };
    Next();
    runFor(Loop, milliseconds(3000));
    CPPUNIT_ASSERT(Reused == std::vector<bool>({false, true, true}));
    CPPUNIT_ASSERT_EQUAL(size_t(1), Client.connectionsOpened());
  }

  // Guards against a truncated response that is reported as complete.
  void truncatedResponseIsInvalid() {
    const blocking_server Server([](int Connection) {
      readRequest(Connection);
      sendText(Connection, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
    });
    const auto Outcomes = fetchRepeatedly(Server.address(), 1);
    CPPUNIT_ASSERT(Outcomes.at(0).Result == call_result::InvalidResponse);
  }

  void responseWithoutLengthEndsAtClose() {
    const blocking_server Server([](int Connection) {
      readRequest(Connection);
      sendText(Connection, "HTTP/1.1 200 OK\r\n\r\nwhole");
    });
    const auto Outcomes = fetchRepeatedly(Server.address(), 1);
    CPPUNIT_ASSERT(Outcomes.at(0).Result == call_result::Complete);
    CPPUNIT_ASSERT_EQUAL(std::string("whole"), Outcomes.at(0).Response.Body);
  }

  // Guards against a call that waits for a body which does not come.
  void responseToHeadHasNoBody() {
    const blocking_server Server([](int Connection) {
      readRequest(Connection);
      sendText(Connection, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n");
      readRequest(Connection);
    });
    event_loop Loop;
    http_client Client(Loop, {});
    std::optional<call_result> Result;
    const call_handle Call = Client.fetch(
        Server.address(),
        {.Method = "HEAD", .Target = "/", .Headers = {{"Host", "h"}}},
        milliseconds(2000),
        [&](const call_completion &End, const http_response &Response) {
          CPPUNIT_ASSERT_EQUAL(std::string(), Response.Body);
          Result = End.Result;
          Loop.stop();
        });
    runFor(Loop, milliseconds(3000));
    CPPUNIT_ASSERT(Result == call_result::Complete);
  }

  // Guards against an unsolicited second response that is taken for the
  // response to the next request.
  void unsolicitedResponseClosesConnection() {
    const blocking_server Server([](int Connection) {
      readRequest(Connection);
      const std::string ResponseText =
          "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1";
      sendText(Connection, ResponseText);
      std::this_thread::sleep_for(milliseconds(10));
      sendText(Connection, ResponseText);
      readRequest(Connection);
    });
    const auto Outcomes = fetchRepeatedly(Server.address(), 2);
    CPPUNIT_ASSERT_EQUAL(size_t(2), Outcomes.size());
    CPPUNIT_ASSERT(Outcomes.at(1).Result == call_result::Complete);
    CPPUNIT_ASSERT(!Outcomes.at(1).Reused);
  }

  // Guards against an upstream that goes on working for a cancelled call.
  void cancelledCallClosesConnection() {
    std::optional<bool> Closed;
    {
      const blocking_server Server([&](int Connection) {
        readRequest(Connection);
        char Byte = 0;
        Closed = ::recv(Connection, &Byte, 1, 0) <= 0;
      });
      event_loop Loop;
      http_client Client(Loop, {});
      call_handle Call = Client.send(
          Server.address(),
          {.Method = "GET", .Target = "/", .Headers = {}, .Body = {}}, {});
      const timer_handle CancelTimer =
          Loop.after(milliseconds(100), [&] { Call.reset(); });
      runFor(Loop, milliseconds(300));
    }
    CPPUNIT_ASSERT(Closed.value_or(false));
  }

  void reportsClientDisconnect() {
    bool Disconnected = false;
    exchange_ptr Pending;
    serve(
        [&](const exchange_ptr &Exchange) {
          Pending = Exchange;
          Exchange->OnClientDisconnect = [&] {
            Disconnected = true;
            Pending.reset();
          };
        },
        {},
        [](const std::string &Address) {
          const int Socket = connectTo(Address);
          sendText(Socket, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
          std::this_thread::sleep_for(milliseconds(100));
          ::close(Socket);
          std::this_thread::sleep_for(milliseconds(200));
        });
    CPPUNIT_ASSERT(Disconnected);
  }

  void rejectsRequestsOverLimits() {
    std::string BigHeader;
    std::string BigBody;
    std::string Slow;
    serve(
        [](const exchange_ptr &Exchange) {
          Exchange->respond({.Status = 200});
        },
        {.HeaderBytes = 500,
         .BodyBytes = 100,
         .HeaderTimeout = milliseconds(200),
         .IdleTimeout = milliseconds(1000)},
        [&](const std::string &Address) {
          int Socket = connectTo(Address);
          sendText(Socket, "GET / HTTP/1.1\r\nX: " + std::string(1000, 'x') +
                               "\r\n\r\n");
          BigHeader = readAll(Socket);
          ::close(Socket);
          Socket = connectTo(Address);
          sendText(Socket, "POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n");
          BigBody = readAll(Socket);
          ::close(Socket);
          Socket = connectTo(Address);
          sendText(Socket, "GET / HT");
          Slow = readAll(Socket);
          ::close(Socket);
        });
    CPPUNIT_ASSERT(BigHeader.starts_with("HTTP/1.1 431 "));
    CPPUNIT_ASSERT(BigBody.starts_with("HTTP/1.1 413 "));
    CPPUNIT_ASSERT(Slow.starts_with("HTTP/1.1 408 "));
  }

  // Guards against a request whose handler throws and ends the process, and
  // against a broken stream that looks complete.
  void exceptionEndsItsExchangeOnly() {
    std::string Texts[2];
    exchange_ptr Kept;
    serve(
        [&](const exchange_ptr &Exchange) {
          Kept = Exchange;
          const std::string &Target = Exchange->request().Target;
          if (Target == "/stream") {
            Exchange->startStream({.Status = 200});
            Exchange->writeStream("part");
          }
          if (Target != "/sound")
            throw std::logic_error("\xff");
          Exchange->respond({.Status = 202});
        },
        {},
        [&](const std::string &Address) {
          const char *const Requests[2] = {
              "GET /early HTTP/1.1\r\nHost: h\r\n\r\n"
              "GET /sound HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
              "GET /stream HTTP/1.1\r\nHost: h\r\n\r\n"};
          for (int I = 0; I < 2; ++I) {
            const int Socket = connectTo(Address);
            sendText(Socket, Requests[I]);
            Texts[I] = readAll(Socket);
            ::close(Socket);
          }
        });
    Kept.reset();
    CPPUNIT_ASSERT(Texts[0].starts_with("HTTP/1.1 500 "));
    CPPUNIT_ASSERT(Texts[0].find("HTTP/1.1 202 ") != std::string::npos);
    CPPUNIT_ASSERT(Texts[1].find("0\r\n\r\n") == std::string::npos);
  }
  void abortedStreamHasNoFinalChunk() {
    std::string Text;
    serve(
        [](const exchange_ptr &Exchange) {
          Exchange->startStream({.Status = 200});
          Exchange->writeStream("part");
          Exchange->abort();
        },
        {},
        [&](const std::string &Address) {
          const int Socket = connectTo(Address);
          sendText(Socket, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
          Text = readAll(Socket);
          ::close(Socket);
        });
    CPPUNIT_ASSERT(Text.find("0\r\n\r\n") == std::string::npos);
  }

  void readsChunkedAndPipelinedRequests() {
    std::string Text;
    serve(
        [](const exchange_ptr &Exchange) {
          Exchange->respond(
              {.Status = 200,
               .Body = Exchange->request().Target + Exchange->request().Body});
        },
        {},
        [&](const std::string &Address) {
          const int Socket = connectTo(Address);
          sendText(Socket,
                   "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                   "3\r\nxyz\r\n0\r\n\r\n"
                   "GET /b HTTP/1.1\r\nConnection: close\r\n\r\n");
          Text = readAll(Socket);
          ::close(Socket);
        });
    const size_t First = Text.find("/axyz");
    CPPUNIT_ASSERT(First != std::string::npos);
    CPPUNIT_ASSERT(Text.find("/b", First) != std::string::npos);
  }

  // Guards against a shutdown that waits for idle connections.
  // Guards against a planned stop that cuts a request whose body is still on
  // its way.
  void drainReadsBegunRequests() {
    event_loop Loop;
    const std::string Address = unusedAddress();
    http_server Server(Loop,
                       {.Listen = Address,
                        .Limits = {.HeaderTimeout = milliseconds(0)},
                        .OnRequest = [](const exchange_ptr &Exchange) {
                          Exchange->respond({.Status = 200,
                                             .Headers = {},
                                             .Body = Exchange->request().Body});
                        }});
    std::string Text;
    std::thread Caller([&] {
      const int Socket = connectTo(Address);
      sendText(Socket, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4"
                       "\r\n\r\nab");
      std::this_thread::sleep_for(std::chrono::milliseconds(400));
      sendText(Socket, "cd");
      Text = readAll(Socket);
      ::close(Socket);
      Loop.post([&] { Loop.stop(); });
    });
    const timer_handle Drain =
        Loop.after(milliseconds(100), [&] { Server.drain(milliseconds(50)); });
    runFor(Loop, milliseconds(5000));
    Caller.join();
    CPPUNIT_ASSERT(Text.starts_with("HTTP/1.1 200 "));
    CPPUNIT_ASSERT(Text.ends_with("\r\n\r\nabcd"));
  }

  // Guards against memory that grows with a stream whose caller does not read.
  void streamToCallerThatDoesNotReadIsEnded() {
    static constexpr size_t ChunkBytes = size_t(1) << 18;
    static constexpr size_t MaxChunks = 256; // 64 MiB
    event_loop Loop;
    const std::string Address = unusedAddress();
    exchange_ptr Stream;
    bool Disconnected = false;
    http_server Server(Loop, {.Listen = Address,
                              .OnRequest = [&](const exchange_ptr &Exchange) {
                                Stream = Exchange;
                                Exchange->OnClientDisconnect = [&] {
                                  Disconnected = true;
                                  Loop.stop();
                                };
                                Exchange->startStream({.Status = 200});
                              }});
    size_t Chunks = 0;
    timer_handle Timer;
    const std::function<void()> Write = [&] {
      if (Stream && Chunks < MaxChunks) {
        Stream->writeStream(std::string(ChunkBytes, 'x'));
        ++Chunks;
      }
      Timer = Loop.after(milliseconds(1), Write);
    };
    Write();
    const int Socket = connectTo(Address);
    sendText(Socket, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    runFor(Loop, milliseconds(3000));
    ::close(Socket);
    CPPUNIT_ASSERT(Disconnected);
    CPPUNIT_ASSERT(Chunks < MaxChunks);
  }

  void drainClosesIdleConnections() {
    event_loop Loop;
    const std::string Address = unusedAddress();
    http_server Server(Loop, {.Listen = Address,
                              .OnRequest = [](const exchange_ptr &Exchange) {
                                Exchange->respond({.Status = 200});
                              }});
    std::string Text;
    std::thread Caller([&] {
      const int Socket = connectTo(Address);
      sendText(Socket, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
      Text = readAll(Socket);
      ::close(Socket);
      Loop.post([&] { Loop.stop(); });
    });
    const timer_handle Drain =
        Loop.after(milliseconds(200), [&] { Server.drain(milliseconds(50)); });
    runFor(Loop, milliseconds(5000));
    Caller.join();
    CPPUNIT_ASSERT(Text.starts_with("HTTP/1.1 200 "));
    // The caller may see the end before the server has released the connection.
    Loop.restart();
    runFor(Loop, milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(size_t(0), Server.connections());
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(http_engine_test, "http_engine_test");

} // namespace cardamom
