#include "inner/http2_connection.h"

#include "base/log.h"
#include "base/metrics.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <nghttp2/nghttp2.h>
#include <stdexcept>
#include <sys/socket.h>

namespace cardamom {

static constexpr size_t ReadBufferBytes = size_t(64) << 10;
// recv() calls on one connection before other connections are served.
static constexpr int MaxReadsPerCall = 4;
// Bytes serialized by nghttp2 before they are written. Requests in this buffer
// have not been passed to the socket yet.
static constexpr size_t WriteBufferBytes = size_t(64) << 10;
// Buffer capacity kept between writes, so that small messages need no
// allocation.
static constexpr size_t MaxIdleBufferBytes = 2048;
// Flow control is done per stream; the connection window must not limit the
// streams further.
static constexpr int32_t ConnectionWindowBytes = 16 << 20;
// Rate limit of stream resets. Peers are trusted, and an entry may cancel all
// its runs at once.
static constexpr uint64_t ResetBurst = 4 * uint64_t(MaxStreams);
static constexpr uint64_t ResetsPerSecond = MaxStreams;

// Runs the body of an nghttp2 callback. An exception must not propagate through
// the C code of nghttp2, so it marks the connection as failed.
template <typename F>
static int runCallback(http2_connection &Connection, F Body) {
  try {
    Body();
  } catch (const frame_error &) {
    Connection.fail("malformed_frame");
  } catch (const std::exception &Error) {
    logError("inner_hook_failed", {{"error", Error.what()}});
    Connection.fail("hook_failed");
  }
  return Connection.failed() ? NGHTTP2_ERR_CALLBACK_FAILURE : 0;
}

/// nghttp2 callbacks; UserData points to the http2_connection.
struct http2_callbacks {
  static http2_connection &self(void *UserData) {
    return *static_cast<http2_connection *>(UserData);
  }

  static bool isRequest(const nghttp2_frame *Frame) {
    return Frame->hd.type == NGHTTP2_HEADERS &&
           Frame->headers.cat == NGHTTP2_HCAT_REQUEST;
  }

  static int onBeginHeaders(nghttp2_session *, const nghttp2_frame *Frame,
                            void *UserData) {
    if (!isRequest(Frame))
      return 0;
    http2_connection &Self = self(UserData);
    return runCallback(Self, [&] { Self.Streams[Frame->hd.stream_id]; });
  }

  static int onHeader(nghttp2_session *, const nghttp2_frame *Frame,
                      const uint8_t *Name, size_t NameLength,
                      const uint8_t *Value, size_t ValueLength, uint8_t,
                      void *UserData) {
    const std::string_view Key(reinterpret_cast<const char *>(Name),
                               NameLength);
    if (!isRequest(Frame) || Key != ":path")
      return 0;
    http2_connection &Self = self(UserData);
    return runCallback(Self, [&] {
      Self.Streams[Frame->hd.stream_id].Path.assign(
          reinterpret_cast<const char *>(Value), ValueLength);
    });
  }

  static int onFrameRecv(nghttp2_session *, const nghttp2_frame *Frame,
                         void *UserData) {
    http2_connection &Self = self(UserData);
    const int32_t Id = Frame->hd.stream_id;
    return runCallback(Self, [&] {
      if (Frame->hd.type == NGHTTP2_GOAWAY)
        Self.fail("goaway");
      if (isRequest(Frame))
        Self.Hooks.OnRequest(Id, std::string(Self.Streams[Id].Path));
      const bool MayEndStream =
          Frame->hd.type == NGHTTP2_HEADERS || Frame->hd.type == NGHTTP2_DATA;
      if (MayEndStream && (Frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0 &&
          !Self.failed())
        Self.onEndStream(Id);
    });
  }

  static int onInvalidFrame(nghttp2_session *, const nghttp2_frame *, int,
                            void *UserData) {
    self(UserData).fail("malformed_http2");
    return NGHTTP2_ERR_CALLBACK_FAILURE;
  }

  static int onData(nghttp2_session *, uint8_t, int32_t Id, const uint8_t *Data,
                    size_t Length, void *UserData) {
    http2_connection &Self = self(UserData);
    const std::string_view Bytes(reinterpret_cast<const char *>(Data), Length);
    return runCallback(Self, [&] { Self.onData(Id, Bytes); });
  }

  static int onStreamClose(nghttp2_session *, int32_t Id, uint32_t ErrorCode,
                           void *UserData) {
    http2_connection &Self = self(UserData);
    if (!Self.Streams.contains(Id))
      return 0;
    const bool Serialized = Self.requestSerialized(Id);
    Self.Streams.erase(Id);
    return runCallback(Self, [&] {
      Self.Hooks.OnStreamClose(Id, ErrorCode == NGHTTP2_NO_ERROR, Serialized);
    });
  }

  static int beforeFrameSend(nghttp2_session *, const nghttp2_frame *Frame,
                             void *UserData) {
    if (!isRequest(Frame))
      return 0;
    http2_connection &Self = self(UserData);
    const auto It = Self.Streams.find(Frame->hd.stream_id);
    if (It != Self.Streams.end())
      It->second.RequestOffset = Self.SerializedBytes;
    return 0;
  }

  static ssize_t readBody(nghttp2_session *, int32_t Id, uint8_t *Out,
                          size_t Length, uint32_t *Flags,
                          nghttp2_data_source *Source, void *UserData) {
    http2_connection &Self = self(UserData);
    auto *Queue = static_cast<outbound_queue *>(Source->ptr);
    const outbound_queue::dequeue_result Dequeued =
        Queue->dequeue({Out, Length});
    if (Dequeued.EndOfStream)
      *Flags |= NGHTTP2_DATA_FLAG_EOF;
    if (Dequeued.BecameWritable &&
        runCallback(Self, [&] { Self.Hooks.OnWritable(Id); }) != 0)
      return NGHTTP2_ERR_CALLBACK_FAILURE;
    if (Dequeued.Bytes == 0 && !Dequeued.EndOfStream)
      return NGHTTP2_ERR_DEFERRED;
    return static_cast<ssize_t>(Dequeued.Bytes);
  }
};

namespace {
/// nghttp2 callbacks and options, shared by all sessions.
class session_settings {
public:
  session_settings() {
    if (nghttp2_session_callbacks_new(&Callbacks) != 0 ||
        nghttp2_option_new(&Option) != 0)
      throw std::bad_alloc();
    using c = http2_callbacks;
    nghttp2_session_callbacks_set_on_begin_headers_callback(Callbacks,
                                                            c::onBeginHeaders);
    nghttp2_session_callbacks_set_on_header_callback(Callbacks, c::onHeader);
    nghttp2_session_callbacks_set_on_frame_recv_callback(Callbacks,
                                                         c::onFrameRecv);
    nghttp2_session_callbacks_set_on_invalid_frame_recv_callback(
        Callbacks, c::onInvalidFrame);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(Callbacks,
                                                              c::onData);
    nghttp2_session_callbacks_set_on_stream_close_callback(Callbacks,
                                                           c::onStreamClose);
    nghttp2_session_callbacks_set_before_frame_send_callback(
        Callbacks, c::beforeFrameSend);
    nghttp2_option_set_no_auto_window_update(Option, 1);
    nghttp2_option_set_stream_reset_rate_limit(Option, ResetBurst,
                                               ResetsPerSecond);
    // nghttp2 keeps closed streams for stream priorities, which are not used
    // here.
    nghttp2_option_set_no_closed_streams(Option, 1);
  }
  ~session_settings() {
    nghttp2_session_callbacks_del(Callbacks);
    nghttp2_option_del(Option);
  }
  session_settings(const session_settings &) = delete;
  session_settings &operator=(const session_settings &) = delete;

  nghttp2_session *create(http2_side Side, void *UserData) const {
    nghttp2_session *Session = nullptr;
    const auto NewSession = Side == http2_side::Client
                                ? nghttp2_session_client_new2
                                : nghttp2_session_server_new2;
    if (NewSession(&Session, Callbacks, UserData, Option) != 0)
      throw std::bad_alloc();
    return Session;
  }

private:
  nghttp2_session_callbacks *Callbacks = nullptr;
  nghttp2_option *Option = nullptr;
};
} // namespace

http2_connection::http2_connection(unique_fd Socket,
                                   http2_connection_options Options)
    : Socket(std::move(Socket)), Hooks(std::move(Options.Hooks)),
      LastReceived(Options.Now) {
  static const session_settings Settings;
  Session = Settings.create(Options.Side, this);
  const std::array<nghttp2_settings_entry, 3> Entries = {{
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, MaxStreams},
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, StreamWindowBytes},
      {NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
  }};
  nghttp2_submit_settings(Session, NGHTTP2_FLAG_NONE, Entries.data(),
                          Entries.size());
  nghttp2_session_set_local_window_size(Session, NGHTTP2_FLAG_NONE, 0,
                                        ConnectionWindowBytes);
}

http2_connection::~http2_connection() { nghttp2_session_del(Session); }

void http2_connection::fail(std::string_view Reason) {
  if (Failure.empty())
    Failure = Reason;
}

void http2_connection::receive(time_point Now) {
  static thread_local std::array<char, ReadBufferBytes> Buffer;
  for (int I = 0; I < MaxReadsPerCall && !failed(); ++I) {
    const ssize_t Count = ::recv(fd(), Buffer.data(), Buffer.size(), 0);
    if (Count == 0)
      return fail("closed_by_peer");
    if (Count < 0) {
      if (errno != EAGAIN && errno != EINTR)
        fail("connection_reset");
      return;
    }
    LastReceived = Now;
    const auto Length = static_cast<size_t>(Count);
    parseInput({Buffer.data(), Length});
    if (Length < Buffer.size())
      return;
  }
}

void http2_connection::parseInput(std::string_view Bytes) {
  const ssize_t Used = nghttp2_session_mem_recv(
      Session, reinterpret_cast<const uint8_t *>(Bytes.data()), Bytes.size());
  if (Used < 0)
    fail("malformed_http2");
  if (Failure.starts_with("malformed"))
    metrics::get().counter("inner_malformed_total", "kind", Failure).add();
}

void http2_connection::onData(int32_t Id, std::string_view Bytes) {
  nghttp2_session_consume_connection(Session, Bytes.size());
  const auto It = Streams.find(Id);
  if (It == Streams.end())
    return;
  stream &Stream = It->second;
  Stream.ReceivedBytes += Bytes.size();
  Stream.Decoder.append(Bytes, [&](std::string_view Message) {
    if (failed())
      return;
    Stream.ReleasedBytes += FrameHeaderBytes;
    Hooks.OnMessage(Id, Message);
  });
  updateWindow(Id, Stream);
}

void http2_connection::updateWindow(int32_t Id, stream &Stream) {
  uint64_t Target =
      Stream.ManualFlowControl ? Stream.ReleasedBytes : Stream.ReceivedBytes;
  // nghttp2 sends WINDOW_UPDATE only once half of the window is consumed. A
  // message longer than the other half could stall forever, so its bytes count
  // as consumed on arrival, provided that the caller has consumed all complete
  // messages. At most one such message is thus received beyond the window.
  const size_t Buffered = Stream.Decoder.bufferedBytes();
  const bool AllMessagesReleased =
      Stream.ReleasedBytes >= Stream.ReceivedBytes - Buffered;
  if (AllMessagesReleased &&
      Stream.Decoder.frameSize() > size_t(StreamWindowBytes) / 2)
    Target = Stream.ReceivedBytes;
  Target = std::min(Target, Stream.ReceivedBytes);
  if (Target <= Stream.ConsumedBytes)
    return;
  nghttp2_session_consume_stream(Session, Id, Target - Stream.ConsumedBytes);
  Stream.ConsumedBytes = Target;
}

void http2_connection::onEndStream(int32_t Id) {
  const auto It = Streams.find(Id);
  if (It == Streams.end())
    return;
  if (It->second.Decoder.bufferedBytes() > 0)
    throw frame_error("stream ended within a frame");
  Hooks.OnRemoteEnd(Id);
}

void http2_connection::enableManualFlowControl(int32_t Stream) {
  const auto It = Streams.find(Stream);
  if (It == Streams.end() || It->second.ManualFlowControl)
    return;
  It->second.ManualFlowControl = true;
  It->second.ReleasedBytes = It->second.ConsumedBytes;
}

void http2_connection::consume(int32_t Stream, size_t Bytes) {
  const auto It = Streams.find(Stream);
  if (It == Streams.end())
    return;
  It->second.ReleasedBytes += Bytes;
  updateWindow(Stream, It->second);
}

bool http2_connection::requestSent(int32_t Stream) const {
  const auto It = Streams.find(Stream);
  return It != Streams.end() && It->second.RequestOffset < WrittenBytes;
}

bool http2_connection::requestSerialized(int32_t Stream) const {
  const auto It = Streams.find(Stream);
  return It != Streams.end() && It->second.RequestOffset != NotSerialized;
}

static nghttp2_nv makeField(std::string_view Name, std::string_view Value) {
  // nghttp2 takes pointers to mutable bytes but does not write to them.
  const auto Bytes = [](std::string_view Text) {
    return reinterpret_cast<uint8_t *>(const_cast<char *>(Text.data()));
  };
  return {Bytes(Name), Bytes(Value), Name.size(), Value.size(),
          NGHTTP2_NV_FLAG_NONE};
}

static nghttp2_data_provider makeProvider(outbound_queue *Out) {
  nghttp2_data_provider Provider = {};
  Provider.source.ptr = Out;
  Provider.read_callback = http2_callbacks::readBody;
  return Provider;
}

int32_t http2_connection::request(std::string_view Path,
                                  std::shared_ptr<outbound_queue> Out) {
  const std::array<nghttp2_nv, 4> Fields = {
      makeField(":method", "POST"), makeField(":scheme", "http"),
      makeField(":authority", "inner"), makeField(":path", Path)};
  const nghttp2_data_provider Provider = makeProvider(Out.get());
  const int32_t Id = nghttp2_submit_request(Session, nullptr, Fields.data(),
                                            Fields.size(), &Provider, nullptr);
  if (Id < 0) {
    fail("streams_exhausted");
    return Id;
  }
  Streams[Id].Out = std::move(Out);
  return Id;
}

void http2_connection::respond(int32_t Stream,
                               std::shared_ptr<outbound_queue> Out) {
  const auto It = Streams.find(Stream);
  if (It == Streams.end())
    return;
  const std::array<nghttp2_nv, 1> Fields = {makeField(":status", "200")};
  const nghttp2_data_provider Provider = makeProvider(Out.get());
  nghttp2_submit_response(Session, Stream, Fields.data(), Fields.size(),
                          &Provider);
  It->second.Out = std::move(Out);
}

void http2_connection::resume(int32_t Stream) {
  // An error only means that the stream is closed or not waiting for data.
  nghttp2_session_resume_data(Session, Stream);
}

void http2_connection::reset(int32_t Stream) {
  nghttp2_submit_rst_stream(Session, NGHTTP2_FLAG_NONE, Stream, NGHTTP2_CANCEL);
}

bool http2_connection::writeToSocket() {
  while (!WriteBuffer.empty()) {
    const ssize_t Count =
        ::send(fd(), WriteBuffer.data(), WriteBuffer.size(), MSG_NOSIGNAL);
    if (Count < 0) {
      if (errno == EINTR)
        continue;
      if (errno != EAGAIN)
        fail("connection_reset");
      return false;
    }
    WrittenBytes += static_cast<size_t>(Count);
    WriteBuffer.erase(0, static_cast<size_t>(Count));
  }
  return true;
}

void http2_connection::fillWriteBuffer() {
  while (WriteBuffer.size() < WriteBufferBytes) {
    const uint8_t *Block = nullptr;
    const ssize_t Length = nghttp2_session_mem_send(Session, &Block);
    if (Length < 0)
      return fail("internal_error");
    if (Length == 0)
      return;
    WriteBuffer.append(reinterpret_cast<const char *>(Block),
                       static_cast<size_t>(Length));
    SerializedBytes += static_cast<size_t>(Length);
  }
}

void http2_connection::flush() {
  while (!failed() && writeToSocket()) {
    fillWriteBuffer();
    if (WriteBuffer.empty())
      break;
  }
  // Avoids keeping a large buffer for an idle connection.
  if (WriteBuffer.empty() && WriteBuffer.capacity() > MaxIdleBufferBytes)
    WriteBuffer = {};
  checkSessionEnded();
}

// After a protocol error by the peer, nghttp2 only sends GOAWAY and then stops
// reading and writing.
void http2_connection::checkSessionEnded() {
  if (failed() || nghttp2_session_want_read(Session) != 0 ||
      nghttp2_session_want_write(Session) != 0)
    return;
  fail("malformed_http2");
  metrics::get().counter("inner_malformed_total", "kind", Failure).add();
}

} // namespace cardamom
