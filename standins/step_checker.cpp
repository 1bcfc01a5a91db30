#include "standins/step_checker.h"

#include "standins/token_text.h"

#include <algorithm>

namespace standins {

namespace {

std::string nameOf(const drawn_sample &Sample) {
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
    return nameOf(Sample) + " is not part of the step";
  }
  if (!ReceivedSamples.insert({Sample.Group, Sample.Index}).second) {
    ++Result.Duplicates;
    return nameOf(Sample) + " was delivered twice";
  }
  ++Result.Samples;
  uint64_t Oldest = Plan.Version;
  for (const version_span &Span : Sample.Spans)
    Oldest = std::min(Oldest, Span.Version);
  Result.OldestVersion = std::min(Result.OldestVersion, Oldest);
  Result.TotalAge += Plan.Version - Oldest;
  std::string Complaint = findLabelError(Sample);
  if (!Complaint.empty())
    ++Result.Mislabelled;
  if (Plan.Version - Oldest > Plan.StalenessBound) {
    ++Result.Stale;
    Complaint += nameOf(Sample) + " has version " + std::to_string(Oldest) +
                 ", the trainer " + std::to_string(Plan.Version);
  }
  return Complaint;
}

std::string step_checker::findLabelError(const drawn_sample &Sample) const {
  uint64_t Labelled = 0;
  for (const version_span &Span : Sample.Spans)
    Labelled += Span.Tokens;
  if (Labelled != Plan.MaxTokens)
    return nameOf(Sample) + " has labels for " + std::to_string(Labelled) +
           " tokens of " + std::to_string(Plan.MaxTokens) + "; ";
  if (Sample.Text != expectedCompletion(prompt(Sample.Group), Plan.MaxTokens))
    return nameOf(Sample) + " has a text that is not the engine's answer; ";
  return "";
}

} // namespace standins
