#include "gateway/test_environment.h"

#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
#include <optional>
#include <thread>
#include <vector>

namespace cardamom {

namespace {

/// Replica that answers each request with a head and then with the same bytes
/// until the client closes the connection.
class endless_replica {
public:
  endless_replica(std::string Head, const std::string &Repeated)
      : Head(std::move(Head)), Listener(::socket(AF_INET, SOCK_STREAM, 0)) {
    while (Block.size() < 65536)
      Block += Repeated;
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    CPPUNIT_ASSERT_EQUAL(0, ::bind(Listener,
                                   reinterpret_cast<sockaddr *>(&Address),
                                   sizeof Address));
    ::listen(Listener, 64);
    socklen_t Length = sizeof Address;
    ::getsockname(Listener, reinterpret_cast<sockaddr *>(&Address), &Length);
    Port = ntohs(Address.sin_port);
    Acceptor = std::thread([this] { accept(); });
  }
  ~endless_replica() {
    ::shutdown(Listener, SHUT_RDWR);
    Acceptor.join();
    for (std::thread &Sender : Senders)
      Sender.join();
    ::close(Listener);
  }
  [[nodiscard]] std::string address() const {
    return "127.0.0.1:" + std::to_string(Port);
  }

  std::atomic<size_t> SentBytes = 0;
  std::atomic<unsigned> OpenConnections = 0;

private:
  void accept() {
    for (;;) {
      const int Connection = ::accept(Listener, nullptr, nullptr);
      if (Connection < 0)
        return;
      ++OpenConnections;
      Senders.emplace_back([this, Connection] { send(Connection); });
    }
  }

  void send(int Connection) {
    ssize_t Count = ::send(Connection, Head.data(), Head.size(), MSG_NOSIGNAL);
    while (Count > 0) {
      Count = ::send(Connection, Block.data(), Block.size(), MSG_NOSIGNAL);
      if (Count > 0)
        SentBytes += size_t(Count);
    }
    ::close(Connection);
    --OpenConnections;
  }

  std::string Head;
  std::string Block;
  int Listener;
  uint16_t Port = 0;
  std::thread Acceptor;
  std::vector<std::thread> Senders;
};

} // namespace

class endless_response_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(endless_response_test);
  CPPUNIT_TEST(unaryCallsEndWithinOneMemoryLimit);
  CPPUNIT_TEST(hedgeReplacesEndlessResponse);
  CPPUNIT_TEST(streamEndsAtEndlessEvent);
  CPPUNIT_TEST(streamEndsAtEndlessErrorBody);
  CPPUNIT_TEST_SUITE_END();

  static constexpr const char *Ok = "HTTP/1.1 200 OK\r\n\r\n";

  std::optional<stream_result> stream(test_environment &Env) {
    std::optional<stream_result> Result;
    const stream_call_ptr Call =
        Env.StreamClient.start(test_environment::streamRequest(),
                               {.OnHead = [](const upstream_head &) {},
                                .OnEvent = [](std::string_view) {},
                                .OnEnd =
                                    [&](const stream_result &End) {
                                      Result = End;
                                      Env.Loop.stop();
                                    }});
    Env.runFor(milliseconds(3000));
    return Result;
  }

public:
  // Guards against memory that grows with the number of endless bodies.
  void unaryCallsEndWithinOneMemoryLimit() {
    endless_replica Replica(Ok, "x");
    test_environment Env;
    Env.addReplica("a", Replica.address());
    static constexpr size_t Calls = 16;
    std::vector<unary_result> Results;
    std::vector<unary_call_ptr> Running;
    for (size_t I = 0; I < Calls; ++I)
      Running.push_back(Env.UnaryClient.start(
          test_environment::unaryRequest(), [&](unary_result End) {
            Results.push_back(std::move(End));
            if (Results.size() == Calls)
              Env.Loop.stop();
          }));
    Env.runFor(milliseconds(5000));
    CPPUNIT_ASSERT_EQUAL(Calls, Results.size());
    for (const unary_result &Result : Results) {
      CPPUNIT_ASSERT(!Result.FromReplica);
      CPPUNIT_ASSERT(Result.Verdict.Certainty == run_certainty::MayHaveRun);
    }
    CPPUNIT_ASSERT(Env.UnaryClient.peakBufferedBytes() <= size_t(48) << 20);
    Env.runFor(milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(0U, Replica.OpenConnections.load());
  }

  // Guards against a hedged call that keeps the endless response open or fails.
  void hedgeReplacesEndlessResponse() {
    endless_replica Endless(Ok, "x");
    test_environment Env;
    Env.addReplica("a", Endless.address());
    unary_request Request = test_environment::unaryRequest();
    Request.Idempotent = true;
    Request.MaxAttempts = 2;
    std::optional<unary_result> Result;
    const unary_call_ptr Call =
        Env.UnaryClient.start(Request, [&](unary_result End) {
          Result = std::move(End);
          Env.Loop.stop();
        });
    endless_replica Other("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
                          "y");
    Env.addReplica("b", Other.address());
    Env.runFor(milliseconds(3000));
    CPPUNIT_ASSERT(Result);
    CPPUNIT_ASSERT(Result->FromReplica);
    CPPUNIT_ASSERT_EQUAL(std::string("ok"), Result->Body);
    Env.runFor(milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(0U, Endless.OpenConnections.load() +
                                 Other.OpenConnections.load());
  }

  void streamEndsAtEndlessEvent() {
    for (const std::string Repeated : {"x", "data: x\n", ": comment\n"}) {
      endless_replica Replica(Ok, Repeated);
      test_environment Env;
      Env.addReplica("a", Replica.address());
      const auto Result = stream(Env);
      CPPUNIT_ASSERT_MESSAGE(Repeated, Result);
      CPPUNIT_ASSERT(Result->Outcome == stream_outcome::NotStarted);
      CPPUNIT_ASSERT(Result->Verdict.Certainty == run_certainty::MayHaveRun);
      CPPUNIT_ASSERT_MESSAGE(Repeated, Replica.SentBytes < size_t(16) << 20);
    }
  }

  void streamEndsAtEndlessErrorBody() {
    endless_replica Replica("HTTP/1.1 500 Error\r\n\r\n", "x");
    test_environment Env;
    Env.addReplica("a", Replica.address());
    const auto Result = stream(Env);
    CPPUNIT_ASSERT(Result);
    CPPUNIT_ASSERT(Result->Outcome == stream_outcome::NotStarted);
    CPPUNIT_ASSERT(Result->Verdict.Certainty == run_certainty::MayHaveRun);
    CPPUNIT_ASSERT(Replica.SentBytes < size_t(32) << 20);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(endless_response_test,
                                      "endless_response_test");

} // namespace cardamom
