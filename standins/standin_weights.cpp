/// \file
/// Emulator of the rate-limited weight store.

#include "standins/http_server.h"
#include "standins/token_bucket.h"

#include <CLI/CLI.hpp>
#include <mutex>
#include <thread>

namespace standins {

namespace {

constexpr size_t ChunkBytes = 64 << 10;
/// Short, so that the rate limit also holds for small transfers.
constexpr double BurstSeconds = 0.05;
constexpr milliseconds RefillPollInterval{2};

class weights_server {
public:
  weights_server(size_t Bytes, double BytesPerSecond)
      : Bytes(Bytes), Rate(BytesPerSecond, BurstSeconds) {
    Http.routes().Get(
        R"(/v1/weights/([^/]+)/(\d+))",
        [this](const httplib::Request &, httplib::Response &Res) {
          Res.set_content_provider(
              this->Bytes, "application/octet-stream",
              [this](size_t, size_t RemainingBytes, httplib::DataSink &Sink) {
                return writeSome(RemainingBytes, Sink);
              });
        });
  }

  http_server Http;

private:
  bool writeSome(size_t RemainingBytes, httplib::DataSink &Sink) {
    static const std::string Chunk(ChunkBytes, 'w');
    size_t AllowedBytes = 0;
    {
      std::lock_guard Lock(Mutex);
      AllowedBytes = static_cast<size_t>(Rate.takeUpTo(
          static_cast<double>(std::min(RemainingBytes, ChunkBytes)),
          steady_clock::now()));
    }
    if (AllowedBytes > 0)
      return Sink.write(Chunk.data(), AllowedBytes);
    std::this_thread::sleep_for(RefillPollInterval);
    return true;
  }

  size_t Bytes;
  std::mutex Mutex;
  token_bucket Rate;
};

} // namespace

} // namespace standins

int main(int Argc, char **Argv) {
  CLI::App App("Emulator of the weight store");
  standins::server_options Server;
  size_t Bytes = 1 << 20;
  double BytesPerSecond = 0;
  standins::addServerFlags(App, Server);
  App.add_option("--bytes", Bytes, "size of the weights of a version")
      ->capture_default_str();
  App.add_option("--bytes-per-second", BytesPerSecond,
                 "total rate limit over all readers, 0 = none")
      ->capture_default_str();
  CLI11_PARSE(App, Argc, Argv);
  standins::weights_server Emulator(Bytes, BytesPerSecond);
  return Emulator.Http.run(Server);
}
