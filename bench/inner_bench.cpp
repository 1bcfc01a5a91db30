/// \file
/// Microbenchmark of the inner protocol on the loopback interface.
///
/// Usage:
///   inner_bench [--seconds 2] [--connections 1 8 64]
///
/// The server and all clients run in this process. Each connection is a
/// closed-loop client with its own I/O thread and one request in flight. Prints
/// one line per number of connections: round trips per second, median and p99
/// latency in microseconds, CPU microseconds per round trip (all threads, both
/// sides), then heartbeat bytes per second and connection (both directions,
/// with HTTP/2 framing, without TCP and IP headers) and the CPU time of one
/// heartbeat in each direction, summed over both sides. The first line is a
/// plain TCP echo of the same message size between two blocking threads: on a
/// shared machine only the ratio to it is comparable between runs.

#include "base/log.h"
#include "inner/gen/messages.pb.h"
#include "inner/test_peers.h"
#include "inner/test_relay.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <array>
#include <atomic>
#include <cstdio>
#include <fcntl.h>
#include <memory>
#include <stdexcept>
#include <string>
#include <sys/resource.h>
#include <thread>
#include <vector>

namespace cardamom {

/// About the size of a short prompt.
static constexpr size_t MessageBytes = 500;

struct bench_result {
  double RoundTripsPerSecond = 0;
  double MedianUs = 0;
  double P99Us = 0;
  double CpuUsPerRoundTrip = 0;
};

static double toMicroseconds(std::chrono::steady_clock::duration Duration) {
  return std::chrono::duration<double, std::micro>(Duration).count();
}

/// Keeps one request in flight and records the latencies.
class closed_loop_client {
public:
  closed_loop_client(std::string Address, int Number)
      : Address(std::move(Address)),
        Client({.Self = testIdentity("client-" + std::to_string(Number))}) {
    Client.start();
    Client.addPeer(this->Address);
  }

  bool connected() { return waitConnected(Client, Address); }

  void run(time_point End) {
    EndTime = End;
    sendNext();
  }
  void wait() {
    waitFor([&] { return Done.load(); });
  }
  void stop() { Client.stop(); }

  /// In microseconds.
  std::vector<double> Latencies;
  unsigned Failures = 0;

private:
  void sendNext() {
    const time_point Start = steady_clock::now();
    if (Start >= EndTime) {
      Done = true;
      return;
    }
    Client.open(Address, "/run", Message,
                {.OnMessage = [](std::string_view) {},
                 .OnClose =
                     [this, Start](inner_stream_end End, std::string_view) {
                       Failures += End == inner_stream_end::Finished ? 0 : 1;
                       Latencies.push_back(
                           toMicroseconds(steady_clock::now() - Start));
                       sendNext();
                     }});
  }

  std::string Address;
  std::string Message = std::string(MessageBytes, 'x');
  time_point EndTime;
  std::atomic<bool> Done{false};
  inner_client Client;
};

static double cpuSeconds() {
  rusage Usage = {};
  ::getrusage(RUSAGE_SELF, &Usage);
  const auto Seconds = [](const timeval &Time) {
    return static_cast<double>(Time.tv_sec) +
           static_cast<double>(Time.tv_usec) * 1e-6;
  };
  return Seconds(Usage.ru_utime) + Seconds(Usage.ru_stime);
}

static bench_result summarize(std::vector<double> Latencies, double Seconds,
                              double Cpu) {
  std::sort(Latencies.begin(), Latencies.end());
  const auto Count = static_cast<double>(Latencies.size());
  return {.RoundTripsPerSecond = Count / Seconds,
          .MedianUs = Latencies.at(Latencies.size() / 2),
          .P99Us = Latencies.at(Latencies.size() * 99 / 100),
          .CpuUsPerRoundTrip = Cpu * 1e6 / Count};
}

/// Echoes until the peer closes the connection.
static void echoBlocking(int Fd) {
  std::array<char, MessageBytes> Buffer;
  for (;;) {
    const ssize_t Received = ::recv(Fd, Buffer.data(), Buffer.size(), 0);
    if (Received <= 0 ||
        ::send(Fd, Buffer.data(), size_t(Received), MSG_NOSIGNAL) < 0)
      return;
  }
}

static unique_fd makeBlocking(unique_fd Fd) {
  ::fcntl(Fd.get(), F_SETFL, ::fcntl(Fd.get(), F_GETFL) & ~O_NONBLOCK);
  return Fd;
}

static bench_result measureTcp(double Seconds) {
  unique_fd Listener = makeBlocking(listenOn("127.0.0.1", 0));
  const std::string Address = loopbackAddress(localPort(Listener.get()));
  unique_fd Client = makeBlocking(startConnect(parseAddress(Address)));
  unique_fd Server = makeBlocking(acceptConnection(Listener.get()));
  std::thread Echo([Fd = Server.get()] { echoBlocking(Fd); });
  std::vector<double> Latencies;
  std::array<char, MessageBytes> Buffer = {};
  const double CpuBefore = cpuSeconds();
  const time_point End =
      steady_clock::now() + microseconds(static_cast<int64_t>(Seconds * 1e6));
  for (time_point Start = steady_clock::now(); Start < End;) {
    ::send(Client.get(), Buffer.data(), Buffer.size(), MSG_NOSIGNAL);
    ::recv(Client.get(), Buffer.data(), Buffer.size(), MSG_WAITALL);
    const time_point Now = steady_clock::now();
    Latencies.push_back(toMicroseconds(Now - Start));
    Start = Now;
  }
  const double Cpu = cpuSeconds() - CpuBefore;
  Client.reset();
  Echo.join();
  return summarize(std::move(Latencies), Seconds, Cpu);
}

static inner_server_options echoOptions() {
  return {.Self = testIdentity("server"),
          .OnRequest =
              [](const std::shared_ptr<server_stream> &Stream, std::string_view,
                 std::string_view Message) {
                Stream->send(Message);
                Stream->finish();
              },
          .SilenceTimeout = milliseconds(60000)};
}

static bench_result measureInnerProtocol(int Connections, double Seconds) {
  inner_server Server(echoOptions());
  Server.start();
  std::vector<std::unique_ptr<closed_loop_client>> Clients;
  Clients.reserve(size_t(Connections));
  for (int I = 0; I < Connections; ++I)
    Clients.push_back(std::make_unique<closed_loop_client>(
        loopbackAddress(Server.port()), I));
  for (const auto &Client : Clients)
    if (!Client->connected())
      throw std::runtime_error("a client could not connect");
  const double CpuBefore = cpuSeconds();
  const time_point End =
      steady_clock::now() + microseconds(static_cast<int64_t>(Seconds * 1e6));
  for (const auto &Client : Clients)
    Client->run(End);
  std::this_thread::sleep_until(End);
  for (const auto &Client : Clients)
    Client->wait();
  const double Cpu = cpuSeconds() - CpuBefore;
  std::vector<double> All;
  for (const auto &Client : Clients) {
    Client->stop();
    if (Client->Failures > 0)
      throw std::runtime_error("a round trip failed");
    All.insert(All.end(), Client->Latencies.begin(), Client->Latencies.end());
  }
  return summarize(std::move(All), Seconds, Cpu);
}

static void print(const std::string &Name, const bench_result &Result,
                  const bench_result &Tcp) {
  std::printf("%11s %12.0f %10.1f %10.1f %12.2f %14.2f\n", Name.c_str(),
              Result.RoundTripsPerSecond, Result.MedianUs, Result.P99Us,
              Result.CpuUsPerRoundTrip, Result.MedianUs / Tcp.MedianUs);
}

/// A heartbeat with the fields that an agent sets.
static wire::control_frame agentHeartbeat(uint64_t Sequence) {
  wire::control_frame Frame;
  wire::heartbeat &Heartbeat = *Frame.mutable_heartbeat();
  Heartbeat.set_sequence(Sequence);
  for (const char *Name :
       {"config", "vms", "weights/first", "weights/second"}) {
    wire::document_version &Entry = *Heartbeat.add_documents();
    Entry.set_name(Name);
    Entry.set_version(123456);
  }
  wire::load_report &Load = *Heartbeat.mutable_load();
  Load.set_upstream("upstream-0123");
  Load.set_running(12);
  Load.set_queued_live(3);
  Load.set_slots(16);
  Load.set_observed_version(4711);
  Load.set_ready(true);
  Load.set_age_ms(250);
  Load.set_tokens_per_second(1234.5);
  Load.set_service_ms(87.5);
  return Frame;
}

/// Bytes of one heartbeat in each direction.
static double heartbeatBytes() {
  constexpr uint64_t HeartbeatCount = 100;
  std::atomic<uint64_t> ReceivedCount{0};
  inner_server Server(
      {.Self = testIdentity("server"),
       .OnControl = [&](const peer_identity &, const wire::control_frame &) {
         ++ReceivedCount;
       }});
  Server.start();
  test_relay Relay(Server.port());
  inner_client Client(
      {.Self = testIdentity("client"),
       .OnControl = [&](std::string_view, const peer_identity &,
                        const wire::control_frame &) { ++ReceivedCount; }});
  Client.start();
  const std::string Address = loopbackAddress(Relay.port());
  Client.addPeer(Address);
  if (!waitConnected(Client, Address))
    throw std::runtime_error("the client could not connect");
  std::this_thread::sleep_for(milliseconds(100));
  const uint64_t Before = Relay.relayedBytes();
  for (uint64_t I = 1; I <= HeartbeatCount; ++I) {
    Server.broadcastControl(agentHeartbeat(I));
    Client.broadcastControl(agentHeartbeat(I));
    waitFor([&] { return ReceivedCount == 2 * I; });
  }
  std::this_thread::sleep_for(milliseconds(100));
  return static_cast<double>(Relay.relayedBytes() - Before) /
         double(HeartbeatCount);
}

/// CPU microseconds of one heartbeat in each direction, on both sides.
static double heartbeatCpuUs() {
  constexpr int Connections = 64;
  constexpr int Rounds = 50;
  std::atomic<int> ReceivedCount{0};
  inner_server Server(
      {.Self = testIdentity("server"),
       .OnControl = [&](const peer_identity &, const wire::control_frame &) {
         ++ReceivedCount;
       }});
  Server.start();
  const std::string Address = loopbackAddress(Server.port());
  std::vector<std::unique_ptr<inner_client>> Clients;
  Clients.reserve(Connections);
  for (int I = 0; I < Connections; ++I) {
    Clients.push_back(std::make_unique<inner_client>(inner_client_options{
        .Self = testIdentity("client-" + std::to_string(I)),
        .OnControl = [&](std::string_view, const peer_identity &,
                         const wire::control_frame &) { ++ReceivedCount; }}));
    Clients.back()->start();
    Clients.back()->addPeer(Address);
  }
  for (const auto &Client : Clients)
    waitConnected(*Client, Address);
  const double CpuBefore = cpuSeconds();
  for (int I = 1; I <= Rounds; ++I) {
    const wire::control_frame Frame = agentHeartbeat(static_cast<uint64_t>(I));
    Server.broadcastControl(Frame);
    for (const auto &Client : Clients)
      Client->broadcastControl(Frame);
    std::this_thread::sleep_for(milliseconds(10));
    waitFor([&] { return ReceivedCount == 2 * Connections * I; });
  }
  const double Cpu = cpuSeconds() - CpuBefore;
  return Cpu * 1e6 / (Connections * Rounds);
}

} // namespace cardamom

int main(int Argc, char **Argv) {
  double Seconds = 2;
  std::vector<int> Connections = {1, 8, 64};
  CLI::App App("Microbenchmark of the inner protocol");
  App.add_option("--seconds", Seconds, "duration of each case");
  App.add_option("--connections", Connections, "numbers of connections");
  CLI11_PARSE(App, Argc, Argv);
  cardamom::initLog("inner_bench", "warn");
  std::printf("%11s %12s %10s %10s %12s %14s\n", "connections", "trips_per_s",
              "median_us", "p99_us", "cpu_us_trip", "median_to_tcp");
  const cardamom::bench_result Tcp = cardamom::measureTcp(Seconds);
  cardamom::print("plain_tcp", Tcp, Tcp);
  for (int Count : Connections)
    cardamom::print(std::to_string(Count),
                    cardamom::measureInnerProtocol(Count, Seconds), Tcp);
  std::printf("heartbeat_bytes_per_s_and_connection %.1f\n",
              cardamom::heartbeatBytes());
  std::printf("heartbeat_cpu_us_both_ways_and_sides %.1f\n",
              cardamom::heartbeatCpuUs());
  return 0;
}
