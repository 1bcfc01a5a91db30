/// \file
/// HTTP server of an entry for callers, trainers and operators.
///
/// Use:
///   http_frontend Frontend({.Port = 8080, .Dispatcher = &Dispatcher, ...});
///   Frontend.start();   // throws std::system_error if it cannot bind
///   ...
///   Frontend.stop();    // refuses new connections, waits for calls in flight
///
/// Each open connection occupies one of Threads threads. A request body is at
/// most 960 KiB, because it must fit into one frame of the inner protocol.

#ifndef CARDAMOM_ENTRY_HTTP_FRONTEND_H
#define CARDAMOM_ENTRY_HTTP_FRONTEND_H

#include "entry/caller_request_handler.h"
#include "entry/http_reply.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <thread>

namespace httplib {
class ContentReader;
class Server;
} // namespace httplib

namespace cardamom {

/// A request to "/v1/trainers/{Trainer}/weights", ".../steps/{Step}" or
/// ".../steps/{Step}/draw".
struct trainer_call {
  enum class kind { Submit, Draw, Weights };
  kind Kind = kind::Draw;
  std::string Trainer;
  uint64_t Step = 0;
  std::string Body;
};

/// Parses a method and path. Returns nothing if they are not a trainer call.
/// Throws input_error for a malformed step.
std::optional<trainer_call> parseTrainerCall(std::string_view Method,
                                             std::string_view Path);

struct http_frontend_options {
  std::string Host = "127.0.0.1";
  /// 0 selects a free port; see http_frontend::port().
  uint16_t Port = 0;
  size_t Threads = 256;
  /// Maximum size of a request body; at most 960 KiB, because it must fit into
  /// one frame of the inner protocol.
  size_t MaxBodyBytes = size_t(960) << 10;
  dispatcher *Dispatcher = nullptr;
  /// Returns null while no configuration is known.
  std::function<std::shared_ptr<const configuration>()> CurrentConfig;
  /// Returns why new work is refused, or nothing if it is admitted.
  std::function<std::optional<verdict>()> Refusal;
  /// Returns why "/readyz" answers 503, or nothing if the entry is ready.
  std::function<std::optional<verdict>()> NotReady;
  std::function<bool()> Draining;
  /// Handles a call of a trainer that the configuration contains. May block.
  std::function<http_reply(const trainer_call &Call)> OnTrainerCall;
  /// Serves "/status", "/explain" and "/trace/{id}"; returns nothing for other
  /// paths.
  std::function<std::optional<http_reply>(const httplib::Request &Request)>
      OnOperatorRequest;
};

class http_frontend {
public:
  explicit http_frontend(http_frontend_options Options);
  ~http_frontend();
  http_frontend(const http_frontend &) = delete;
  http_frontend &operator=(const http_frontend &) = delete;

  void start();
  void stop();
  [[nodiscard]] uint16_t port() const { return Port; }
  /// Number of calls by callers and trainers whose response has not been sent
  /// completely.
  [[nodiscard]] size_t inFlight() const { return *InFlight; }

private:
  void addHandlers();
  void handle(const httplib::Request &Request, httplib::Response &Response,
              const httplib::ContentReader *Reader);
  http_reply operatorPage(const httplib::Request &Request);
  void serve(caller_request Caller, const httplib::Request &Request,
             httplib::Response &Response);

  http_frontend_options Options;
  caller_request_handler CallerHandler;
  std::unique_ptr<httplib::Server> Server;
  std::thread Thread;
  uint16_t Port = 0;
  std::shared_ptr<std::atomic<size_t>> InFlight =
      std::make_shared<std::atomic<size_t>>(0);
};

} // namespace cardamom

#endif // CARDAMOM_ENTRY_HTTP_FRONTEND_H
