#include "store/async_store_client.h"

#include "http/event_loop.h"

#include <cppunit/extensions/HelperMacros.h>
#include <vector>

namespace cardamom {

class async_store_client_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(async_store_client_test);
  CPPUNIT_TEST(rateLimitIsNoOutage);
  CPPUNIT_TEST_SUITE_END();

  /// Plays calls that end as given, with pauses, and returns the length of the
  /// outage that the client has seen.
  static time_point::duration play(const std::vector<object_reply> &Replies) {
    event_loop Loop;
    size_t Next = 0;
    async_store_client Store(
        Loop, {.Send =
                   [&](const object_request & /*Request*/,
                       const object_callback &Done) {
                     Loop.post([&, Done] { Done(Replies.at(Next++)); });
                   },
               .ProbeInterval = milliseconds(10000)});
    for (size_t I = 0; I < Replies.size(); ++I) {
      Store.call({}, [](const object_reply & /*Reply*/) {});
      const timer_handle Timer =
          Loop.after(milliseconds(20), [&] { Loop.stop(); });
      Loop.run();
      Loop.restart();
    }
    return Store.longestOutage();
  }

public:
  // Guards against a grace period for replicas that have left, because a store
  // that was up refused calls for a while.
  void rateLimitIsNoOutage() {
    const object_reply Done{.Outcome = object_outcome::Done};
    const object_reply Limited{.Outcome = object_outcome::Refused,
                               .RateLimited = true};
    const object_reply Down{.Outcome = object_outcome::Refused};
    CPPUNIT_ASSERT(play({Done, Limited, Limited, Done}) ==
                   time_point::duration{0});
    CPPUNIT_ASSERT(play({Done, Down, Limited, Done}) >= milliseconds(40));
    CPPUNIT_ASSERT(play({Done, Limited, Down, Done}) >= milliseconds(40));
    CPPUNIT_ASSERT(play({Done, Down, Done, Limited, Done}) ==
                   time_point::duration{0});
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(async_store_client_test,
                                      "async_store_client_test");

} // namespace cardamom
