/// \file
/// Fuzzes the server and the client side of an HTTP/2 connection.
///
/// The first byte of the input selects the side, and whether the input is
/// prefixed with valid request or response headers, which random bytes rarely
/// form. A server receives the HTTP/2 preface first. Like the owner of a
/// connection, the hooks send responses, reset streams, enable manual flow
/// control and consume data. Checks that no hook is called for a stream before
/// its request or after its close, or after the connection has failed.

#include "base/invariant.h"
#include "inner/http2_connection.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <sys/socket.h>

namespace cardamom {

/// A connection whose hooks call back into it as its owner may.
class fuzzed_connection {
public:
  fuzzed_connection(unique_fd Socket, http2_side Side)
      : Http2(std::move(Socket), {.Side = Side, .Hooks = hooks(), .Now = {}}) {
    if (Side == http2_side::Client)
      OpenStreams.insert(Http2.request("/control", makeBody("hello")));
  }

  void run() {
    Http2.flush();
    for (int I = 0; I < 4 && !Http2.failed(); ++I) {
      Http2.receive({});
      Http2.flush();
    }
  }

private:
  static std::shared_ptr<outbound_queue> makeBody(std::string_view Message) {
    auto Body = std::make_shared<outbound_queue>(MaxMessageBytes);
    Body->push(Message);
    Body->finish();
    return Body;
  }

  void checkOpen(int32_t Stream) {
    CARDAMOM_INVARIANT(!Http2.failed(), "no hook after a failure");
    CARDAMOM_INVARIANT(OpenStreams.contains(Stream), "the stream is open");
  }

  http2_hooks hooks() {
    return {.OnRequest =
                [this](int32_t Stream, std::string_view Path) {
                  OpenStreams.insert(Stream);
                  checkOpen(Stream);
                  if (Path.size() % 2 == 0)
                    Http2.enableManualFlowControl(Stream);
                },
            .OnMessage =
                [this](int32_t Stream, std::string_view Message) {
                  checkOpen(Stream);
                  Http2.consume(Stream, Message.size());
                  if (Message.size() % 7 == 6)
                    Http2.reset(Stream);
                  if (Message.size() % 11 == 10)
                    Http2.fail("malformed_message");
                },
            .OnRemoteEnd =
                [this](int32_t Stream) {
                  checkOpen(Stream);
                  Http2.respond(Stream, makeBody("answer"));
                },
            .OnStreamClose =
                [this](int32_t Stream, bool, bool) {
                  checkOpen(Stream);
                  OpenStreams.erase(Stream);
                },
            .OnWritable = [](int32_t) {}};
  }

  std::set<int32_t> OpenStreams;
  http2_connection Http2;
};

using namespace std::string_view_literals;

// An empty SETTINGS frame, which must be the first frame.
static constexpr std::string_view SettingsFrame = "\0\0\0\x04\0\0\0\0\0"sv;
// HEADERS of stream 1: POST, http, "/", authority "x".
static constexpr std::string_view RequestHeaders =
    "\0\0\x06\x01\x04\0\0\0\x01\x83\x86\x84\x41\x01x"sv;
// HEADERS of stream 1: status 200.
static constexpr std::string_view ResponseHeaders =
    "\0\0\x01\x01\x04\0\0\0\x01\x88"sv;

static void checkInput(std::string_view Input) {
  if (Input.empty())
    return;
  const auto Mode = static_cast<unsigned char>(Input[0]);
  const auto Side = Mode % 2 == 0 ? http2_side::Server : http2_side::Client;
  std::string Bytes;
  if (Side == http2_side::Server)
    Bytes = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
  if (Mode % 4 >= 2) {
    Bytes += SettingsFrame;
    Bytes += Side == http2_side::Server ? RequestHeaders : ResponseHeaders;
  }
  Bytes += Input.substr(1);
  std::array<int, 2> Pair = {};
  if (::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, Pair.data()) != 0)
    return;
  const unique_fd Peer(Pair[0]);
  fuzzed_connection Connection(unique_fd(Pair[1]), Side);
  ::send(Peer.get(), Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
  Connection.run();
}

} // namespace cardamom

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *Data, size_t Size) {
  cardamom::checkInput({reinterpret_cast<const char *>(Data), Size});
  return 0;
}
