#include "entry/retained_runs.h"

#include "inner/gen/messages.pb.h"
#include "inner/inner_client.h"

#include <memory>
#include <utility>

namespace cardamom {

namespace {
/// Collects the runs of all replies. Accessed only by the client's I/O thread
/// once the streams are open. Calls OnFound when the last stream releases it.
struct run_collector {
  std::vector<retained_run> Runs;
  std::function<void(std::vector<retained_run>)> OnFound;
  ~run_collector() { OnFound(std::move(Runs)); }
};
} // namespace

static void addRuns(run_collector &Collector, const std::string &Upstream,
                    std::string_view Message) {
  wire::query_reply Reply;
  if (!Reply.ParseFromArray(Message.data(), int(Message.size())))
    return;
  for (const wire::run_status &Run : Reply.runs())
    if (Run.state() == wire::QUEUED || Run.state() == wire::RUNNING ||
        Run.state() == wire::FINISHED)
      Collector.Runs.push_back({Upstream, Run.request_id(), Run.sample()});
}

void findRetainedRuns(
    inner_client &Client, const std::vector<std::string> &Addresses,
    const std::string &Prefix,
    std::function<void(std::vector<retained_run> Runs)> OnFound) {
  auto Collector = std::make_shared<run_collector>();
  Collector->OnFound = std::move(OnFound);
  for (const std::string &Address : Addresses) {
    const auto Peer = Client.peer(Address);
    if (!Peer || !Peer->Connected)
      continue;
    wire::query_request Query;
    Query.set_agent_incarnation(Peer->Identity.Incarnation);
    Query.set_sample_prefix(Prefix);
    Client.open(
        Address, "/query", Query.SerializeAsString(),
        {.OnMessage =
             [Collector,
              Upstream = Peer->Identity.Name](std::string_view Message) {
               addRuns(*Collector, Upstream, Message);
             },
         .OnClose = [Collector](inner_stream_end, std::string_view) {}});
  }
}

} // namespace cardamom
