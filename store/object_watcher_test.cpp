#include "store/object_watcher.h"

#include "http/event_loop.h"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <functional>

namespace cardamom {

class object_watcher_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(object_watcher_test);
  CPPUNIT_TEST(changeIsDeliveredWithinMaxAgeAfterLostResponse);
  CPPUNIT_TEST(idleWatchCostsOneCallPerMaxAge);
  CPPUNIT_TEST_SUITE_END();

  static constexpr milliseconds CallTimeout{60};
  static constexpr milliseconds MaxAge{400};

  event_loop Loop;
  /// Watches that wait at the store. A lost one is never answered.
  struct waiting_watch {
    object_callback Done;
    timer_handle Expiry;
  };
  std::deque<waiting_watch> Waiting;
  std::deque<timer_handle> Timers;
  size_t Watches = 0;
  uint64_t StoreRevision = 5;
  std::vector<stored_object> Changes;
  time_point ChangeSeenAt{};
  std::unique_ptr<async_store_client> Store;
  std::unique_ptr<object_watcher> Watcher;

  void handle(const object_request &Request, const object_callback &Done) {
    if (Request.Op != object_op::Watch) {
      answer(Done);
      return;
    }
    ++Watches;
    if (Request.SinceRevision < StoreRevision) {
      answer(Done, Changes);
      return;
    }
    Waiting.push_back(
        {.Done = Done,
         .Expiry = Loop.after(Request.Wait, [this, Done] { answer(Done); })});
  }

  void answer(const object_callback &Done,
              std::vector<stored_object> Objects = {}) {
    Loop.post([this, Done, Objects = std::move(Objects)] {
      Done({.Outcome = object_outcome::Done,
            .Objects = Objects,
            .StoreRevision = StoreRevision});
    });
  }

  /// Drops the response to the waiting watch. The transport reports a timeout
  /// once the time for which the watch may wait, and CallTimeout, have passed.
  void loseResponse(milliseconds Wait) {
    const object_callback Done = Waiting.back().Done;
    Waiting.clear();
    Timers.push_back(Loop.after(Wait + CallTimeout, [Done] {
      Done({.Outcome = object_outcome::Unknown, .Objects = {}});
    }));
  }

  void change() {
    ++StoreRevision;
    stored_object Object;
    Object.Name = "o";
    Object.Revision = StoreRevision;
    Changes = {Object};
  }

public:
  void setUp() override {
    Store = std::make_unique<async_store_client>(
        Loop,
        async_store_client_options{
            .Send =
                [this](const object_request &Request,
                       const object_callback &Done) { handle(Request, Done); },
            .CallTimeout = CallTimeout});
    Watcher = std::make_unique<object_watcher>(
        Loop, *Store,
        object_watcher_options{
            .Kind = "k",
            .OnSnapshot = [](std::span<const stored_object>) {},
            .OnChange =
                [this](const stored_object &) {
                  ChangeSeenAt = event_loop::now();
                  Loop.stop();
                },
            .MaxAge = MaxAge,
            .RenewalReserve = milliseconds(40),
            .RetryDelay = milliseconds(10)});
    Watcher->start();
  }

  // Guards against a change that is not learnt because the response to the
  // watch was lost.
  void changeIsDeliveredWithinMaxAgeAfterLostResponse() {
    time_point ChangedAt{};
    Timers.push_back(Loop.after(milliseconds(20), [&] {
      loseResponse(MaxAge - CallTimeout - milliseconds(40));
      ChangedAt = event_loop::now();
      change();
    }));
    Timers.push_back(Loop.after(3 * MaxAge, [this] { Loop.stop(); }));
    Loop.run();
    CPPUNIT_ASSERT(ChangeSeenAt != time_point{});
    CPPUNIT_ASSERT(ChangeSeenAt - ChangedAt <= MaxAge);
  }

  // Guards against polling of a store without changes.
  void idleWatchCostsOneCallPerMaxAge() {
    Timers.push_back(Loop.after(4 * MaxAge, [this] { Loop.stop(); }));
    Loop.run();
    CPPUNIT_ASSERT(Watches >= 4);
    CPPUNIT_ASSERT(Watches <= 7);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(object_watcher_test,
                                      "object_watcher_test");

} // namespace cardamom
