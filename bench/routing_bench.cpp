/// \file
/// Compares routing policies over one random stream of requests per seed.
///
/// Each upstream is a queue with a number of slots and its own speed; several
/// entries see load reports that are up to one report interval old. Prints one
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

struct experiment {
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

/// Chooses an upstream for the request as one entry sees them.
using policy_function = std::function<size_t(
    unsigned Entry, const pending_request &Request,
    const std::vector<upstream_view> &Views, double NowMs)>;

class routing_experiment {
public:
  explicit routing_experiment(const experiment &E)
      : E(E), Random(E.Seed), Upstreams(E.Upstreams) {
    double Capacity = 0;
    for (unsigned I = 0; I < E.Upstreams; ++I) {
      const double Position =
          E.Upstreams == 1 ? 0 : double(I) / (E.Upstreams - 1);
      Upstreams[I].MsPerWork = 1 + Position * (E.SpeedRange - 1);
      Capacity += E.Slots / Upstreams[I].MsPerWork;
    }
    MeanGapMs = MeanWork / (Capacity * E.Load);
  }

  /// Runs all requests; latencies in ms in the order of completion.
  std::vector<double> run(const policy_function &Pick,
                          std::vector<router> *Routers) {
    Policy = &Pick;
    this->Routers = Routers;
    scheduleArrival(0);
    Events.push({.AtMs = 0, .Kind = event_kind::Report});
    while (Latencies.size() < E.Requests) {
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
    for (const simulated_upstream &U : Upstreams) {
      Capacity += 1 / U.MsPerWork;
      Served += double(U.Served);
    }
    double Largest = 0;
    for (const simulated_upstream &U : Upstreams)
      Largest = std::max(Largest, (double(U.Served) / Served) /
                                      ((1 / U.MsPerWork) / Capacity));
    return Largest;
  }

private:
  void scheduleArrival(double AfterMs) {
    if (Created++ == E.Requests)
      return;
    std::exponential_distribution<double> Gap(1 / MeanGapMs);
    std::lognormal_distribution<double> Work(std::log(MeanWork) - 0.18, 0.6);
    std::uniform_real_distribution<double> Unit(0, 1);
    std::uniform_int_distribution<uint64_t> Cold(2, 1000000);
    pending_request Request;
    Request.Work = Work(Random);
    Request.Prefix = Unit(Random) < E.HotPrefix ? 1 : Cold(Random);
    Request.ArrivedMs = AfterMs + Gap(Random);
    Request.Entry = Unit(Random) < E.FirstEntryShare
                        ? 0
                        : unsigned(Unit(Random) * E.Entries);
    Events.push({.AtMs = Request.ArrivedMs,
                 .Kind = event_kind::Arrival,
                 .Request = Request});
  }

  void handle(const event &Next) {
    switch (Next.Kind) {
    case event_kind::Report:
      for (simulated_upstream &U : Upstreams) {
        U.ReportedRunning = U.Running;
        U.ReportedQueued = unsigned(U.Queue.size());
      }
      ReportedMs = NowMs;
      Events.push({.AtMs = NowMs + E.ReportMs, .Kind = event_kind::Report});
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
    simulated_upstream &U = Upstreams[Index];
    while (U.Running < E.Slots && !U.Queue.empty()) {
      const pending_request Request = U.Queue.front();
      U.Queue.pop_front();
      ++U.Running;
      auto &Cached = U.CachedPrefixes;
      const auto Hit = std::find(Cached.begin(), Cached.end(), Request.Prefix);
      const double Saved = Hit != Cached.end() ? PrefixSaving : 0;
      if (Hit != Cached.end())
        Cached.erase(Hit);
      Cached.push_back(Request.Prefix);
      if (Cached.size() > CachedPrefixLimit)
        Cached.pop_front();
      Events.push({.AtMs = NowMs + Request.Work * (1 - Saved) * U.MsPerWork,
                   .Kind = event_kind::Finish,
                   .Upstream = Index,
                   .Request = Request,
                   .StartedMs = NowMs});
    }
  }

  void finish(const event &Next) {
    simulated_upstream &U = Upstreams[Next.Upstream];
    --U.Running;
    ++U.Served;
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
      Views[I].Slots = E.Slots;
      Views[I].Running = Upstreams[I].ReportedRunning;
      Views[I].Queued = Upstreams[I].ReportedQueued;
      Views[I].LoadReportedAt = toTime(ReportedMs);
    }
    return Views;
  }

public:
  static std::string name(size_t Index) { return "u" + std::to_string(Index); }

  static route_request routeRequest(const pending_request &Request) {
    // Callers know the limit of tokens, not the length of the answer.
    return {.Work = MeanWork, .PrefixHash = Request.Prefix};
  }

private:
  experiment E;
  std::mt19937_64 Random;
  std::vector<simulated_upstream> Upstreams;
  std::priority_queue<event, std::vector<event>, std::greater<>> Events;
  std::vector<double> Latencies;
  const policy_function *Policy = nullptr;
  std::vector<router> *Routers = nullptr;
  double MeanGapMs = 1;
  double NowMs = 0;
  double ReportedMs = 0;
  unsigned Created = 0;
};

double quantile(std::vector<double> Values, double Q) {
  const size_t Index = size_t(Q * double(Values.size() - 1));
  std::nth_element(Values.begin(), Values.begin() + long(Index), Values.end());
  return Values[Index];
}

void report(const char *Name, const experiment &E, const policy_function &Pick,
            std::vector<router> *Routers) {
  routing_experiment Run(E);
  const std::vector<double> Latencies = Run.run(Pick, Routers);
  double Sum = 0;
  for (double L : Latencies)
    Sum += L;
  std::printf("%-22s mean %8.1f  p50 %8.1f  p99 %9.1f  share %5.2f\n", Name,
              Sum / double(Latencies.size()), quantile(Latencies, 0.5),
              quantile(Latencies, 0.99), Run.largestRelativeShare());
}

void runPredicted(const char *Name, const experiment &E,
                  const router_options &Base) {
  std::mt19937_64 Random(E.Seed + 1);
  std::uniform_real_distribution<double> Unit(0, 1);
  std::vector<router> Routers;
  for (unsigned I = 0; I < E.Entries; ++I) {
    router_options Options = Base;
    Options.Random = [&] { return Unit(Random); };
    Routers.emplace_back(std::move(Options));
  }
  policy_function Pick = [&](unsigned Entry, const pending_request &Request,
                             const std::vector<upstream_view> &Views,
                             double NowMs) {
    return *Routers[Entry].pick(routing_experiment::routeRequest(Request),
                                Views, toTime(NowMs));
  };
  report(Name, E, Pick, &Routers);
}

void runBaselines(const experiment &E) {
  std::mt19937_64 Random(E.Seed + 1);
  auto Index = [&](size_t Count) {
    return std::uniform_int_distribution<size_t>(0, Count - 1)(Random);
  };
  auto Load = [](const upstream_view &V) { return V.Running + V.Queued; };
  report(
      "random", E,
      [&](unsigned, const pending_request &,
          const std::vector<upstream_view> &V,
          double) { return Index(V.size()); },
      nullptr);
  std::vector<size_t> Next(E.Entries);
  report(
      "round robin", E,
      [&](unsigned Entry, const pending_request &,
          const std::vector<upstream_view> &V,
          double) { return Next[Entry]++ % V.size(); },
      nullptr);
  report(
      "least reported", E,
      [&](unsigned, const pending_request &,
          const std::vector<upstream_view> &V, double) {
        const size_t Start = Index(V.size());
        size_t Best = Start;
        for (size_t I = 0; I < V.size(); ++I) {
          const size_t At = (Start + I) % V.size();
          if (Load(V[At]) < Load(V[Best]))
            Best = At;
        }
        return Best;
      },
      nullptr);
  report(
      "two choices", E,
      [&](unsigned, const pending_request &,
          const std::vector<upstream_view> &V, double) {
        const size_t A = Index(V.size());
        const size_t B = Index(V.size());
        return Load(V[A]) <= Load(V[B]) ? A : B;
      },
      nullptr);
}

} // namespace
} // namespace cardamom

int main(int Argc, char **Argv) {
  using namespace cardamom;
  experiment E;
  CLI::App App("Compares routing policies over a random stream of requests");
  App.add_option("--upstreams", E.Upstreams)->check(CLI::Range(1, 1000));
  App.add_option("--entries", E.Entries)->check(CLI::Range(1, 400));
  App.add_option("--slots", E.Slots)->check(CLI::Range(1, 256));
  App.add_option("--load", E.Load)->check(CLI::Range(0.05, 0.99));
  App.add_option("--requests", E.Requests)->check(CLI::Range(100, 1000000));
  App.add_option("--report-ms", E.ReportMs)->check(CLI::Range(10, 60000));
  App.add_option("--speed-range", E.SpeedRange)->check(CLI::Range(1.0, 50.0));
  App.add_option("--hot-prefix", E.HotPrefix)->check(CLI::Range(0.0, 1.0));
  App.add_option("--first-entry-share", E.FirstEntryShare)
      ->check(CLI::Range(0.0, 1.0));
  App.add_option("--seed", E.Seed);
  CLI11_PARSE(App, Argc, Argv);
  runBaselines(E);
  runPredicted("predicted finish", E, {});
  runPredicted("predicted, no prefix", E, {.CachedPrefixSaving = 0});
  runPredicted("  scaled by entries", E, {.EntryCount = double(E.Entries)});
  runPredicted("  and 6 candidates", E,
               {.SampleSize = 6, .EntryCount = double(E.Entries)});
  return 0;
}
