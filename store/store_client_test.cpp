#include "store/store_client.h"

#include "store/test_store.h"

#include <cppunit/extensions/HelperMacros.h>
#include <stdexcept>

namespace cardamom {

class store_client_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(store_client_test);
  CPPUNIT_TEST(readsAndWritesConditionally);
  CPPUNIT_TEST(encodesKeys);
  CPPUNIT_TEST(distinguishesRefusedFromUnknown);
  CPPUNIT_TEST(timesOutOnUnresponsiveServer);
  CPPUNIT_TEST(watchesWithoutBlockingCalls);
  CPPUNIT_TEST(stopsWatches);
  CPPUNIT_TEST_SUITE_END();

  static void assertStatus(store_status Expected, const store_result &Result) {
    CPPUNIT_ASSERT_EQUAL_MESSAGE(Result.Message,
                                 std::string(toString(Expected)),
                                 std::string(toString(Result.Status)));
  }

public:
  // Guards against a conditional write that overwrites another client's value.
  void readsAndWritesConditionally() {
    test_store Server;
    store_client Store({.Address = Server.address()});
    assertStatus(store_status::NotFound, Store.get("a/b"));
    const store_result Created = Store.put("a/b", "one", 0);
    assertStatus(store_status::Ok, Created);
    const store_result Rejected = Store.put("a/b", "two", 0);
    assertStatus(store_status::Conflict, Rejected);
    CPPUNIT_ASSERT_EQUAL(Created.Version, Rejected.Version);
    const store_result Read = Store.get("a/b");
    CPPUNIT_ASSERT_EQUAL(std::string("one"), Read.Value);
    CPPUNIT_ASSERT_EQUAL(Created.Version, Read.Version);
    const store_list_result Listed = Store.list("a/");
    CPPUNIT_ASSERT_EQUAL(size_t(1), Listed.Objects.size());
    CPPUNIT_ASSERT_EQUAL(std::string("a/b"), Listed.Objects[0].Key);
    assertStatus(store_status::Conflict, Store.remove("a/b", 99));
    assertStatus(store_status::Ok, Store.remove("a/b", Created.Version));
    CPPUNIT_ASSERT_EQUAL(uint64_t(4), Store.vms().Version);
  }

  // Guards against keys with special characters that address another object,
  // and against truncated values.
  void encodesKeys() {
    test_store Server;
    store_client Store({.Address = Server.address()});
    const std::string Key = "k/ä b?c=1&if_version=7#d%41+";
    const std::string Value = "line\n\"quoted\" \xc3\xa4";
    assertStatus(store_status::Ok, Store.put(Key, Value, 0));
    CPPUNIT_ASSERT_EQUAL(Value, Store.get(Key).Value);
    CPPUNIT_ASSERT_EQUAL(Value, Server.value(Key));
  }

  // Guards against a write that took effect and is reported as Unavailable (no
  // effect), and against a plain refusal reported as Unknown, which makes the
  // caller read the object again.
  void distinguishesRefusedFromUnknown() {
    test_store Server;
    Server.ChooseFault = [](unsigned Index) {
      return Index == 0 ? write_fault::LoseResponse : write_fault::LoseRequest;
    };
    store_client Store({.Address = Server.address()});
    assertStatus(store_status::Unknown, Store.put("k", "v", 0));
    CPPUNIT_ASSERT_EQUAL(std::string("v"), Store.get("k").Value);
    assertStatus(store_status::Unknown, Store.put("k", "w", 1));
    for (const int Status : {429, 503}) {
      Server.RejectStatus = Status;
      assertStatus(store_status::Unavailable, Store.put("k", "w", 1));
      CPPUNIT_ASSERT(Store.get("k").RetryAfter == milliseconds(2000));
    }
    Server.RejectStatus = 500;
    assertStatus(store_status::Unknown, Store.put("k", "w", 1));
    assertStatus(store_status::Unavailable, Store.get("k"));
    assertStatus(store_status::Unavailable,
                 Store.put("k", std::string(1000001, 'x'), 1));
    CPPUNIT_ASSERT_THROW(store_client({.Address = "localhost:1"}),
                         std::invalid_argument);
    // Nothing listens on the port of a server that has been destroyed.
    const std::string ClosedAddress = test_store().address();
    store_client Unconnected({.Address = ClosedAddress});
    assertStatus(store_status::Unavailable, Unconnected.put("k", "w", 1));
  }

  // Guards against a call that hangs when the store stops responding in the
  // middle of a request, and against reuse of that connection.
  void timesOutOnUnresponsiveServer() {
    test_store Server;
    std::atomic<bool> Unresponsive{true};
    Server.BeforeWrite = [&](unsigned) {
      for (int I = 0; I < 500 && Unresponsive; ++I)
        std::this_thread::sleep_for(milliseconds(10));
    };
    store_client Store(
        {.Address = Server.address(), .Timeout = milliseconds(100)});
    const time_point Start = steady_clock::now();
    assertStatus(store_status::Unknown, Store.put("k", "v", 0));
    CPPUNIT_ASSERT(steady_clock::now() - Start < milliseconds(3000));
    assertStatus(store_status::NotFound, Store.get("k"));
    Unresponsive = false;
  }

  // Guards against a watch that delays other calls or misses a change.
  void watchesWithoutBlockingCalls() {
    test_store Server;
    store_client Store({.Address = Server.address()});
    const uint64_t Version = Store.put("k", "v", 0).Version;
    assertStatus(store_status::Unchanged,
                 Store.watch("k", Version, milliseconds(20)));
    store_result Seen;
    std::thread Watcher(
        [&] { Seen = Store.watch("k", Version, milliseconds(20000)); });
    assertStatus(store_status::Ok, Store.put("k", "w", Version));
    Watcher.join();
    assertStatus(store_status::Ok, Seen);
    CPPUNIT_ASSERT_EQUAL(std::string("w"), Seen.Value);
  }

  // Guards against a process that cannot shut down while a watch is waiting.
  void stopsWatches() {
    test_store Server;
    store_client Store({.Address = Server.address()});
    const uint64_t Version = Store.put("k", "v", 0).Version;
    std::thread Watcher([&] {
      assertStatus(store_status::Unavailable,
                   Store.watch("k", Version, milliseconds(5000)));
    });
    std::this_thread::sleep_for(milliseconds(50));
    const time_point Start = steady_clock::now();
    Store.stopWatches();
    Watcher.join();
    CPPUNIT_ASSERT(steady_clock::now() - Start < milliseconds(3000));
    assertStatus(store_status::Unavailable,
                 Store.watch("k", Version, milliseconds(5000)));
    assertStatus(store_status::Ok, Store.get("k"));
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(store_client_test, "store_client_test");

} // namespace cardamom
