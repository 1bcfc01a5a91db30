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

std::optional<uint64_t> numberParam(const Request &Req, const char *Name) {
  std::string Text = Req.get_param_value(Name);
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
      : Admission(Options.ReadsPerSecond, Options.WritesPerSecond) {
    Admission.CallDelay = milliseconds(Options.DelayMs);
    for (const std::string &Vm : Options.Vms)
      Vms.scheduleChange(Vm, "live", steady_clock::now());
    Vms.setDelay(milliseconds(Options.VmLagMs));
    addRoutes();
  }

  http_server Http;

private:
  void addRoutes() {
    auto Bind = [this](auto Method) {
      return [this, Method](const Request &Req, Response &Res) {
        (this->*Method)(Req, Res);
      };
    };
    httplib::Server &Routes = Http.routes();
    Routes.Get("/v1/objects", Bind(&store_server::list));
    Routes.Get(R"(/v1/objects/([\s\S]+))", Bind(&store_server::get));
    Routes.Put(R"(/v1/objects/([\s\S]+))", Bind(&store_server::put));
    Routes.Delete(R"(/v1/objects/([\s\S]+))", Bind(&store_server::remove));
    Routes.Get(R"(/v1/watch/([\s\S]+))", Bind(&store_server::watch));
    Routes.Get("/v1/vms", Bind(&store_server::listVms));
    Routes.Post("/admin", Bind(&store_server::handleAdmin));
    Routes.Get("/admin/counts", Bind(&store_server::counts));
  }

  /// Applies outage, rate limit and delay. Returns false if it rejected the
  /// call. The delay precedes the execution, so that a write can be executed
  /// after its client timed out.
  bool admit(store_call CallType, Response &Res) {
    milliseconds Delay{0};
    {
      std::lock_guard Lock(Mutex);
      if (!rejectUnlessAdmitted(Admission.admit(CallType, steady_clock::now()),
                                Res))
        return false;
      Delay = Admission.CallDelay;
    }
    if (Delay.count() > 0)
      std::this_thread::sleep_for(Delay);
    return true;
  }

  static bool rejectUnlessAdmitted(admission_decision Decision, Response &Res) {
    if (Decision == admission_decision::Admit)
      return true;
    bool Outage = Decision == admission_decision::Outage;
    Res.set_header("Retry-After", "1");
    respondJson(Res, Outage ? 503 : 429,
                {{"reason", Outage ? "outage" : "rate_limited"}});
    return false;
  }

  void get(const Request &Req, Response &Res) {
    if (!admit(store_call::Read, Res))
      return;
    std::optional<object> Found;
    {
      std::lock_guard Lock(Mutex);
      Found = Objects.get(Req.matches[1].str());
    }
    if (!Found)
      return respondJson(Res, 404, {{"reason", "not_found"}});
    respondJson(Res, 200, toJson(*Found));
  }

  void list(const Request &Req, Response &Res) {
    if (!admit(store_call::Read, Res))
      return;
    std::vector<object> Found;
    {
      std::lock_guard Lock(Mutex);
      Found = Objects.list(Req.get_param_value("prefix"));
    }
    json Body = {{"objects", json::array()}};
    for (const object &Object : Found)
      Body["objects"].push_back(toJson(Object));
    respondJson(Res, 200, Body);
  }

  void put(const Request &Req, Response &Res) {
    auto IfVersion = numberParam(Req, "if_version");
    if (!IfVersion)
      return respondJson(Res, 400, {{"reason", "if_version must be a number"}});
    if (!isUtf8(Req.body))
      return respondJson(Res, 400, {{"reason", "the value must be UTF-8"}});
    if (!admit(store_call::Write, Res))
      return;
    finishWrite(Req, Res, [&] {
      return Objects.put(Req.matches[1].str(), Req.body, *IfVersion);
    });
  }

  void remove(const Request &Req, Response &Res) {
    auto IfVersion = numberParam(Req, "if_version");
    if (!IfVersion)
      return respondJson(Res, 400, {{"reason", "if_version must be a number"}});
    if (!admit(store_call::Write, Res))
      return;
    finishWrite(Req, Res, [&] {
      return Objects.remove(Req.matches[1].str(), *IfVersion);
    });
  }

  template <typename write>
  void finishWrite(const Request &Req, Response &Res, write Write) {
    write_result Result;
    bool DropResponse = false;
    {
      std::lock_guard Lock(Mutex);
      Result = Write();
      Admission.Counts.Conflicts += Result.Status == write_status::Conflict;
      DropResponse =
          Result.Status == write_status::Ok && Admission.consumeLostResponse();
    }
    StateChanged.notify_all();
    if (DropResponse)
      Http.dropConnection(Req);
    respondJson(Res, statusCode(Result.Status), {{"version", Result.Version}});
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

  /// An outage ends all blocked watches with 503.
  void watch(const Request &Req, Response &Res) {
    auto After = numberParam(Req, "after");
    auto WaitMs = numberParam(Req, "wait_ms");
    if (!After || !WaitMs)
      return respondJson(Res, 400,
                         {{"reason", "after and wait_ms must be numbers"}});
    if (!admit(store_call::Watch, Res))
      return;
    std::string Key = Req.matches[1].str();
    auto Timeout = std::min<milliseconds>(milliseconds(*WaitMs), MaxWatchWait);
    std::optional<object> Found;
    {
      std::unique_lock Lock(Mutex);
      StateChanged.wait_for(Lock, Timeout, [&] {
        return Admission.Outage || Objects.version(Key) > *After;
      });
      if (Admission.Outage) {
        ++Admission.Counts.Refused;
        rejectUnlessAdmitted(admission_decision::Outage, Res);
        return;
      }
      if (Objects.version(Key) > *After)
        Found = Objects.get(Key);
    }
    if (Found)
      return respondJson(Res, 200, toJson(*Found));
    Res.status = 304;
  }

  void listVms(const Request &, Response &Res) {
    if (!admit(store_call::Read, Res))
      return;
    json Body = {{"vms", json::array()}};
    {
      std::lock_guard Lock(Mutex);
      Vms.publishDueChanges(steady_clock::now());
      Body["version"] = Vms.version();
      for (const auto &[Vm, State] : Vms.vms())
        Body["vms"].push_back({{"vm", Vm}, {"state", State}});
    }
    respondJson(Res, 200, Body);
  }

  void handleAdmin(const Request &Req, Response &Res) {
    json Settings = parseJsonBody(Req, Res);
    if (Settings.is_null())
      return;
    try {
      std::lock_guard Lock(Mutex);
      applyAdminRequest(Settings);
    } catch (const json::exception &Error) {
      return respondJson(Res, 400, {{"reason", Error.what()}});
    }
    StateChanged.notify_all();
    respondJson(Res, 200, json::object());
  }

  void applyAdminRequest(const json &Settings) {
    Admission.Outage = Settings.value("outage", Admission.Outage);
    Admission.CallDelay =
        milliseconds(Settings.value("delay_ms", Admission.CallDelay.count()));
    Admission.ResponsesToLose =
        Settings.value("lose_write_answers", Admission.ResponsesToLose);
    if (Settings.contains("reads_per_second"))
      Admission.ReadLimit.setRate(Settings["reads_per_second"].get<double>());
    if (Settings.contains("writes_per_second"))
      Admission.WriteLimit.setRate(Settings["writes_per_second"].get<double>());
    if (Settings.contains("vm_lag_ms"))
      Vms.setDelay(milliseconds(Settings["vm_lag_ms"].get<int>()));
    if (Settings.contains("vm"))
      Vms.scheduleChange(Settings["vm"].at("vm"), Settings["vm"].at("state"),
                         steady_clock::now());
  }

  void counts(const Request &, Response &Res) {
    std::lock_guard Lock(Mutex);
    respondJson(Res, 200,
                {{"reads", Admission.Counts.Reads},
                 {"writes", Admission.Counts.Writes},
                 {"watches", Admission.Counts.Watches},
                 {"conflicts", Admission.Counts.Conflicts},
                 {"refused", Admission.Counts.Refused}});
  }

  std::mutex Mutex;
  std::condition_variable StateChanged;
  object_table Objects;
  store_admission Admission;
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
  App.add_option("--vm-lag-ms", Store.VmLagMs,
                 "delay of changes to the VM list")
      ->capture_default_str();
  App.add_option("--delay-ms", Store.DelayMs, "delay of each call")
      ->capture_default_str();
  App.add_option("--vm", Store.Vms, "VM that is initially live, repeatable");
  CLI11_PARSE(App, Argc, Argv);
  standins::store_server Emulator(Store);
  return Emulator.Http.run(Server);
}
