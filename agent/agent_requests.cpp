#include "agent/agent_state.h"

#include "base/metrics.h"
#include "inner/server_stream.h"

#include <utility>

namespace cardamom {

static constexpr milliseconds DrainRetryAfter{1000};
static constexpr milliseconds PauseRetryAfter{250};
static constexpr milliseconds RouteRetryAfter{500};
static constexpr milliseconds TableFullRetryAfter{1000};
/// Maximum length of a request id. Generated ids are 32 hex digits.
static constexpr size_t MaxIdBytes = 64;
/// Maximum number of runs listed for a sample prefix. Keeps the reply under 1
/// MiB.
static constexpr size_t MaxListedRuns = 4096;

void agent::state::onRequest(std::shared_ptr<server_stream> Stream,
                             std::string_view Path, std::string_view Message) {
  if (Path == "/run")
    return onRun(std::move(Stream), Message);
  if (Path == "/attach")
    return onAttach(std::move(Stream), Message);
  if (Path == "/query")
    return onQuery(*Stream, Message);
  if (Path == "/cancel")
    return onCancel(*Stream, Message);
  if (Path == "/ack")
    return onAck(*Stream, Message);
  // "/order" is rejected too: only the agent's own weight reconciler sends
  // orders.
  metrics::get()
      .counter("inner_requests_rejected_total", "path",
               Path == "/order" ? "order" : "unknown")
      .add();
  Stream->finish();
}

template <typename T>
static bool parseMessage(T &Parsed, std::string_view Message) {
  return Parsed.ParseFromArray(Message.data(), int(Message.size()));
}

static bool isWellFormed(const wire::run_request &Request) {
  return !Request.request_id().empty() &&
         Request.request_id().size() <= MaxIdBytes &&
         (Request.has_plain() || Request.has_model());
}

bool agent::state::refuseRun(const wire::run_request &Request, time_point Now,
                             wire::run_end &End) {
  const auto Settings = Documents.settings();
  if (!drainReasons().empty())
    End = makeRefusal("draining", "the upstream is leaving", DrainRetryAfter);
  else if (!Settings->Config)
    End = makeRefusal("no_configuration", "no configuration is known yet",
                      RouteRetryAfter);
  else if (!PauseGuard.admits(Now))
    End = makeRefusal("configuration_unconfirmed",
                      "the process was paused and asks its peers for the "
                      "configuration version",
                      PauseRetryAfter);
  else if (const std::string Reason = Settings->routeRefusalReason(Request);
           !Reason.empty())
    End = makeRefusal(Reason,
                      "configuration " + std::to_string(Settings->version()) +
                          " does not route the call to " + Options.Name,
                      RouteRetryAfter);
  else
    return false;
  return true;
}

void agent::state::onRun(std::shared_ptr<server_stream> Stream,
                         std::string_view Message) {
  wire::run_request Request;
  if (!parseMessage(Request, Message) || !isWellFormed(Request))
    return sendEnd(*Stream, makeRefusal("bad_request", "malformed run_request",
                                        milliseconds(0)));
  if (Request.agent_incarnation() != Options.Incarnation)
    return sendEnd(*Stream,
                   makeRefusal("wrong_incarnation",
                               "the request is meant for another process",
                               milliseconds(0)));
  const time_point Now = steady_clock::now();
  const std::string &Id = Request.request_id();
  const insert_result Inserted =
      Table.insert({.RequestId = Id,
                    .Attempt = Request.attempt(),
                    .Idempotent = Request.idempotent(),
                    .Sample = Request.sample(),
                    .HasIdempotencyKey = !Request.idempotent() &&
                                         !Request.idempotency_key().empty()},
                   Now);
  if (Inserted == insert_result::TableFull)
    return sendEnd(*Stream,
                   makeRefusal("run_table_full", "too many runs are retained",
                               TableFullRetryAfter));
  // A known run is never started again. The peer reads its response instead.
  ResponseStreams.attach(std::move(Stream), Id, 0, Now);
  if (Inserted == insert_result::Known)
    return;
  wire::run_end End;
  if (refuseRun(Request, Now, End))
    Table.finish(Id, std::move(End), Now);
  else
    Executor.submit(std::move(Request), Now);
}

void agent::state::onAttach(std::shared_ptr<server_stream> Stream,
                            std::string_view Message) {
  wire::attach_request Request;
  wire::run_end End;
  End.set_code(wire::RUN_UNKNOWN);
  if (!parseMessage(Request, Message)) {
    End.set_reason("bad_request");
    return sendEnd(*Stream, End);
  }
  if (Request.agent_incarnation() != Options.Incarnation)
    // Not RUN_UNKNOWN, which would claim that the run does not exist: this
    // process has no information about runs of another process.
    return sendEnd(*Stream, makeRefusal("wrong_incarnation",
                                        "the run belongs to another process",
                                        milliseconds(0)));
  ResponseStreams.attach(std::move(Stream), Request.request_id(),
                         Request.offset(), steady_clock::now());
}

void agent::state::onQuery(server_stream &Stream, std::string_view Message) {
  wire::query_request Request;
  wire::query_reply Reply;
  if (!parseMessage(Request, Message))
    return Stream.finish();
  const bool SameIncarnation =
      Request.agent_incarnation() == Options.Incarnation;
  for (const std::string &Id : Request.request_ids()) {
    wire::run_status &Status = *Reply.add_runs();
    Status.set_request_id(Id);
    Status.set_state(SameIncarnation ? Table.query(Id)
                                     : wire::WRONG_INCARNATION);
  }
  if (SameIncarnation && !Request.sample_prefix().empty()) {
    for (auto &[Id, Sample] : Table.listBySample(Request.sample_prefix())) {
      if (size_t(Reply.runs_size()) >= MaxListedRuns)
        break;
      wire::run_status &Status = *Reply.add_runs();
      Status.set_state(Table.query(Id));
      Status.set_request_id(std::move(Id));
      Status.set_sample(std::move(Sample));
    }
  }
  Stream.send(Reply.SerializeAsString());
  Stream.finish();
}

static void sendEmpty(server_stream &Stream) {
  Stream.send(wire::empty_reply().SerializeAsString());
  Stream.finish();
}

void agent::state::onCancel(server_stream &Stream, std::string_view Message) {
  wire::cancel_request Request;
  if (!parseMessage(Request, Message))
    return Stream.finish();
  for (const std::string &Id : Request.request_ids())
    Executor.cancel(Id, Request.reason(), steady_clock::now());
  sendEmpty(Stream);
}

void agent::state::onAck(server_stream &Stream, std::string_view Message) {
  wire::ack_request Request;
  if (!parseMessage(Request, Message))
    return Stream.finish();
  for (const std::string &Id : Request.request_ids())
    Table.acknowledge(Id, steady_clock::now());
  sendEmpty(Stream);
}

void agent::state::onControl(const wire::control_frame &Frame) {
  if (!Frame.has_heartbeat())
    return;
  const uint64_t OwnVersion = Documents.exchange().version("config");
  for (const wire::document_version &Document : Frame.heartbeat().documents())
    if (Document.name() == "config")
      PauseGuard.onPeerVersion(Document.version(), OwnVersion,
                               steady_clock::now());
}

} // namespace cardamom
