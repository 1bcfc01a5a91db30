#include "inner/outbound_queue.h"

#include "inner/frame_codec.h"

#include <algorithm>
#include <cstring>
#include <utility>

namespace cardamom {

outbound_queue::push_result outbound_queue::push(std::string_view Message) {
  std::string Frame;
  Frame.reserve(FrameHeaderBytes + Message.size());
  appendFrame(Frame, Message);
  return pushFrame(std::move(Frame));
}

outbound_queue::push_result outbound_queue::pushFrame(std::string Frame) {
  std::lock_guard Lock(Mutex);
  if (Closed || Finished)
    return push_result::Closed;
  if (PendingBytes + Frame.size() > MaxBytes)
    return push_result::Full;
  PendingBytes += Frame.size();
  Frames.push_back(std::move(Frame));
  return push_result::Queued;
}

void outbound_queue::finish() {
  std::lock_guard Lock(Mutex);
  Finished = true;
}

void outbound_queue::close() {
  std::lock_guard Lock(Mutex);
  Closed = true;
  Frames.clear();
  Offset = 0;
  PendingBytes = 0;
}

outbound_queue::dequeue_result outbound_queue::dequeue(std::span<uint8_t> Out) {
  dequeue_result Result;
  std::lock_guard Lock(Mutex);
  const size_t Before = PendingBytes;
  while (!Frames.empty() && Result.Bytes < Out.size()) {
    const std::string &Frame = Frames.front();
    const size_t Length =
        std::min(Frame.size() - Offset, Out.size() - Result.Bytes);
    std::memcpy(Out.data() + Result.Bytes, Frame.data() + Offset, Length);
    Result.Bytes += Length;
    Offset += Length;
    if (Offset < Frame.size())
      break;
    Frames.pop_front();
    Offset = 0;
  }
  PendingBytes -= Result.Bytes;
  Result.EndOfStream = Frames.empty() && (Finished || Closed);
  Result.BecameWritable =
      Before >= WritableThreshold && PendingBytes < WritableThreshold;
  return Result;
}

size_t outbound_queue::pendingBytes() const {
  std::lock_guard Lock(Mutex);
  return PendingBytes;
}

bool outbound_queue::closed() const {
  std::lock_guard Lock(Mutex);
  return Closed;
}

} // namespace cardamom
