#include "entry/request_parsing.h"

#include "base/bounded_json.h"
#include "entry/http_reply.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <nlohmann/json.hpp>
#include <set>
#include <stdexcept>

namespace cardamom {

using json = nlohmann::json;

static constexpr uint64_t MaxNumber = std::numeric_limits<int64_t>::max();

static json parseObject(std::string_view Body) {
  json Parsed;
  try {
    Parsed = parseBoundedJson(Body);
  } catch (const std::invalid_argument &) {
    throw input_error(400, "malformed_json", "body", "a JSON object");
  }
  if (!Parsed.is_object())
    throw input_error(400, "wrong_type", "body", "a JSON object");
  return Parsed;
}

static const json &requiredMember(const json &Object, const char *Name,
                                  const std::string &Allowed) {
  const auto It = Object.find(Name);
  if (It == Object.end())
    throw input_error(400, "missing_field", Name, Allowed);
  return *It;
}

static std::string textMember(const json &Object, const char *Name) {
  const json &Value = requiredMember(Object, Name, "a string");
  if (!Value.is_string())
    throw input_error(400, "wrong_type", Name, "a string");
  return Value.get<std::string>();
}

static uint64_t toNumber(const json &Value, const char *Name, uint64_t Min,
                         uint64_t Max) {
  const std::string Allowed =
      "an integer from " + std::to_string(Min) + " to " + std::to_string(Max);
  if (!Value.is_number_unsigned())
    throw input_error(400, "wrong_type", Name, Allowed);
  const auto Number = Value.get<uint64_t>();
  if (Number < Min || Number > Max)
    throw input_error(400, "out_of_range", Name, Allowed);
  return Number;
}

static uint64_t numberMember(const json &Object, const char *Name, uint64_t Min,
                             uint64_t Max) {
  return toNumber(requiredMember(Object, Name, "an integer"), Name, Min, Max);
}

static uint64_t numberMemberOr(const json &Object, const char *Name,
                               uint64_t Min, uint64_t Max, uint64_t Default) {
  return Object.contains(Name) ? numberMember(Object, Name, Min, Max) : Default;
}

static const json &arrayMember(const json &Object, const char *Name) {
  const json &Value = requiredMember(Object, Name, "an array");
  if (!Value.is_array())
    throw input_error(400, "wrong_type", Name, "an array");
  return Value;
}

completion_request parseCompletion(std::string_view Body) {
  const json Object = parseObject(Body);
  completion_request Request;
  Request.Model = textMember(Object, "model");
  Request.Prompt = textMember(Object, "prompt");
  Request.MaxTokens = unsigned(numberMemberOr(
      Object, "max_tokens", 1, MaxTokensLimit, Request.MaxTokens));
  const auto Stream = Object.find("stream");
  if (Stream == Object.end())
    return Request;
  if (!Stream->is_boolean())
    throw input_error(400, "wrong_type", "stream", "true or false");
  Request.Stream = Stream->get<bool>();
  return Request;
}

static step_group parseGroup(const json &Object) {
  if (!Object.is_object())
    throw input_error(400, "wrong_type", "groups", "an array of objects");
  step_group Group;
  Group.Id = numberMember(Object, "group", 0, MaxNumber);
  Group.Prompt = textMember(Object, "prompt");
  Group.Samples = unsigned(numberMember(Object, "n", 1, MaxStepSamples));
  Group.MaxTokens =
      unsigned(numberMember(Object, "max_tokens", 1, MaxTokensLimit));
  return Group;
}

step_submission parseSubmission(std::string_view Body) {
  const json Object = parseObject(Body);
  step_submission Submission;
  Submission.Version = numberMember(Object, "version", 0, MaxNumber);
  std::set<uint64_t> Ids;
  uint64_t Samples = 0;
  for (const json &Item : arrayMember(Object, "groups")) {
    Submission.Groups.push_back(parseGroup(Item));
    if (!Ids.insert(Submission.Groups.back().Id).second)
      throw input_error(400, "duplicate", "group", "distinct group numbers");
    Samples += Submission.Groups.back().Samples;
  }
  if (Samples == 0 || Samples > MaxStepSamples)
    throw input_error(400, "out_of_range", "groups",
                      "1 to " + std::to_string(MaxStepSamples) +
                          " samples in all groups together");
  return Submission;
}

static sample_key parseSampleKey(const json &Item) {
  if (!Item.is_array() || Item.size() != 2)
    throw input_error(400, "wrong_type", "have",
                      "an array of [group, index] pairs");
  return {toNumber(Item[0], "have", 0, MaxNumber),
          uint32_t(toNumber(Item[1], "have", 0, MaxStepSamples))};
}

draw_request parseDraw(std::string_view Body) {
  static constexpr uint64_t MaxWaitMs = 60000;
  const json Object = parseObject(Body);
  draw_request Draw;
  Draw.Version = numberMember(Object, "version", 0, MaxNumber);
  Draw.Epoch = numberMemberOr(Object, "epoch", 0, MaxNumber, 0);
  Draw.MaxSamples = unsigned(
      numberMemberOr(Object, "max", 1, MaxStepSamples, Draw.MaxSamples));
  Draw.MaxWait =
      milliseconds(numberMemberOr(Object, "wait_ms", 0, MaxWaitMs, 0));
  for (const json &Item : arrayMember(Object, "have"))
    Draw.ReceivedSamples.push_back(parseSampleKey(Item));
  return Draw;
}

weights_request parseWeights(std::string_view Body) {
  const json Object = parseObject(Body);
  weights_request Weights;
  Weights.Version = numberMember(Object, "version", 1, MaxNumber);
  Weights.Source = textMember(Object, "source");
  if (Weights.Source.empty())
    throw input_error(400, "out_of_range", "source",
                      "the address of a weight store");
  return Weights;
}

uint64_t parseNumber(std::string_view Field, std::string_view Value) {
  uint64_t Number = 0;
  const char *End = Value.data() + Value.size();
  const auto [Last, Error] = std::from_chars(Value.data(), End, Number);
  if (Error != std::errc() || Last != End || Number > MaxNumber)
    throw input_error(400, "out_of_range", std::string(Field),
                      "a decimal number below 2^63");
  return Number;
}

milliseconds parseTimeout(std::string_view Value) {
  static constexpr uint64_t MinMs = 100;
  static constexpr uint64_t MaxMs = 300000;
  static constexpr const char *Allowed = "milliseconds from 100 to 300000";
  uint64_t Ms = 0;
  try {
    Ms = parseNumber("X-Request-Timeout-Ms", Value);
  } catch (const input_error &) {
    throw input_error(400, "out_of_range", "X-Request-Timeout-Ms", Allowed);
  }
  if (Ms < MinMs || Ms > MaxMs)
    throw input_error(400, "out_of_range", "X-Request-Timeout-Ms", Allowed);
  return milliseconds(Ms);
}

std::string parseIdempotencyKey(std::string_view Value) {
  static constexpr size_t MaxKeyBytes = 128;
  const bool Printable = std::all_of(
      Value.begin(), Value.end(), [](char C) { return C >= 0x20 && C < 0x7f; });
  if (Value.empty() || Value.size() > MaxKeyBytes || !Printable)
    throw input_error(400, "bad_idempotency_key", "Idempotency-Key",
                      "1 to 128 printable ASCII bytes");
  return std::string(Value);
}

} // namespace cardamom
