#include "jobs/item_run.h"

#include "gateway/replica_directory.h"
#include "http/event_loop.h"

namespace cardamom {

static constexpr unsigned StatusOk = 200;
static constexpr unsigned StatusUnprocessable = 422;
static constexpr unsigned StatusServerError = 500;

std::string_view toString(item_run_outcome Outcome) {
  switch (Outcome) {
  case item_run_outcome::Complete:
    return "complete";
  case item_run_outcome::Refused:
    return "refused";
  case item_run_outcome::Misdirected:
    return "misdirected";
  case item_run_outcome::Failed:
    return "failed";
  case item_run_outcome::Impossible:
    return "impossible";
  case item_run_outcome::TooOld:
    return "too_old";
  case item_run_outcome::Broken:
    break;
  }
  return "broken";
}

item_run::item_run(item_run_options Options, const upstream_request &Request,
                   const replica &Replica, item_text &Text, time_point Now,
                   std::function<void(item_run_end)> OnEnd)
    : Options(std::move(Options)), RequestId(Request.RequestId),
      ReplicaId(Replica.Id), Text(Text), OnEnd(std::move(OnEnd)),
      Parser(std::string(this->Options.EventVersionField),
             [this](const stream_event &Event) { onEvent(Event); }),
      Charge(this->Options.Buffers), StartedAt(Now), ProgressAt(Now) {
  this->Call = this->Options.Client.send(
      Replica.Address, this->Options.Protocol.Encode(Request),
      {.RequestId = RequestId,
       .MayWrite = this->Options.MayWrite,
       .OnHead = [this](const http_response &Response) { onHead(Response); },
       .OnBody =
           [this](std::string_view Data) {
             if (!Streaming || Ended)
               return;
             Parser.feed(Data);
             if (!Charge.set(Parser.bufferedBytes()))
               Parser.abandon();
             if (!Parser.failed())
               return;
             Charge.set(0);
             end(item_run_outcome::Broken, "event too large");
           },
       .OnEnd = [this](const call_completion &End) { onEnd(End); }});
}

void item_run::onHead(const http_response &Response) {
  const upstream_head Head = Options.Protocol.Decode(Response);
  if (Options.OnHead)
    Options.OnHead(Head);
  if (Head.RequestId != RequestId)
    return end(item_run_outcome::Broken, "response to another request");
  const std::string Status = "status " + std::to_string(Head.Status);
  if (Head.WrongReplica)
    return end(item_run_outcome::Misdirected, Status);
  if (Head.NotRun)
    return end(item_run_outcome::Refused, Status);
  if (Head.Status == StatusUnprocessable)
    return end(item_run_outcome::Impossible, Status);
  if (Head.Status == StatusServerError)
    return end(item_run_outcome::Failed, Status);
  if (Head.Status != StatusOk)
    return end(item_run_outcome::Broken, Status);
  if (Head.ContentEncoded || Head.Signature.empty())
    return end(item_run_outcome::Broken,
               "response is unsigned or has a content encoding");
  // The response may hold no events. It then ends the text, so it must not be
  // an error page.
  MediaType = mediaTypeOf(Response.Headers);
  if (Text.LastEvent && Text.MediaType && MediaType != *Text.MediaType)
    return end(item_run_outcome::Broken, "other content type");
  // A response without further events has no version.
  Version = Head.WeightVersion;
  if (Version && Options.OnVersion)
    Options.OnVersion(*Version);
  if (Version && *Version < Options.MinVersion)
    return end(item_run_outcome::TooOld, "version " + std::to_string(*Version));
  Streaming = true;
}

void item_run::onEvent(const stream_event &Event) {
  if (Ended)
    return;
  if (Event.Version) {
    Version = Event.Version;
    if (Options.OnVersion)
      Options.OnVersion(*Version);
  }
  if (!Version)
    return end(item_run_outcome::Broken, "event without a weight version");
  if (!Event.Id || (Text.LastEvent && *Event.Id != *Text.LastEvent + 1))
    return end(item_run_outcome::Broken, "event id missing or out of order");
  const bool OtherVersion =
      !Text.Versions.empty() && !Text.Versions.contains(*Version);
  if (*Version < Options.MinVersion || (Options.SingleVersion && OtherVersion))
    return end(item_run_outcome::TooOld, "version " + std::to_string(*Version));
  if (Text.Text.size() + Event.Data.size() >= Options.MaxTextBytes) {
    Text = {};
    return end(item_run_outcome::Broken, "text too large");
  }
  if (Text.Events > 0)
    Text.Text += '\n';
  Text.Text += Event.Data;
  Text.LastEvent = Event.Id;
  Text.MediaType = MediaType;
  Text.Versions.insert(*Version);
  ++Text.Events;
  ++Events;
  const time_point Now = event_loop::now();
  if (FirstEventAt && Options.OnInterval)
    Options.OnInterval(Now - ProgressAt);
  ProgressAt = Now;
  if (!FirstEventAt)
    FirstEventAt = ProgressAt;
}

void item_run::onEnd(const call_completion &End) {
  if (Ended)
    return;
  if (End.Result == call_result::Complete && Streaming && Parser.atBoundary() &&
      Text.Events > 0)
    return end(item_run_outcome::Complete, {});
  end(End.Result == call_result::Withheld ? item_run_outcome::Refused
                                          : item_run_outcome::Broken,
      std::string(toString(End.Result)) + ": " + End.Detail);
}

void item_run::end(item_run_outcome Outcome, std::string Detail) {
  if (Ended)
    return;
  Ended = true;
  const auto Callback = std::move(OnEnd);
  Callback({.Outcome = Outcome, .Detail = std::move(Detail)});
}

} // namespace cardamom
