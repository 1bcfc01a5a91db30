/// \file
/// Simulates routing policies on the same random request stream per seed.
///
/// Each upstream is a multi-server queue with its own speed. Entries see load
/// reports that are up to one report interval old. Prints one
/// line per policy: mean, p50 and p99 latency in ms, and the largest share of
/// requests that one upstream received relative to its share of capacity.

#include "policy/router.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>
#include <deque>
#include <queue>
#include <random>

namespace cardamom {
namespace {

struct experiment_options {
  unsigned Upstreams = 12;
  unsigned Entries = 3;
  unsigned Slots = 4;
  double Load = 0.7;
  unsigned Requests = 20000;
  unsigned ReportMs = 500;
  /// Ratio of the slowest to the fastest upstream.
  double SpeedRange = 6;
  /// Fraction of requests that share one prompt prefix.
  double HotPrefix = 0;
  /// Fraction of requests that arrive at the first entry; 0 = equal shares.
  double FirstEntryShare = 0;
  uint64_t Seed = 1;
};

struct pending_request {
  double Work = 1;
  uint64_t Prefix = 0;
  double ArrivedMs = 0;
  unsigned Entry = 0;
};

struct simulated_upstream {
  double MsPerWork = 1;
  unsigned Running = 0;
  std::deque<pending_request> Queue;
  std::deque<uint64_t> CachedPrefixes;
  unsigned ReportedRunning = 0;
  unsigned ReportedQueued = 0;
  uint64_t Served = 0;
};

enum class event_kind { Arrival, Finish, Report };

struct event {
  double AtMs;
  event_kind Kind;
  size_t Upstream = 0;
  pending_request Request;
  double StartedMs = 0;
  bool operator>(const event &Other) const { return AtMs > Other.AtMs; }
};

constexpr size_t CachedPrefixLimit = 16;
constexpr double PrefixSaving = 0.3;
constexpr double MeanWork = 100;

time_point toTime(double Ms) {
  return time_point() + std::chrono::duration_cast<steady_clock::duration>(
                            std::chrono::duration<double, std::milli>(Ms));
}

/// Returns the index of the upstream for a request, given one entry's view.
using policy_function = std::function<size_t(
    unsigned Entry, const pending_request &Request,
    const std::vector<upstream_view> &Views, double NowMs)>;

class routing_experiment {
public:
  explicit routing_experiment(const experiment_options &Options)
      : Options(Options), Random(Options.Seed), Upstreams(Options.Upstreams) {
    double Capacity = 0;
    for (unsigned I = 0; I < Options.Upstreams; ++I) {
      const double Position =
          Options.Upstreams == 1 ? 0 : double(I) / (Options.Upstreams - 1);
      Upstreams[I].MsPerWork = 1 + Position * (Options.SpeedRange - 1);
      Capacity += Options.Slots / Upstreams[I].MsPerWork;
    }
    MeanGapMs = MeanWork / (Capacity * Options.Load);
  }

  /// Runs all requests and returns their latencies in ms in completion order.
  std::vector<double> run(const policy_function &PickUpstream,
                          std::vector<router> *Routers) {
    Policy = &PickUpstream;
    this->Routers = Routers;
    scheduleArrival(0);
    Events.push({.AtMs = 0, .Kind = event_kind::Report});
    while (Latencies.size() < Options.Requests) {
      event Next = Events.top();
      Events.pop();
      NowMs = Next.AtMs;
      handle(Next);
    }
    return Latencies;
  }

  [[nodiscard]] double largestRelativeShare() const {
    double Capacity = 0;
    double Served = 0;
    for (const simulated_upstream &Upstream : Upstreams) {
      Capacity += 1 / Upstream.MsPerWork;
      Served += double(Upstream.Served);
    }
    double Largest = 0;
    for (const simulated_upstream &Upstream : Upstreams)
      Largest = std::max(Largest, (double(Upstream.Served) / Served) /
                                      ((1 / Upstream.MsPerWork) / Capacity));
    return Largest;
  }

private:
  void scheduleArrival(double AfterMs) {
    if (CreatedRequests++ == Options.Requests)
      return;
    std::exponential_distribution<double> Gap(1 / MeanGapMs);
    std::lognormal_distribution<double> Work(std::log(MeanWork) - 0.18, 0.6);
    std::uniform_real_distribution<double> Unit(0, 1);
    std::uniform_int_distribution<uint64_t> ColdPrefix(2, 1000000);
    pending_request Request;
    Request.Work = Work(Random);
    Request.Prefix = Unit(Random) < Options.HotPrefix ? 1 : ColdPrefix(Random);
    Request.ArrivedMs = AfterMs + Gap(Random);
    Request.Entry = Unit(Random) < Options.FirstEntryShare
                        ? 0
                        : unsigned(Unit(Random) * Options.Entries);
    Events.push({.AtMs = Request.ArrivedMs,
                 .Kind = event_kind::Arrival,
                 .Request = Request});
  }

  void handle(const event &Next) {
    switch (Next.Kind) {
    case event_kind::Report:
      for (simulated_upstream &Upstream : Upstreams) {
        Upstream.ReportedRunning = Upstream.Running;
        Upstream.ReportedQueued = unsigned(Upstream.Queue.size());
      }
      ReportedMs = NowMs;
      Events.push(
          {.AtMs = NowMs + Options.ReportMs, .Kind = event_kind::Report});
      return;
    case event_kind::Arrival:
      arrive(Next.Request);
      return;
    case event_kind::Finish:
      finish(Next);
      return;
    }
  }

  void arrive(const pending_request &Request) {
    const size_t Chosen = (*Policy)(Request.Entry, Request, views(), NowMs);
    if (Routers)
      (*Routers)[Request.Entry].onDispatch(name(Chosen), routeRequest(Request),
                                           toTime(NowMs));
    Upstreams[Chosen].Queue.push_back(Request);
    startQueued(Chosen);
    scheduleArrival(NowMs);
  }

  void startQueued(size_t Index) {
    simulated_upstream &Upstream = Upstreams[Index];
    while (Upstream.Running < Options.Slots && !Upstream.Queue.empty()) {
      const pending_request Request = Upstream.Queue.front();
      Upstream.Queue.pop_front();
      ++Upstream.Running;
      auto &Cached = Upstream.CachedPrefixes;
      const auto Hit = std::find(Cached.begin(), Cached.end(), Request.Prefix);
      const double Saved = Hit != Cached.end() ? PrefixSaving : 0;
      if (Hit != Cached.end())
        Cached.erase(Hit);
      Cached.push_back(Request.Prefix);
      if (Cached.size() > CachedPrefixLimit)
        Cached.pop_front();
      Events.push(
          {.AtMs = NowMs + Request.Work * (1 - Saved) * Upstream.MsPerWork,
           .Kind = event_kind::Finish,
           .Upstream = Index,
           .Request = Request,
           .StartedMs = NowMs});
    }
  }

  void finish(const event &Next) {
    simulated_upstream &Upstream = Upstreams[Next.Upstream];
    --Upstream.Running;
    ++Upstream.Served;
    Latencies.push_back(NowMs - Next.Request.ArrivedMs);
    if (Routers)
      (*Routers)[Next.Request.Entry].onFinish(
          name(Next.Upstream), routeRequest(Next.Request),
          milliseconds(long(NowMs - Next.StartedMs)), toTime(NowMs));
    startQueued(Next.Upstream);
  }

  [[nodiscard]] std::vector<upstream_view> views() const {
    std::vector<upstream_view> Views(Upstreams.size());
    for (size_t I = 0; I < Views.size(); ++I) {
      Views[I].Name = name(I);
      Views[I].Connected = true;
      Views[I].Slots = Options.Slots;
      Views[I].Running = Upstreams[I].ReportedRunning;
      Views[I].Queued = Upstreams[I].ReportedQueued;
      Views[I].LoadReportedAt = toTime(ReportedMs);
    }
    return Views;
  }

public:
  static std::string name(size_t Index) { return "u" + std::to_string(Index); }

  static route_request routeRequest(const pending_request &Request) {
    // Clients know the token limit, not the actual length of the response.
    return {.Work = MeanWork, .PrefixHash = Request.Prefix};
  }

private:
  experiment_options Options;
  std::mt19937_64 Random;
  std::vector<simulated_upstream> Upstreams;
  std::priority_queue<event, std::vector<event>, std::greater<>> Events;
  std::vector<double> Latencies;
  const policy_function *Policy = nullptr;
  std::vector<router> *Routers = nullptr;
  double MeanGapMs = 1;
  double NowMs = 0;
  double ReportedMs = 0;
  unsigned CreatedRequests = 0;
};

double quantile(std::vector<double> Values, double Q) {
  const size_t Index = size_t(Q * double(Values.size() - 1));
  std::nth_element(Values.begin(), Values.begin() + long(Index), Values.end());
  return Values[Index];
}

void report(const char *Name, const experiment_options &Options,
            const policy_function &PickUpstream, std::vector<router> *Routers) {
  routing_experiment Run(Options);
  const std::vector<double> Latencies = Run.run(PickUpstream, Routers);
  double Sum = 0;
  for (double L : Latencies)
    Sum += L;
  std::printf("%-22s mean %8.1f  p50 %8.1f  p99 %9.1f  share %5.2f\n", Name,
              Sum / double(Latencies.size()), quantile(Latencies, 0.5),
              quantile(Latencies, 0.99), Run.largestRelativeShare());
}

void runPredicted(const char *Name, const experiment_options &Options,
                  const router_options &Base) {
  std::mt19937_64 Random(Options.Seed + 1);
  std::uniform_real_distribution<double> Unit(0, 1);
  std::vector<router> Routers;
  for (unsigned I = 0; I < Options.Entries; ++I) {
    router_options RouterOptions = Base;
    RouterOptions.Random = [&] { return Unit(Random); };
    Routers.emplace_back(std::move(RouterOptions));
  }
  policy_function PickUpstream =
      [&](unsigned Entry, const pending_request &Request,
          const std::vector<upstream_view> &Views, double NowMs) {
        return *Routers[Entry].pick(routing_experiment::routeRequest(Request),
                                    Views, toTime(NowMs));
      };
  report(Name, Options, PickUpstream, &Routers);
}

void runBaselines(const experiment_options &Options) {
  std::mt19937_64 Random(Options.Seed + 1);
  auto Index = [&](size_t Count) {
    return std::uniform_int_distribution<size_t>(0, Count - 1)(Random);
  };
  auto Load = [](const upstream_view &View) {
    return View.Running + View.Queued;
  };
  report(
      "random", Options,
      [&](unsigned, const pending_request &,
          const std::vector<upstream_view> &Views,
          double) { return Index(Views.size()); },
      nullptr);
  std::vector<size_t> Next(Options.Entries);
  report(
      "round robin", Options,
      [&](unsigned Entry, const pending_request &,
          const std::vector<upstream_view> &Views,
          double) { return Next[Entry]++ % Views.size(); },
      nullptr);
  report(
      "least reported", Options,
      [&](unsigned, const pending_request &,
          const std::vector<upstream_view> &Views, double) {
        const size_t Start = Index(Views.size());
        size_t Best = Start;
        for (size_t I = 0; I < Views.size(); ++I) {
          const size_t At = (Start + I) % Views.size();
          if (Load(Views[At]) < Load(Views[Best]))
            Best = At;
        }
        return Best;
      },
      nullptr);
  report(
      "two choices", Options,
      [&](unsigned, const pending_request &,
          const std::vector<upstream_view> &Views, double) {
        const size_t A = Index(Views.size());
        const size_t B = Index(Views.size());
        return Load(Views[A]) <= Load(Views[B]) ? A : B;
      },
      nullptr);
}

} // namespace
} // namespace cardamom

int main(int Argc, char **Argv) {
  using namespace cardamom;
  experiment_options Options;
  CLI::App App("Compares routing policies on a random request stream");
  App.add_option("--upstreams", Options.Upstreams)->check(CLI::Range(1, 1000));
  App.add_option("--entries", Options.Entries)->check(CLI::Range(1, 400));
  App.add_option("--slots", Options.Slots)->check(CLI::Range(1, 256));
  App.add_option("--load", Options.Load)->check(CLI::Range(0.05, 0.99));
  App.add_option("--requests", Options.Requests)
      ->check(CLI::Range(100, 1000000));
  App.add_option("--report-ms", Options.ReportMs)->check(CLI::Range(10, 60000));
  App.add_option("--speed-range", Options.SpeedRange)
      ->check(CLI::Range(1.0, 50.0));
  App.add_option("--hot-prefix", Options.HotPrefix)
      ->check(CLI::Range(0.0, 1.0));
  App.add_option("--first-entry-share", Options.FirstEntryShare)
      ->check(CLI::Range(0.0, 1.0));
  App.add_option("--seed", Options.Seed);
  CLI11_PARSE(App, Argc, Argv);
  runBaselines(Options);
  runPredicted("predicted finish", Options, {});
  runPredicted("predicted, no prefix", Options, {.CachedPrefixSaving = 0});
  runPredicted("  scaled by entries", Options,
               {.EntryCount = double(Options.Entries)});
  runPredicted("  and 6 candidates", Options,
               {.SampleSize = 6, .EntryCount = double(Options.Entries)});
  return 0;
}
