#include "inner/backoff.h"
#include "inner/frame_codec.h"
#include "inner/outbound_queue.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>
#include <string>
#include <vector>

namespace cardamom {

class frame_codec_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(frame_codec_test);
  CPPUNIT_TEST(decodesFramesAtAnySplit);
  CPPUNIT_TEST(refusesOversizedFrames);
  CPPUNIT_TEST(queueSignalsWritableOnce);
  CPPUNIT_TEST(boundsReconnectDelay);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against messages that are lost or merged when TCP splits them.
  void decodesFramesAtAnySplit() {
    const bool Passed = rc::check([](const std::vector<std::string> &Messages) {
      std::string Bytes;
      for (const std::string &Message : Messages)
        appendFrame(Bytes, Message);
      std::vector<std::string> Decoded;
      frame_decoder Decoder;
      std::string_view Remaining = Bytes;
      while (!Remaining.empty()) {
        const auto Part = *rc::gen::inRange<size_t>(1, 12);
        Decoder.append(
            Remaining.substr(0, Part),
            [&](std::string_view Message) { Decoded.emplace_back(Message); });
        Remaining.remove_prefix(std::min(Part, Remaining.size()));
      }
      RC_ASSERT(Decoded == Messages);
      RC_ASSERT(Decoder.bufferedBytes() == size_t(0));
    });
    CPPUNIT_ASSERT(Passed);
  }

  // Guards against a peer that makes this process allocate memory by announcing
  // a large frame.
  void refusesOversizedFrames() {
    const auto Ignore = [](std::string_view) {};
    std::string Frame;
    appendFrame(Frame, std::string(MaxMessageBytes, 'x'));
    frame_decoder Decoder;
    Decoder.append(Frame, Ignore);
    CPPUNIT_ASSERT_EQUAL(size_t(0), Decoder.bufferedBytes());
    const std::string TooLong("\x00\x10\x00\x01", FrameHeaderBytes);
    CPPUNIT_ASSERT_THROW(Decoder.append(TooLong, Ignore), frame_error);
    frame_decoder Split;
    Split.append(TooLong.substr(0, 3), Ignore);
    CPPUNIT_ASSERT_THROW(Split.append(TooLong.substr(3), Ignore), frame_error);
    CPPUNIT_ASSERT_THROW(
        appendFrame(Frame, std::string(MaxMessageBytes + 1, 'x')),
        std::length_error);
  }

  // Guards against a sender that waits forever because the pending bytes were
  // equal to the threshold before they fell below it.
  void queueSignalsWritableOnce() {
    constexpr size_t Threshold = outbound_queue::WritableThreshold;
    outbound_queue Queue(4 * Threshold);
    using result = outbound_queue::push_result;
    for (int I = 0; I < 2; ++I)
      CPPUNIT_ASSERT(Queue.push(std::string(Threshold - FrameHeaderBytes,
                                            'x')) == result::Queued);
    CPPUNIT_ASSERT(Queue.push(std::string(3 * Threshold, 'x')) == result::Full);
    std::vector<uint8_t> Out(Threshold / 2);
    int Signals = 0;
    while (Queue.pendingBytes() > 0) {
      const bool Writable = Queue.dequeue(Out).BecameWritable;
      Signals += Writable ? 1 : 0;
      CPPUNIT_ASSERT_EQUAL(Queue.pendingBytes() == Threshold / 2, Writable);
    }
    CPPUNIT_ASSERT_EQUAL(1, Signals);
    Queue.finish();
    CPPUNIT_ASSERT(Queue.dequeue(Out).EndOfStream);
    CPPUNIT_ASSERT(Queue.push("x") == result::Closed);
  }

  // Guards against clients that all reconnect at the same time, or never.
  void boundsReconnectDelay() {
    const backoff_options Options = {milliseconds(50), milliseconds(2000)};
    CPPUNIT_ASSERT(backoffDelay(Options, 0, 0) == milliseconds(25));
    CPPUNIT_ASSERT(backoffDelay(Options, 1, 0) == milliseconds(25));
    CPPUNIT_ASSERT(backoffDelay(Options, 3, 0) == milliseconds(100));
    CPPUNIT_ASSERT(backoffDelay(Options, 3, 0.5) == milliseconds(150));
    CPPUNIT_ASSERT(backoffDelay(Options, 4000000000U, 0.999) <=
                   milliseconds(2000));
    CPPUNIT_ASSERT(backoffDelay(Options, 4000000000U, 0) == milliseconds(1000));
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(frame_codec_test, "frame_codec_test");

} // namespace cardamom
