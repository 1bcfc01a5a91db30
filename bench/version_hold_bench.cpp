/// \file
/// Trainer idle time against staleness when a step starts while new weights are
/// still being rolled out.
///
/// One trainer trains a step while the next one is generated. The upstreams
/// load a published version one after the other over the roll-out time.
/// Samples have a long-tailed length; upstreams differ in speed. Prints, per
/// limit of the wait for the newest weights, the mean idle time per step, the
/// mean staleness (versions, by the oldest token) at the hand-over, and the
/// cost under the weights of both deployments.

#include "policy/version_hold.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>
#include <deque>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace cardamom {
namespace {

struct setup {
  unsigned Upstreams = 9;
  unsigned Slots = 4;
  unsigned Samples = 64;
  unsigned Steps = 200;
  double TrainMs = 60000;
  double RolloutMs = 20000;
  double MeanTokens = 400;
  double FastestMsPerToken = 10;
  double SpeedRange = 4;
  uint64_t Seed = 1;
};

struct slot_state {
  double MsPerToken = 1;
  /// When the upstream of this slot has loaded the newest version.
  double LoadedMs = 0;
  bool Busy = false;
};

struct slot_event {
  double AtMs;
  size_t Slot;
  bool operator>(const slot_event &Other) const { return AtMs > Other.AtMs; }
};

struct summary {
  double IdleMs = 0;
  double Staleness = 0;
};

class step_experiment {
public:
  step_experiment(const setup &S, double HoldMs)
      : S(S), HoldMs(HoldMs), Random(S.Seed) {
    for (unsigned I = 0; I < S.Upstreams; ++I) {
      const double Position = double(I) / std::max(1U, S.Upstreams - 1);
      for (unsigned J = 0; J < S.Slots; ++J)
        Slots.push_back({.MsPerToken = S.FastestMsPerToken *
                                       (1 + Position * (S.SpeedRange - 1))});
    }
  }

  /// Publication and submission of the next step coincide: training of a step
  /// ends, its weights are published, and the step generated meanwhile is
  /// trained next.
  summary run() {
    summary Sum;
    for (unsigned Step = 0; Step < S.Steps; ++Step) {
      publish();
      const double TrainedMs = NowMs + S.TrainMs;
      generate();
      Sum.IdleMs += std::max(0.0, LastFinishMs - TrainedMs);
      NowMs = std::max(TrainedMs, LastFinishMs);
    }
    Sum.IdleMs /= S.Steps;
    Sum.Staleness = double(Old) / (double(S.Steps) * S.Samples) + 1;
    return Sum;
  }

private:
  void publish() {
    std::vector<unsigned> Order(S.Upstreams);
    for (unsigned I = 0; I < S.Upstreams; ++I)
      Order[I] = I;
    std::shuffle(Order.begin(), Order.end(), Random);
    for (size_t I = 0; I < Slots.size(); ++I)
      Slots[I].LoadedMs =
          NowMs + S.RolloutMs * (Order[I / S.Slots] + 1) / S.Upstreams;
    HoldEndMs = NowMs + HoldMs;
  }

  void generate() {
    std::lognormal_distribution<double> Length(std::log(S.MeanTokens) - 0.32,
                                               0.8);
    std::deque<double> Pending;
    for (unsigned I = 0; I < S.Samples; ++I)
      Pending.push_back(Length(Random));
    std::priority_queue<slot_event, std::vector<slot_event>, std::greater<>>
        Free;
    for (size_t I = 0; I < Slots.size(); ++I)
      Free.push({std::min(Slots[I].LoadedMs, std::max(NowMs, HoldEndMs)), I});
    LastFinishMs = NowMs;
    while (!Pending.empty()) {
      const slot_event Next = Free.top();
      Free.pop();
      const slot_state &Slot = Slots[Next.Slot];
      if (Next.AtMs < Slot.LoadedMs)
        ++Old;
      const double Finish = Next.AtMs + Pending.front() * Slot.MsPerToken;
      Pending.pop_front();
      LastFinishMs = std::max(LastFinishMs, Finish);
      Free.push({Finish, Next.Slot});
    }
  }

  setup S;
  double HoldMs;
  std::mt19937_64 Random;
  std::vector<slot_state> Slots;
  double NowMs = 0;
  double HoldEndMs = 0;
  double LastFinishMs = 0;
  uint64_t Old = 0;
};

struct deployment_weights {
  double Idle;
  double Staleness;
};

constexpr deployment_weights Agencia{.Idle = 0.3, .Staleness = 0.7};
constexpr deployment_weights Tidewater{.Idle = 0.7, .Staleness = 0.3};

double cost(const deployment_weights &W, const summary &Sum, const setup &S) {
  return W.Idle * Sum.IdleMs / S.TrainMs + W.Staleness * Sum.Staleness;
}

void report(const std::string &Name, const setup &S, double HoldMs) {
  const summary Sum = step_experiment(S, HoldMs).run();
  std::printf("%-20s hold %6.2f s  idle %7.2f s  staleness %6.3f  cost: "
              "agencia %6.4f  tidewater %6.4f\n",
              Name.c_str(), HoldMs / 1000, Sum.IdleMs / 1000, Sum.Staleness,
              cost(Agencia, Sum, S), cost(Tidewater, Sum, S));
}

double weightedHold(const deployment_weights &W, const setup &S) {
  const double MeanMsPerToken = S.FastestMsPerToken * (1 + S.SpeedRange) / 2;
  const version_hold_input Input{
      .IdleWeight = W.Idle,
      .StalenessWeight = W.Staleness,
      .PublishInterval = milliseconds(long(S.TrainMs)),
      .LoadTime = milliseconds(long(S.RolloutMs / 2)),
      .SampleTime = milliseconds(long(S.MeanTokens * MeanMsPerToken)),
      .Slots = S.Upstreams * S.Slots,
      .Samples = S.Samples};
  return shouldWaitForNewestWeights(Input) ? S.RolloutMs : 0;
}

} // namespace
} // namespace cardamom

int main(int Argc, char **Argv) {
  using namespace cardamom;
  setup S;
  CLI::App App("Idle time against staleness while weights are rolled out");
  App.add_option("--upstreams", S.Upstreams)->check(CLI::Range(1, 1000));
  App.add_option("--slots", S.Slots)->check(CLI::Range(1, 256));
  App.add_option("--samples", S.Samples)->check(CLI::Range(1, 4096));
  App.add_option("--steps", S.Steps)->check(CLI::Range(1, 10000));
  App.add_option("--train-ms", S.TrainMs)->check(CLI::Range(100.0, 1e7));
  App.add_option("--rollout-ms", S.RolloutMs)->check(CLI::Range(0.0, 1e7));
  App.add_option("--seed", S.Seed);
  CLI11_PARSE(App, Argc, Argv);
  for (double Seconds : {0.0, 1.0, 2.0, 5.0, 10.0, 20.0, 35.0})
    report("fixed", S, Seconds * 1000);
  report("weights of agencia", S, weightedHold(Agencia, S));
  report("weights of tidewater", S, weightedHold(Tidewater, S));
  return 0;
}
