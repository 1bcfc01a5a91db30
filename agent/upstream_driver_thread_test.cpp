#include "agent/upstream_client.h"

#include "agent/test_http_server.h"
#include "inner/gen/messages.pb.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <thread>

namespace cardamom {

namespace {
/// Records what the sink receives.
struct recorded_response {
  wire::response_head Head;
  std::string Bytes;
  std::vector<uint64_t> Versions;

  response_sink sink() {
    return {
        .OnHead = [this](wire::response_head New) { Head = std::move(New); },
        .OnBytes =
            [this](std::string_view New) {
              Bytes += New;
              return true;
            },
        .OnToken =
            [this](std::string_view Text, uint64_t V) {
              Bytes += Text;
              Versions.push_back(V);
              return true;
            }};
  }
};

/// Makes the server respond to POST /generate with the lines.
void serveGenerate(test_http_server &Server, const std::string &Lines) {
  Server.Server.Post("/generate", [Lines](const httplib::Request &,
                                          httplib::Response &Response) {
    Response.set_chunked_content_provider(
        "text/plain", [Lines](size_t, httplib::DataSink &Sink) {
          // Each byte is a chunk of its own, so that lines arrive in pieces.
          for (const char &C : Lines)
            Sink.write(&C, 1);
          Sink.done();
          return true;
        });
  });
}

wire::run_end runModel(const std::string &Lines, recorded_response &Recorded) {
  test_http_server Server;
  serveGenerate(Server, Lines);
  Server.start();
  upstream_client Client({.Address = Server.address()});
  return Client.runModel("id", {}, 0, Recorded.sink());
}
} // namespace

class upstream_driver_thread_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(upstream_driver_thread_test);
  CPPUNIT_TEST(forwardsPlainCallUnchanged);
  CPPUNIT_TEST(distinguishesRefusedFromFailed);
  CPPUNIT_TEST(reportsTokenVersions);
  CPPUNIT_TEST(failsWithoutVersionOrEnd);
  CPPUNIT_TEST(cancelEndsSilentCall);
  CPPUNIT_TEST(silentUpstreamTimesOut);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against requests or responses that the agent modifies when it
  // forwards them.
  void forwardsPlainCallUnchanged() {
    test_http_server Server;
    Server.Server.Put(
        "/a", [](const httplib::Request &Request, httplib::Response &Response) {
          Response.status = 418;
          Response.set_header("X-Back", Request.get_header_value("X-There") +
                                            Request.get_header_value("X-Hop"));
          Response.set_content(Request.target + Request.body, "text/x");
        });
    Server.start();
    upstream_client Client({.Address = Server.address()});
    wire::plain_call Call;
    Call.set_method("PUT");
    Call.set_target("/a?x=%2f+1");
    Call.set_body("body");
    for (auto [Name, Value] : {std::pair{"x-there", "yes"},
                               {"x-hop", "no"},
                               {"connection", "X-Hop"}}) {
      Call.add_headers()->set_name(Name);
      Call.mutable_headers()->rbegin()->set_value(Value);
    }
    recorded_response Recorded;
    const wire::run_end End = Client.runPlain("id", Call, Recorded.sink());
    CPPUNIT_ASSERT(End.code() == wire::COMPLETED);
    CPPUNIT_ASSERT_EQUAL(418U, Recorded.Head.status());
    CPPUNIT_ASSERT_EQUAL(std::string("/a?x=%2f+1body"), Recorded.Bytes);
    bool Found = false;
    for (const wire::header_field &Field : Recorded.Head.headers())
      Found |= Field.name() == "X-Back" && Field.value() == "yes";
    CPPUNIT_ASSERT(Found);
  }

  // Guards against reporting that a call did not run although the upstream
  // received it.
  void distinguishesRefusedFromFailed() {
    recorded_response Recorded;
    std::string Address;
    wire::plain_call Call;
    Call.set_method("GET");
    Call.set_target("/");
    {
      test_http_server Server;
      Server.Server.Get("/", [](auto &, httplib::Response &Response) {
        Response.set_content_provider(
            100, "text/x", [](size_t, size_t, httplib::DataSink &Sink) {
              Sink.write("part", 4);
              return false;
            });
      });
      Server.start();
      Address = Server.address();
      upstream_client Client({.Address = Address});
      CPPUNIT_ASSERT(Client.runPlain("id", Call, Recorded.sink()).code() ==
                     wire::UPSTREAM_FAILED);
    }
    upstream_client Client({.Address = Address});
    const wire::run_end End = Client.runPlain("id", Call, Recorded.sink());
    CPPUNIT_ASSERT(End.code() == wire::REFUSED);
    CPPUNIT_ASSERT_EQUAL(std::string("upstream_unreachable"), End.reason());
  }

  // Guards against samples whose spans carry a wrong version.
  void reportsTokenVersions() {
    recorded_response Recorded;
    const wire::run_end End =
        runModel("{\"token\":\"a\",\"version\":7}\n"
                 "{\"token\":\"b\\n\",\"version\":8}\n{\"done\":true}\n",
                 Recorded);
    CPPUNIT_ASSERT(End.code() == wire::COMPLETED);
    CPPUNIT_ASSERT_EQUAL(std::string("ab\n"), Recorded.Bytes);
    CPPUNIT_ASSERT((Recorded.Versions == std::vector<uint64_t>{7, 8}));
  }

  // Guards against samples with tokens of unknown weight version, and against
  // output that is reported as complete although an engine crash cut it short.
  void failsWithoutVersionOrEnd() {
    recorded_response Recorded;
    const std::string Token = "{\"token\":\"a\",\"version\":7}\n";
    const auto Reason = [&](const std::string &Lines) {
      const wire::run_end End = runModel(Lines, Recorded);
      CPPUNIT_ASSERT(End.code() == wire::UPSTREAM_FAILED);
      return End.reason();
    };
    CPPUNIT_ASSERT_EQUAL(std::string("unlabelled"),
                         Reason(Token + "{\"token\":\"b\"}\n"));
    CPPUNIT_ASSERT_EQUAL(std::string("engine_failed"), Reason(Token));
    CPPUNIT_ASSERT_EQUAL(std::string("engine_protocol"), Reason("nonsense\n"));
  }

  // Guards against cancelled calls that keep their slot.
  void cancelEndsSilentCall() {
    test_http_server Server;
    std::atomic<bool> CallReceived{false};
    std::atomic<bool> Release{false};
    Server.Server.Get("/", [&](auto &, auto &) {
      CallReceived = true;
      while (!Release)
        std::this_thread::sleep_for(milliseconds(5));
    });
    Server.start();
    upstream_client Client({.Address = Server.address()});
    wire::plain_call Call;
    Call.set_method("GET");
    Call.set_target("/");
    std::thread Canceller([&] {
      while (!CallReceived)
        std::this_thread::sleep_for(milliseconds(5));
      Client.cancel("id");
    });
    recorded_response Recorded;
    CPPUNIT_ASSERT(Client.runPlain("id", Call, Recorded.sink()).code() ==
                   wire::CANCELLED);
    Canceller.join();
    Release = true;
  }

  // Guards against calls that block forever on an engine that stops sending.
  void silentUpstreamTimesOut() {
    test_http_server Server;
    Server.Server.Post("/generate", [](auto &, auto &) {
      std::this_thread::sleep_for(milliseconds(500));
    });
    Server.start();
    upstream_client Client(
        {.Address = Server.address(), .ModelIdleTimeout = milliseconds(100)});
    recorded_response Recorded;
    CPPUNIT_ASSERT(Client.runModel("id", {}, 0, Recorded.sink()).code() ==
                   wire::UPSTREAM_FAILED);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(upstream_driver_thread_test,
                                      "upstream_driver_thread_test");

} // namespace cardamom
