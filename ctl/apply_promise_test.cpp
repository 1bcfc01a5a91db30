#include "config/configuration.h"
#include "ctl/commands.h"
#include "ctl/configuration_editor.h"
#include "store/store_client.h"
#include "store/test_store.h"

#include <algorithm>
#include <barrier>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>
#include <sstream>

namespace cardamom {

static const std::string Inventory =
    "name,kind,pool,vm,region,failure_domain,inner_address,address,"
    "concurrency\n"
    "e1,entry,,vm1,r1,fd1,127.0.0.1:1,127.0.0.1:2,\n"
    "u0,plain,p,vm2,r1,fd1,127.0.0.1:3,127.0.0.1:4,8\n"
    "u1,plain,p,vm3,r1,fd1,127.0.0.1:5,127.0.0.1:6,8\n"
    "u2,plain,p,vm4,r1,fd1,127.0.0.1:7,127.0.0.1:8,8\n";

static configuration_edit editBy(const std::string &Author) {
  return {.EditId = "edit-of-" + Author,
          .Author = Author,
          .Time = "2026-12-04T04:00:00Z",
          .Summary = "test",
          .Inventory = Inventory,
          .Rules = "{}"};
}

static editor_options fastOptions() {
  return {.Timeout = milliseconds(20000),
          .Pause = milliseconds(0),
          .Sleep = [](milliseconds) { std::this_thread::yield(); }};
}

static bool historyContainsEdit(const configuration_document &Document,
                                const std::string &EditId) {
  return std::any_of(
      Document.History.begin(), Document.History.end(),
      [&](const history_entry &Entry) { return Entry.EditId == EditId; });
}

/// Two editors read the same version and write concurrently.
static std::vector<edit_result> writeConcurrently(test_store &Server) {
  std::barrier Start(2);
  std::vector<edit_result> Results(2);
  std::vector<std::thread> Threads;
  Threads.reserve(Results.size());
  for (int I = 0; I < 2; ++I)
    Threads.emplace_back([&, I] {
      store_client Store({.Address = Server.address()});
      configuration_editor Editor(Store, fastOptions());
      const current_configuration Base = Editor.read();
      Start.arrive_and_wait();
      Results[I] = Editor.write(Base.Document, editBy(std::to_string(I)));
    });
  for (std::thread &Thread : Threads)
    Thread.join();
  Server.flushDelayedWrites();
  return Results;
}

class apply_promise_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(apply_promise_test);
  CPPUNIT_TEST(concurrentEditsReportActualOutcome);
  CPPUNIT_TEST(concurrentDrainsAllTakeEffect);
  CPPUNIT_TEST(outageAfterLostResponseIsUnknown);
  CPPUNIT_TEST(outageBeforeWriteIsUnavailable);
  CPPUNIT_TEST(replacedEditIsReported);
  CPPUNIT_TEST(truncatedHistoryIsUnknown);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a wrong outcome of concurrent edits when requests or
  // responses are lost or writes are delayed: "applied" for an edit that was
  // not accepted, or "conflict" for the one that was.
  void concurrentEditsReportActualOutcome() {
    CPPUNIT_ASSERT(rc::check("concurrent edits report the actual outcome", [] {
      const auto Faults = *rc::gen::container<std::vector<write_fault>>(
          rc::gen::element(write_fault::None, write_fault::LoseResponse,
                           write_fault::LoseRequest, write_fault::DelayWrite));
      test_store Server;
      Server.ChooseFault = [&](unsigned Index) {
        return Index < std::min<size_t>(Faults.size(), 12) ? Faults[Index]
                                                           : write_fault::None;
      };
      const auto Results = writeConcurrently(Server);
      const configuration_document Document =
          readDocument(Server.value(std::string(ConfigurationKey)), 1);
      for (size_t I = 0; I < Results.size(); ++I) {
        const bool IsCurrent =
            Document.EditId == "edit-of-" + std::to_string(I);
        RC_ASSERT(Results[I].Outcome ==
                  (IsCurrent ? edit_outcome::Applied : edit_outcome::Conflict));
      }
      RC_ASSERT(Document.History.size() == size_t(1));
    }));
  }

  // Guards against a drain that is lost or undone by a concurrent drain.
  void concurrentDrainsAllTakeEffect() {
    test_store Server;
    Server.ChooseFault = [](unsigned Index) {
      return Index % 3 == 1 && Index < 9 ? write_fault::LoseResponse
                                         : write_fault::None;
    };
    Server.overwrite(std::string(ConfigurationKey),
                     formatDocument(applyEdit({}, editBy("first"))));
    std::vector<std::thread> Threads;
    std::vector<exit_code> Codes(3, exit_code::Usage);
    for (size_t I = 0; I < Codes.size(); ++I)
      Threads.emplace_back([&, I] {
        std::ostringstream Out;
        console Console{.Out = Out, .Err = Out};
        const std::string Name = "u" + std::to_string(I);
        Codes[I] = runDrain(
            Console, {.Address = Server.address(), .Author = "a"}, Name, true);
      });
    for (std::thread &Thread : Threads)
      Thread.join();
    const configuration Config = parseConfigurationDocument(
        Server.value(std::string(ConfigurationKey)), 1);
    for (size_t I = 0; I < Codes.size(); ++I) {
      CPPUNIT_ASSERT(Codes[I] == exit_code::Ok);
      CPPUNIT_ASSERT(Config.isRetiring("u" + std::to_string(I)));
    }
  }

  // Guards against reporting "unavailable: nothing was written" for an accepted
  // edit if the response is lost and the store then becomes unavailable.
  void outageAfterLostResponseIsUnknown() {
    test_store Server;
    Server.ChooseFault = [&](unsigned) {
      Server.RejectStatus = 503;
      return write_fault::LoseResponse;
    };
    store_client Store({.Address = Server.address()});
    configuration_editor Editor(Store, {.Timeout = milliseconds(300)});
    const edit_result Result = Editor.write({}, editBy("a"));
    CPPUNIT_ASSERT(Result.Outcome == edit_outcome::Unknown);
    Server.RejectStatus = 0;
    CPPUNIT_ASSERT(historyContainsEdit(Editor.read().Document, "edit-of-a"));
  }

  // Guards against reporting "unknown" when the store rejected every write and
  // the operator can safely retry.
  void outageBeforeWriteIsUnavailable() {
    test_store Server;
    Server.RejectStatus = 429;
    store_client Store({.Address = Server.address()});
    configuration_editor Editor(Store, {.Timeout = milliseconds(300)});
    CPPUNIT_ASSERT(!Editor.read().Available);
    const edit_result Result = Editor.write({}, editBy("a"));
    CPPUNIT_ASSERT(Result.Outcome == edit_outcome::Unavailable);
    CPPUNIT_ASSERT_EQUAL(0U, Server.Writes.load());
  }

  // Guards against reporting "conflict" for an accepted edit if a later edit
  // replaced it before the editor read the configuration back.
  void replacedEditIsReported() {
    test_store Server;
    Server.ChooseFault = [](unsigned) { return write_fault::LoseResponse; };
    Server.AfterWrite = [&](unsigned) {
      const std::string Key(ConfigurationKey);
      const auto First = readDocument(Server.value(Key), 1);
      Server.overwrite(Key, formatDocument(applyEdit(First, editBy("b"))));
    };
    store_client Store({.Address = Server.address()});
    configuration_editor Editor(Store, fastOptions());
    const edit_result Result = Editor.write({}, editBy("a"));
    CPPUNIT_ASSERT(Result.Outcome == edit_outcome::Replaced);
    CPPUNIT_ASSERT_EQUAL(uint64_t(1), Result.Version);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), Result.Current->Author);
  }

  // Guards against reporting "conflict" for an accepted edit that the bounded
  // history no longer contains.
  void truncatedHistoryIsUnknown() {
    configuration_document Current;
    for (uint64_t Version = 1; Version <= 60; ++Version) {
      Current = applyEdit(Current, editBy(std::to_string(Version)));
      Current = readDocument(formatDocument(Current), Version);
    }
    CPPUNIT_ASSERT(findEditOutcome(Current, "other", 10).Outcome ==
                   edit_outcome::Unknown);
    CPPUNIT_ASSERT(findEditOutcome(Current, "other", 11).Outcome ==
                   edit_outcome::Conflict);
    CPPUNIT_ASSERT(findEditOutcome(Current, "edit-of-20", 19).Outcome ==
                   edit_outcome::Replaced);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(apply_promise_test, "apply_promise_test");

} // namespace cardamom
