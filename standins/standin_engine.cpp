/// \file
/// Emulator of a model engine.

#include "standins/batch_engine.h"
#include "standins/http_server.h"

#include <CLI/CLI.hpp>
#include <atomic>
#include <charconv>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <shared_mutex>
#include <thread>

namespace standins {

namespace {

using httplib::Request;
using httplib::Response;
using nlohmann::json;

constexpr uint64_t MaxTokensPerRun = 1 << 17;
constexpr milliseconds IdlePollInterval{20};
/// How often a stream without output checks whether its client is connected.
constexpr milliseconds ReaderCheckInterval{50};
constexpr milliseconds SilencePollInterval{20};
/// Minimum time between steps, so that at --ms-per-token 0 request handlers can
/// still acquire the lock.
constexpr std::chrono::microseconds MinStepInterval{50};
constexpr time_t FetchTimeoutSeconds = 60;

std::string toHex(uint64_t Value) {
  char Text[17];
  auto End = std::to_chars(Text, Text + sizeof(Text), Value, 16).ptr;
  std::string Digits(Text, End);
  return std::string(16 - Digits.size(), '0') + Digits;
}

std::string_view stateName(engine_state State) {
  switch (State) {
  case engine_state::Ready:
    return "ready";
  case engine_state::Loading:
    return "loading";
  case engine_state::Failed:
    break;
  }
  return "failed";
}

generate_request parseGenerateRequest(const json &Body) {
  generate_request Request;
  Request.Id = Body.at("request_id").get<std::string>();
  Request.Prompt = Body.at("prompt").get<std::string>();
  Request.MaxTokens =
      std::min(Body.value("max_tokens", Request.MaxTokens), MaxTokensPerRun);
  Request.Priority = Body.value("priority", Request.Priority);
  Request.ResumeText = Body.value("resume_text", "");
  Request.ResumeTokens = Body.value("resume_tokens", uint64_t(0));
  return Request;
}

/// Downloads the weights and discards them. Returns false if the download is
/// incomplete.
bool fetchWeights(const weight_load_order &Order) {
  size_t Colon = Order.Source.rfind(':');
  if (Colon == std::string::npos)
    return false;
  httplib::Client Client(Order.Source.substr(0, Colon),
                         std::atoi(Order.Source.c_str() + Colon + 1));
  Client.set_connection_timeout(2);
  Client.set_read_timeout(FetchTimeoutSeconds);
  auto Result = Client.Get("/v1/weights/" + Order.Model + "/" +
                               std::to_string(Order.Version),
                           [](const char *, size_t) { return true; });
  return Result && Result->status == 200;
}

class engine_server {
public:
  explicit engine_server(const batch_engine_options &Options)
      : Engine(Options) {
    addRoutes();
    std::thread([this] { generationLoop(); }).detach();
    std::thread([this] { weightLoadLoop(); }).detach();
  }

  http_server Http;

private:
  struct output_signal {
    std::condition_variable HasOutput;
  };

  void addRoutes() {
    auto Bind = [this](auto Method) {
      return [this, Method](const Request &Req, Response &Res) {
        try {
          (this->*Method)(Req, Res);
        } catch (const json::exception &Error) {
          respondJson(Res, 400, {{"reason", Error.what()}});
        }
      };
    };
    httplib::Server &Routes = Http.routes();
    Routes.set_pre_routing_handler(
        [this](const Request &Req, Response &) { return beforeRouting(Req); });
    Routes.Post("/generate", Bind(&engine_server::startStream));
    Routes.Post("/cancel", Bind(&engine_server::cancel));
    Routes.Get("/status", Bind(&engine_server::status));
    Routes.Get("/load", Bind(&engine_server::loadReport));
    Routes.Post("/orders/load_weights", Bind(&engine_server::orderWeightLoad));
    Routes.Get("/cache_events", Bind(&engine_server::cacheEvents));
    Routes.Post("/kv/export", Bind(&engine_server::exportKv));
    Routes.Post("/kv/import", Bind(&engine_server::importKv));
    Routes.Post("/admin", Bind(&engine_server::handleAdmin));
    Routes.Get("/admin/runs", Bind(&engine_server::listRuns));
  }

  httplib::Server::HandlerResponse beforeRouting(const Request &Req) {
    using handler_response = httplib::Server::HandlerResponse;
    if (Req.path.starts_with("/admin"))
      return handler_response::Unhandled;
    waitWhileSilent(Req.remote_port);
    if (!Crashed)
      return handler_response::Unhandled;
    Http.dropConnection(Req);
    return handler_response::Handled;
  }

  bool isSilent(int Port) {
    if (!Silent)
      return false;
    std::shared_lock Lock(SilentMutex);
    return SilentPorts.contains(Port);
  }

  void waitWhileSilent(int Port) {
    while (!Crashed && isSilent(Port))
      std::this_thread::sleep_for(SilencePollInterval);
  }

  void startStream(const Request &Req, Response &Res) {
    json Body = parseJsonBody(Req, Res);
    if (Body.is_null())
      return;
    auto Signal = std::make_shared<output_signal>();
    batch_engine::start_result Result;
    {
      std::lock_guard Lock(Mutex);
      Result = Engine.start(parseGenerateRequest(Body), steady_clock::now());
      if (Result.Run)
        Result.Run->OnUpdate = [Signal] { Signal->HasOutput.notify_all(); };
    }
    if (!Result.Run)
      return respondStartError(Result.Error, Res);
    HasWork.notify_one();
    std::shared_ptr<token_run> Run = Result.Run;
    Res.set_chunked_content_provider(
        "application/x-ndjson",
        [this, Run, Signal, Req = &Req](size_t, httplib::DataSink &Sink) {
          return writeOutput(*Run, *Signal, *Req, Sink);
        },
        [this, Run](bool) {
          std::lock_guard Lock(Mutex);
          Engine.disconnect(Run);
          Run->OnUpdate = nullptr;
        });
  }

  static void respondStartError(start_error Error, Response &Res) {
    switch (Error) {
    case start_error::DuplicateId:
      return respondJson(Res, 409, {{"reason", "duplicate_request_id"}});
    case start_error::BadResume:
      return respondJson(
          Res, 400, {{"reason", "resume_text is not the start of the answer"}});
    case start_error::TooLarge:
      return respondJson(Res, 413,
                         {{"reason", "request_id or prompt too long"}});
    case start_error::Full:
      return respondJson(Res, 503, {{"reason", "full"}});
    default:
      return respondJson(Res, 503, {{"reason", "failed"}});
    }
  }

  /// Sends the pending output, after waiting briefly if there is none. A failed
  /// stream ends without its last chunk.
  bool writeOutput(token_run &Run, output_signal &Signal, const Request &Req,
                   httplib::DataSink &Sink) {
    waitWhileSilent(Req.remote_port);
    std::string Output;
    run_state State = run_state::Running;
    {
      std::unique_lock Lock(Mutex);
      Signal.HasOutput.wait_for(Lock, ReaderCheckInterval, [&] {
        return !Run.Output.empty() || Run.State != run_state::Running;
      });
      Output.swap(Run.Output);
      State = Run.State;
    }
    // The connection may have become silent during the wait.
    waitWhileSilent(Req.remote_port);
    if (!Output.empty() && !Sink.write(Output.data(), Output.size()))
      return false;
    if (State == run_state::Done || State == run_state::Cancelled)
      Sink.done();
    else if (State != run_state::Running) {
      Http.dropConnection(Req);
      return false;
    }
    return true;
  }

  void cancel(const Request &Req, Response &Res) {
    json Body = parseJsonBody(Req, Res);
    if (Body.is_null())
      return;
    std::lock_guard Lock(Mutex);
    Engine.cancel(Body.at("request_id").get<std::string>());
    respondJson(Res, 200, json::object());
  }

  void status(const Request &, Response &Res) {
    std::lock_guard Lock(Mutex);
    respondJson(Res, 200,
                {{"model", Engine.model()},
                 {"version", Engine.version()},
                 {"state", stateName(Engine.state())},
                 {"slots", Engine.slots()},
                 {"last_fence", Engine.lastFencingToken()}});
  }

  void loadReport(const Request &, Response &Res) {
    std::lock_guard Lock(Mutex);
    engine_load Load = Engine.loadReport(steady_clock::now());
    respondJson(Res, 200,
                {{"running", Load.Running},
                 {"waiting", Load.Waiting},
                 {"slots", Engine.slots()},
                 {"age_ms", Load.Age.count()},
                 {"kv_used", Load.KvUsed}});
  }

  void orderWeightLoad(const Request &Req, Response &Res) {
    json Body = parseJsonBody(Req, Res);
    if (Body.is_null())
      return;
    std::lock_guard Lock(Mutex);
    weight_load_order Order{.Model = Body.value("model", Engine.model()),
                            .Version = Body.at("version").get<uint64_t>(),
                            .Source = Body.value("source", ""),
                            .FencingToken = Body.value("fence", uint64_t(0))};
    if (!Engine.orderWeightLoad(Order))
      return respondJson(Res, 409, {{"reason", "old_fence"}});
    PendingOrder = Order;
    HasOrder.notify_one();
    respondJson(Res, 202, json::object());
  }

  void cacheEvents(const Request &Req, Response &Res) {
    std::string After = Req.get_param_value("after");
    uint64_t Seq = std::strtoull(After.c_str(), nullptr, 10);
    json Events = json::array();
    std::lock_guard Lock(Mutex);
    for (const cache_event &Event :
         Engine.cache().events(Seq, steady_clock::now()))
      Events.push_back({{"seq", Event.Seq},
                        {"kind", Event.Stored ? "stored" : "evicted"},
                        {"prefix_hash", toHex(Event.PrefixHash)}});
    respondJson(Res, 200, {{"events", Events}});
  }

  void exportKv(const Request &Req, Response &Res) {
    json Body = parseJsonBody(Req, Res);
    if (Body.is_null())
      return;
    auto Prefixes =
        prefix_cache::prefixHashes(Body.at("prompt").get<std::string>());
    {
      std::lock_guard Lock(Mutex);
      Prefixes.resize(Engine.cache().countCached(Prefixes));
    }
    if (Prefixes.empty())
      return respondJson(Res, 404, {{"reason", "not_cached"}});
    Res.set_content(json{{"prefixes", Prefixes}}.dump(),
                    "application/octet-stream");
  }

  void importKv(const Request &Req, Response &Res) {
    json Body = parseJsonBody(Req, Res);
    if (Body.is_null())
      return;
    auto Prefixes = Body.at("prefixes").get<std::vector<uint64_t>>();
    std::lock_guard Lock(Mutex);
    Engine.cache().insert(Prefixes, steady_clock::now());
    respondJson(Res, 200, json::object());
  }

  void handleAdmin(const Request &Req, Response &Res) {
    json Settings = parseJsonBody(Req, Res);
    if (Settings.is_null())
      return;
    if (Settings.contains("crash"))
      setCrashed(Settings["crash"].get<bool>());
    if (Settings.contains("silent"))
      setSilent(Settings["silent"].get<bool>());
    std::lock_guard Lock(Mutex);
    if (Settings.value("fail_next_swap", false))
      Engine.failNextSwap();
    if (Settings.contains("ms_per_token"))
      Engine.setMsPerToken(Settings["ms_per_token"].get<double>());
    respondJson(Res, 200, json::object());
  }

  /// Each stream closes its connection when it observes the end of its run;
  /// other connections are closed at their next request.
  void setCrashed(bool Value) {
    std::lock_guard Lock(Mutex);
    Crashed = Value;
    if (Value)
      Engine.crash(steady_clock::now());
  }

  /// Stops responding on the connections that are open now, until it is called
  /// with false. New connections work.
  void setSilent(bool Value) {
    std::set<int> Ports;
    if (Value)
      Ports = Http.openConnections();
    std::lock_guard Lock(SilentMutex);
    SilentPorts = std::move(Ports);
    Silent = Value;
  }

  void listRuns(const Request &, Response &Res) {
    json Runs = json::array();
    json Orders = json::array();
    std::lock_guard Lock(Mutex);
    for (const run_summary &Run : Engine.runs())
      Runs.push_back({{"request_id", Run.Id},
                      {"tokens", Run.Tokens},
                      {"ended", runStateName(Run.State)}});
    for (const weight_load_order &Order : Engine.orders())
      Orders.push_back({{"version", Order.Version},
                        {"fence", Order.FencingToken},
                        {"accepted", Order.Accepted}});
    respondJson(Res, 200,
                {{"runs", Runs},
                 {"orders", Orders},
                 {"cut", Engine.interruptedStreams()}});
  }

  void generationLoop() {
    std::unique_lock Lock(Mutex);
    time_point NextStep = steady_clock::now();
    while (true) {
      time_point Now = steady_clock::now();
      Engine.recordLoadSample(Now);
      if (Engine.idle()) {
        HasWork.wait_for(Lock, IdlePollInterval);
        NextStep = steady_clock::now();
        continue;
      }
      Engine.step(Now);
      auto StepInterval = std::chrono::duration_cast<steady_clock::duration>(
          fractional_ms(Engine.msPerToken()));
      NextStep = std::max(NextStep + StepInterval, Now + MinStepInterval);
      Lock.unlock();
      std::this_thread::sleep_until(NextStep);
      Lock.lock();
    }
  }

  /// A newer order replaces a pending one, and supersedes one whose weights are
  /// being fetched.
  void weightLoadLoop() {
    std::unique_lock Lock(Mutex);
    while (true) {
      HasOrder.wait(Lock, [&] { return PendingOrder.has_value(); });
      weight_load_order Order = std::move(*PendingOrder);
      PendingOrder.reset();
      Lock.unlock();
      bool Fetched = Order.Source.empty() || fetchWeights(Order);
      Lock.lock();
      if (!PendingOrder)
        Engine.finishWeightLoad(Order, Fetched, steady_clock::now());
    }
  }

  std::mutex Mutex;
  std::condition_variable HasWork;
  std::condition_variable HasOrder;
  batch_engine Engine;
  std::optional<weight_load_order> PendingOrder;
  std::atomic<bool> Crashed = false;
  std::atomic<bool> Silent = false;
  std::shared_mutex SilentMutex;
  std::set<int> SilentPorts;
};

} // namespace

} // namespace standins

int main(int Argc, char **Argv) {
  CLI::App App("Emulator of a model engine");
  standins::server_options Server;
  standins::batch_engine_options Engine;
  int LoadLagMs = 200;
  int EventLagMs = static_cast<int>(Engine.Cache.EventDelay.count());
  standins::addServerFlags(App, Server);
  App.add_option("--model", Engine.Model)->capture_default_str();
  App.add_option("--version", Engine.Version, "initial weight version")
      ->capture_default_str();
  App.add_option("--slots", Engine.Slots, "maximum number of runs in a batch")
      ->check(CLI::Range(1, 4096))
      ->capture_default_str();
  App.add_option("--ms-per-token", Engine.MsPerToken,
                 "duration of a decoding step")
      ->check(CLI::Range(0.0, 60'000.0))
      ->capture_default_str();
  App.add_option("--prefill-ms-per-token", Engine.PrefillMsPerToken,
                 "prefill time per prompt token that is not cached")
      ->capture_default_str();
  App.add_flag("--checks-fence", Engine.ChecksFence,
               "reject orders with a stale fencing token");
  App.add_option("--load-lag-ms", LoadLagMs, "age of the load report at /load")
      ->capture_default_str();
  App.add_option("--prefix-cache-entries", Engine.Cache.MaxEntries,
                 "capacity of the prefix cache in blocks")
      ->capture_default_str();
  App.add_option("--event-lag-ms", EventLagMs, "delay of cache events")
      ->capture_default_str();
  App.add_option("--event-gap-every", Engine.Cache.EventDropInterval,
                 "drop one cache event in N, 0 = none")
      ->capture_default_str();
  CLI11_PARSE(App, Argc, Argv);
  Engine.LoadReportDelay = standins::milliseconds(LoadLagMs);
  Engine.Cache.EventDelay = standins::milliseconds(EventLagMs);
  standins::engine_server Emulator(Engine);
  return Emulator.Http.run(Server);
}
