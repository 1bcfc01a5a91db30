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
/// Short, so that the limit also holds for brief transfers.
constexpr double BurstSeconds = 0.05;
constexpr milliseconds RefillWait{2};

class weights_server {
public:
  weights_server(size_t Bytes, double BytesPerSecond)
      : Bytes(Bytes), Rate(BytesPerSecond, BurstSeconds) {
    Http.routes().Get(
        R"(/v1/weights/([^/]+)/(\d+))",
        [this](const httplib::Request &, httplib::Response &Answer) {
          Answer.set_content_provider(
              this->Bytes, "application/octet-stream",
              [this](size_t, size_t Left, httplib::DataSink &Sink) {
                return writeSome(Left, Sink);
              });
        });
  }

  http_server Http;

private:
  bool writeSome(size_t Left, httplib::DataSink &Sink) {
    static const std::string Chunk(ChunkBytes, 'w');
    size_t Allowed = 0;
    {
      std::lock_guard Lock(Mutex);
      Allowed = static_cast<size_t>(
          Rate.takeUpTo(static_cast<double>(std::min(Left, ChunkBytes)),
                        steady_clock::now()));
    }
    if (Allowed > 0)
      return Sink.write(Chunk.data(), Allowed);
    std::this_thread::sleep_for(RefillWait);
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
  App.add_option("--bytes", Bytes, "size of one version's weights")
      ->capture_default_str();
  App.add_option("--bytes-per-second", BytesPerSecond,
                 "limit over all readers, 0 = none")
      ->capture_default_str();
  CLI11_PARSE(App, Argc, Argv);
  standins::weights_server Emulator(Bytes, BytesPerSecond);
  return Emulator.Http.run(Server);
}
