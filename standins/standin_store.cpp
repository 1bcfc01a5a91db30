/// \file
/// Emulator of the platform's object API and VM list.

#include "standins/http_server.h"
#include "standins/object_table.h"
#include "standins/store_admission.h"
#include "standins/vm_list.h"

#include <CLI/CLI.hpp>
#include <charconv>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <thread>

namespace standins {

namespace {

using httplib::Request;
using httplib::Response;
using nlohmann::json;

constexpr milliseconds MaxWatchWait{60'000};

struct store_options {
  double ReadsPerSecond = 2000;
  double WritesPerSecond = 400;
  int VmLagMs = 5000;
  int DelayMs = 0;
  std::vector<std::string> Vms;
};

std::optional<uint64_t> numberParam(const Request &Call, const char *Name) {
  std::string Text = Call.get_param_value(Name);
  uint64_t Value = 0;
  auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Text.empty() || Error != std::errc() || End != Text.data() + Text.size())
    return std::nullopt;
  return Value;
}

json toJson(const object &Object) {
  return {{"key", Object.Key},
          {"version", Object.Version},
          {"value", Object.Value}};
}

bool isUtf8(const std::string &Text) {
  try {
    (void)json(Text).dump();
    return true;
  } catch (const json::type_error &) {
    return false;
  }
}

class store_server {
public:
  explicit store_server(const store_options &Options)
      : Gate(Options.ReadsPerSecond, Options.WritesPerSecond) {
    Gate.CallDelay = milliseconds(Options.DelayMs);
    for (const std::string &Vm : Options.Vms)
      Vms.scheduleChange(Vm, "live", steady_clock::now());
    Vms.setDelay(milliseconds(Options.VmLagMs));
    addRoutes();
  }

  http_server Http;

private:
  void addRoutes() {
    auto Bind = [this](auto Method) {
      return [this, Method](const Request &Call, Response &Answer) {
        (this->*Method)(Call, Answer);
      };
    };
    httplib::Server &Routes = Http.routes();
    Routes.Get("/v1/objects", Bind(&store_server::list));
    Routes.Get(R"(/v1/objects/([\s\S]+))", Bind(&store_server::get));
    Routes.Put(R"(/v1/objects/([\s\S]+))", Bind(&store_server::put));
    Routes.Delete(R"(/v1/objects/([\s\S]+))", Bind(&store_server::remove));
    Routes.Get(R"(/v1/watch/([\s\S]+))", Bind(&store_server::watch));
    Routes.Get("/v1/vms", Bind(&store_server::listVms));
    Routes.Post("/admin", Bind(&store_server::control));
    Routes.Get("/admin/counts", Bind(&store_server::counts));
  }

  /// Applies outage, rate and delay; false when the call was answered. The
  /// delay comes before the effect, so that a write can take effect after its
  /// caller gave up.
  bool admit(store_call Call, Response &Answer) {
    milliseconds Delay{0};
    {
      std::lock_guard Lock(Mutex);
      if (!answerRefusal(Gate.admit(Call, steady_clock::now()), Answer))
        return false;
      Delay = Gate.CallDelay;
    }
    if (Delay.count() > 0)
      std::this_thread::sleep_for(Delay);
    return true;
  }

  static bool answerRefusal(admission_decision Decision, Response &Answer) {
    if (Decision == admission_decision::Admit)
      return true;
    bool Outage = Decision == admission_decision::Outage;
    Answer.set_header("Retry-After", "1");
    respondJson(Answer, Outage ? 503 : 429,
                {{"reason", Outage ? "outage" : "rate_limited"}});
    return false;
  }

  void get(const Request &Call, Response &Answer) {
    if (!admit(store_call::Read, Answer))
      return;
    std::optional<object> Found;
    {
      std::lock_guard Lock(Mutex);
      Found = Objects.get(Call.matches[1].str());
    }
    if (!Found)
      return respondJson(Answer, 404, {{"reason", "not_found"}});
    respondJson(Answer, 200, toJson(*Found));
  }

  void list(const Request &Call, Response &Answer) {
    if (!admit(store_call::Read, Answer))
      return;
    std::vector<object> Found;
    {
      std::lock_guard Lock(Mutex);
      Found = Objects.list(Call.get_param_value("prefix"));
    }
    json Body = {{"objects", json::array()}};
    for (const object &Object : Found)
      Body["objects"].push_back(toJson(Object));
    respondJson(Answer, 200, Body);
  }

  void put(const Request &Call, Response &Answer) {
    auto IfVersion = numberParam(Call, "if_version");
    if (!IfVersion)
      return respondJson(Answer, 400,
                         {{"reason", "if_version must be a number"}});
    if (!isUtf8(Call.body))
      return respondJson(Answer, 400, {{"reason", "the value must be UTF-8"}});
    if (!admit(store_call::Write, Answer))
      return;
    finishWrite(Call, Answer, [&] {
      return Objects.put(Call.matches[1].str(), Call.body, *IfVersion);
    });
  }

  void remove(const Request &Call, Response &Answer) {
    auto IfVersion = numberParam(Call, "if_version");
    if (!IfVersion)
      return respondJson(Answer, 400,
                         {{"reason", "if_version must be a number"}});
    if (!admit(store_call::Write, Answer))
      return;
    finishWrite(Call, Answer, [&] {
      return Objects.remove(Call.matches[1].str(), *IfVersion);
    });
  }

  template <typename write>
  void finishWrite(const Request &Call, Response &Answer, write Write) {
    write_result Result;
    bool Lost = false;
    {
      std::lock_guard Lock(Mutex);
      Result = Write();
      Gate.Counts.Conflicts += Result.Status == write_status::Conflict;
      Lost = Result.Status == write_status::Ok && Gate.consumeLostResponse();
    }
    Changed.notify_all();
    if (Lost)
      Http.dropConnection(Call);
    respondJson(Answer, statusCode(Result.Status),
                {{"version", Result.Version}});
  }

  static int statusCode(write_status Status) {
    switch (Status) {
    case write_status::Ok:
      return 200;
    case write_status::Conflict:
      return 409;
    case write_status::NotFound:
      return 404;
    case write_status::TooLarge:
      break;
    }
    return 413;
  }

  /// An outage ends all waits with 503.
  void watch(const Request &Call, Response &Answer) {
    auto After = numberParam(Call, "after");
    auto WaitMs = numberParam(Call, "wait_ms");
    if (!After || !WaitMs)
      return respondJson(Answer, 400,
                         {{"reason", "after and wait_ms must be numbers"}});
    if (!admit(store_call::Watch, Answer))
      return;
    std::string Key = Call.matches[1].str();
    auto Wait = std::min<milliseconds>(milliseconds(*WaitMs), MaxWatchWait);
    std::optional<object> Found;
    {
      std::unique_lock Lock(Mutex);
      Changed.wait_for(Lock, Wait, [&] {
        return Gate.Outage || Objects.version(Key) > *After;
      });
      if (Gate.Outage) {
        ++Gate.Counts.Refused;
        answerRefusal(admission_decision::Outage, Answer);
        return;
      }
      if (Objects.version(Key) > *After)
        Found = Objects.get(Key);
    }
    if (Found)
      return respondJson(Answer, 200, toJson(*Found));
    Answer.status = 304;
  }

  void listVms(const Request &, Response &Answer) {
    if (!admit(store_call::Read, Answer))
      return;
    json Body = {{"vms", json::array()}};
    {
      std::lock_guard Lock(Mutex);
      Vms.publishDueChanges(steady_clock::now());
      Body["version"] = Vms.version();
      for (const auto &[Vm, State] : Vms.vms())
        Body["vms"].push_back({{"vm", Vm}, {"state", State}});
    }
    respondJson(Answer, 200, Body);
  }

  void control(const Request &Call, Response &Answer) {
    json Order = parseJsonBody(Call, Answer);
    if (Order.is_null())
      return;
    try {
      std::lock_guard Lock(Mutex);
      apply(Order);
    } catch (const json::exception &Error) {
      return respondJson(Answer, 400, {{"reason", Error.what()}});
    }
    Changed.notify_all();
    respondJson(Answer, 200, json::object());
  }

  void apply(const json &Order) {
    Gate.Outage = Order.value("outage", Gate.Outage);
    Gate.CallDelay =
        milliseconds(Order.value("delay_ms", Gate.CallDelay.count()));
    Gate.ResponsesToLose =
        Order.value("lose_write_answers", Gate.ResponsesToLose);
    if (Order.contains("reads_per_second"))
      Gate.ReadLimit.setRate(Order["reads_per_second"].get<double>());
    if (Order.contains("writes_per_second"))
      Gate.WriteLimit.setRate(Order["writes_per_second"].get<double>());
    if (Order.contains("vm_lag_ms"))
      Vms.setDelay(milliseconds(Order["vm_lag_ms"].get<int>()));
    if (Order.contains("vm"))
      Vms.scheduleChange(Order["vm"].at("vm"), Order["vm"].at("state"),
                         steady_clock::now());
  }

  void counts(const Request &, Response &Answer) {
    std::lock_guard Lock(Mutex);
    respondJson(Answer, 200,
                {{"reads", Gate.Counts.Reads},
                 {"writes", Gate.Counts.Writes},
                 {"watches", Gate.Counts.Watches},
                 {"conflicts", Gate.Counts.Conflicts},
                 {"refused", Gate.Counts.Refused}});
  }

  std::mutex Mutex;
  std::condition_variable Changed;
  object_table Objects;
  store_admission Gate;
  vm_list Vms;
};

} // namespace

} // namespace standins

int main(int Argc, char **Argv) {
  CLI::App App("Emulator of the platform's store and VM list");
  standins::server_options Server;
  standins::store_options Store;
  standins::addServerFlags(App, Server);
  App.add_option("--reads-per-second", Store.ReadsPerSecond, "0 = no limit")
      ->capture_default_str();
  App.add_option("--writes-per-second", Store.WritesPerSecond, "0 = no limit")
      ->capture_default_str();
  App.add_option("--vm-lag-ms", Store.VmLagMs, "age of the VM list")
      ->capture_default_str();
  App.add_option("--delay-ms", Store.DelayMs, "delay of each call")
      ->capture_default_str();
  App.add_option("--vm", Store.Vms, "VM that is live from the start");
  CLI11_PARSE(App, Argc, Argv);
  standins::store_server Emulator(Store);
  return Emulator.Http.run(Server);
}
