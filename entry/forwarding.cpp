#include "entry/forwarding.h"

#include "entry/step_service.h"
#include "inner/gen/messages.pb.h"
#include "inner/inner_client.h"
#include "inner/server_stream.h"

#include <future>
#include <optional>
#include <thread>
#include <utility>

namespace cardamom {

// How long a first connection to another entry may take.
static constexpr milliseconds OwnerConnectTimeout{1500};
static constexpr milliseconds ConnectRetryInterval{30};
// Longer than the maximum wait of a draw (60 s).
static constexpr milliseconds OwnerResponseTimeout{70000};

namespace {
struct forward_result {
  inner_stream_end End = inner_stream_end::NeverSent;
  std::optional<wire::forwarded_reply> Reply;
};

/// State shared with the stream's callbacks, which may still run after the
/// waiting thread has timed out.
struct forward_state {
  std::promise<forward_result> Done;
  std::optional<wire::forwarded_reply> Reply;
};
} // namespace

static std::string targetOf(const trainer_call &Call) {
  std::string Target =
      "/v1/trainers/" + Call.Trainer + "/steps/" + std::to_string(Call.Step);
  if (Call.Kind == trainer_call::kind::Draw)
    Target += "/draw";
  return Target;
}

static forward_result sendForwardedCall(inner_client &Client,
                                        const std::string &Address,
                                        const std::string &Path,
                                        const std::string &Message) {
  const auto State = std::make_shared<forward_state>();
  auto Future = State->Done.get_future();
  const auto Stream = Client.open(
      Address, Path, Message,
      {.OnMessage =
           [State](std::string_view Text) {
             wire::forwarded_reply Reply;
             if (Reply.ParseFromArray(Text.data(), int(Text.size())))
               State->Reply = std::move(Reply);
           },
       .OnClose =
           [State](inner_stream_end End, std::string_view) {
             State->Done.set_value({End, std::move(State->Reply)});
           }});
  if (Future.wait_for(OwnerResponseTimeout) != std::future_status::ready)
    Client.cancel(Stream);
  return Future.get();
}

static http_reply toHttpReply(const wire::forwarded_reply &Forwarded) {
  http_reply Reply;
  Reply.Status = int(Forwarded.status());
  Reply.ContentType = Forwarded.content_type();
  Reply.Body = Forwarded.body();
  Reply.IsError = Reply.Status >= 400;
  Reply.RetryAfter = milliseconds(Forwarded.retry_after_ms());
  return Reply;
}

http_reply forwardTrainerCall(inner_client &Client, const std::string &Address,
                              const trainer_call &Call) {
  wire::forwarded_call Forwarded;
  const bool Submit = Call.Kind == trainer_call::kind::Submit;
  Forwarded.set_method(Submit ? "PUT" : "POST");
  Forwarded.set_target(targetOf(Call));
  Forwarded.set_body(Call.Body);
  const std::string Message = Forwarded.SerializeAsString();
  const std::string Path = Submit ? "/submit" : "/draw";
  Client.addPeer(Address);
  const time_point ConnectUntil = steady_clock::now() + OwnerConnectTimeout;
  while (true) {
    const forward_result Result =
        sendForwardedCall(Client, Address, Path, Message);
    if (Result.Reply)
      return toHttpReply(*Result.Reply);
    if (Result.End != inner_stream_end::NeverSent)
      return errorReply({.Certainty = run_certainty::MayHaveRun,
                         .Reason = "owner_lost",
                         .Message =
                             "lost the connection to the entry that owns "
                             "the trainer's steps; repeat the call",
                         .RetryAfter = milliseconds(300)});
    if (steady_clock::now() >= ConnectUntil)
      return errorReply({.Certainty = run_certainty::NotRun,
                         .Reason = "owner_unreachable",
                         .Message = "cannot connect to the entry that owns the "
                                    "trainer's steps",
                         .RetryAfter = milliseconds(500)});
    std::this_thread::sleep_for(ConnectRetryInterval);
  }
}

static void sendForwardedReply(server_stream &Stream, const http_reply &Reply) {
  wire::forwarded_reply Forwarded;
  Forwarded.set_status(uint32_t(Reply.Status));
  Forwarded.set_content_type(Reply.ContentType);
  Forwarded.set_body(Reply.Body);
  Forwarded.set_retry_after_ms(uint32_t(Reply.RetryAfter.count()));
  Stream.send(Forwarded.SerializeAsString());
  Stream.finish();
}

void serveForwardedCall(step_service &Steps,
                        const std::shared_ptr<server_stream> &Stream,
                        std::string_view Message) {
  wire::forwarded_call Forwarded;
  std::optional<trainer_call> Call;
  try {
    if (Forwarded.ParseFromArray(Message.data(), int(Message.size())))
      Call = parseTrainerCall(Forwarded.method(), Forwarded.target());
  } catch (const input_error &Error) {
    sendForwardedReply(*Stream, errorReply(Error));
    return;
  }
  if (!Call) {
    sendForwardedReply(*Stream,
                       errorReply(input_error(400, "malformed_message", "call",
                                              "a trainer call")));
    return;
  }
  Call->Body = Forwarded.body();
  Steps.handleForwarded(std::move(*Call), [Stream](const http_reply &Reply) {
    sendForwardedReply(*Stream, Reply);
  });
}

} // namespace cardamom
