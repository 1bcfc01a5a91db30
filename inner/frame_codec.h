/// \file
/// Frames of the inner protocol: a 4-byte big-endian length and a message.
///
/// Use:
///   std::string Out;
///   appendFrame(Out, Message);
///   frame_decoder Decoder;
///   Decoder.append(Out, [](std::string_view Message) { ... });

#ifndef CARDAMOM_INNER_FRAME_CODEC_H
#define CARDAMOM_INNER_FRAME_CODEC_H

#include <cstddef>
#include <functional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace cardamom {

inline constexpr size_t FrameHeaderBytes = 4;
/// A document of the store has up to 1 MB, so it fits in one frame.
inline constexpr size_t MaxMessageBytes = size_t(1) << 20;

/// The bytes received are no frame. The connection cannot be used any more.
class frame_error : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

/// Appends the frame of Message. Throws std::length_error that names the size
/// of a message above MaxMessageBytes.
void appendFrame(std::string &Out, std::string_view Message);

/// Cuts a byte stream into messages. Holds at most one incomplete frame.
class frame_decoder {
public:
  using message_hook = std::function<void(std::string_view Message)>;

  /// Calls OnMessage for each message that Bytes complete; the view is valid
  /// during the call. Throws frame_error on a length above MaxMessageBytes.
  void append(std::string_view Bytes, const message_hook &OnMessage);
  /// Bytes of the incomplete frame.
  [[nodiscard]] size_t bufferedBytes() const { return Buffer.size(); }
  /// Size of the incomplete frame with its header; 0 when unknown.
  [[nodiscard]] size_t frameSize() const;

private:
  std::string Buffer;
};

} // namespace cardamom

#endif // CARDAMOM_INNER_FRAME_CODEC_H
