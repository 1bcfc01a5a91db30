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

/// httplib's default backlog of 5 drops connection attempts in bursts, and the
/// client's kernel retransmits the SYN only after a second.
constexpr int ListenBacklog = 1024;
/// Each kept-alive connection occupies a thread.
constexpr size_t MaxThreads = 4096;
constexpr size_t MaxBodyBytes = 16 << 20;
constexpr time_t KeepAliveSeconds = 600;
constexpr time_t IoTimeoutSeconds = 60;

/// Starts threads on demand, because starting a fixed pool of the maximum size
/// would delay the start of every emulator.
class growing_thread_pool : public httplib::TaskQueue {
public:
  void enqueue(std::function<void()> Task) override {
    std::lock_guard Lock(Mutex);
    Tasks.push_back(std::move(Task));
    if (Tasks.size() > IdleThreads && ThreadCount < MaxThreads) {
      ++ThreadCount;
      std::thread([this] { workerLoop(); }).detach();
      return;
    }
    TaskAvailable.notify_one();
  }

  /// The process ends without joining; see http_server::run().
  void shutdown() override {}

private:
  void workerLoop() {
    std::unique_lock Lock(Mutex);
    while (true) {
      ++IdleThreads;
      TaskAvailable.wait(Lock, [&] { return !Tasks.empty(); });
      --IdleThreads;
      std::function<void()> Task = std::move(Tasks.front());
      Tasks.pop_front();
      Lock.unlock();
      Task();
      Task = nullptr;
      Lock.lock();
    }
  }

  std::mutex Mutex;
  std::condition_variable TaskAvailable;
  std::deque<std::function<void()>> Tasks;
  size_t IdleThreads = 0;
  size_t ThreadCount = 0;
};

sigset_t terminationSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  return Signals;
}

/// Returns the local or remote port of an IPv4 socket, depending on
/// GetAddress (getsockname or getpeername); 0 for other descriptors.
template <typename address_function>
int portOf(int Fd, address_function GetAddress) {
  sockaddr_in Address{};
  socklen_t Length = sizeof(Address);
  if (GetAddress(Fd, reinterpret_cast<sockaddr *>(&Address), &Length) != 0 ||
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
  sigset_t Signals = terminationSignals();
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  Server.new_task_queue = [] { return new growing_thread_pool; };
  Server.set_tcp_nodelay(true);
  Server.set_keep_alive_max_count(1'000'000'000);
  Server.set_keep_alive_timeout(KeepAliveSeconds);
  Server.set_read_timeout(IoTimeoutSeconds);
  Server.set_write_timeout(IoTimeoutSeconds);
  Server.set_payload_max_length(MaxBodyBytes);
  // Replaces httplib's default, which sets SO_REUSEPORT: binding a port that is
  // in use must fail.
  Server.set_socket_options([this](int Fd) {
    int Enable = 1;
    setsockopt(Fd, SOL_SOCKET, SO_REUSEADDR, &Enable, sizeof(Enable));
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
  sigset_t Signals = terminationSignals();
  int Signal = 0;
  sigwait(&Signals, &Signal);
  // There is no state to save, and a graceful shutdown would wait for open
  // streams.
  std::_Exit(0);
}

template <typename visitor>
void http_server::visitConnections(visitor Visit) const {
  DIR *FdDirectory = opendir("/proc/self/fd");
  if (FdDirectory == nullptr)
    return;
  while (dirent *Entry = readdir(FdDirectory)) {
    int Fd = std::atoi(Entry->d_name);
    if (Fd <= 2 || portOf(Fd, getsockname) != ListenPort)
      continue;
    if (int PeerPort = portOf(Fd, getpeername))
      Visit(Fd, PeerPort);
  }
  closedir(FdDirectory);
}

void http_server::dropConnection(const httplib::Request &Request) const {
  visitConnections([&](int Fd, int PeerPort) {
    if (PeerPort == Request.remote_port)
      ::shutdown(Fd, SHUT_RDWR);
  });
}

void http_server::dropAllConnections() const {
  visitConnections([](int Fd, int) { ::shutdown(Fd, SHUT_RDWR); });
}

std::set<int> http_server::openConnections() const {
  std::set<int> Ports;
  visitConnections([&](int, int PeerPort) { Ports.insert(PeerPort); });
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
