/// \file
/// Simulates the trade-off between trainer idle time and staleness when a step
/// starts while new weights are still being rolled out.
///
/// One trainer trains a step while the next one is generated. The upstreams
/// load a published version one after another during the rollout.
/// Sample lengths are long-tailed (log-normal); upstreams differ in speed.
/// Prints, per limit of the wait for the newest weights, the mean idle time per
/// step, the mean staleness at delivery (in versions, by the oldest token), and
/// the cost under the cost weights of both deployments.

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

struct experiment_options {
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
  /// Time at which the upstream of this slot has loaded the newest version.
  double LoadedMs = 0;
  bool Busy = false;
};

struct slot_event {
  double AtMs;
  size_t Slot;
  bool operator>(const slot_event &Other) const { return AtMs > Other.AtMs; }
};

struct experiment_result {
  double IdleMs = 0;
  double Staleness = 0;
};

class step_experiment {
public:
  step_experiment(const experiment_options &Options, double HoldMs)
      : Options(Options), HoldMs(HoldMs), Random(Options.Seed) {
    for (unsigned I = 0; I < Options.Upstreams; ++I) {
      const double Position = double(I) / std::max(1U, Options.Upstreams - 1);
      for (unsigned J = 0; J < Options.Slots; ++J)
        Slots.push_back(
            {.MsPerToken = Options.FastestMsPerToken *
                           (1 + Position * (Options.SpeedRange - 1))});
    }
  }

  /// Publication and submission of the next step coincide: training of a step
  /// ends, its weights are published, and the step generated meanwhile is
  /// trained next.
  experiment_result run() {
    experiment_result Result;
    for (unsigned Step = 0; Step < Options.Steps; ++Step) {
      publish();
      const double TrainedMs = NowMs + Options.TrainMs;
      generate();
      Result.IdleMs += std::max(0.0, LastFinishMs - TrainedMs);
      NowMs = std::max(TrainedMs, LastFinishMs);
    }
    Result.IdleMs /= Options.Steps;
    Result.Staleness =
        double(StaleSamples) / (double(Options.Steps) * Options.Samples) + 1;
    return Result;
  }

private:
  void publish() {
    std::vector<unsigned> LoadOrder(Options.Upstreams);
    for (unsigned I = 0; I < Options.Upstreams; ++I)
      LoadOrder[I] = I;
    std::shuffle(LoadOrder.begin(), LoadOrder.end(), Random);
    for (size_t I = 0; I < Slots.size(); ++I)
      Slots[I].LoadedMs = NowMs + Options.RolloutMs *
                                      (LoadOrder[I / Options.Slots] + 1) /
                                      Options.Upstreams;
    HoldEndMs = NowMs + HoldMs;
  }

  void generate() {
    std::lognormal_distribution<double> Length(
        std::log(Options.MeanTokens) - 0.32, 0.8);
    std::deque<double> Pending;
    for (unsigned I = 0; I < Options.Samples; ++I)
      Pending.push_back(Length(Random));
    std::priority_queue<slot_event, std::vector<slot_event>, std::greater<>>
        FreeSlots;
    for (size_t I = 0; I < Slots.size(); ++I)
      FreeSlots.push(
          {std::min(Slots[I].LoadedMs, std::max(NowMs, HoldEndMs)), I});
    LastFinishMs = NowMs;
    while (!Pending.empty()) {
      const slot_event Next = FreeSlots.top();
      FreeSlots.pop();
      const slot_state &Slot = Slots[Next.Slot];
      if (Next.AtMs < Slot.LoadedMs)
        ++StaleSamples;
      const double Finish = Next.AtMs + Pending.front() * Slot.MsPerToken;
      Pending.pop_front();
      LastFinishMs = std::max(LastFinishMs, Finish);
      FreeSlots.push({Finish, Next.Slot});
    }
  }

  experiment_options Options;
  double HoldMs;
  std::mt19937_64 Random;
  std::vector<slot_state> Slots;
  double NowMs = 0;
  double HoldEndMs = 0;
  double LastFinishMs = 0;
  uint64_t StaleSamples = 0;
};

struct deployment_weights {
  double Idle;
  double Staleness;
};

constexpr deployment_weights Agencia{.Idle = 0.3, .Staleness = 0.7};
constexpr deployment_weights Tidewater{.Idle = 0.7, .Staleness = 0.3};

double cost(const deployment_weights &Weights, const experiment_result &Result,
            const experiment_options &Options) {
  return Weights.Idle * Result.IdleMs / Options.TrainMs +
         Weights.Staleness * Result.Staleness;
}

void report(const std::string &Name, const experiment_options &Options,
            double HoldMs) {
  const experiment_result Result = step_experiment(Options, HoldMs).run();
  std::printf("%-20s hold %6.2f s  idle %7.2f s  staleness %6.3f  cost: "
              "agencia %6.4f  tidewater %6.4f\n",
              Name.c_str(), HoldMs / 1000, Result.IdleMs / 1000,
              Result.Staleness, cost(Agencia, Result, Options),
              cost(Tidewater, Result, Options));
}

double weightedHold(const deployment_weights &Weights,
                    const experiment_options &Options) {
  const double MeanMsPerToken =
      Options.FastestMsPerToken * (1 + Options.SpeedRange) / 2;
  const version_hold_input Input{
      .IdleWeight = Weights.Idle,
      .StalenessWeight = Weights.Staleness,
      .PublishInterval = milliseconds(long(Options.TrainMs)),
      .LoadTime = milliseconds(long(Options.RolloutMs / 2)),
      .SampleTime = milliseconds(long(Options.MeanTokens * MeanMsPerToken)),
      .Slots = Options.Upstreams * Options.Slots,
      .Samples = Options.Samples};
  return shouldWaitForNewestWeights(Input) ? Options.RolloutMs : 0;
}

} // namespace
} // namespace cardamom

int main(int Argc, char **Argv) {
  using namespace cardamom;
  experiment_options Options;
  CLI::App App("Trade-off of idle time and staleness during a weight rollout");
  App.add_option("--upstreams", Options.Upstreams)->check(CLI::Range(1, 1000));
  App.add_option("--slots", Options.Slots)->check(CLI::Range(1, 256));
  App.add_option("--samples", Options.Samples)->check(CLI::Range(1, 4096));
  App.add_option("--steps", Options.Steps)->check(CLI::Range(1, 10000));
  App.add_option("--train-ms", Options.TrainMs)->check(CLI::Range(100.0, 1e7));
  App.add_option("--rollout-ms", Options.RolloutMs)
      ->check(CLI::Range(0.0, 1e7));
  App.add_option("--seed", Options.Seed);
  CLI11_PARSE(App, Argc, Argv);
  for (double Seconds : {0.0, 1.0, 2.0, 5.0, 10.0, 20.0, 35.0})
    report("fixed", Options, Seconds * 1000);
  report("weights of agencia", Options, weightedHold(Agencia, Options));
  report("weights of tidewater", Options, weightedHold(Tidewater, Options));
  return 0;
}
