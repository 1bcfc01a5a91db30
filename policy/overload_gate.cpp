#include "policy/overload_gate.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cardamom {

/// Weight of a new service time in the average, as for round-trip times in TCP.
static constexpr double ServiceSmoothing = 0.125;
/// Priorities above this one share a part of the window of Retry-After; the
/// lowest priority of the wire format.
static constexpr unsigned LowestPriority = 9;
/// Callers honour Retry-After up to this fraction of their time left.
static constexpr double RetryAfterFraction = 1.0 / 3;
/// Bounds on the correction of predicted waits, against samples of few waits.
static constexpr double MinCorrection = 0.5;
static constexpr double MaxCorrection = 4;
/// Part of the completions that is assumed to remain for a less urgent
/// priority; bounds the predicted wait.
static constexpr double MinRateFraction = 0.05;

/// After a refusal nothing is sent for this many mean intervals between
/// completions, so that a request usually waits for a completion.
static constexpr double HoldIntervals = 4;

static double toMs(steady_clock::duration Duration) {
  return std::chrono::duration<double, std::milli>(Duration).count();
}

void overload_gate::decaying_sum::add(double Value, milliseconds Window,
                                      time_point Now) {
  Sum = at(Window, Now) + Value;
  UpdatedAt = std::max(UpdatedAt, Now);
}

double overload_gate::decaying_sum::at(milliseconds Window,
                                       time_point Now) const {
  if (Sum == 0)
    return 0;
  return Sum * std::exp(-std::max(0.0, toMs(Now - UpdatedAt)) / toMs(Window));
}

overload_gate::overload_gate(overload_gate_options Options)
    : Options(std::move(Options)), Queue({}) {}

double overload_gate::ratePerSecond(const decaying_sum &Events,
                                    time_point Now) const {
  const double WindowMs = toMs(Options.RateWindow);
  // Events are counted from the start of the limit only.
  const double AgeMs = std::max(1.0, toMs(Now - LimitedSince));
  return 1000 * Events.at(Options.RateWindow, Now) /
         (WindowMs * (1 - std::exp(-AgeMs / WindowMs)));
}

bool overload_gate::mayRelease(time_point Now) const {
  return !Limit || (Now >= HeldUntil && double(InFlight) + 1 <= *Limit);
}

milliseconds overload_gate::timeNeeded() const {
  return milliseconds(long(ServiceMs + ServiceDeviationMs));
}

milliseconds overload_gate::expectedWait(const gate_request &Request,
                                         time_point Now) const {
  const double Rate = ratePerSecond(Completions, Now);
  if (Rate <= 0)
    return milliseconds(0);
  double MoreUrgent = 0;
  for (const auto &[Priority, Events] : Arrivals)
    if (Priority < Request.Priority)
      MoreUrgent += ratePerSecond(Events, Now);
  const double Available = std::max(Rate * MinRateFraction, Rate - MoreUrgent);
  const double Entries =
      double(Queue.ahead(Request.Tenant, Request.Priority, 1)) + 1;
  return milliseconds(long(1000 * Entries / Available));
}

static double correction(double ActualMs, double ExpectedMs) {
  if (ExpectedMs <= 0)
    return 1;
  return std::clamp(ActualMs / ExpectedMs, MinCorrection, MaxCorrection);
}

milliseconds overload_gate::retryAfter(const gate_request &Request,
                                       time_point Now) const {
  const double Random = Options.Random ? Options.Random() : 0;
  const double MinMs = toMs(Options.MinRetryAfter);
  const double Correction =
      correction(ActualWaitMs.at(Options.RateWindow, Now),
                 ExpectedWaitMs.at(Options.RateWindow, Now));
  const double FromMs =
      std::max(MinMs, toMs(expectedWait(Request, Now)) * Correction);
  const double LongestMs =
      std::max(0.0, toMs(Request.Deadline - Now)) * RetryAfterFraction;
  if (2 * FromMs <= LongestMs)
    return milliseconds(long(FromMs * (1 + Random)));
  // The window is the last three quarters of the longest time; more urgent
  // requests get an earlier part of it.
  const double Rank =
      double(std::min(Request.Priority, LowestPriority)) / LowestPriority;
  return milliseconds(long(LongestMs * (0.25 + 0.45 * Rank + 0.3 * Random)));
}

void overload_gate::endLimitIfQuiet(time_point Now) {
  if (!Limit || Now - LastFull < Options.QuietTime)
    return;
  Limit.reset();
  Completions = {};
  Arrivals.clear();
  ActualWaitMs = {};
  ExpectedWaitMs = {};
}

gate_decision overload_gate::offer(const gate_request &Request,
                                   time_point Now) {
  endLimitIfQuiet(Now);
  if (Limit)
    Arrivals[Request.Priority].add(1, Options.RateWindow, Now);
  if (Queue.size() == 0 && mayRelease(Now)) {
    onSend(Now);
    return {.Id = Request.Id, .Verdict = gate_verdict::Send};
  }
  const milliseconds Expected = expectedWait(Request, Now);
  const double Correction =
      correction(ActualWaitMs.at(Options.RateWindow, Now),
                 ExpectedWaitMs.at(Options.RateWindow, Now));
  const time_point LatestStart = Request.Deadline - timeNeeded();
  const auto CorrectedWait =
      std::chrono::microseconds(long(toMs(Expected) * Correction * 1000));
  if (Now + CorrectedWait > LatestStart || LatestStart <= Now ||
      Queue.size() >= Options.MaxWaiting ||
      !Queue.push({.Id = Request.Id,
                   .Tenant = Request.Tenant,
                   .Priority = Request.Priority,
                   .Deadline = LatestStart},
                  Now))
    return {.Id = Request.Id,
            .Verdict = gate_verdict::Refuse,
            .RetryAfter = retryAfter(Request, Now)};
  Waiting.emplace(
      Request.Id,
      waiting_request{.Request = Request, .Since = Now, .Expected = Expected});
  return {.Id = Request.Id, .Verdict = gate_verdict::Wait};
}

void overload_gate::onSend(time_point Now) {
  ++InFlight;
  if (Now - PeakSince >= Options.PeakTime) {
    FormerPeakInFlight =
        Now - PeakSince >= 2 * Options.PeakTime ? 0 : PeakInFlight;
    PeakInFlight = 0;
    PeakSince = Now;
  }
  PeakInFlight = std::max(PeakInFlight, InFlight);
}

void overload_gate::learnWait(const waiting_request &Ended, time_point Now) {
  ActualWaitMs.add(toMs(Now - Ended.Since), Options.RateWindow, Now);
  ExpectedWaitMs.add(toMs(Ended.Expected), Options.RateWindow, Now);
}

std::vector<gate_decision> overload_gate::poll(time_point Now) {
  endLimitIfQuiet(Now);
  std::vector<gate_decision> Decisions;
  const auto Decide = [&](uint64_t Id, gate_verdict Verdict) {
    const auto It = Waiting.find(Id);
    const waiting_request Ended = std::move(It->second);
    Waiting.erase(It);
    learnWait(Ended, Now);
    Decisions.push_back(
        {.Id = Id,
         .Verdict = Verdict,
         .Waited = std::chrono::duration_cast<milliseconds>(Now - Ended.Since),
         .RetryAfter = Verdict == gate_verdict::Refuse
                           ? retryAfter(Ended.Request, Now)
                           : milliseconds(0)});
  };
  for (const uint64_t Id : Queue.expire(Now))
    Decide(Id, gate_verdict::Refuse);
  while (mayRelease(Now)) {
    const auto Id = Queue.pop(Now);
    if (!Id)
      break;
    onSend(Now);
    Decide(*Id, gate_verdict::Send);
  }
  return Decisions;
}

std::optional<time_point> overload_gate::nextCheckAt() const {
  std::optional<time_point> Next = Queue.nextDeadline();
  if (!Next || !Limit)
    return Next;
  Next = std::min(*Next, LastFull + Options.QuietTime);
  if (double(InFlight) + 1 <= *Limit)
    Next = std::min(*Next, HeldUntil);
  return Next;
}

void overload_gate::onFull(time_point Now) {
  LastFull = Now;
  const double Rate = ratePerSecond(Completions, Now);
  HeldUntil = Now + Options.HoldTime;
  if (Rate > 0)
    HeldUntil += std::min(Options.MaxHoldTime,
                          milliseconds(long(HoldIntervals * 1000 / Rate)));
  if (!Limit)
    LimitedSince = Now;
  const double Current =
      Limit.value_or(double(std::max(PeakInFlight, FormerPeakInFlight)));
  Limit = std::max(1.0, Current * Options.DecreaseFactor);
}

void overload_gate::onEnd(std::optional<milliseconds> Elapsed, time_point Now) {
  const bool WindowUsed = Limit && double(InFlight) + 1 > *Limit;
  if (InFlight > 0)
    --InFlight;
  if (!Elapsed)
    return;
  const double Ms = toMs(*Elapsed);
  if (ServiceMs == 0) {
    ServiceMs = Ms;
  } else {
    ServiceDeviationMs +=
        ServiceSmoothing * (std::abs(Ms - ServiceMs) - ServiceDeviationMs);
    ServiceMs += ServiceSmoothing * (Ms - ServiceMs);
  }
  if (!Limit)
    return;
  HeldUntil = Now;
  Completions.add(1, Options.RateWindow, Now);
  if (WindowUsed)
    *Limit += Now - LastFull >= Options.FastIncreaseAfter ? 1.0 : 1.0 / *Limit;
}

bool overload_gate::remove(uint64_t Id, time_point Now) {
  Waiting.erase(Id);
  return Queue.remove(Id, Now);
}

} // namespace cardamom
