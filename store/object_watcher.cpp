#include "store/object_watcher.h"

#include "base/log.h"
#include "base/metrics.h"
#include "http/event_loop.h"

#include <algorithm>
#include <map>
#include <set>

namespace cardamom {

/// Interval at which the age of the known state is published.
static constexpr milliseconds AgeInterval{500};
/// Interval at which the changes are read during a list that is delivered page
/// by page.
static constexpr milliseconds CatchUpInterval{500};

/// Running watchers by kind. Several watchers of one kind share a gauge, which
/// has the age of the oldest state among them.
static std::map<std::string, std::set<const object_watcher *>, std::less<>> &
runningWatchers() {
  static thread_local std::map<std::string, std::set<const object_watcher *>,
                               std::less<>>
      Watchers;
  return Watchers;
}

object_watcher::object_watcher(event_loop &Loop, async_store_client &Store,
                               object_watcher_options Options)
    : Loop(Loop), Store(Store), Options(std::move(Options)) {}

object_watcher::~object_watcher() {
  runningWatchers()[Options.Kind].erase(this);
}

void object_watcher::start() {
  Alive = std::make_shared<bool>(true);
  StartedAt = event_loop::now();
  runningWatchers()[Options.Kind].insert(this);
  publishAge();
  list();
}

void object_watcher::stop() {
  Alive.reset();
  DelayTimer.reset();
  AgeTimer.reset();
  runningWatchers()[Options.Kind].erase(this);
  Ready = false;
  Listing = false;
}

object_callback object_watcher::bindHandler(
    void (object_watcher::*Handler)(const object_reply &)) {
  return [this, Weak = std::weak_ptr<bool>(Alive), Sent = Generation,
          Handler](const object_reply &Reply) {
    if (!Weak.expired() && Sent == Generation)
      (this->*Handler)(Reply);
  };
}

void object_watcher::scheduleAfter(milliseconds Delay,
                                   void (object_watcher::*Next)()) {
  DelayTimer = Loop.after(Delay, [this, Next] {
    Store.whenReachable([this, Weak = std::weak_ptr<bool>(Alive),
                         Scheduled = Generation, Next] {
      if (!Weak.expired() && Scheduled == Generation)
        (this->*Next)();
    });
  });
}

void object_watcher::renew() {
  // A list in progress, or one that is about to be retried, renews everything.
  if (!Ready || Renewing || Listing)
    return;
  Renewing = true;
  ++Generation;
  DelayTimer.reset();
  watch();
}

void object_watcher::publishAge() {
  const time_point Now = event_loop::now();
  milliseconds Oldest{0};
  for (const object_watcher *Watcher : runningWatchers()[Options.Kind]) {
    const time_point Since = std::max(Watcher->ConfirmedAt, Watcher->StartedAt);
    Oldest =
        std::max(Oldest, std::chrono::duration_cast<milliseconds>(Now - Since));
  }
  metrics::get()
      .gauge("watch_state_age_ms", "kind", Options.Kind)
      .set(uint64_t(Oldest.count()));
  AgeTimer = Loop.after(AgeInterval, [this] { publishAge(); });
}

void object_watcher::notifyConfirmed() const {
  if (Options.OnConfirmed)
    Options.OnConfirmed();
}

void object_watcher::onConfirmed(time_point Now) {
  if (ConfirmedAt != time_point{}) {
    const auto Age =
        std::chrono::duration_cast<milliseconds>(Now - ConfirmedAt);
    static metric_histogram &Ages = metrics::get().histogram("watch_age_ms");
    Ages.record(double(Age.count()));
  }
  if (Lost) {
    const auto Age = std::chrono::duration_cast<milliseconds>(
        Now - std::max(ConfirmedAt, StartedAt));
    logInfo("watch_restored", {{"kind", Options.Kind},
                               {"age_ms", std::to_string(Age.count())},
                               {"failures", std::to_string(Failures)}});
  }
  Lost = false;
  ConfirmedAt = Now;
  Failures = 0;
}

void object_watcher::onFailed(const object_reply &Reply, time_point Now) {
  metrics::get().counter("watch_failures_total", "kind", Options.Kind).add();
  ++Failures;
  if (Lost)
    return;
  Lost = true;
  const auto Age = std::chrono::duration_cast<milliseconds>(Now - ConfirmedAt);
  logInfo("watch_failed", {{"kind", Options.Kind},
                           {"outcome", std::string(toString(Reply.Outcome))},
                           {"detail", Reply.Detail},
                           {"age_ms", Ready ? std::to_string(Age.count())
                                            : std::string("none")}});
}

void object_watcher::reportUnreadable(const stored_object &Object) const {
  if (Object.UnreadableReason.empty())
    return;
  metrics::get()
      .counter("objects_unreadable_total", "kind", Options.Kind)
      .add();
  logInfo("object_unreadable", {{"kind", Options.Kind},
                                {"name", Object.Name},
                                {"revision", std::to_string(Object.Revision)},
                                {"reason", Object.UnreadableReason}});
}

void object_watcher::list() {
  Listing = true;
  Listed.clear();
  ListRevision = 0;
  ListedUpTo.clear();
  listNextPage();
}

void object_watcher::listNextPage() {
  Store.call({.Op = object_op::List, .Kind = Options.Kind, .After = ListedUpTo},
             bindHandler(&object_watcher::onListPage));
}

void object_watcher::onListPage(const object_reply &Reply) {
  const time_point Now = event_loop::now();
  if (Reply.Outcome != object_outcome::Done) {
    // The pages so far stay valid, because the watch that follows starts at the
    // revision of the first one.
    onFailed(Reply, Now);
    retry(&object_watcher::listNextPage);
    return;
  }
  ListedPageAt = Now;
  // Watching from the revision of the first page also delivers the changes made
  // between two pages.
  const bool IsFirst = ListRevision == 0;
  if (IsFirst)
    ListRevision = Reply.StoreRevision;
  for (const stored_object &Object : Reply.Objects)
    reportUnreadable(Object);
  const bool HasMore = Reply.HasMore && !Reply.Objects.empty();
  if (HasMore)
    ListedUpTo = Reply.Objects.back().Name;
  if (Options.OnPage) {
    if (IsFirst) {
      Revision = ListRevision;
      confirmPages(Now);
    }
    const std::weak_ptr<bool> Weak = Alive;
    Options.OnPage(Reply.Objects);
    if (Weak.expired())
      return;
    notifyConfirmed();
    if (Weak.expired())
      return;
  } else {
    Listed.insert(Listed.end(), Reply.Objects.begin(), Reply.Objects.end());
  }
  if (!HasMore) {
    completeList(Now);
    return;
  }
  if (Options.OnPage && Now - CaughtUpAt >= CatchUpInterval)
    catchUp();
  else
    listNextPage();
}

void object_watcher::completeList(time_point Now) {
  Ready = true;
  Listing = false;
  if (!Options.OnPage) {
    Revision = ListRevision;
    onConfirmed(Now);
    const std::vector<stored_object> All = std::move(Listed);
    Listed.clear();
    const std::weak_ptr<bool> Weak = Alive;
    Options.OnSnapshot(All);
    if (Weak.expired())
      return;
    notifyConfirmed();
    if (Weak.expired())
      return;
  } else if (ListedUpTo.empty()) {
    onConfirmed(Now);
  } else {
    // What has changed since the last catch-up is not known yet. The watch that
    // follows is answered at once, so that it confirms the state.
    Renewing = true;
    watch();
    return;
  }
  if (Options.CoalesceDelay.count() > 0)
    scheduleAfter(Options.CoalesceDelay, &object_watcher::watch);
  else
    watch();
}

void object_watcher::confirmPages(time_point Now) {
  CaughtUpAt = Now;
  // Objects of an earlier list may have changed, which shows only once they are
  // listed again.
  if (!Ready)
    ConfirmedAt = Now;
}

void object_watcher::catchUp() {
  Store.call({.Op = object_op::Watch,
              .Kind = Options.Kind,
              .SinceRevision = Revision,
              .Wait = milliseconds(1)},
             bindHandler(&object_watcher::onCatchUp));
}

void object_watcher::onCatchUp(const object_reply &Reply) {
  const time_point Now = event_loop::now();
  if (Reply.Outcome == object_outcome::HistoryGone ||
      Reply.Outcome == object_outcome::TooLarge) {
    onFailed(Reply, Now);
    list();
    return;
  }
  if (Reply.Outcome != object_outcome::Done) {
    onFailed(Reply, Now);
    retry(&object_watcher::catchUp);
    return;
  }
  confirmPages(Now);
  if (deliverChanges(Reply))
    listNextPage();
}

bool object_watcher::deliverChanges(const object_reply &Reply) {
  const std::weak_ptr<bool> Weak = Alive;
  for (const stored_object &Object : Reply.Objects) {
    reportUnreadable(Object);
    Options.OnChange(Object);
    if (Weak.expired())
      return false;
  }
  notifyConfirmed();
  if (Weak.expired())
    return false;
  Revision = std::max(Revision, Reply.StoreRevision);
  return true;
}

milliseconds object_watcher::nextWait(time_point Now) const {
  // The response to a renewed watch shows whether the store responds.
  if (Failures > 0 || Renewing)
    return milliseconds(1);
  const auto Age = std::chrono::ceil<milliseconds>(Now - ConfirmedAt);
  return std::max(Options.MaxAge - Store.callTimeout() -
                      Options.RenewalReserve - Age,
                  Options.RetryDelay);
}

void object_watcher::watch() {
  WatchSentAt = event_loop::now();
  Wait = nextWait(WatchSentAt);
  Store.call({.Op = object_op::Watch,
              .Kind = Options.Kind,
              .SinceRevision = Revision,
              .Wait = Wait},
             bindHandler(&object_watcher::onWatch));
}

void object_watcher::retry(void (object_watcher::*Next)()) {
  // The call may have failed because of its connection only.
  if (Failures > 1) {
    scheduleAfter(Options.RetryDelay, Next);
    return;
  }
  Loop.post(
      [this, Weak = std::weak_ptr<bool>(Alive), Scheduled = Generation, Next] {
        if (!Weak.expired() && Scheduled == Generation)
          (this->*Next)();
      });
}

void object_watcher::onWatch(const object_reply &Reply) {
  Renewing = false;
  if (Reply.Outcome == object_outcome::HistoryGone) {
    if (!Lost)
      logInfo("watch_history_gone",
              {{"kind", Options.Kind}, {"since", std::to_string(Revision)}});
    Lost = true;
    list();
    return;
  }
  const time_point Now = event_loop::now();
  if (Reply.Outcome == object_outcome::TooLarge) {
    onFailed(Reply, Now);
    list();
    return;
  }
  if (Reply.Outcome != object_outcome::Done) {
    onFailed(Reply, Now);
    retry(&object_watcher::watch);
    return;
  }
  onConfirmed(Now);
  if (!deliverChanges(Reply))
    return;
  // Avoids a busy loop when the store responds immediately without changes.
  if (Reply.Objects.empty() &&
      Now - WatchSentAt < std::min(Wait, Options.RetryDelay))
    scheduleAfter(Options.RetryDelay, &object_watcher::watch);
  else if (!Reply.Objects.empty() && Options.CoalesceDelay.count() > 0)
    scheduleAfter(Options.CoalesceDelay, &object_watcher::watch);
  else
    watch();
}

} // namespace cardamom
