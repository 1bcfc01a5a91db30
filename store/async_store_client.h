/// \file
/// Asynchronous access to the platform's object store, as the event-driven
/// processes use it.
///
/// Use:
///   object_link Link(Loop, {.Send = PlatformCall, .Probe = {...}});
///   Link.call({.Op = object_op::Get, .Kind = "jobs", .Name = Id},
///             [](const object_reply &Reply) { ... });
///   Link.whenReachable([] { ... }); // at once, or after an outage
///
/// During an outage only the link itself calls the store, to learn when it is
/// back; what waits in whenReachable() costs no calls.

#ifndef CARDAMOM_STORE_ASYNC_STORE_CLIENT_H
#define CARDAMOM_STORE_ASYNC_STORE_CLIENT_H

#include "base/time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace cardamom {

class event_loop;
class timer_state;

enum class object_op {
  List,
  Get,
  Create,
  Replace,
  ReplaceStatus,
  Remove,
  Watch,
};

std::string_view toString(object_op Op);

struct object_request {
  object_op Op = object_op::Get;
  std::string Kind;
  std::string Name;
  /// Spec of Create and Replace, status of ReplaceStatus.
  nlohmann::json Value;
  /// Condition of a change: the revision that the object must have.
  std::optional<uint64_t> ExpectedRevision;
  /// List: names up to this one are left out.
  std::string After;
  /// Watch: changes after this revision.
  uint64_t SinceRevision = 0;
  /// Watch: how long the store may hold the call.
  milliseconds Wait{0};
};

struct stored_object {
  std::string Name;
  uint64_t Revision = 0;
  /// Null when it was absent or could not be read.
  nlohmann::json Spec;
  nlohmann::json Status;
  /// Watch only: the object was removed.
  bool Removed = false;
};

enum class object_outcome {
  Done,
  NotFound,
  /// The object exists already or has another revision; Objects holds it when
  /// the store sent it.
  Conflict,
  /// The store has refused the call; nothing was done.
  Refused,
  /// No answer: the call may have been done, or may be done later.
  Unknown,
  /// The store does not accept such a call; nothing was done.
  Invalid,
  /// Watch only: changes since the revision asked for are no longer known.
  HistoryGone,
};

std::string_view toString(object_outcome Outcome);

struct object_reply {
  object_outcome Outcome = object_outcome::Unknown;
  std::vector<stored_object> Objects;
  /// List: more follow after the last name.
  bool HasMore = false;
  /// Revision of the store at a list or watch.
  uint64_t StoreRevision = 0;
  std::string Detail;
};

using object_callback = std::function<void(const object_reply &)>;

struct async_store_client_options {
  std::function<void(const object_request &, object_callback)> Send;
  /// Read that tells whether the store answers.
  object_request Probe;
  /// Pause between two probes of a store that does not answer.
  milliseconds ProbeInterval{300};
  /// Called when the store is lost and when it is back.
  std::function<void(bool Reachable, const std::string &Detail)>
      OnReachabilityChange;
};

class async_store_client {
public:
  async_store_client(event_loop &Loop, async_store_client_options Options);
  ~async_store_client();
  async_store_client(const async_store_client &) = delete;
  async_store_client &operator=(const async_store_client &) = delete;

  void call(const object_request &Request, object_callback Done);
  /// Runs Task from the loop once the store answers.
  void whenReachable(std::function<void()> Task);
  [[nodiscard]] bool reachable() const { return Reachable; }
  /// Time of the last answer of the store.
  [[nodiscard]] time_point lastReplyAt() const { return LastReplyAt; }
  /// Start of the present or last outage.
  [[nodiscard]] time_point outageStartedAt() const { return OutageStartedAt; }
  [[nodiscard]] time_point outageEndedAt() const { return OutageEndedAt; }
  [[nodiscard]] uint64_t callCount() const { return CallCount; }

private:
  void updateReachability(const object_reply &Reply);
  void scheduleProbe();

  event_loop &Loop;
  async_store_client_options Options;
  std::vector<std::function<void()>> PendingTasks;
  std::shared_ptr<timer_state> ProbeTimer;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  bool Reachable = true;
  time_point LastReplyAt{};
  time_point OutageStartedAt{};
  time_point OutageEndedAt{};
  uint64_t CallCount = 0;
};

} // namespace cardamom

#endif // CARDAMOM_STORE_ASYNC_STORE_CLIENT_H
