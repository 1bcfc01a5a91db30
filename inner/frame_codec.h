/// \file
/// Framing of the inner protocol: a 4-byte big-endian length followed by a
/// message.
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
/// A document in the store has at most 1 MB, so it fits into one frame.
inline constexpr size_t MaxMessageBytes = size_t(1) << 20;

/// The received bytes are not a valid frame. The connection cannot be used any
/// more.
class frame_error : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

/// Appends Message as a frame. Throws std::length_error, with the size of the
/// message in its text, if the message exceeds MaxMessageBytes.
void appendFrame(std::string &Out, std::string_view Message);

/// Splits a byte stream into messages. Buffers at most one incomplete frame.
class frame_decoder {
public:
  using message_hook = std::function<void(std::string_view Message)>;

  /// Appends received bytes and calls OnMessage for each message that is now
  /// complete. The view is valid only during the call. Throws frame_error if
  /// the length of a frame exceeds MaxMessageBytes.
  void append(std::string_view Bytes, const message_hook &OnMessage);
  /// Buffered bytes of the incomplete frame.
  [[nodiscard]] size_t bufferedBytes() const { return Buffer.size(); }
  /// Total size of the incomplete frame, including its header; 0 if not known
  /// yet.
  [[nodiscard]] size_t frameSize() const;

private:
  std::string Buffer;
};

} // namespace cardamom

#endif // CARDAMOM_INNER_FRAME_CODEC_H
