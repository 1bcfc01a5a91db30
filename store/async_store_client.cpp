#include "store/async_store_client.h"

#include "base/metrics.h"
#include "http/event_loop.h"

#include <algorithm>

namespace cardamom {

std::string_view toString(object_outcome Outcome) {
  switch (Outcome) {
  case object_outcome::Done:
    return "done";
  case object_outcome::NotFound:
    return "not_found";
  case object_outcome::Conflict:
    return "conflict";
  case object_outcome::Refused:
    return "refused";
  case object_outcome::Invalid:
    return "invalid";
  case object_outcome::HistoryGone:
    return "history_gone";
  case object_outcome::TooLarge:
    return "too_large";
  case object_outcome::Unknown:
    break;
  }
  return "unknown";
}

std::string_view toString(object_op Op) {
  switch (Op) {
  case object_op::List:
    return "list";
  case object_op::Get:
    return "get";
  case object_op::Create:
    return "create";
  case object_op::Replace:
    return "replace";
  case object_op::ReplaceStatus:
    return "replace_status";
  case object_op::Remove:
    return "remove";
  case object_op::Watch:
    break;
  }
  return "watch";
}

static bool showsReachability(object_outcome Outcome) {
  return Outcome != object_outcome::Refused &&
         Outcome != object_outcome::Unknown;
}

async_store_client::async_store_client(event_loop &Loop,
                                       async_store_client_options Options)
    : Loop(Loop), Options(std::move(Options)) {}

async_store_client::~async_store_client() = default;

void async_store_client::call(const object_request &Request,
                              object_callback Done) {
  ++CallCount;
  metrics::get()
      .counter("store_calls_total", "call",
               std::string(toString(Request.Op)) + ' ' + Request.Kind)
      .add();
  Options.Send(Request, [this, SentAt = event_loop::now(),
                         Weak = std::weak_ptr<bool>(Alive),
                         Done = std::move(Done)](const object_reply &Reply) {
    if (Weak.expired())
      return;
    updateReachability(Reply, SentAt);
    Done(Reply);
  });
}

void async_store_client::updateReachability(const object_reply &Reply,
                                            time_point SentAt) {
  const time_point Now = event_loop::now();
  if (!showsReachability(Reply.Outcome)) {
    OnlyRateLimited = (Reachable || OnlyRateLimited) && Reply.RateLimited;
    if (!Reachable)
      return;
    Reachable = false;
    OutageStartedAt = Now;
    if (Options.OnReachabilityChange)
      Options.OnReachabilityChange(false, Reply.Detail);
    scheduleProbe();
    return;
  }
  LastReplyAt = Now;
  const time_point PreviousSentAt = LastAnsweredSentAt;
  LastAnsweredSentAt = std::max(LastAnsweredSentAt, SentAt);
  if (Reachable)
    return;
  LongestOutage =
      OnlyRateLimited ? time_point::duration{0} : Now - PreviousSentAt;
  Reachable = true;
  OutageEndedAt = Now;
  ProbeTimer.reset();
  if (Options.OnReachabilityChange)
    Options.OnReachabilityChange(true, {});
  const auto Tasks = std::move(PendingTasks);
  PendingTasks.clear();
  for (const std::function<void()> &Task : Tasks)
    Loop.post(Task);
}

void async_store_client::scheduleProbe() {
  ProbeTimer = Loop.after(Options.ProbeInterval, [this] {
    call(Options.Probe, [this](const object_reply & /*Reply*/) {
      if (!Reachable)
        scheduleProbe();
    });
  });
}

void async_store_client::whenReachable(std::function<void()> Task) {
  if (Reachable)
    Loop.post(std::move(Task));
  else
    PendingTasks.push_back(std::move(Task));
}

} // namespace cardamom
