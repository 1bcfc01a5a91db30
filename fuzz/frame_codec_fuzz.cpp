/// \file
/// Feeds arbitrary bytes to the frame codec and its messages to the parsers of
/// all message types of the inner protocol.
///
/// The first byte of the input is the size of the parts that the decoder gets.
/// Checks that the split makes no difference, that decoded messages encode to
/// the bytes they came from, and that what parses can be serialized and parsed
/// again.

#include "base/invariant.h"
#include "inner/frame_codec.h"
#include "inner/gen/messages.pb.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cardamom {

struct decoded_bytes {
  std::vector<std::string> Messages;
  bool Refused = false;
};

static decoded_bytes decode(std::string_view Bytes, size_t Part) {
  decoded_bytes Result;
  frame_decoder Decoder;
  try {
    while (!Bytes.empty()) {
      Decoder.append(Bytes.substr(0, Part), [&](std::string_view Message) {
        Result.Messages.emplace_back(Message);
      });
      Bytes.remove_prefix(std::min(Part, Bytes.size()));
    }
  } catch (const frame_error &) {
    Result.Refused = true;
  }
  return Result;
}

template <typename T> static void parse(const std::string &Bytes) {
  T Message;
  if (!Message.ParseFromString(Bytes))
    return;
  T Again;
  CARDAMOM_INVARIANT(Again.ParseFromString(Message.SerializeAsString()),
                     "a serialized message parses");
  CARDAMOM_INVARIANT(Again.ByteSizeLong() == Message.ByteSizeLong(),
                     "a parsed message keeps its size");
}

static void parseAll(const std::string &Bytes) {
  parse<wire::control_frame>(Bytes);
  parse<wire::run_request>(Bytes);
  parse<wire::run_event>(Bytes);
  parse<wire::attach_request>(Bytes);
  parse<wire::query_request>(Bytes);
  parse<wire::query_reply>(Bytes);
  parse<wire::cancel_request>(Bytes);
  parse<wire::ack_request>(Bytes);
  parse<wire::forwarded_call>(Bytes);
  parse<wire::forwarded_reply>(Bytes);
}

static void check(std::string_view Input) {
  if (Input.empty())
    return;
  const size_t Part = 1 + static_cast<unsigned char>(Input[0]);
  Input.remove_prefix(1);
  const decoded_bytes Whole = decode(Input, Input.size() + 1);
  const decoded_bytes Split = decode(Input, Part);
  CARDAMOM_INVARIANT(Whole.Messages == Split.Messages &&
                         Whole.Refused == Split.Refused,
                     "the split of the bytes makes no difference");
  std::string Encoded;
  for (const std::string &Message : Whole.Messages)
    appendFrame(Encoded, Message);
  CARDAMOM_INVARIANT(Input.starts_with(Encoded),
                     "messages encode to the bytes they came from");
  for (const std::string &Message : Whole.Messages)
    parseAll(Message);
  // Also without a frame, which random input seldom forms.
  parseAll(std::string(Input));
}

} // namespace cardamom

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *Data, size_t Size) {
  cardamom::check({reinterpret_cast<const char *>(Data), Size});
  return 0;
}
