/// \file
/// Emulator of a trainer: a client that checks the samples that it receives.

#include "standins/entry_client.h"
#include "standins/step_checker.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <iostream>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <thread>

namespace standins {

namespace {

using nlohmann::json;

/// A draw request blocks for up to wait_ms. The client's read timeout is longer
/// by this margin, to allow for a slow system.
constexpr milliseconds DrawTimeoutMargin{5000};
constexpr milliseconds RetryDelay{100};

struct trainer_options {
  std::vector<std::string> Entries;
  /// Step and Version are those of the first step.
  step_plan Plan{.Step = 1, .Version = 1, .Groups = 4, .SamplesPerGroup = 4};
  uint64_t Steps = 1;
  int TrainMs = 0;
  bool Publish = false;
  std::string WeightsSource;
  uint64_t MaxSamplesPerDraw = 64;
  int DrawWaitMs = 1000;
  int RetryTimeoutSeconds = 300;
};

/// Returns {"error":{"reason"}} of an error response, or "" if absent.
std::string parseErrorReason(const std::string &Body) {
  json Parsed = json::parse(Body, nullptr, false);
  if (!Parsed.is_object() || !Parsed.contains("error") ||
      !Parsed["error"].is_object())
    return "";
  return Parsed["error"].value("reason", "");
}

drawn_sample parseSample(const json &Body) {
  drawn_sample Sample{.Group = Body.at("group").get<uint64_t>(),
                      .Index = Body.at("index").get<uint64_t>(),
                      .Text = Body.at("text").get<std::string>()};
  for (const json &Span : Body.at("spans"))
    Sample.Spans.push_back({Span.at("version").get<uint64_t>(),
                            Span.at("tokens").get<uint64_t>()});
  return Sample;
}

class trainer {
public:
  explicit trainer(const trainer_options &Options)
      : Options(Options), Plan(Options.Plan),
        Client(Options.Entries,
               milliseconds(Options.DrawWaitMs) + DrawTimeoutMargin) {}

  /// Returns the number of duplicate, stale and mislabelled samples over all
  /// steps.
  uint64_t run() {
    uint64_t InvalidSamples = 0;
    for (uint64_t I = 0; I < Options.Steps; ++I) {
      step_result Result = runStep();
      InvalidSamples += Result.Duplicates + Result.Stale + Result.Mislabelled;
      std::this_thread::sleep_for(milliseconds(Options.TrainMs));
      ++Plan.Step;
      if (Options.Publish)
        publishWeights();
    }
    return InvalidSamples;
  }

private:
  [[nodiscard]] std::string trainerPath(const std::string &Suffix) const {
    return "/v1/trainers/" + Plan.Trainer + Suffix;
  }

  [[nodiscard]] std::string stepPath() const {
    return trainerPath("/steps/" + std::to_string(Plan.Step));
  }

  step_result runStep() {
    step_checker Checker(Plan);
    time_point StartTime = steady_clock::now();
    Epoch = 0;
    submitStep(Checker);
    while (!drawOnce(Checker))
      continue;
    auto IdleTime = std::chrono::duration_cast<milliseconds>(
        steady_clock::now() - StartTime);
    printResult(Checker.result(), IdleTime);
    return Checker.result();
  }

  void submitStep(const step_checker &Checker) {
    json Body = {{"version", Plan.Version}, {"groups", json::array()}};
    for (uint64_t Group = 0; Group < Plan.Groups; ++Group)
      Body["groups"].push_back({{"group", Group},
                                {"prompt", Checker.prompt(Group)},
                                {"n", Plan.SamplesPerGroup},
                                {"max_tokens", Plan.MaxTokens}});
    callUntilSuccess("PUT", stepPath(), Body.dump());
  }

  void publishWeights() {
    ++Plan.Version;
    json Body = {{"version", Plan.Version}, {"source", Options.WeightsSource}};
    callUntilSuccess("POST", trainerPath("/weights"), Body.dump());
  }

  /// Retries until the call succeeds; all requests that it sends are
  /// idempotent. Throws on 400 and 413, because repeating an invalid request
  /// cannot succeed.
  void callUntilSuccess(const std::string &Method, const std::string &Path,
                        const std::string &Body) {
    time_point Deadline = retryDeadline();
    std::string CallName = Method;
    CallName += " " + Path;
    while (true) {
      entry_response Response = Client.call(Method, Path, Body);
      if (Response.Status >= 200 && Response.Status < 300)
        return;
      if (Response.Status == 400 || Response.Status == 413)
        throw std::runtime_error(CallName + " was rejected: " + Response.Body);
      retryOnNextEntry(CallName, Response, Deadline);
    }
  }

  /// Requests finished samples of the step once (a draw request). Returns true
  /// if the step is complete.
  bool drawOnce(step_checker &Checker) {
    if (DrawDeadline == time_point())
      DrawDeadline = retryDeadline();
    json Received = json::array();
    for (const auto &[Group, Index] : Checker.receivedSamples())
      Received.push_back({Group, Index});
    json Body = {{"version", Plan.Version},
                 {"epoch", Epoch},
                 {"have", std::move(Received)},
                 {"max", Options.MaxSamplesPerDraw},
                 {"wait_ms", Options.DrawWaitMs}};
    std::string Path = stepPath() + "/draw";
    entry_response Response = Client.call("POST", Path, Body.dump());
    if (Response.Status != 200) {
      retryOnNextEntry("POST " + Path, Response, DrawDeadline);
      if (parseErrorReason(Response.Body) == "step_unknown")
        submitStep(Checker);
      return false;
    }
    DrawDeadline = time_point();
    return processDrawResponse(json::parse(Response.Body), Checker);
  }

  bool processDrawResponse(const json &Body, step_checker &Checker) {
    auto ResponseEpoch = Body.at("epoch").get<uint64_t>();
    if (ResponseEpoch < Epoch) {
      // The response comes from a previous owner of the step.
      std::cerr << "ignoring response of epoch " << ResponseEpoch
                << ", latest epoch is " << Epoch << "\n";
      return false;
    }
    Epoch = ResponseEpoch;
    for (const json &Sample : Body.at("samples")) {
      std::string Problem = Checker.add(parseSample(Sample));
      if (!Problem.empty())
        std::cerr << "step " << Plan.Step << ": " << Problem << "\n";
    }
    bool Complete = Body.at("complete").get<bool>();
    if (Complete && !Checker.complete())
      throw std::runtime_error(
          "step " + std::to_string(Plan.Step) +
          " was reported complete after " +
          std::to_string(Checker.receivedSamples().size()) + " samples");
    return Checker.complete();
  }

  [[nodiscard]] time_point retryDeadline() const {
    return steady_clock::now() +
           std::chrono::seconds(Options.RetryTimeoutSeconds);
  }

  void retryOnNextEntry(const std::string &CallName,
                        const entry_response &Response, time_point Deadline) {
    std::string Outcome =
        Response.Status == 0
            ? "no response"
            : std::to_string(Response.Status) + " " + Response.Body;
    if (steady_clock::now() > Deadline)
      throw std::runtime_error(CallName +
                               " failed until the retry timeout: " + Outcome);
    std::cerr << CallName << " through " << Client.entry() << ": " << Outcome
              << "\n";
    Client.useNextEntry();
    std::this_thread::sleep_for(RetryDelay);
  }

  void printResult(const step_result &Result, milliseconds IdleTime) const {
    double Samples = static_cast<double>(std::max<uint64_t>(Result.Samples, 1));
    json Line = {{"step", Plan.Step},
                 {"samples", Result.Samples},
                 {"duplicates", Result.Duplicates},
                 {"stale", Result.Stale},
                 {"mislabelled", Result.Mislabelled},
                 {"idle_ms", IdleTime.count()},
                 {"oldest", Result.OldestVersion},
                 {"version", Plan.Version},
                 {"mean_age", static_cast<double>(Result.TotalAge) / Samples}};
    std::cout << Line.dump() << std::endl;
  }

  trainer_options Options;
  step_plan Plan;
  entry_client Client;
  uint64_t Epoch = 0;
  /// Time after which failed draw requests are no longer retried; reset by a
  /// successful response.
  time_point DrawDeadline{};
};

int run(const trainer_options &Options) {
  try {
    return trainer(Options).run() == 0 ? 0 : 1;
  } catch (const std::exception &Error) {
    std::cerr << Error.what() << "\n";
    return 2;
  }
}

void addTrainerFlags(CLI::App &App, trainer_options &Options) {
  App.add_option("--entry", Options.Entries,
                 "IP:port of an entry, repeatable; retries use the next one")
      ->required();
  App.add_option("--trainer", Options.Plan.Trainer)->capture_default_str();
  App.add_option("--steps", Options.Steps)->capture_default_str();
  App.add_option("--first-step", Options.Plan.Step)->capture_default_str();
  App.add_option("--version", Options.Plan.Version, "initial weight version")
      ->capture_default_str();
  App.add_option("--groups", Options.Plan.Groups)->capture_default_str();
  App.add_option("--samples-per-group", Options.Plan.SamplesPerGroup)
      ->capture_default_str();
  App.add_option("--max-tokens", Options.Plan.MaxTokens)->capture_default_str();
  App.add_option("--prompt-bytes", Options.Plan.PromptBytes)
      ->capture_default_str();
  App.add_option("--staleness-bound", Options.Plan.StalenessBound,
                 "maximum number of versions a sample may lag behind")
      ->capture_default_str();
  App.add_option("--train-ms", Options.TrainMs,
                 "simulated training time after a step")
      ->capture_default_str();
  App.add_flag("--publish", Options.Publish, "publish weights after each step");
  App.add_option("--weights-source", Options.WeightsSource,
                 "IP:port of the weight store");
  App.add_option("--max-draw", Options.MaxSamplesPerDraw,
                 "maximum number of samples per draw")
      ->capture_default_str();
  App.add_option("--draw-wait-ms", Options.DrawWaitMs)->capture_default_str();
  App.add_option("--give-up-seconds", Options.RetryTimeoutSeconds,
                 "how long a failing call is retried")
      ->capture_default_str();
}

} // namespace

} // namespace standins

int main(int Argc, char **Argv) {
  CLI::App App(
      "Emulator of a trainer. Exits with 0 if all samples were valid, 1 if "
      "any sample was not, 2 if a step failed.");
  standins::trainer_options Options;
  standins::addTrainerFlags(App, Options);
  CLI11_PARSE(App, Argc, Argv);
  return standins::run(Options);
}
