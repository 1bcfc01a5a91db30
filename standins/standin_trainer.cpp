/// \file
/// Emulator of a trainer: a client that checks what the system delivers.

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

/// A draw is answered after wait_ms at the latest; the rest allows for a slow
/// system.
constexpr milliseconds DrawMargin{5000};
constexpr milliseconds RetryPause{100};

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
  int GiveUpSeconds = 300;
};

/// Text of a field "reason" in an error answer.
std::string reasonOf(const std::string &Body) {
  json Parsed = json::parse(Body, nullptr, false);
  if (!Parsed.is_object() || !Parsed.contains("error") ||
      !Parsed["error"].is_object())
    return "";
  return Parsed["error"].value("reason", "");
}

drawn_sample readSample(const json &Body) {
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
        Caller(Options.Entries, milliseconds(Options.DrawWaitMs) + DrawMargin) {
  }

  /// Returns the number of faults over all steps.
  uint64_t run() {
    uint64_t Faults = 0;
    for (uint64_t I = 0; I < Options.Steps; ++I) {
      step_result Result = runStep();
      Faults += Result.Duplicates + Result.Stale + Result.Mislabelled;
      std::this_thread::sleep_for(milliseconds(Options.TrainMs));
      ++Plan.Step;
      if (Options.Publish)
        publish();
    }
    return Faults;
  }

private:
  [[nodiscard]] std::string path(const std::string &Rest) const {
    return "/v1/trainers/" + Plan.Trainer + Rest;
  }

  [[nodiscard]] std::string stepPath() const {
    return path("/steps/" + std::to_string(Plan.Step));
  }

  step_result runStep() {
    step_checker Tally(Plan);
    time_point Begin = steady_clock::now();
    Epoch = 0;
    submit(Tally);
    while (!drawOnce(Tally))
      continue;
    auto Idle =
        std::chrono::duration_cast<milliseconds>(steady_clock::now() - Begin);
    print(Tally.result(), Idle);
    return Tally.result();
  }

  void submit(const step_checker &Tally) {
    json Body = {{"version", Plan.Version}, {"groups", json::array()}};
    for (uint64_t Group = 0; Group < Plan.Groups; ++Group)
      Body["groups"].push_back({{"group", Group},
                                {"prompt", Tally.prompt(Group)},
                                {"n", Plan.SamplesPerGroup},
                                {"max_tokens", Plan.MaxTokens}});
    callUntilOk("PUT", stepPath(), Body.dump());
  }

  void publish() {
    ++Plan.Version;
    json Body = {{"version", Plan.Version}, {"source", Options.WeightsSource}};
    callUntilOk("POST", path("/weights"), Body.dump());
  }

  /// Both calls are idempotent. An answer that refuses the call's content ends
  /// the program, as a repetition cannot help.
  void callUntilOk(const std::string &Method, const std::string &Path,
                   const std::string &Body) {
    time_point GiveUp = deadline();
    std::string What = Method;
    What += " " + Path;
    while (true) {
      entry_response Answer = Caller.call(Method, Path, Body);
      if (Answer.Status >= 200 && Answer.Status < 300)
        return;
      if (Answer.Status == 400 || Answer.Status == 413)
        throw std::runtime_error(What + " was refused: " + Answer.Body);
      tryNextEntry(What, Answer, GiveUp);
    }
  }

  /// One draw at a time. Returns true when the step is complete.
  bool drawOnce(step_checker &Tally) {
    if (DrawGiveUp == time_point())
      DrawGiveUp = deadline();
    json Have = json::array();
    for (const auto &[Group, Index] : Tally.receivedSamples())
      Have.push_back({Group, Index});
    json Body = {{"version", Plan.Version},
                 {"epoch", Epoch},
                 {"have", std::move(Have)},
                 {"max", Options.MaxSamplesPerDraw},
                 {"wait_ms", Options.DrawWaitMs}};
    std::string Path = stepPath() + "/draw";
    entry_response Answer = Caller.call("POST", Path, Body.dump());
    if (Answer.Status != 200) {
      tryNextEntry("POST " + Path, Answer, DrawGiveUp);
      if (reasonOf(Answer.Body) == "step_unknown")
        submit(Tally);
      return false;
    }
    DrawGiveUp = time_point();
    return takeAnswer(json::parse(Answer.Body), Tally);
  }

  bool takeAnswer(const json &Body, step_checker &Tally) {
    auto AnswerEpoch = Body.at("epoch").get<uint64_t>();
    if (AnswerEpoch < Epoch) {
      // The answer of a former owner is not used.
      std::cerr << "answer of epoch " << AnswerEpoch << " after " << Epoch
                << " ignored\n";
      return false;
    }
    Epoch = AnswerEpoch;
    for (const json &Sample : Body.at("samples")) {
      std::string Complaint = Tally.add(readSample(Sample));
      if (!Complaint.empty())
        std::cerr << "step " << Plan.Step << ": " << Complaint << "\n";
    }
    bool Complete = Body.at("complete").get<bool>();
    if (Complete && !Tally.complete())
      throw std::runtime_error(
          "step " + std::to_string(Plan.Step) + " was called complete after " +
          std::to_string(Tally.receivedSamples().size()) + " samples");
    return Tally.complete();
  }

  [[nodiscard]] time_point deadline() const {
    return steady_clock::now() + std::chrono::seconds(Options.GiveUpSeconds);
  }

  void tryNextEntry(const std::string &What, const entry_response &Answer,
                    time_point GiveUp) {
    std::string Outcome =
        Answer.Status == 0 ? "no answer"
                           : std::to_string(Answer.Status) + " " + Answer.Body;
    if (steady_clock::now() > GiveUp)
      throw std::runtime_error(What + " does not succeed: " + Outcome);
    std::cerr << What << " through " << Caller.entry() << ": " << Outcome
              << "\n";
    Caller.useNextEntry();
    std::this_thread::sleep_for(RetryPause);
  }

  void print(const step_result &Result, milliseconds Idle) const {
    double Samples = static_cast<double>(std::max<uint64_t>(Result.Samples, 1));
    json Line = {{"step", Plan.Step},
                 {"samples", Result.Samples},
                 {"duplicates", Result.Duplicates},
                 {"stale", Result.Stale},
                 {"mislabelled", Result.Mislabelled},
                 {"idle_ms", Idle.count()},
                 {"oldest", Result.OldestVersion},
                 {"version", Plan.Version},
                 {"mean_age", static_cast<double>(Result.TotalAge) / Samples}};
    std::cout << Line.dump() << std::endl;
  }

  trainer_options Options;
  step_plan Plan;
  entry_client Caller;
  uint64_t Epoch = 0;
  /// When to stop repeating a failed draw; unset after an answer.
  time_point DrawGiveUp{};
};

int run(const trainer_options &Options) {
  try {
    return trainer(Options).run() == 0 ? 0 : 1;
  } catch (const std::exception &Error) {
    std::cerr << Error.what() << "\n";
    return 2;
  }
}

void addFlags(CLI::App &App, trainer_options &Options) {
  App.add_option("--entry", Options.Entries,
                 "IP:port, repeatable: the next one after a failure")
      ->required();
  App.add_option("--trainer", Options.Plan.Trainer)->capture_default_str();
  App.add_option("--steps", Options.Steps)->capture_default_str();
  App.add_option("--first-step", Options.Plan.Step)->capture_default_str();
  App.add_option("--version", Options.Plan.Version, "weights at the start")
      ->capture_default_str();
  App.add_option("--groups", Options.Plan.Groups)->capture_default_str();
  App.add_option("--samples-per-group", Options.Plan.SamplesPerGroup)
      ->capture_default_str();
  App.add_option("--max-tokens", Options.Plan.MaxTokens)->capture_default_str();
  App.add_option("--prompt-bytes", Options.Plan.PromptBytes)
      ->capture_default_str();
  App.add_option("--staleness-bound", Options.Plan.StalenessBound,
                 "versions a sample may be behind")
      ->capture_default_str();
  App.add_option("--train-ms", Options.TrainMs, "training time after a step")
      ->capture_default_str();
  App.add_flag("--publish", Options.Publish, "publish weights after each step");
  App.add_option("--weights-source", Options.WeightsSource,
                 "IP:port of the weight store");
  App.add_option("--max-draw", Options.MaxSamplesPerDraw, "samples in a draw")
      ->capture_default_str();
  App.add_option("--draw-wait-ms", Options.DrawWaitMs)->capture_default_str();
  App.add_option("--give-up-seconds", Options.GiveUpSeconds,
                 "how long a failing call is repeated")
      ->capture_default_str();
}

} // namespace

} // namespace standins

int main(int Argc, char **Argv) {
  CLI::App App("Emulator of a trainer. Ends with 0 if all samples were right, "
               "1 after a fault of a sample, 2 if a step did not succeed.");
  standins::trainer_options Options;
  standins::addFlags(App, Options);
  CLI11_PARSE(App, Argc, Argv);
  return standins::run(Options);
}
