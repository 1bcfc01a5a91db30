/// \file
/// Fuzzes the frame codec and the parsers of all message types of the inner
/// protocol.
///
/// The first byte of the input selects the size of the chunks passed to the
/// decoder. Checks that chunking does not affect the result, that decoded
/// messages encode to the original bytes, and that parsed messages survive a
/// serialization round trip.

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

struct decode_result {
  std::vector<std::string> Messages;
  bool Rejected = false;
};

static decode_result decode(std::string_view Bytes, size_t ChunkSize) {
  decode_result Result;
  frame_decoder Decoder;
  try {
    while (!Bytes.empty()) {
      Decoder.append(Bytes.substr(0, ChunkSize), [&](std::string_view Message) {
        Result.Messages.emplace_back(Message);
      });
      Bytes.remove_prefix(std::min(ChunkSize, Bytes.size()));
    }
  } catch (const frame_error &) {
    Result.Rejected = true;
  }
  return Result;
}

template <typename T> static void checkRoundTrip(const std::string &Bytes) {
  T Message;
  if (!Message.ParseFromString(Bytes))
    return;
  T Reparsed;
  CARDAMOM_INVARIANT(Reparsed.ParseFromString(Message.SerializeAsString()),
                     "a serialized message parses");
  CARDAMOM_INVARIANT(Reparsed.ByteSizeLong() == Message.ByteSizeLong(),
                     "a parsed message keeps its size");
}

static void checkAllMessageTypes(const std::string &Bytes) {
  checkRoundTrip<wire::control_frame>(Bytes);
  checkRoundTrip<wire::run_request>(Bytes);
  checkRoundTrip<wire::run_event>(Bytes);
  checkRoundTrip<wire::attach_request>(Bytes);
  checkRoundTrip<wire::query_request>(Bytes);
  checkRoundTrip<wire::query_reply>(Bytes);
  checkRoundTrip<wire::cancel_request>(Bytes);
  checkRoundTrip<wire::ack_request>(Bytes);
  checkRoundTrip<wire::forwarded_call>(Bytes);
  checkRoundTrip<wire::forwarded_reply>(Bytes);
}

static void checkInput(std::string_view Input) {
  if (Input.empty())
    return;
  const size_t ChunkSize = 1 + static_cast<unsigned char>(Input[0]);
  Input.remove_prefix(1);
  const decode_result Whole = decode(Input, Input.size() + 1);
  const decode_result Split = decode(Input, ChunkSize);
  CARDAMOM_INVARIANT(Whole.Messages == Split.Messages &&
                         Whole.Rejected == Split.Rejected,
                     "chunking does not affect the decoded messages");
  std::string Encoded;
  for (const std::string &Message : Whole.Messages)
    appendFrame(Encoded, Message);
  CARDAMOM_INVARIANT(Input.starts_with(Encoded),
                     "decoded messages encode to the original bytes");
  for (const std::string &Message : Whole.Messages)
    checkAllMessageTypes(Message);
  // Random input rarely forms a valid frame, so parse it unframed as well.
  checkAllMessageTypes(std::string(Input));
}

} // namespace cardamom

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *Data, size_t Size) {
  cardamom::checkInput({reinterpret_cast<const char *>(Data), Size});
  return 0;
}
