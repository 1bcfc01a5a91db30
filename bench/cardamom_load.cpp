/// \file
/// Load generator. Sends calls to the system and, alternating in the same run,
/// directly to an emulator, and prints the overhead of the system. Both targets
/// are measured under the same machine load, so that the ratios are comparable
/// between runs.

#include "bench/arrival_schedule.h"
#include "bench/load_client.h"
#include "bench/load_stats.h"
#include "bench/process_usage.h"
#include "standins/deposit_audit.h"

#include <CLI/CLI.hpp>
#include <atomic>
#include <cstdio>
#include <iostream>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>

namespace bench {

namespace {

using nlohmann::json;
using seconds = std::chrono::duration<double>;
using milliseconds_f = standins::fractional_ms;

/// Bounds on the delay before a retry. A response without a retry-after hint is
/// retried after the minimum.
constexpr milliseconds MinRetryDelay{50};
constexpr milliseconds MaxRetryDelay{2000};

struct load_options {
  std::vector<std::string> Targets;
  std::vector<std::string> Direct;
  call_plan Plan;
  uint64_t Requests = 1000;
  double Seconds = 30;
  int Threads = 8;
  double Rate = 0;
  int Retries = 0;
  /// Maximum number of retries of a deposit (a non-idempotent call). Each retry
  /// is sent to the next entry process.
  int DepositRetries = 10;
  int Rounds = 5;
  int TimeoutMs = 30'000;
  /// Correct responses up to this latency count as within the deadline.
  int DeadlineMs = 30'000;
  std::vector<int> Pids;
  uint64_t Deposits = 0;
  std::string DepositPath = "/deposits";
  std::vector<std::string> RunSources;
  bool Json = false;
};

struct process_usage_total {
  int Pid = 0;
  double CpuSeconds = 0;
  double MaxResidentMiB = 0;
};

/// Unique across runs, threads and calls.
std::string uniqueCallId(int Thread, uint64_t Number) {
  static const uint64_t Run = std::random_device()();
  return std::to_string(Run) + "-" + std::to_string(Thread) + "-" +
         std::to_string(Number);
}

/// Rotates the entries, so that each thread starts with a different one.
std::vector<std::string> rotateEntries(std::vector<std::string> Entries,
                                       int By) {
  std::rotate(Entries.begin(), Entries.begin() + By % std::ssize(Entries),
              Entries.end());
  return Entries;
}

milliseconds retryDelay(const call_result &Result) {
  return std::clamp(Result.RetryAfter, MinRetryDelay, MaxRetryDelay);
}

/// Generates load on one target, in slices that alternate with those of the
/// other target.
class load_generator {
public:
  load_generator(const load_options &Options,
                 const std::vector<std::string> &Entries, bool Direct)
      : Options(Options) {
    for (int I = 0; I < Options.Threads; ++I)
      Clients.push_back(std::make_unique<load_client>(
          rotateEntries(Entries, I), Direct, milliseconds(Options.TimeoutMs)));
    for (int Pid : Options.Pids)
      Processes.push_back({.Pid = Pid});
  }

  void runSlice(uint64_t Requests, double SliceSeconds) {
    std::vector<process_usage> Before = readUsage();
    time_point Begin = steady_clock::now();
    arrival_schedule Arrivals(
        {.Requests = Requests,
         .Begin = Begin,
         .End = Begin + std::chrono::duration_cast<steady_clock::duration>(
                            seconds(SliceSeconds)),
         .Rate = Options.Rate});
    std::vector<load_stats> PerThreadStats(Clients.size());
    std::vector<std::thread> Threads;
    for (size_t I = 0; I < Clients.size(); ++I)
      Threads.emplace_back([&, I] {
        runClient(static_cast<int>(I), Arrivals, PerThreadStats[I]);
      });
    for (std::thread &Thread : Threads)
      Thread.join();
    Elapsed += seconds(steady_clock::now() - Begin).count();
    for (const load_stats &ThreadStats : PerThreadStats)
      Stats.merge(ThreadStats);
    if (uint64_t Unsent = Arrivals.countUnsent())
      Stats.Errors["unsent: no free client"] += Unsent;
    addUsage(Before);
  }

  [[nodiscard]] json report() const;

  load_stats Stats;

private:
  void runClient(int Thread, arrival_schedule &Arrivals,
                 load_stats &ThreadStats) {
    while (auto Due = Arrivals.next(steady_clock::now())) {
      std::this_thread::sleep_until(*Due);
      uint64_t Number = NextNumber++;
      callWithRetries(*Clients[Thread], uniqueCallId(Thread, Number), Number,
                      *Due, ThreadStats);
    }
  }

  /// Latency is measured from the time at which the call was due, so that it
  /// includes the wait for a free client.
  void callWithRetries(load_client &Client, const std::string &CallId,
                       uint64_t Number, time_point Due,
                       load_stats &ThreadStats) {
    ++ThreadStats.Requests;
    for (int Attempt = 0;; ++Attempt) {
      call_result Result = Client.call(Options.Plan, CallId, Number);
      if (Result.Error.empty()) {
        recordSuccess(Result, Due, ThreadStats);
        return;
      }
      if (!Result.NotRun || Attempt == Options.Retries) {
        ++ThreadStats.Errors[Result.Error];
        return;
      }
      ++ThreadStats.Retries;
      std::this_thread::sleep_for(retryDelay(Result));
    }
  }

  void recordSuccess(const call_result &Result, time_point Due,
                     load_stats &ThreadStats) const {
    auto Since = [&](time_point Time) {
      return static_cast<float>(milliseconds_f(Time - Due).count());
    };
    ThreadStats.LatencyMs.push_back(Since(steady_clock::now()));
    ThreadStats.WithinDeadline +=
        ThreadStats.LatencyMs.back() <= float(Options.DeadlineMs);
    if (Options.Plan.Kind == call_kind::Plain)
      return;
    ThreadStats.FirstTokenMs.push_back(Since(Result.FirstByteTime));
    ThreadStats.Tokens += Options.Plan.MaxTokens;
  }

  std::vector<process_usage> readUsage() const {
    std::vector<process_usage> Usage;
    for (int Pid : Options.Pids)
      Usage.push_back(readProcessUsage(Pid));
    return Usage;
  }

  void addUsage(const std::vector<process_usage> &Before) {
    std::vector<process_usage> After = readUsage();
    for (size_t I = 0; I < After.size(); ++I) {
      Processes[I].CpuSeconds += After[I].CpuSeconds - Before[I].CpuSeconds;
      Processes[I].MaxResidentMiB =
          std::max(Processes[I].MaxResidentMiB, After[I].ResidentMiB);
    }
  }

  const load_options &Options;
  std::vector<std::unique_ptr<load_client>> Clients;
  std::vector<process_usage_total> Processes;
  std::atomic<uint64_t> NextNumber = 0;
  double Elapsed = 0;
};

json toJson(const percentiles &Values) {
  return {{"median", Values.Median}, {"p90", Values.P90}, {"p99", Values.P99}};
}

json load_generator::report() const {
  double PerSecond = Elapsed > 0 ? 1 / Elapsed : 0;
  json Report = {
      {"requests", Stats.Requests},
      {"ok", Stats.succeeded()},
      {"ok_in_time", Stats.WithinDeadline},
      {"errors", Stats.Errors},
      {"retries", Stats.Retries},
      {"seconds", Elapsed},
      {"ok_per_second", static_cast<double>(Stats.succeeded()) * PerSecond},
      {"tokens_per_second", static_cast<double>(Stats.Tokens) * PerSecond},
      {"latency_ms", toJson(computePercentiles(Stats.LatencyMs))},
      {"first_token_ms", toJson(computePercentiles(Stats.FirstTokenMs))},
      {"processes", json::array()}};
  for (const process_usage_total &Process : Processes)
    Report["processes"].push_back(
        {{"pid", Process.Pid},
         {"cpu_seconds", Process.CpuSeconds},
         {"cores", Process.CpuSeconds * PerSecond},
         {"cpu_ms_per_ok",
          Process.CpuSeconds * 1000 /
              static_cast<double>(std::max<uint64_t>(Stats.succeeded(), 1))},
         {"max_resident_mib", Process.MaxResidentMiB}});
  return Report;
}

json runLoad(const load_options &Options) {
  std::vector<std::pair<std::string, std::unique_ptr<load_generator>>> Loads;
  if (!Options.Direct.empty())
    Loads.emplace_back("direct", std::make_unique<load_generator>(
                                     Options, Options.Direct, true));
  if (!Options.Targets.empty())
    Loads.emplace_back("target", std::make_unique<load_generator>(
                                     Options, Options.Targets, false));
  // A single target has nothing to alternate with; slices would only add
  // start-up and drain phases.
  uint64_t Rounds = Loads.size() > 1 ? Options.Rounds : 1;
  for (uint64_t Round = 0; Round < Rounds; ++Round)
    for (auto &[Name, Load] : Loads)
      Load->runSlice(Options.Requests * (Round + 1) / Rounds -
                         Options.Requests * Round / Rounds,
                     Options.Seconds / static_cast<double>(Rounds));
  json Report = json::object();
  for (auto &[Name, Load] : Loads)
    Report[Name] = Load->report();
  return Report;
}

/// Adds the overhead of the system over the direct calls to the report.
void addDifference(json &Report) {
  if (!Report.contains("target") || !Report.contains("direct"))
    return;
  const json &Target = Report["target"], &Direct = Report["direct"];
  auto Added = [&](const char *Name) {
    return Target[Name]["median"].get<double>() -
           Direct[Name]["median"].get<double>();
  };
  json Difference = {{"added_latency_ms", Added("latency_ms")},
                     {"added_first_token_ms", Added("first_token_ms")}};
  auto DirectRate = Direct["ok_per_second"].get<double>();
  if (DirectRate > 0)
    Difference["throughput_ratio"] =
        Target["ok_per_second"].get<double>() / DirectRate;
  Report["difference"] = Difference;
}

/// Sends non-idempotent calls with idempotency keys, retries each through other
/// entries, and audits how often each one ran.
class deposit_workload {
public:
  explicit deposit_workload(const load_options &Options) : Options(Options) {}

  json run() {
    time_point End = steady_clock::now() +
                     std::chrono::duration_cast<steady_clock::duration>(
                         seconds(Options.Seconds));
    std::vector<std::thread> Threads;
    Threads.reserve(Options.Threads);
    for (int I = 0; I < Options.Threads; ++I)
      Threads.emplace_back([&, I] { runClient(I, End); });
    for (std::thread &Thread : Threads)
      Thread.join();
    for (const std::string &Source : Options.RunSources)
      readRuns(Source);
    return report();
  }

private:
  void runClient(int Thread, time_point End) {
    load_client Client(rotateEntries(Options.Targets, Thread), false,
                       milliseconds(Options.TimeoutMs));
    while (steady_clock::now() < End) {
      uint64_t Number = NextNumber++;
      if (Number >= Options.Deposits)
        return;
      std::string Id = uniqueCallId(Thread, Number);
      standins::deposit_outcome Outcome = deposit(Client, Id);
      std::lock_guard Lock(Mutex);
      Audit.recordOutcome(Id, Outcome);
    }
  }

  standins::deposit_outcome deposit(load_client &Client,
                                    const std::string &Id) {
    bool AllNotRun = true;
    for (int Attempt = 0; Attempt <= Options.DepositRetries; ++Attempt) {
      call_result Result = Client.deposit(Options.DepositPath, Id);
      if (Result.Error.empty())
        return standins::deposit_outcome::Ran;
      AllNotRun = AllNotRun && Result.NotRun;
      countError(Result.Error);
      // After a connection error the client has already moved to the next
      // entry.
      if (!Result.Error.starts_with("connection"))
        Client.useNextEntry();
      if (Attempt < Options.DepositRetries)
        std::this_thread::sleep_for(retryDelay(Result));
    }
    return AllNotRun ? standins::deposit_outcome::NotRun
                     : standins::deposit_outcome::Unknown;
  }

  void countError(const std::string &Error) {
    std::lock_guard Lock(Mutex);
    ++Errors[Error];
    WrongResponses += Error == "wrong_answer";
  }

  void readRuns(const std::string &Source) {
    auto Client = standins::makeClient(Source, milliseconds(Options.TimeoutMs));
    auto Response = Client->Get("/admin/runs");
    if (!Response || Response->status != 200)
      throw std::runtime_error("GET /admin/runs failed on " + Source);
    json Runs = json::parse(Response->body).at("runs");
    for (const auto &[Id, Count] : Runs.items())
      Audit.addRuns(Id, Count.get<uint64_t>());
  }

  json report() {
    std::vector<std::string> Violations;
    standins::deposit_counts Counts = Audit.compare(Violations);
    for (const std::string &Violation : Violations)
      std::cerr << "deposit " << Violation << "\n";
    return {{"ran", Counts.Ran},
            {"not_run", Counts.NotRun},
            {"unknown", Counts.Unknown},
            {"unknown_that_ran", Counts.UnknownThatRan},
            {"ran_twice", Counts.RanTwice},
            {"lost", Counts.Lost},
            {"ran_after_not_run", Counts.RanAfterNotRun},
            {"wrong_answers", WrongResponses},
            {"errors", Errors}};
  }

  const load_options &Options;
  std::atomic<uint64_t> NextNumber = 0;
  std::mutex Mutex;
  standins::deposit_audit Audit;
  std::map<std::string, uint64_t> Errors;
  uint64_t WrongResponses = 0;
};

void printRow(FILE *Out, const char *Name, const json &Values) {
  std::fprintf(Out, "  %-14s median %9.2f  p90 %9.2f  p99 %9.2f ms\n", Name,
               Values["median"].get<double>(), Values["p90"].get<double>(),
               Values["p99"].get<double>());
}

void printTarget(FILE *Out, const std::string &Name, const json &Target) {
  std::fprintf(Out, "%s: %llu calls, %llu right, %.1f/s, %.0f tokens/s\n",
               Name.c_str(), Target["requests"].get<unsigned long long>(),
               Target["ok"].get<unsigned long long>(),
               Target["ok_per_second"].get<double>(),
               Target["tokens_per_second"].get<double>());
  printRow(Out, "latency", Target["latency_ms"]);
  if (Target["tokens_per_second"].get<double>() > 0)
    printRow(Out, "first token", Target["first_token_ms"]);
  for (const auto &[Reason, Count] : Target["errors"].items())
    std::fprintf(Out, "  error %-28s %llu\n", Reason.c_str(),
                 Count.get<unsigned long long>());
  if (auto Retries = Target["retries"].get<unsigned long long>())
    std::fprintf(Out, "  retries %llu\n", Retries);
  for (const json &Process : Target["processes"])
    std::fprintf(
        Out,
        "  process %-8d %8.2f s CPU, %.4f cores, %.4f ms/call, "
        "%.1f MiB\n",
        Process["pid"].get<int>(), Process["cpu_seconds"].get<double>(),
        Process["cores"].get<double>(), Process["cpu_ms_per_ok"].get<double>(),
        Process["max_resident_mib"].get<double>());
}

void print(FILE *Out, const json &Report) {
  for (const char *Name : {"direct", "target"})
    if (Report.contains(Name))
      printTarget(Out, Name, Report[Name]);
  for (const char *Name : {"difference", "deposits"})
    if (Report.contains(Name))
      std::fprintf(Out, "%s: %s\n", Name, Report[Name].dump().c_str());
}

/// Counts wrong responses, violated deposit guarantees and targets without any
/// success. Rejected calls are not violations.
uint64_t countViolations(const json &Report) {
  uint64_t Violations = 0;
  for (const char *Name : {"direct", "target"})
    if (Report.contains(Name))
      Violations += Report[Name]["errors"].value("wrong_answer", uint64_t(0)) +
                    (Report[Name]["ok"].get<uint64_t>() == 0);
  if (Report.contains("deposits"))
    for (const char *Name :
         {"ran_twice", "lost", "ran_after_not_run", "wrong_answers"})
      Violations += Report["deposits"][Name].get<uint64_t>();
  return Violations;
}

int run(const load_options &Options) {
  try {
    json Report;
    if (Options.Deposits > 0)
      Report["deposits"] = deposit_workload(Options).run();
    else
      Report = runLoad(Options);
    addDifference(Report);
    print(Options.Json ? stderr : stdout, Report);
    if (Options.Json)
      std::cout << Report.dump() << std::endl;
    return countViolations(Report) == 0 ? 0 : 1;
  } catch (const std::exception &Error) {
    std::cerr << Error.what() << "\n";
    return 2;
  }
}

void addFlags(CLI::App &App, load_options &Options) {
  const std::map<std::string, call_kind> Kinds = {
      {"plain", call_kind::Plain},
      {"completion", call_kind::Completion},
      {"stream", call_kind::Stream}};
  call_plan &Plan = Options.Plan;
  App.add_option("--target", Options.Targets,
                 "IP:port of an entry, repeatable");
  App.add_option("--direct", Options.Direct,
                 "IP:port of an emulator to compare with, repeatable");
  App.add_option("--kind", Plan.Kind, "plain, completion or stream")
      ->transform(CLI::CheckedTransformer(Kinds));
  App.add_option("--method", Plan.Method)
      ->check(CLI::IsMember({"GET", "POST"}))
      ->capture_default_str();
  App.add_option("--path", Plan.Path,
                 "path of plain calls; ?token=... is appended")
      ->capture_default_str();
  App.add_option("--answer-bytes", Plan.ResponseBytes,
                 "requested response size of POSTs");
  App.add_option("--body-bytes", Plan.BodyBytes,
                 "size of the filler in POST bodies");
  App.add_option("--model", Plan.Model)->capture_default_str();
  App.add_option("--max-tokens", Plan.MaxTokens)->capture_default_str();
  App.add_option("--prompt-bytes", Plan.PromptBytes)->capture_default_str();
  App.add_option("--prefixes", Plan.PrefixCount,
                 "number of distinct prompt prefixes")
      ->check(CLI::Range(1, 1'000'000))
      ->capture_default_str();
  App.add_option("--requests", Options.Requests, "calls to each target")
      ->check(CLI::Range(1, 10'000'000))
      ->capture_default_str();
  App.add_option("--seconds", Options.Seconds, "limit for each target")
      ->check(CLI::Range(0.1, 3600.0))
      ->capture_default_str();
  App.add_option("--threads", Options.Threads, "client connections")
      ->check(CLI::Range(1, 1000))
      ->capture_default_str();
  App.add_option("--rate", Options.Rate,
                 "open-loop arrivals per second, 0 = closed loop");
  App.add_option("--retry", Options.Retries,
                 "retries of a call that was not run");
  App.add_option("--deposit-retry", Options.DepositRetries,
                 "retries of a deposit, each through another entry")
      ->capture_default_str();
  App.add_option("--rounds", Options.Rounds,
                 "slices in which the two targets alternate")
      ->check(CLI::Range(1, 1000))
      ->capture_default_str();
  App.add_option("--timeout-ms", Options.TimeoutMs)->capture_default_str();
  App.add_option("--deadline-ms", Options.DeadlineMs,
                 "maximum latency, from the time at which the call was due, "
                 "of a response that counts as in time")
      ->capture_default_str();
  App.add_option("--pid", Options.Pids, "process to measure, repeatable");
  App.add_option("--deposits", Options.Deposits,
                 "non-idempotent POSTs instead of other calls");
  App.add_option("--deposit-path", Options.DepositPath)->capture_default_str();
  App.add_option("--runs-from", Options.RunSources,
                 "IP:port of each service whose /admin/runs is checked");
  App.add_flag("--json", Options.Json,
               "JSON on standard output, the table on standard error");
}

} // namespace

} // namespace bench

int main(int Argc, char **Argv) {
  CLI::App App(
      "Load generator. Exits with 1 after a wrong response or a violated "
      "deposit guarantee, or if no call succeeded.");
  bench::load_options Options;
  bench::addFlags(App, Options);
  CLI11_PARSE(App, Argc, Argv);
  if (Options.Targets.empty() &&
      (Options.Direct.empty() || Options.Deposits > 0)) {
    std::cerr << "--target is missing\n";
    return 2;
  }
  if (Options.Deposits > 0 && Options.RunSources.empty()) {
    std::cerr << "--deposits needs --runs-from\n";
    return 2;
  }
  return bench::run(Options);
}
