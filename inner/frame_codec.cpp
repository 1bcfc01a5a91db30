#include "inner/frame_codec.h"

#include <algorithm>
#include <cstdint>

namespace cardamom {

void appendFrame(std::string &Out, std::string_view Message) {
  if (Message.size() > MaxMessageBytes)
    throw std::length_error("message of " + std::to_string(Message.size()) +
                            " bytes exceeds the limit of " +
                            std::to_string(MaxMessageBytes));
  const auto Length = static_cast<uint32_t>(Message.size());
  for (int Shift = 24; Shift >= 0; Shift -= 8)
    Out += static_cast<char>(Length >> Shift);
  Out += Message;
}

// Bytes must contain at least FrameHeaderBytes bytes.
static size_t decodeFrameSize(std::string_view Bytes) {
  size_t Length = 0;
  for (size_t I = 0; I < FrameHeaderBytes; ++I)
    Length = Length << 8 | static_cast<unsigned char>(Bytes[I]);
  if (Length > MaxMessageBytes)
    throw frame_error("frame of " + std::to_string(Length) +
                      " bytes exceeds the limit of " +
                      std::to_string(MaxMessageBytes));
  return FrameHeaderBytes + Length;
}

// Moves bytes from Bytes to Buffer until Buffer holds Wanted bytes. Returns
// whether it does.
static bool fillBuffer(std::string &Buffer, size_t Wanted,
                       std::string_view &Bytes) {
  const size_t Missing = Wanted - Buffer.size();
  const size_t MovedBytes = std::min(Missing, Bytes.size());
  Buffer.append(Bytes.substr(0, MovedBytes));
  Bytes.remove_prefix(MovedBytes);
  return MovedBytes == Missing;
}

size_t frame_decoder::frameSize() const {
  return Buffer.size() < FrameHeaderBytes ? 0 : decodeFrameSize(Buffer);
}

void frame_decoder::append(std::string_view Bytes,
                           const message_hook &OnMessage) {
  if (!Buffer.empty()) {
    if (Buffer.size() < FrameHeaderBytes &&
        !fillBuffer(Buffer, FrameHeaderBytes, Bytes))
      return;
    if (!fillBuffer(Buffer, decodeFrameSize(Buffer), Bytes))
      return;
    const std::string Frame = std::move(Buffer);
    Buffer = {};
    OnMessage(std::string_view(Frame).substr(FrameHeaderBytes));
  }
  // Complete frames are passed to the callback without a copy.
  while (Bytes.size() >= FrameHeaderBytes) {
    const size_t Size = decodeFrameSize(Bytes);
    if (Bytes.size() < Size)
      break;
    OnMessage(Bytes.substr(FrameHeaderBytes, Size - FrameHeaderBytes));
    Bytes.remove_prefix(Size);
  }
  Buffer.assign(Bytes);
}

} // namespace cardamom
