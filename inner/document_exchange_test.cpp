#include "inner/document_exchange.h"
#include "inner/gen/messages.pb.h"

#include <cppunit/extensions/HelperMacros.h>
#include <deque>
#include <rapidcheck.h>
#include <stdexcept>
#include <utility>

namespace cardamom {

class document_exchange_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(document_exchange_test);
  CPPUNIT_TEST(installsOnlyHigherVersions);
  CPPUNIT_TEST(fetchesNewerVersionFromPeer);
  CPPUNIT_TEST(requestsFromOnePeerAtATime);
  CPPUNIT_TEST(rejectsInvalidDocuments);
  CPPUNIT_TEST(convergesInAnyOrder);
  CPPUNIT_TEST_SUITE_END();

  static wire::control_frame makeHeartbeat(const document_exchange &Exchange) {
    wire::control_frame Frame;
    Exchange.addVersions(*Frame.mutable_heartbeat());
    return Frame;
  }

  /// Passes one heartbeat from From to To, and the frames that result from it.
  static void exchangeHeartbeat(document_exchange &From, document_exchange &To,
                                time_point Now) {
    for (const auto &Request : To.handleFrame(makeHeartbeat(From), Now))
      for (const auto &Reply : From.handleFrame(Request, Now))
        To.handleFrame(Reply, Now);
  }

public:
  // Guards against a configuration that reverts to an older version.
  void installsOnlyHigherVersions() {
    std::vector<uint64_t> InstalledVersions;
    document_exchange Exchange(
        {.OnInstall = [&](const versioned_document &Document) {
          InstalledVersions.push_back(Document.Version);
        }});
    for (uint64_t Version : {3, 2, 3, 5, 4})
      Exchange.install({.Name = "config", .Version = Version, .Body = "x"});
    CPPUNIT_ASSERT((InstalledVersions == std::vector<uint64_t>{3, 5}));
    CPPUNIT_ASSERT_EQUAL(uint64_t(5), Exchange.version("config"));
    CPPUNIT_ASSERT_EQUAL(uint64_t(0), Exchange.version("vms"));
  }

  // Guards against a process that keeps an older version than its peers.
  void fetchesNewerVersionFromPeer() {
    document_exchange Ahead({});
    document_exchange Behind({});
    Ahead.install({.Name = "config", .Version = 9, .Body = "new"});
    Ahead.install({.Name = "vms", .Version = 2, .Body = "list"});
    Behind.install({.Name = "config", .Version = 8, .Body = "old"});
    exchangeHeartbeat(Ahead, Behind, {});
    CPPUNIT_ASSERT_EQUAL(std::string("new"), Behind.get("config")->Body);
    CPPUNIT_ASSERT_EQUAL(uint64_t(2), Behind.version("vms"));
    CPPUNIT_ASSERT(Ahead.handleFrame(makeHeartbeat(Behind), {}).empty());
  }

  // Guards against an entry that downloads a document from all of its agents,
  // and against one that waits forever for a peer that has crashed.
  void requestsFromOnePeerAtATime() {
    document_exchange Ahead({});
    Ahead.install({.Name = "config", .Version = 9, .Body = "new"});
    document_exchange Behind({});
    const time_point Start{};
    CPPUNIT_ASSERT_EQUAL(
        size_t(1), Behind.handleFrame(makeHeartbeat(Ahead), Start).size());
    CPPUNIT_ASSERT(Behind.handleFrame(makeHeartbeat(Ahead), Start).empty());
    CPPUNIT_ASSERT_EQUAL(
        size_t(1),
        Behind.handleFrame(makeHeartbeat(Ahead), Start + milliseconds(600))
            .size());
    Ahead.install({.Name = "config", .Version = 10, .Body = "newer"});
    CPPUNIT_ASSERT_EQUAL(
        size_t(1),
        Behind.handleFrame(makeHeartbeat(Ahead), Start + milliseconds(601))
            .size());
  }

  // Guards against an invalid document that is installed, sent to other
  // processes, or requested again on each heartbeat.
  void rejectsInvalidDocuments() {
    document_exchange Ahead({});
    Ahead.install({.Name = "config", .Version = 9, .Body = "bad"});
    document_exchange Behind(
        {.Validate = [](const versioned_document &Document) {
          if (Document.Body == "bad")
            throw std::invalid_argument("bad document");
        }});
    const time_point Start{};
    exchangeHeartbeat(Ahead, Behind, Start);
    CPPUNIT_ASSERT_EQUAL(uint64_t(0), Behind.version("config"));
    CPPUNIT_ASSERT(
        Behind.handleFrame(makeHeartbeat(Ahead), Start + milliseconds(2000))
            .empty());
    CPPUNIT_ASSERT_THROW(
        Behind.install({.Name = "config", .Version = 9, .Body = "bad"}),
        std::invalid_argument);
    Ahead.install({.Name = "config", .Version = 10, .Body = "good"});
    exchangeHeartbeat(Ahead, Behind, Start + milliseconds(2000));
    CPPUNIT_ASSERT_EQUAL(uint64_t(10), Behind.version("config"));
  }

  // Guards against an order of frames that leaves a process with an older
  // version or makes it install a lower one.
  void convergesInAnyOrder() {
    const bool Passed = rc::check([](const std::vector<uint8_t> &Versions) {
      std::deque<document_exchange> Nodes;
      std::vector<uint64_t> Highest(3, 0);
      for (uint64_t &LastInstalled : Highest)
        Nodes.emplace_back(document_exchange_options{
            .OnInstall = [&LastInstalled](const versioned_document &Document) {
              RC_ASSERT(Document.Version > LastInstalled);
              LastInstalled = Document.Version;
            }});
      time_point Now{};
      uint64_t HighestVersion = 0;
      for (uint8_t Version : Versions) {
        const auto From = *rc::gen::inRange<size_t>(0, 3);
        const auto To = *rc::gen::inRange<size_t>(0, 3);
        Nodes[From].install({.Name = "config", .Version = Version, .Body = ""});
        HighestVersion = std::max<uint64_t>(HighestVersion, Version);
        Now += milliseconds(*rc::gen::inRange(0, 1000));
        if (From != To)
          exchangeHeartbeat(Nodes[From], Nodes[To], Now);
      }
      for (int I = 0; I < 2; ++I)
        for (size_t From = 0; From < Nodes.size(); ++From) {
          Now += milliseconds(1000);
          exchangeHeartbeat(Nodes[From], Nodes[(From + 1) % Nodes.size()], Now);
        }
      for (const document_exchange &Node : Nodes)
        RC_ASSERT(Node.version("config") == HighestVersion);
    });
    CPPUNIT_ASSERT(Passed);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(document_exchange_test,
                                      "document_exchange_test");

} // namespace cardamom
