#include "standins/http_server.h"

#include <CLI/Config.hpp>
#include <CLI/Formatter.hpp>
#include <arpa/inet.h>
#include <condition_variable>
#include <csignal>
#include <cstdlib>
#include <deque>
#include <dirent.h>
#include <functional>
#include <iostream>
#include <mutex>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <utility>

namespace standins {

namespace {

/// httplib's own backlog of 5 loses connection attempts in bursts, and the
/// client's kernel repeats them only after a second.
constexpr int ListenBacklog = 1024;
/// Each kept-alive connection holds a thread.
constexpr size_t MaxThreads = 4096;
constexpr size_t MaxBodyBytes = 16 << 20;
constexpr time_t KeepAliveSeconds = 600;
constexpr time_t IoTimeoutSeconds = 60;

/// Starts threads as connections come, since a fixed pool of the maximum size
/// would cost every emulator its start-up time.
class growing_pool : public httplib::TaskQueue {
public:
  void enqueue(std::function<void()> Task) override {
    std::lock_guard Lock(Mutex);
    Tasks.push_back(std::move(Task));
    if (Tasks.size() > Idle && Threads < MaxThreads) {
      ++Threads;
      std::thread([this] { work(); }).detach();
      return;
    }
    HasTask.notify_one();
  }

  /// The process ends without joining; see http_server::run().
  void shutdown() override {}

private:
  void work() {
    std::unique_lock Lock(Mutex);
    while (true) {
      ++Idle;
      HasTask.wait(Lock, [&] { return !Tasks.empty(); });
      --Idle;
      std::function<void()> Task = std::move(Tasks.front());
      Tasks.pop_front();
      Lock.unlock();
      Task();
      Task = nullptr;
      Lock.lock();
    }
  }

  std::mutex Mutex;
  std::condition_variable HasTask;
  std::deque<std::function<void()>> Tasks;
  size_t Idle = 0;
  size_t Threads = 0;
};

sigset_t endSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  return Signals;
}

/// Port of a socket's own or remote end, 0 for other descriptors.
template <typename name_call> int portOf(int Fd, name_call Call) {
  sockaddr_in Address{};
  socklen_t Length = sizeof(Address);
  if (Call(Fd, reinterpret_cast<sockaddr *>(&Address), &Length) != 0 ||
      Address.sin_family != AF_INET)
    return 0;
  return ntohs(Address.sin_port);
}

} // namespace

void addServerFlags(CLI::App &App, server_options &Options) {
  App.add_option("--host", Options.Host, "IP address to listen on")
      ->capture_default_str();
  App.add_option("--port", Options.Port, "port to listen on, 0 = any")
      ->capture_default_str();
}

http_server::http_server() {
  sigset_t Signals = endSignals();
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  Server.new_task_queue = [] { return new growing_pool; };
  Server.set_tcp_nodelay(true);
  Server.set_keep_alive_max_count(1'000'000'000);
  Server.set_keep_alive_timeout(KeepAliveSeconds);
  Server.set_read_timeout(IoTimeoutSeconds);
  Server.set_write_timeout(IoTimeoutSeconds);
  Server.set_payload_max_length(MaxBodyBytes);
  // Without httplib's SO_REUSEPORT, so that a port in use is an error.
  Server.set_socket_options([this](int Fd) {
    int On = 1;
    setsockopt(Fd, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
    ListenSocket = Fd;
  });
}

int http_server::run(const server_options &Options) {
  bool Bound = false;
  if (Options.Port == 0) {
    ListenPort = Server.bind_to_any_port(Options.Host);
    Bound = ListenPort > 0;
  } else {
    ListenPort = Options.Port;
    Bound = Server.bind_to_port(Options.Host, Options.Port);
  }
  if (!Bound || ::listen(ListenSocket, ListenBacklog) != 0) {
    std::cerr << "cannot listen on " << Options.Host << ":" << Options.Port
              << "\n";
    return 1;
  }
  std::cout << "listening " << Options.Host << ":" << ListenPort << std::endl;
  std::thread([this] { Server.listen_after_bind(); }).detach();
  sigset_t Signals = endSignals();
  int Signal = 0;
  sigwait(&Signals, &Signal);
  // All state is in memory, and open streams would delay an orderly return.
  std::_Exit(0);
}

template <typename visitor>
void http_server::visitConnections(visitor Visit) const {
  DIR *Folder = opendir("/proc/self/fd");
  if (Folder == nullptr)
    return;
  while (dirent *Entry = readdir(Folder)) {
    int Fd = std::atoi(Entry->d_name);
    if (Fd <= 2 || portOf(Fd, getsockname) != ListenPort)
      continue;
    if (int Peer = portOf(Fd, getpeername))
      Visit(Fd, Peer);
  }
  closedir(Folder);
}

void http_server::dropConnection(const httplib::Request &Request) const {
  visitConnections([&](int Fd, int Peer) {
    if (Peer == Request.remote_port)
      ::shutdown(Fd, SHUT_RDWR);
  });
}

void http_server::dropAllConnections() const {
  visitConnections([](int Fd, int) { ::shutdown(Fd, SHUT_RDWR); });
}

std::set<int> http_server::openConnections() const {
  std::set<int> Ports;
  visitConnections([&](int, int Peer) { Ports.insert(Peer); });
  return Ports;
}

void respondJson(httplib::Response &Response, int Status,
                 const nlohmann::json &Body) {
  Response.status = Status;
  Response.set_content(Body.dump(), "application/json");
}

nlohmann::json parseJsonBody(const httplib::Request &Request,
                             httplib::Response &Response) {
  auto Body = nlohmann::json::parse(Request.body, nullptr, false);
  if (Body.is_object())
    return Body;
  respondJson(Response, 400, {{"reason", "the body is not a JSON object"}});
  return nullptr;
}

} // namespace standins
