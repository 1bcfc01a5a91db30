/// \file
/// Handles the requests of callers: finds the route, forwards the request to
/// the route's service, and sends the response.
///
/// Use:
///   request_handler Handler({...});
///   Handler.installConfig(Config);
///   Handler.handle(Exchange, /*Forwarded=*/false); // for each request

#ifndef CARDAMOM_SERVER_REQUEST_HANDLER_H
#define CARDAMOM_SERVER_REQUEST_HANDLER_H

#include "gateway/protocols.h"
#include "gateway/route_table.h"
#include "http/http_server.h"
#include "server/caller_gate.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace cardamom {

class job_request_handler;
class unary_client;
struct verdict;
class unary_call;
class stream_client;
struct stream_result;
struct unary_result;

struct request_handler_options {
  unary_client &UnaryClient;
  stream_client &StreamClient;
  job_request_handler &JobHandler;
  const gateway_protocols &Protocols;
  caller_gate_options CallerGate;
  /// When the store last confirmed the installed configuration.
  std::function<time_point()> ConfigConfirmedAt;
  /// Uniform random number in [0, 1).
  std::function<double()> Random;
  /// Whether this process accepts a request that was received at ReceivedAt and
  /// ends after at most TimeLimit; nullopt = its duration has no limit. A
  /// process that is stopping rejects what it may not finish. Null = always.
  std::function<bool(time_point ReceivedAt,
                     std::optional<milliseconds> TimeLimit)>
      Accepts;
  /// Retry-After while no configuration is installed.
  milliseconds RetryAfter{300};
  /// Upper bound on Retry-After of requests that a stopping process rejects.
  /// Other processes can serve them at once; it only spreads the retries.
  milliseconds StoppingRetryAfter{50};
};

class request_handler {
public:
  explicit request_handler(request_handler_options Options);
  ~request_handler();
  request_handler(const request_handler &) = delete;
  request_handler &operator=(const request_handler &) = delete;

  /// Installs a configuration. Returns false, with no effect, if its version is
  /// not higher than that of the installed one.
  bool installConfig(const gateway_config &Config);
  [[nodiscard]] bool configured() const { return Routes != nullptr; }
  [[nodiscard]] const gateway_config &config() const { return Config; }
  [[nodiscard]] const route *findRoute(std::string_view Host,
                                       std::string_view Path) const;

  /// Forwarded: the request comes from another gateway and is not forwarded
  /// again.
  void handle(const exchange_ptr &Exchange, bool Forwarded);
  /// Gives up a request that has no complete response yet, because the process
  /// exits: responds with an error, or ends a stream that has begun so that it
  /// does not look complete.
  void endUnfinished(const exchange_ptr &Exchange);

private:
  struct pending_request;

  /// Responds with an error if the process does not accept the request.
  bool rejectIfStopping(const exchange_ptr &Exchange,
                        std::string_view RequestId,
                        std::optional<milliseconds> TimeLimit);
  /// Determines who the caller is. Responds with an error and returns nullopt
  /// if it may not use the route.
  std::optional<caller_identity> admit(const exchange_ptr &Exchange,
                                       const route &Route,
                                       const inbound_request &Request,
                                       bool Forwarded);
  [[nodiscard]] job_call_admission
  admitJobCall(std::span<const route *const> JobRoutes,
               const inbound_request &Request, bool Forwarded) const;
  std::optional<caller_identity> checkAdmission(const exchange_ptr &Exchange,
                                                std::string_view RequestId,
                                                caller_admission Admission);
  /// Returns false, without effect, if the request is no call on a job.
  bool handleJobCall(const exchange_ptr &Exchange,
                     const inbound_request &Request, bool Forwarded);
  /// Responds to a request that is no call on a job and does not repeat the
  /// submission of one, as its route says.
  void handleByRoute(const exchange_ptr &Exchange, inbound_request Request,
                     bool Forwarded);
  /// Handles a request that no route for jobs matches and that may repeat the
  /// submission of a job.
  void confirmSubmission(const exchange_ptr &Exchange,
                         const inbound_request &Request, bool Forwarded);
  void forwardUnary(const exchange_ptr &Exchange, const route &Route,
                    const caller_identity &Caller, inbound_request Request);
  void forwardStream(const exchange_ptr &Exchange, const route &Route,
                     const caller_identity &Caller, inbound_request Request);
  void onStreamEnd(uint64_t Id, const stream_result &Result);
  uint64_t addPendingRequest(const exchange_ptr &Exchange, const route &Route,
                             const std::string &RequestId);
  void rejectWithVerdict(const pending_request &Pending,
                         const verdict &Verdict);
  /// Returns the longest time that the request can take; nullopt = no limit.
  [[nodiscard]] std::optional<milliseconds>
  timeLimit(const route &Route, const inbound_request &Request) const;
  static milliseconds effectiveTimeout(const route &Route,
                                       const inbound_request &Request);
  void onUnaryResult(uint64_t Id, const unary_result &Result);
  void forwardResponse(const pending_request &Pending,
                       const unary_result &Result);
  void reject(const exchange_ptr &Exchange, std::string_view RequestId,
              unsigned Status, std::string_view Reason,
              milliseconds RetryAfter = milliseconds(0));
  /// Responds with 400. Detail may quote the request.
  void rejectMalformed(const exchange_ptr &Exchange, std::string_view Detail);
  void deny(const exchange_ptr &Exchange, std::string_view RequestId,
            const caller_rejection &Rejection);
  void respondWithError(const exchange_ptr &Exchange,
                        std::string_view RequestId, unsigned Status,
                        std::string_view Reason, milliseconds RetryAfter);
  const std::string &chooseService(const route &Route) const;

  request_handler_options Options;
  caller_gate CallerGate;
  gateway_config Config;
  std::unique_ptr<route_table> Routes;
  std::map<uint64_t, std::unique_ptr<pending_request>> PendingRequests;
  uint64_t NextId = 0;
};

} // namespace cardamom

#endif // CARDAMOM_SERVER_REQUEST_HANDLER_H
