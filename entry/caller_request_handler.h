/// \file
/// Serves the calls of live callers: completions and plain routes.
///
/// Each function runs on the HTTP thread of the request and fills Response,
/// either whole or with a provider that relays the answer as it arrives. An
/// answer that cannot be completed after its first byte ends the connection
/// without the normal end of the body.

#ifndef CARDAMOM_ENTRY_CALLER_REQUEST_HANDLER_H
#define CARDAMOM_ENTRY_CALLER_REQUEST_HANDLER_H

#include "base/time.h"
#include "config/configuration.h"
#include "entry/dispatch.h"

#include <memory>
#include <string>

namespace httplib {
struct Request;
struct Response;
} // namespace httplib

namespace cardamom {

class dispatcher;

struct caller_request {
  std::string RequestId;
  /// Raw body of the request.
  std::string Body;
  /// Raw value of Content-Type.
  std::string ContentType;
};

class caller_request_handler {
public:
  explicit caller_request_handler(dispatcher &Dispatcher)
      : Dispatcher(Dispatcher) {}

  /// All three throw input_error for input that is refused.
  void handleCompletion(const caller_request &Caller,
                        const configuration &Configuration,
                        const httplib::Request &Request,
                        httplib::Response &Response);
  void handlePlain(const caller_request &Caller, const route_rule &Route,
                   const httplib::Request &Request,
                   httplib::Response &Response);

private:
  struct response_relay;

  std::shared_ptr<response_relay> startRelay(dispatch_call Call, bool Expose);
  void streamCompletion(const std::shared_ptr<response_relay> &Relay,
                        httplib::Response &Response);
  void sendBufferedCompletion(response_relay &Relay,
                              httplib::Response &Response);
  void streamPlain(const std::shared_ptr<response_relay> &Relay, bool HeadOnly,
                   httplib::Response &Response);

  dispatcher &Dispatcher;
};

} // namespace cardamom

#endif // CARDAMOM_ENTRY_CALLER_REQUEST_HANDLER_H
