/// \file
/// Load and experiment tool. Sends calls to the system, and in the same run to
/// an emulator directly, and prints what the system adds. All timings of one
/// run share the machine's state, so that their ratios can be compared between
/// runs.

#include "bench/arrivals.h"
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

/// Pause before a repetition whose answer gives no hint.
constexpr milliseconds RetryPause{50};
constexpr milliseconds MaxRetryPause{2000};

struct load_options {
  std::vector<std::string> Targets;
  std::vector<std::string> Direct;
  call_plan Plan;
  uint64_t Requests = 1000;
  double Seconds = 30;
  int Threads = 8;
  double Rate = 0;
  int Retries = 0;
  /// Repetitions of a deposit.
  int DepositRetries = 10;
  int Rounds = 5;
  int TimeoutMs = 30'000;
  /// Right answers up to this age count as in time.
  int DeadlineMs = 30'000;
  std::vector<int> Pids;
  uint64_t Deposits = 0;
  std::string DepositPath = "/deposits";
  std::vector<std::string> RunSources;
  bool Json = false;
};

struct process_total {
  int Pid = 0;
  double CpuSeconds = 0;
  double MaxResidentMiB = 0;
};

/// Unique in time, thread and call.
std::string uniqueToken(int Thread, uint64_t Number) {
  static const uint64_t Run = std::random_device()();
  return std::to_string(Run) + "-" + std::to_string(Thread) + "-" +
         std::to_string(Number);
}

/// The entries in an order that begins with another one for each thread.
std::vector<std::string> rotate(std::vector<std::string> Entries, int By) {
  std::rotate(Entries.begin(), Entries.begin() + By % std::ssize(Entries),
              Entries.end());
  return Entries;
}

milliseconds retryPause(const call_result &Result) {
  return std::clamp(Result.RetryAfter, RetryPause, MaxRetryPause);
}

/// Load on one target, in slices that alternate with those of another target.
class target_load {
public:
  target_load(const load_options &Options,
              const std::vector<std::string> &Entries, bool Direct)
      : Options(Options) {
    for (int I = 0; I < Options.Threads; ++I)
      Clients.push_back(std::make_unique<load_client>(
          rotate(Entries, I), Direct, milliseconds(Options.TimeoutMs)));
    for (int Pid : Options.Pids)
      Processes.push_back({.Pid = Pid});
  }

  void runSlice(uint64_t Requests, double SliceSeconds) {
    std::vector<process_usage> Before = readUsage();
    time_point Begin = steady_clock::now();
    arrivals Arrivals(
        {.Requests = Requests,
         .Begin = Begin,
         .End = Begin + std::chrono::duration_cast<steady_clock::duration>(
                            seconds(SliceSeconds)),
         .Rate = Options.Rate});
    std::vector<load_stats> Parts(Clients.size());
    std::vector<std::thread> Threads;
    for (size_t I = 0; I < Clients.size(); ++I)
      Threads.emplace_back(
          [&, I] { runClient(static_cast<int>(I), Arrivals, Parts[I]); });
    for (std::thread &Thread : Threads)
      Thread.join();
    Elapsed += seconds(steady_clock::now() - Begin).count();
    for (const load_stats &Part : Parts)
      Stats.add(Part);
    if (uint64_t Unsent = Arrivals.countUnsent())
      Stats.Errors["unsent: no free client"] += Unsent;
    addUsage(Before);
  }

  [[nodiscard]] json report() const;

  load_stats Stats;

private:
  void runClient(int Thread, arrivals &Arrivals, load_stats &Part) {
    while (auto Due = Arrivals.next(steady_clock::now())) {
      std::this_thread::sleep_until(*Due);
      uint64_t Number = NextNumber++;
      callWithRetries(*Clients[Thread], uniqueToken(Thread, Number), Number,
                      *Due, Part);
    }
  }

  /// Latency counts from the time at which the call was due, so that waiting
  /// for a free client is part of it.
  void callWithRetries(load_client &Client, const std::string &Token,
                       uint64_t Number, time_point Due, load_stats &Part) {
    ++Part.Requests;
    for (int Attempt = 0;; ++Attempt) {
      call_result Result = Client.call(Options.Plan, Token, Number);
      if (Result.Error.empty()) {
        recordAnswer(Result, Due, Part);
        return;
      }
      if (!Result.NotRun || Attempt == Options.Retries) {
        ++Part.Errors[Result.Error];
        return;
      }
      ++Part.Retries;
      std::this_thread::sleep_for(retryPause(Result));
    }
  }

  void recordAnswer(const call_result &Result, time_point Due,
                    load_stats &Part) const {
    auto Since = [&](time_point Time) {
      return static_cast<float>(milliseconds_f(Time - Due).count());
    };
    Part.LatencyMs.push_back(Since(steady_clock::now()));
    Part.InTime += Part.LatencyMs.back() <= float(Options.DeadlineMs);
    if (Options.Plan.Kind == call_kind::Plain)
      return;
    Part.FirstTokenMs.push_back(Since(Result.FirstByte));
    Part.Tokens += Options.Plan.MaxTokens;
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
  std::vector<process_total> Processes;
  std::atomic<uint64_t> NextNumber = 0;
  double Elapsed = 0;
};

json toJson(const percentiles &Values) {
  return {{"median", Values.Median}, {"p90", Values.P90}, {"p99", Values.P99}};
}

json target_load::report() const {
  double PerSecond = Elapsed > 0 ? 1 / Elapsed : 0;
  json Report = {
      {"requests", Stats.Requests},
      {"ok", Stats.ok()},
      {"ok_in_time", Stats.InTime},
      {"errors", Stats.Errors},
      {"retries", Stats.Retries},
      {"seconds", Elapsed},
      {"ok_per_second", static_cast<double>(Stats.ok()) * PerSecond},
      {"tokens_per_second", static_cast<double>(Stats.Tokens) * PerSecond},
      {"latency_ms", toJson(computePercentiles(Stats.LatencyMs))},
      {"first_token_ms", toJson(computePercentiles(Stats.FirstTokenMs))},
      {"processes", json::array()}};
  for (const process_total &Process : Processes)
    Report["processes"].push_back(
        {{"pid", Process.Pid},
         {"cpu_seconds", Process.CpuSeconds},
         {"cores", Process.CpuSeconds * PerSecond},
         {"cpu_ms_per_ok",
          Process.CpuSeconds * 1000 /
              static_cast<double>(std::max<uint64_t>(Stats.ok(), 1))},
         {"max_resident_mib", Process.MaxResidentMiB}});
  return Report;
}

json runLoad(const load_options &Options) {
  std::vector<std::pair<std::string, std::unique_ptr<target_load>>> Loads;
  if (!Options.Direct.empty())
    Loads.emplace_back(
        "direct", std::make_unique<target_load>(Options, Options.Direct, true));
  if (!Options.Targets.empty())
    Loads.emplace_back("target", std::make_unique<target_load>(
                                     Options, Options.Targets, false));
  // Slices of a single target would only add their beginnings and ends.
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

/// Adds what the system costs compared with the direct calls.
void compare(json &Report) {
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

/// Non-idempotent calls with a key, each repeated through another entry.
class deposit_run {
public:
  explicit deposit_run(const load_options &Options) : Options(Options) {}

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
    load_client Client(rotate(Options.Targets, Thread), false,
                       milliseconds(Options.TimeoutMs));
    while (steady_clock::now() < End) {
      uint64_t Number = Next++;
      if (Number >= Options.Deposits)
        return;
      std::string Id = uniqueToken(Thread, Number);
      standins::deposit_outcome Claim = deposit(Client, Id);
      std::lock_guard Lock(Mutex);
      Audit.recordOutcome(Id, Claim);
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
      // After a broken connection the client is at the next entry already.
      if (!Result.Error.starts_with("connection"))
        Client.useNextEntry();
      if (Attempt < Options.DepositRetries)
        std::this_thread::sleep_for(retryPause(Result));
    }
    return AllNotRun ? standins::deposit_outcome::NotRun
                     : standins::deposit_outcome::Unknown;
  }

  void countError(const std::string &Error) {
    std::lock_guard Lock(Mutex);
    ++Errors[Error];
    WrongAnswers += Error == "wrong_answer";
  }

  void readRuns(const std::string &Source) {
    auto Client = standins::makeClient(Source, milliseconds(Options.TimeoutMs));
    auto Answer = Client->Get("/admin/runs");
    if (!Answer || Answer->status != 200)
      throw std::runtime_error("no runs from " + Source);
    json Runs = json::parse(Answer->body).at("runs");
    for (const auto &[Id, Count] : Runs.items())
      Audit.addRuns(Id, Count.get<uint64_t>());
  }

  json report() {
    std::vector<std::string> Complaints;
    standins::deposit_counts Counts = Audit.compare(Complaints);
    for (const std::string &Complaint : Complaints)
      std::cerr << "deposit " << Complaint << "\n";
    return {{"ran", Counts.Ran},
            {"not_run", Counts.NotRun},
            {"unknown", Counts.Unknown},
            {"unknown_that_ran", Counts.UnknownThatRan},
            {"ran_twice", Counts.RanTwice},
            {"lost", Counts.Lost},
            {"ran_after_not_run", Counts.RanAfterNotRun},
            {"wrong_answers", WrongAnswers},
            {"errors", Errors}};
  }

  const load_options &Options;
  std::atomic<uint64_t> Next = 0;
  std::mutex Mutex;
  standins::deposit_audit Audit;
  std::map<std::string, uint64_t> Errors;
  uint64_t WrongAnswers = 0;
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

/// Wrong answers and broken promises are faults; refusals are not.
uint64_t countFaults(const json &Report) {
  uint64_t Faults = 0;
  for (const char *Name : {"direct", "target"})
    if (Report.contains(Name))
      Faults += Report[Name]["errors"].value("wrong_answer", uint64_t(0)) +
                (Report[Name]["ok"].get<uint64_t>() == 0);
  if (Report.contains("deposits"))
    for (const char *Name :
         {"ran_twice", "lost", "ran_after_not_run", "wrong_answers"})
      Faults += Report["deposits"][Name].get<uint64_t>();
  return Faults;
}

int run(const load_options &Options) {
  try {
    json Report;
    if (Options.Deposits > 0)
      Report["deposits"] = deposit_run(Options).run();
    else
      Report = runLoad(Options);
    compare(Report);
    print(Options.Json ? stderr : stdout, Report);
    if (Options.Json)
      std::cout << Report.dump() << std::endl;
    return countFaults(Report) == 0 ? 0 : 1;
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
                 "of plain calls; ?token=... is added to it")
      ->capture_default_str();
  App.add_option("--answer-bytes", Plan.AnswerBytes, "asked for in POSTs");
  App.add_option("--body-bytes", Plan.BodyBytes, "filler in POSTs");
  App.add_option("--model", Plan.Model)->capture_default_str();
  App.add_option("--max-tokens", Plan.MaxTokens)->capture_default_str();
  App.add_option("--prompt-bytes", Plan.PromptBytes)->capture_default_str();
  App.add_option("--prefixes", Plan.Prefixes, "different prompt prefixes")
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
                 "open-loop arrivals a second, 0 = closed loop");
  App.add_option("--retry", Options.Retries,
                 "repetitions of a call that was not run");
  App.add_option("--deposit-retry", Options.DepositRetries,
                 "repetitions of a deposit, each through another entry")
      ->capture_default_str();
  App.add_option("--rounds", Options.Rounds,
                 "slices in which the two targets alternate")
      ->check(CLI::Range(1, 1000))
      ->capture_default_str();
  App.add_option("--timeout-ms", Options.TimeoutMs)->capture_default_str();
  App.add_option("--deadline-ms", Options.DeadlineMs,
                 "answers up to this age, from the time at which the call "
                 "was due, are in time")
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
  CLI::App App("Load and experiment tool. Ends with 1 after a wrong answer or "
               "a broken promise about a deposit, or if no call succeeded.");
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
