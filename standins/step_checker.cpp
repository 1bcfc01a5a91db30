#include "standins/step_checker.h"

#include "standins/token_text.h"

#include <algorithm>

namespace standins {

namespace {

std::string sampleName(const drawn_sample &Sample) {
  return "sample " + std::to_string(Sample.Group) + "/" +
         std::to_string(Sample.Index);
}

} // namespace

step_checker::step_checker(step_plan Plan) : Plan(std::move(Plan)) {
  Result.OldestVersion = this->Plan.Version;
}

std::string step_checker::prompt(uint64_t Group) const {
  std::string Prompt = "Problems of " + Plan.Trainer + ". ";
  Prompt.resize(std::max(Prompt.size(), Plan.PromptBytes / 2), '.');
  Prompt += " Step " + std::to_string(Plan.Step) + ", group " +
            std::to_string(Group) + ":";
  Prompt.resize(std::max(Prompt.size(), Plan.PromptBytes), '?');
  return Prompt;
}

std::string step_checker::add(const drawn_sample &Sample) {
  if (Sample.Group >= Plan.Groups || Sample.Index >= Plan.SamplesPerGroup) {
    ++Result.Mislabelled;
    return sampleName(Sample) + " does not belong to the step";
  }
  if (!ReceivedSamples.insert({Sample.Group, Sample.Index}).second) {
    ++Result.Duplicates;
    return sampleName(Sample) + " was delivered twice";
  }
  ++Result.Samples;
  uint64_t OldestVersion = Plan.Version;
  for (const version_span &Span : Sample.Spans)
    OldestVersion = std::min(OldestVersion, Span.Version);
  Result.OldestVersion = std::min(Result.OldestVersion, OldestVersion);
  Result.TotalAge += Plan.Version - OldestVersion;
  std::string Problem = findLabelError(Sample);
  if (!Problem.empty())
    ++Result.Mislabelled;
  if (Plan.Version - OldestVersion > Plan.StalenessBound) {
    ++Result.Stale;
    Problem += sampleName(Sample) + " is stale: oldest version " +
               std::to_string(OldestVersion) + ", trainer version " +
               std::to_string(Plan.Version);
  }
  return Problem;
}

std::string step_checker::findLabelError(const drawn_sample &Sample) const {
  uint64_t LabelledTokens = 0;
  for (const version_span &Span : Sample.Spans)
    LabelledTokens += Span.Tokens;
  if (LabelledTokens != Plan.MaxTokens)
    return sampleName(Sample) + " has version labels for " +
           std::to_string(LabelledTokens) + " tokens of " +
           std::to_string(Plan.MaxTokens) + "; ";
  if (Sample.Text != expectedCompletion(prompt(Sample.Group), Plan.MaxTokens))
    return sampleName(Sample) +
           " does not have the text that the engine generates; ";
  return "";
}

} // namespace standins
