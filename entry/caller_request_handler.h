/// \file
/// Handles the HTTP requests of live callers: completions, and plain requests,
/// which are forwarded unchanged to the pool of their route.
///
/// Each function runs on the HTTP thread of the request and fills Response,
/// either with a complete body or with a content provider that streams the
/// body. If a response fails after its first byte, the connection is closed
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
  std::string Body;
  /// Value of the Content-Type header as received.
  std::string ContentType;
};

class caller_request_handler {
public:
  explicit caller_request_handler(dispatcher &Dispatcher)
      : Dispatcher(Dispatcher) {}

  /// Both functions throw input_error for invalid requests.
  void handleCompletion(const caller_request &Caller,
                        const configuration &Configuration,
                        const httplib::Request &Request,
                        httplib::Response &Response);
  void handlePlain(const caller_request &Caller, const route_rule &Route,
                   const httplib::Request &Request,
                   httplib::Response &Response);

private:
  struct response_relay;

  std::shared_ptr<response_relay> startRelay(dispatch_call Call,
                                             bool StreamsToCaller);
  void streamCompletion(const std::shared_ptr<response_relay> &Relay,
                        httplib::Response &Response);
  void sendBufferedCompletion(response_relay &Relay,
                              httplib::Response &Response);
  void streamPlainResponse(const std::shared_ptr<response_relay> &Relay,
                           bool HeadOnly, httplib::Response &Response);

  dispatcher &Dispatcher;
};

} // namespace cardamom

#endif // CARDAMOM_ENTRY_CALLER_REQUEST_HANDLER_H
