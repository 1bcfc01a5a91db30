/// \file
/// Parses and validates the requests of callers and trainers. Every function
/// throws input_error for invalid input.

#ifndef CARDAMOM_ENTRY_REQUEST_PARSING_H
#define CARDAMOM_ENTRY_REQUEST_PARSING_H

#include "base/time.h"

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace cardamom {

struct completion_request {
  std::string Model;
  std::string Prompt;
  unsigned MaxTokens = 256;
  bool Stream = false;
};

/// A group of a step: samples of one prompt.
struct step_group {
  uint64_t Id = 0;
  std::string Prompt;
  unsigned Samples = 1;
  unsigned MaxTokens = 1;
};

struct step_submission {
  uint64_t Version = 0;
  std::vector<step_group> Groups;
};

/// Maximum number of samples in one step; 512 are expected.
inline constexpr unsigned MaxStepSamples = 4096;
inline constexpr unsigned MaxTokensLimit = 65536;

struct sample_key {
  uint64_t Group = 0;
  uint32_t Index = 0;
  bool operator==(const sample_key &) const = default;
  bool operator<(const sample_key &Other) const {
    return std::tie(Group, Index) < std::tie(Other.Group, Other.Index);
  }
};

struct draw_request {
  uint64_t Version = 0;
  uint64_t Epoch = 0;
  std::vector<sample_key> ReceivedSamples;
  unsigned MaxSamples = 64;
  milliseconds MaxWait{0};
};

struct weights_request {
  uint64_t Version = 0;
  std::string Source;
};

completion_request parseCompletion(std::string_view Body);
step_submission parseSubmission(std::string_view Body);
draw_request parseDraw(std::string_view Body);
weights_request parseWeights(std::string_view Body);

/// Parses the value of X-Request-Timeout-Ms (100 to 300000).
milliseconds parseTimeout(std::string_view Value);
/// Parses the value of Idempotency-Key: 1 to 128 printable ASCII bytes.
std::string parseIdempotencyKey(std::string_view Value);
uint64_t parseNumber(std::string_view Field, std::string_view Value);

} // namespace cardamom

#endif // CARDAMOM_ENTRY_REQUEST_PARSING_H
