/// \file
/// Runs requests to completion: chooses an upstream, sends "/run", relays the
/// response, attaches again after a lost connection, and retries where this is
/// safe.
///
/// Use:
///   dispatcher Dispatcher({.OpenStream = ..., .UpstreamsOfPool = ..., ...});
///   std::thread Loop([&] { Dispatcher.run(); });
///   dispatch_id Id = Dispatcher.start(Call, Sink); // any thread
///   Dispatcher.cancel(Id);
///
/// One thread handles all requests: either run(), or poll() with a given time
/// in tests. Events from other threads pass through a queue in order. Because
/// of this order, the epoch recorded for a peer is the epoch of the connection
/// that delivered the event being handled. The queue is bounded by the 256 KiB
/// flow-control window of each stream, which is replenished only after a
/// message has been handled.

#ifndef CARDAMOM_ENTRY_DISPATCHER_H
#define CARDAMOM_ENTRY_DISPATCHER_H

#include "entry/dispatch.h"
#include "inner/inner_client.h"
#include "policy/retry_budget.h"
#include "policy/router.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cardamom {

namespace wire {
class answer_data;
class run_end;
class run_event;
} // namespace wire

struct dispatcher_options {
  /// See inner_client::open(), cancel(), enableManualFlowControl() and
  /// consume().
  std::function<inner_client::stream_id(
      std::string_view Address, std::string_view Path, std::string_view Message,
      inner_stream_hooks Hooks)>
      OpenStream;
  std::function<void(inner_client::stream_id)> CancelStream;
  std::function<void(inner_client::stream_id)> HoldWindow;
  std::function<void(inner_client::stream_id, size_t Bytes)> Consume;
  /// See upstream_directory::upstreamsOfPool() and addressOf().
  std::function<std::vector<upstream_view>(std::string_view Pool)>
      UpstreamsOfPool;
  std::function<std::optional<std::string>(std::string_view Name)> AddressOf;
  /// See inner_client::addPeer(). Optional.
  std::function<void(std::string_view Address)> EnsurePeer;
  std::function<uint64_t()> ConfigVersion;
  /// Uniform random number in [0, 1).
  std::function<double()> Random;
  /// Records an event of one request for "/trace". Optional.
  std::function<void(std::string_view RequestId, std::string_view Event,
                     std::string_view Detail, time_point Now)>
      Trace;
  std::string OwnFailureDomain;
  retry_budget_options RetryBudget;
  /// How long a request waits for an eligible upstream before it is refused.
  milliseconds NoUpstreamTimeout{1000};
  /// How long a request that may be retried elsewhere waits for its agent to
  /// reconnect. This covers the agent's detection of a silent connection and
  /// several connection attempts.
  milliseconds ReconnectTimeout{5000};
};

class dispatcher {
public:
  explicit dispatcher(dispatcher_options Options);
  ~dispatcher();
  dispatcher(const dispatcher &) = delete;
  dispatcher &operator=(const dispatcher &) = delete;

  /// The functions from start() to onPeerDown() are thread-safe and never
  /// block.
  dispatch_id start(dispatch_call Call, dispatch_sink Sink);
  /// Asks the agent to cancel the run. OnEnd follows with the output that the
  /// run produced, or with Cancelled if nothing was sent yet.
  void cancel(dispatch_id Id);
  /// Calls OnEnd with Cancelled immediately. If the request is idempotent, the
  /// agent is asked to cancel the run. A request without an idempotency key is
  /// acknowledged when it ends, because no caller can ask for its response
  /// again.
  void abandon(dispatch_id Id);
  /// Ends the request in this dispatcher as Cancelled without cancelling the
  /// run, so that another entry can adopt it.
  void detach(dispatch_id Id);
  /// Releases flow-control window for Bytes of OnData. For ManualFlowControl.
  void consume(dispatch_id Id, size_t Bytes);
  /// Allows the agent to discard a response that was received completely.
  void acknowledge(std::string Address, std::string RequestId);
  void onPeerUp(std::string_view Address, const peer_identity &Peer,
                uint64_t Epoch);
  void onPeerDown(std::string_view Address);

  /// Handles all queued events and the timers due at Now.
  void poll(time_point Now);
  /// Handles events until stop(). Requests that are still in flight then end as
  /// Cancelled.
  void run();
  void stop();

  /// Sets the number of entries that send to the same upstreams. Thread-safe.
  void setEntryCount(size_t Entries);
  [[nodiscard]] size_t inFlight() const { return InFlight.load(); }
  /// Predicted duration in ms of Work on the best upstream of the pool other
  /// than Except; negative if there is none. Thread-safe.
  [[nodiscard]] double predictMs(std::string_view Pool, double Work,
                                 uint64_t MinVersion, const std::string &Except,
                                 time_point Now);

  /// Predicted duration in ms of Work on one upstream. Thread-safe.
  [[nodiscard]] double predictMsOn(const upstream_view &Upstream, double Work,
                                   time_point Now);

private:
  struct request;
  using task = std::function<void(time_point Now)>;

  /// Returns false after stop().
  bool post(task Task);
  void withRequest(dispatch_id Id,
                   std::function<void(request &, time_point)> Action);
  void onTimer(request &R, time_point Now);
  void scheduleWake(request &R, time_point At);
  void trace(const request &R, std::string_view Event, std::string_view Detail,
             time_point Now);

  // Attempts (dispatcher.cpp).
  void tryNextUpstream(request &R, time_point Now);
  std::optional<upstream_view> chooseUpstream(request &R, time_point Now);
  void sendRun(request &R, const upstream_view &Upstream, time_point Now);
  void adoptRun(request &R, time_point Now);
  void openStream(request &R, std::string_view Path,
                  const std::string &Message);
  void sendCancel(const request &R);
  void finishCancelled(request &R);
  void continueInBackground(request &R, time_point Now);

  // Events (dispatcher_events.cpp).
  void onMessage(request &R, std::string_view Message, time_point Now);
  void onData(request &R, const wire::answer_data &Data, time_point Now);
  void onEnd(request &R, const wire::run_end &End, time_point Now);
  void onStreamClosed(request &R, inner_stream_end End, std::string_view Reason,
                      time_point Now);
  void attach(request &R, time_point Now);
  [[nodiscard]] time_point reconnectDeadline(const request &R) const;
  void attachToKeyHolder(request &R, const wire::run_end &End, time_point Now);
  void onPeerConnected(const std::string &Address, time_point Now);
  void attemptEnded(request &R, attempt_outcome Outcome, time_point Now);
  bool scheduleRetry(request &R, const verdict &Latest, time_point Now);
  void reportToRouter(request &R, outcome_kind Kind, time_point Now);
  void finish(request &R, outcome_kind Kind, verdict Verdict);
  void cancelAll();
  [[nodiscard]] attempt_outcome makeOutcome(const request &R,
                                            outcome_kind Kind) const;

  /// Connection to one agent at the time of the event being handled.
  struct peer_state {
    bool Connected = false;
    uint64_t Incarnation = 0;
    uint64_t Epoch = 0;
  };

  dispatcher_options Options;
  std::mutex QueueMutex;
  std::condition_variable QueueChanged;
  std::deque<task> TaskQueue;
  bool Stopping = false;
  std::atomic<dispatch_id> NextId{1};
  std::atomic<size_t> InFlight{0};

  std::mutex RouterMutex;
  router Router;

  // Accessed only by the thread of run() or poll().
  retry_budget RetryBudget;
  std::map<dispatch_id, std::unique_ptr<request>> Requests;
  std::multimap<time_point, dispatch_id> Timers;
  std::map<std::string, peer_state, std::less<>> Peers;
};

} // namespace cardamom

#endif // CARDAMOM_ENTRY_DISPATCHER_H
