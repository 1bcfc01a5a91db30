/// \file
/// Follows all objects of one kind: a list, then watches from its revision.
///
/// Use:
///   object_watcher Watcher(Loop, Link, {.Kind = "servers",
///       .OnSnapshot = [](std::span<const stored_object> All) { ... },
///       .OnChange = [](const stored_object &Object) { ... }});
///   Watcher.start();
///
/// A snapshot replaces all that was known. It comes at the start, and again
/// whenever changes may have been missed. One call waits at the store at a
/// time.

#ifndef CARDAMOM_STORE_OBJECT_WATCHER_H
#define CARDAMOM_STORE_OBJECT_WATCHER_H

#include "store/async_store_client.h"

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace cardamom {

struct object_watcher_options {
  std::string Kind;
  std::function<void(std::span<const stored_object>)> OnSnapshot;
  std::function<void(const stored_object &)> OnChange;
  /// How long a watch waits at the store; each watch is a priced call.
  milliseconds Wait{25000};
  /// Pause after a change, so that those that follow soon cost one call
  /// together. The first after a quiet time comes at once; any other up to
  /// this much late.
  milliseconds CoalesceDelay{0};
  /// Pause before a watch that was cut is asked again.
  milliseconds RetryDelay{100};
};

class object_watcher {
public:
  object_watcher(event_loop &Loop, async_store_client &Link,
                 object_watcher_options Options);
  ~object_watcher();
  object_watcher(const object_watcher &) = delete;
  object_watcher &operator=(const object_watcher &) = delete;

  void start();
  /// Ends the watch; an answer on its way is ignored.
  void stop();
  [[nodiscard]] bool running() const { return Alive != nullptr; }
  /// Whether a snapshot has arrived.
  [[nodiscard]] bool ready() const { return Ready; }
  [[nodiscard]] uint64_t revision() const { return Revision; }

private:
  void list();
  void listPage(const std::string &After);
  void onPage(const object_reply &Reply);
  void watch();
  void onWatch(const object_reply &Reply);
  /// Runs Next once the store answers, after a pause.
  void scheduleAfter(milliseconds Pause, void (object_watcher::*Next)());
  object_callback
  bindHandler(void (object_watcher::*Handler)(const object_reply &));

  event_loop &Loop;
  async_store_client &Link;
  object_watcher_options Options;
  std::vector<stored_object> Listed;
  uint64_t ListRevision = 0;
  uint64_t Revision = 0;
  time_point WatchSentAt{};
  bool Ready = false;
  std::shared_ptr<bool> Alive;
  std::shared_ptr<timer_state> DelayTimer;
};

} // namespace cardamom

#endif // CARDAMOM_STORE_OBJECT_WATCHER_H
