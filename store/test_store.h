/// \file
/// In-process object store for tests, on an ephemeral port of 127.0.0.1.

#ifndef CARDAMOM_STORE_TEST_STORE_H
#define CARDAMOM_STORE_TEST_STORE_H

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <httplib.h>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

namespace cardamom {

/// Fault to inject into a write.
enum class write_fault {
  None,
  /// The write takes effect, but its response is lost.
  LoseResponse,
  /// The request is lost before it takes effect.
  LoseRequest,
  /// The response is lost immediately; the write is attempted only when the
  /// next write arrives, or in flushDelayedWrites().
  DelayWrite,
};

class test_store {
public:
  test_store() {
    Server.new_task_queue = [] { return new httplib::ThreadPool(16); };
    Server.set_keep_alive_max_count(100000);
    Server.set_keep_alive_timeout(1);
    Server.set_tcp_nodelay(true);
    addRoutes();
    Port = Server.bind_to_any_port("127.0.0.1");
    Thread = std::thread([this] { Server.listen_after_bind(); });
    while (!Server.is_running())
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }

  ~test_store() {
    {
      std::lock_guard Lock(Mutex);
      Closing = true;
    }
    ObjectsChanged.notify_all();
    Server.stop();
    Thread.join();
  }

  test_store(const test_store &) = delete;
  test_store &operator=(const test_store &) = delete;

  [[nodiscard]] std::string address() const {
    return "127.0.0.1:" + std::to_string(Port);
  }

  /// HTTP status with which every call is rejected; 0 = none.
  std::atomic<int> RejectStatus{0};
  std::atomic<unsigned> Writes{0};
  /// Chooses the fault of the Nth write (from 0). Set before the first call.
  std::function<write_fault(unsigned)> ChooseFault;
  /// Runs before the Nth write, with no lock held. Set before the first call.
  std::function<void(unsigned)> BeforeWrite;

  /// Runs after the Nth write has taken effect, before its response is sent.
  std::function<void(unsigned)> AfterWrite;

  /// Changes an object unconditionally, as if by another client.
  uint64_t overwrite(const std::string &Key, const std::string &Value) {
    std::lock_guard Lock(Mutex);
    return store(Key, Value);
  }

  /// Attempts the writes that are still delayed.
  void flushDelayedWrites() {
    std::lock_guard Lock(Mutex);
    applyDelayedWrites();
  }

  std::string value(const std::string &Key) {
    std::lock_guard Lock(Mutex);
    return Objects[Key].Value;
  }

private:
  struct object {
    uint64_t Version = 0;
    std::string Value;
  };

  uint64_t store(const std::string &Key, const std::string &Value) {
    Objects[Key] = {++LastVersion, Value};
    ObjectsChanged.notify_all();
    return LastVersion;
  }

  static void answer(httplib::Response &Response, int Status,
                     const nlohmann::json &Body) {
    Response.status = Status;
    Response.set_content(Body.dump(), "application/json");
  }

  /// Closes the connection in the middle of the response.
  static void abortResponse(httplib::Response &Response) {
    Response.set_content_provider(
        100, "application/json",
        [](size_t, size_t, httplib::DataSink &) { return false; });
  }

  using handler =
      std::function<void(const httplib::Request &, httplib::Response &)>;

  /// Rejects calls only after their body has been read: unread bytes would be
  /// parsed as the next request on the connection.
  handler rejectable(handler Handler) {
    return [this, Handler = std::move(Handler)](const auto &Request,
                                                auto &Response) {
      const int Status = RejectStatus;
      if (Status == 0)
        return Handler(Request, Response);
      Response.status = Status;
      Response.set_header("Retry-After", "2");
    };
  }

  void addRoutes() {
    Server.Get("/v1/objects",
               rejectable([this](const auto &Request, auto &Response) {
                 list(Request.get_param_value("prefix"), Response);
               }));
    Server.Get("/v1/objects/(.+)",
               rejectable([this](const auto &Request, auto &Response) {
                 get(Request.matches[1], Response);
               }));
    Server.Get("/v1/watch/(.+)",
               rejectable([this](const auto &Request, auto &Response) {
                 watch(Request, Response);
               }));
    const handler Write =
        rejectable([this](const auto &Request, auto &Response) {
          write(Request, Response);
        });
    Server.Put("/v1/objects/(.+)", Write);
    Server.Delete("/v1/objects/(.+)", Write);
    Server.Get("/v1/vms", rejectable([](const auto &, auto &Response) {
                 answer(Response, 200,
                        {{"version", 4}, {"vms", nlohmann::json::array()}});
               }));
  }

  void get(const std::string &Key, httplib::Response &Response) {
    std::lock_guard Lock(Mutex);
    const auto It = Objects.find(Key);
    if (It == Objects.end())
      return answer(Response, 404, {});
    answer(Response, 200,
           {{"key", Key},
            {"version", It->second.Version},
            {"value", It->second.Value}});
  }

  void list(const std::string &Prefix, httplib::Response &Response) {
    std::lock_guard Lock(Mutex);
    auto Listed = nlohmann::json::array();
    for (const auto &[Key, Object] : Objects) {
      if (Key.starts_with(Prefix))
        Listed.push_back({{"key", Key},
                          {"version", Object.Version},
                          {"value", Object.Value}});
    }
    answer(Response, 200, {{"objects", Listed}});
  }

  void watch(const httplib::Request &Request, httplib::Response &Response) {
    const std::string Key = Request.matches[1];
    const uint64_t After = std::stoull(Request.get_param_value("after"));
    const std::chrono::milliseconds Wait(
        std::stoul(Request.get_param_value("wait_ms")));
    std::unique_lock Lock(Mutex);
    const bool Newer = ObjectsChanged.wait_for(
        Lock, Wait, [&] { return Closing || Objects[Key].Version > After; });
    Lock.unlock();
    if (Newer && !Closing)
      return get(Key, Response);
    Response.status = 304;
  }

  void write(const httplib::Request &Request, httplib::Response &Response) {
    const unsigned Index = Writes++;
    if (BeforeWrite)
      BeforeWrite(Index);
    const write_fault Kind =
        ChooseFault ? ChooseFault(Index) : write_fault::None;
    if (Kind == write_fault::LoseRequest)
      return abortResponse(Response);
    const pending_write Write{
        .Key = Request.matches[1],
        .Value = Request.body,
        .IfVersion = std::stoull(Request.get_param_value("if_version")),
        .IsDelete = Request.method == "DELETE"};
    std::unique_lock Lock(Mutex);
    applyDelayedWrites();
    if (Kind == write_fault::DelayWrite) {
      DelayedWrites.push_back(Write);
      return abortResponse(Response);
    }
    if (!applyWrite(Write))
      return answer(Response, 409, {{"version", currentVersion(Write.Key)}});
    const uint64_t Version = LastVersion;
    Lock.unlock();
    if (AfterWrite)
      AfterWrite(Index);
    if (Kind == write_fault::LoseResponse)
      return abortResponse(Response);
    answer(Response, 200, {{"version", Version}});
  }

  struct pending_write {
    std::string Key;
    std::string Value;
    uint64_t IfVersion;
    bool IsDelete;
  };

  uint64_t currentVersion(const std::string &Key) {
    const auto It = Objects.find(Key);
    return It == Objects.end() ? 0 : It->second.Version;
  }

  bool applyWrite(const pending_write &Write) {
    if (currentVersion(Write.Key) != Write.IfVersion)
      return false;
    if (Write.IsDelete)
      Objects.erase(Write.Key);
    else
      store(Write.Key, Write.Value);
    return true;
  }

  void applyDelayedWrites() {
    for (const pending_write &Write : DelayedWrites)
      applyWrite(Write);
    DelayedWrites.clear();
  }

  httplib::Server Server;
  int Port = 0;
  bool Closing = false;
  std::thread Thread;
  std::mutex Mutex;
  std::condition_variable ObjectsChanged;
  std::map<std::string, object> Objects;
  uint64_t LastVersion = 0;
  std::vector<pending_write> DelayedWrites;
};

} // namespace cardamom

#endif // CARDAMOM_STORE_TEST_STORE_H
