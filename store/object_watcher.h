/// \file
/// Follows all objects of one kind: lists them, then watches for changes from
/// the revision of the list.
///
/// Use:
///   object_watcher Watcher(Loop, Store, {.Kind = "servers",
///       .OnSnapshot = [](std::span<const stored_object> All) { ... },
///       .OnChange = [](const stored_object &Object) { ... }});
///   Watcher.start();
///
/// A snapshot replaces all earlier state. It is delivered at the start, and
/// again whenever changes may have been missed. At most one request is
/// outstanding at a time, unless renew() abandons one.
///
/// A watch whose response is lost looks like one that waits for a change: the
/// connection stays open, and the peer's kernel acknowledges keep-alive probes.
/// Each watch therefore waits only for so long that it either is answered or
/// fails, and is renewed, before the known state is older than MaxAge. Without
/// changes this costs one call per MaxAge, less the time reserved for the
/// renewal. While the store does not respond the state grows older. The gauge
/// watch_state_age_ms has the age by kind, and the loss and the recovery of a
/// watch are logged once each.
///
/// A watch whose response is too large to be read is followed by a list, whose
/// pages are bounded by the store.

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
  /// Not called if OnPage is set.
  std::function<void(std::span<const stored_object>)> OnSnapshot;
  /// If set, each page of a list is delivered as it arrives, and no list is
  /// kept. The changes since the start of the list are delivered between pages
  /// too, so that the objects delivered so far stay as current as a watch keeps
  /// them. A list that starts again delivers its pages again.
  std::function<void(std::span<const stored_object>)> OnPage;
  std::function<void(const stored_object &)> OnChange;
  /// Called after each response that was complete up to then, once its changes
  /// were delivered.
  std::function<void()> OnConfirmed;
  /// Maximum age of the known state while the store responds. At least the
  /// store's call timeout and RenewalReserve together.
  milliseconds MaxAge{10000};
  /// Time reserved for the response to a renewed watch.
  milliseconds RenewalReserve{200};
  /// Delay before the next watch after a change, so that changes in quick
  /// succession share one call. The first change after a quiet period is
  /// delivered immediately, any other up to this much later.
  milliseconds CoalesceDelay{0};
  /// Delay before a list or watch that failed repeatedly is retried, and
  /// minimum interval between watches.
  milliseconds RetryDelay{100};
};

class object_watcher {
public:
  object_watcher(event_loop &Loop, async_store_client &Store,
                 object_watcher_options Options);
  ~object_watcher();
  object_watcher(const object_watcher &) = delete;
  object_watcher &operator=(const object_watcher &) = delete;

  void start();
  /// Requests the changes so far, without waiting for the response to the
  /// current watch. Has no effect during a list, which it would only delay.
  void renew();
  /// Stops watching; a response that is still outstanding is ignored.
  void stop();
  [[nodiscard]] bool running() const { return Alive != nullptr; }
  /// Whether a complete list has been received.
  [[nodiscard]] bool ready() const { return Ready; }
  /// Changes after this revision are still to be delivered.
  [[nodiscard]] uint64_t revision() const { return Revision; }
  /// Time of the last response that was complete up to then; the epoch before
  /// the first. With OnPage, a response between two pages of the first list
  /// is complete for the objects delivered so far.
  [[nodiscard]] time_point confirmedAt() const { return ConfirmedAt; }
  /// Time of the last page of a list; the epoch before the first.
  [[nodiscard]] time_point listedPageAt() const { return ListedPageAt; }

private:
  void list();
  void listNextPage();
  void onListPage(const object_reply &Reply);
  void completeList(time_point Now);
  /// The objects that the list has delivered so far are current.
  void confirmPages(time_point Now);
  /// Reads the changes between two pages of a list.
  void catchUp();
  void onCatchUp(const object_reply &Reply);
  /// Returns false if this object no longer watches.
  bool deliverChanges(const object_reply &Reply);
  void watch();
  [[nodiscard]] milliseconds nextWait(time_point Now) const;
  /// Calls Next immediately after the first failure in a row, later otherwise.
  void retry(void (object_watcher::*Next)());
  void onWatch(const object_reply &Reply);
  void onConfirmed(time_point Now);
  void publishAge();
  void notifyConfirmed() const;
  void onFailed(const object_reply &Reply, time_point Now);
  void reportUnreadable(const stored_object &Object) const;
  /// Calls Next once Delay has passed and the store is reachable.
  void scheduleAfter(milliseconds Delay, void (object_watcher::*Next)());
  object_callback
  bindHandler(void (object_watcher::*Handler)(const object_reply &));

  event_loop &Loop;
  async_store_client &Store;
  object_watcher_options Options;
  std::vector<stored_object> Listed;
  uint64_t ListRevision = 0;
  /// Last name of the list so far.
  std::string ListedUpTo;
  time_point ListedPageAt{};
  time_point CaughtUpAt{};
  uint64_t Revision = 0;
  time_point WatchSentAt{};
  milliseconds Wait{0};
  time_point ConfirmedAt{};
  time_point StartedAt{};
  unsigned Failures = 0;
  /// A loss was logged whose recovery is still to be logged.
  bool Lost = false;
  bool Ready = false;
  std::shared_ptr<bool> Alive;
  /// Responses to requests of earlier generations are ignored.
  uint64_t Generation = 0;
  bool Renewing = false;
  /// From the first page of a list, or its retry, to the last.
  bool Listing = false;
  std::shared_ptr<timer_state> DelayTimer;
  std::shared_ptr<timer_state> AgeTimer;
};

} // namespace cardamom

#endif // CARDAMOM_STORE_OBJECT_WATCHER_H
