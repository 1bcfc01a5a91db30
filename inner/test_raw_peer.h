/// \file
/// Test helper: a client that sends arbitrary frames, including frames that
/// violate the protocol. It does all its work inside its calls, on the calling
/// thread.

#ifndef CARDAMOM_INNER_TEST_RAW_PEER_H
#define CARDAMOM_INNER_TEST_RAW_PEER_H

#include "inner/gen/messages.pb.h"
#include "inner/http2_connection.h"
#include "inner/test_peers.h"

#include <functional>
#include <memory>
#include <poll.h>
#include <string>
#include <string_view>

namespace cardamom {

class test_raw_peer {
public:
  explicit test_raw_peer(uint16_t Port) {
    unique_fd Socket = startConnect(parseAddress(loopbackAddress(Port)));
    pollfd Ready = {Socket.get(), POLLOUT, 0};
    ::poll(&Ready, 1, 5000);
    Http2 = std::make_unique<http2_connection>(
        std::move(Socket),
        http2_connection_options{
            .Side = http2_side::Client,
            .Hooks = {.OnMessage =
                          [this](int32_t Stream, std::string_view Message) {
                            if (Stream == ControlStreamId)
                              LastControlFrame.ParseFromString(
                                  std::string(Message));
                            HelloAccepted = HelloAccepted ||
                                            LastControlFrame.has_hello_ok();
                            ++ReceivedMessages;
                          },
                      .OnRemoteEnd = [](int32_t) {},
                      .OnStreamClose = [](int32_t, bool, bool) {},
                      .OnWritable = [](int32_t) {}},
            .Now = steady_clock::now()});
  }

  static wire::hello makeHello(uint64_t Epoch) {
    wire::hello Hello;
    Hello.set_protocol_version(InnerProtocolVersion);
    Hello.set_name("raw");
    Hello.set_incarnation(99);
    Hello.set_epoch(Epoch);
    return Hello;
  }

  void sendControl(const wire::control_frame &Frame) {
    if (!ControlQueue) {
      ControlQueue = std::make_shared<outbound_queue>(MaxMessageBytes);
      ControlStreamId = Http2->request("/control", ControlQueue);
    }
    ControlQueue->push(Frame.SerializeAsString());
    Http2->resume(ControlStreamId);
    Http2->flush();
  }
  void sendHello(const wire::hello &Hello) {
    wire::control_frame Frame;
    *Frame.mutable_hello() = Hello;
    sendControl(Frame);
  }
  void sendRequest(std::string_view Path, std::string_view Message) {
    auto Body = std::make_shared<outbound_queue>(2 * MaxMessageBytes);
    Body->push(Message);
    Body->finish();
    Http2->request(Path, Body);
    Http2->flush();
  }

  /// Receives until Condition holds or the connection fails. Returns whether
  /// Condition holds.
  bool receiveUntil(const std::function<bool()> &Condition) {
    return waitFor([&] {
             if (!Condition() && !Http2->failed()) {
               Http2->receive(steady_clock::now());
               Http2->flush();
             }
             return Condition() || Http2->failed();
           }) &&
           Condition();
  }
  /// Waits for hello_ok.
  bool receiveHelloOk() {
    return receiveUntil([this] { return HelloAccepted; });
  }
  /// Waits until the server closes the connection.
  bool receiveUntilClosed() {
    return receiveUntil([this] { return Http2->failed(); });
  }

  std::unique_ptr<http2_connection> Http2;
  int32_t ControlStreamId = 0;
  std::shared_ptr<outbound_queue> ControlQueue;
  /// Last control frame received from the server.
  wire::control_frame LastControlFrame;
  unsigned ReceivedMessages = 0;
  bool HelloAccepted = false;
};

} // namespace cardamom

#endif // CARDAMOM_INNER_TEST_RAW_PEER_H
