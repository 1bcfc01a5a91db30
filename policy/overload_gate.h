/// \file
/// Decides at one gateway whether a request to a service may be sent now, waits
/// in a fair queue, or is refused at once.
///
/// Usage:
///   overload_gate Gate({.Random = ...});
///   const gate_decision Decision = Gate.offer({.Id = 7, ...}, Now);
///   Gate.onFull(Now);                  // a replica has no free slot
///   Gate.onEnd(Elapsed, Now);          // a sent request has ended
///   for (const gate_decision &Next : Gate.poll(Now)) ...  // after each event,
///                                                // and at Gate.nextCheckAt()
///
/// Several gateways share the slots of a service, and know the load of its
/// replicas with a delay. Each limits the requests that it has in flight: the
/// limit rises as requests complete and is cut when replicas refuse requests as
/// full. There is no limit until a replica refuses one, or when none has for
/// QuietTime. Reads no clock and does no I/O. State is bounded by MaxWaiting
/// and the recently active tenants.

#ifndef CARDAMOM_POLICY_OVERLOAD_GATE_H
#define CARDAMOM_POLICY_OVERLOAD_GATE_H

#include "base/time.h"
#include "policy/fair_queue.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace cardamom {

struct overload_gate_options {
  /// Without refusals for this time there is no limit. Several times the
  /// service time of typical requests, in which the limit rises by one.
  milliseconds QuietTime{3000};
  /// Without refusals for this time the limit rises by one for each completed
  /// request, so that slots that became free are soon in use.
  milliseconds FastIncreaseAfter{500};
  /// Factor by which each refusal lowers the limit. In the played overload 0.9
  /// once per 100 ms left 30 % of the slots unused, and 0.98 once per 100
  /// ms had nine times as many attempts refused.
  double DecreaseFactor = 0.98;
  /// The first limit is the peak of the requests in flight within the last one
  /// or two of these intervals. The number at the moment of a refusal can be
  /// far below what the service handles.
  milliseconds PeakTime{500};
  /// After a refusal nothing is sent until a request completes, or for this
  /// time, so that a request does not use up its attempts within milliseconds.
  milliseconds HoldTime{20};
  /// Added at most, in proportion to the interval between completions. A hold
  /// that is much longer would leave slots unused when callers' load drops.
  milliseconds MaxHoldTime{100};
  /// Time constant of measured rates; long enough for some completions.
  milliseconds RateWindow{2000};
  /// Bounds memory while the rate is unknown.
  size_t MaxWaiting = 1000;
  /// Lower bound on Retry-After and on the window over which it is spread, so
  /// that refused callers do not return at once.
  milliseconds MinRetryAfter{50};
  /// Uniform random number in [0, 1).
  std::function<double()> Random;
};

struct gate_request {
  /// Unique among the waiting requests.
  uint64_t Id = 0;
  std::string Tenant;
  /// 0 is the highest priority.
  unsigned Priority = 0;
  time_point Deadline;
};

enum class gate_verdict { Send, Wait, Refuse };

struct gate_decision {
  uint64_t Id = 0;
  gate_verdict Verdict = gate_verdict::Send;
  /// Time spent in the queue.
  milliseconds Waited{0};
  /// If refused: when the caller should retry.
  milliseconds RetryAfter{0};
};

class overload_gate {
public:
  explicit overload_gate(overload_gate_options Options);

  /// A request that is sent is in flight until onEnd().
  gate_decision offer(const gate_request &Request, time_point Now);
  /// Returns the waiting requests that are sent or refused now.
  std::vector<gate_decision> poll(time_point Now);
  /// Time at which poll() may return something without another event; nullopt =
  /// never.
  [[nodiscard]] std::optional<time_point> nextCheckAt() const;
  /// A replica refused a request because all its slots are in use.
  void onFull(time_point Now);
  /// A request in flight has ended; Elapsed is its service time if a replica
  /// completed it.
  void onEnd(std::optional<milliseconds> Elapsed, time_point Now);
  /// Removes a waiting request. Returns false if it does not wait.
  bool remove(uint64_t Id, time_point Now);
  /// Returns when a caller whose request was not run should retry.
  [[nodiscard]] milliseconds retryAfter(const gate_request &Request,
                                        time_point Now) const;

  [[nodiscard]] size_t inFlight() const { return InFlight; }
  [[nodiscard]] size_t waiting() const { return Queue.size(); }
  /// Maximum number of requests in flight; nullopt = unlimited.
  [[nodiscard]] std::optional<double> limit() const { return Limit; }

private:
  /// Rate of events, or a sum, with exponential decay.
  struct decaying_sum {
    double Sum = 0;
    time_point UpdatedAt;
    void add(double Value, milliseconds Window, time_point Now);
    [[nodiscard]] double at(milliseconds Window, time_point Now) const;
  };
  struct waiting_request {
    gate_request Request;
    time_point Since;
    milliseconds Expected{0};
  };

  [[nodiscard]] bool mayRelease(time_point Now) const;
  [[nodiscard]] double ratePerSecond(const decaying_sum &Events,
                                     time_point Now) const;
  [[nodiscard]] milliseconds expectedWait(const gate_request &Request,
                                          time_point Now) const;
  [[nodiscard]] milliseconds timeNeeded() const;
  void onSend(time_point Now);
  void learnWait(const waiting_request &Waiting, time_point Now);
  void endLimitIfQuiet(time_point Now);

  overload_gate_options Options;
  fair_queue Queue;
  std::unordered_map<uint64_t, waiting_request> Waiting;
  size_t InFlight = 0;
  size_t PeakInFlight = 0;
  size_t FormerPeakInFlight = 0;
  time_point PeakSince;
  std::optional<double> Limit;
  time_point LimitedSince;
  time_point LastFull;
  time_point HeldUntil;
  /// Since the limit was set.
  decaying_sum Completions;
  /// By priority.
  std::map<unsigned, decaying_sum> Arrivals;
  /// Of ended waits, to correct predictions for requests that arrive later and
  /// are served earlier.
  decaying_sum ActualWaitMs;
  decaying_sum ExpectedWaitMs;
  double ServiceMs = 0;
  double ServiceDeviationMs = 0;
};

} // namespace cardamom

#endif // CARDAMOM_POLICY_OVERLOAD_GATE_H
