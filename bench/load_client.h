/// \file
/// One client connection of the load tool: sends calls and validates the
/// responses.

#ifndef CARDAMOM_BENCH_LOAD_CLIENT_H
#define CARDAMOM_BENCH_LOAD_CLIENT_H

#include "standins/answer_check.h"
#include "standins/clock.h"
#include "standins/entry_client.h"
#include "standins/token_text.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace bench {

using standins::milliseconds;
using standins::steady_clock;
using standins::time_point;

enum class call_kind { Plain, Completion, Stream };

struct call_plan {
  call_kind Kind = call_kind::Plain;
  /// GET or POST, for plain calls.
  std::string Method = "GET";
  std::string Path = "/load";
  size_t ResponseBytes = 0;
  size_t BodyBytes = 0;
  std::string Model = "model";
  uint64_t MaxTokens = 16;
  size_t PromptBytes = 128;
  /// Number of distinct prompt prefixes.
  uint64_t PrefixCount = 16;
};

struct call_result {
  /// Empty if the response was complete and correct.
  std::string Error;
  /// True if the call was definitely not executed, so that a retry is safe.
  bool NotRun = false;
  milliseconds RetryAfter{0};
  time_point FirstByteTime;
};

/// Not thread-safe. After a call without a response, the next call goes to the
/// next entry.
class load_client {
public:
  /// \param Direct true if Entries are emulators rather than entries of the
  /// system under test; their completion APIs differ.
  load_client(std::vector<std::string> Entries, bool Direct,
              milliseconds Timeout)
      : Direct(Direct), Client(std::move(Entries), Timeout) {}

  /// \param CallId must be unique; identifies the request in its response.
  /// \param Number selects the prompt prefix.
  call_result call(const call_plan &Plan, const std::string &CallId,
                   uint64_t Number) {
    if (Plan.Kind == call_kind::Plain)
      return callPlain(Plan, CallId);
    return callModel(Plan, CallId, Number);
  }

  /// Sends a non-idempotent POST with Id as its idempotency key.
  call_result deposit(const std::string &Path, const std::string &Id) {
    httplib::Request Request = makeRequest("POST", Path);
    Request.set_header("Idempotency-Key", Id);
    Request.body = nlohmann::json{{"id", Id}}.dump();
    return send(Request, [&](const std::string &Body) {
      return standins::hasIdempotencyKey(Body, Id);
    });
  }

  void useNextEntry() { Client.useNextEntry(); }

private:
  static httplib::Request makeRequest(const std::string &Method,
                                      const std::string &Path) {
    httplib::Request Request;
    Request.method = Method;
    Request.path = Path;
    if (Method != "GET")
      Request.set_header("Content-Type", "application/json");
    return Request;
  }

  call_result callPlain(const call_plan &Plan, const std::string &CallId) {
    httplib::Request Request =
        makeRequest(Plan.Method, Plan.Path + "?token=" + CallId);
    if (Plan.Method != "GET") {
      nlohmann::json Body = {{"id", CallId},
                             {"answer_bytes", Plan.ResponseBytes}};
      if (Plan.BodyBytes > 0)
        Body["filler"] = std::string(Plan.BodyBytes, 'f');
      Request.body = Body.dump();
    }
    size_t MinResponseBytes = Plan.Method == "GET" ? 0 : Plan.ResponseBytes;
    return send(Request, [&](const std::string &Body) {
      return standins::isPlainServiceResponse(Body, CallId, MinResponseBytes);
    });
  }

  call_result callModel(const call_plan &Plan, const std::string &CallId,
                        uint64_t Number) {
    std::string Prompt =
        "Text " + std::to_string(Number % Plan.PrefixCount) + ". ";
    Prompt.resize(std::max(Prompt.size(), Plan.PromptBytes), '.');
    Prompt += " Request " + CallId;
    nlohmann::json Body = {{"prompt", Prompt}, {"max_tokens", Plan.MaxTokens}};
    if (Direct) {
      Body["request_id"] = CallId;
      Body["priority"] = 0;
    } else {
      Body["model"] = Plan.Model;
      Body["stream"] = Plan.Kind == call_kind::Stream;
    }
    httplib::Request Request =
        makeRequest("POST", Direct ? "/generate" : "/v1/completions");
    Request.body = Body.dump();
    return send(Request, [&](const std::string &Completion) {
      return standins::completionText(Completion) ==
             standins::expectedCompletion(Prompt, Plan.MaxTokens);
    });
  }

  template <typename validator>
  call_result send(httplib::Request &Request, validator IsExpected) {
    constexpr size_t MaxResponseBytes = 64 << 20;
    call_result Result;
    std::string Body;
    Request.content_receiver = [&](const char *Data, size_t Length, uint64_t,
                                   uint64_t) {
      if (Body.empty())
        Result.FirstByteTime = steady_clock::now();
      Body.append(Data, Length);
      return Body.size() <= MaxResponseBytes;
    };
    httplib::Response Response;
    httplib::Error Error = Client.send(Request, Response);
    if (Error != httplib::Error::Success) {
      Result.Error = "connection: " + httplib::to_string(Error);
      Result.NotRun = Error == httplib::Error::Connection ||
                      Error == httplib::Error::ConnectionTimeout;
      Client.useNextEntry();
      return Result;
    }
    classifyResponse(Response, Body, IsExpected(Body), Result);
    return Result;
  }

  static void classifyResponse(const httplib::Response &Response,
                               const std::string &Body, bool Expected,
                               call_result &Result) {
    if (Response.status == 200 && Expected)
      return;
    std::string Reason = standins::errorReason(Body);
    if (Response.status == 200) {
      Result.Error = Reason.empty() ? "wrong_answer" : "in_stream: " + Reason;
      return;
    }
    Result.Error = std::to_string(Response.status);
    if (!Reason.empty())
      Result.Error += " " + Reason;
    Result.NotRun = Response.get_header_value("Cardamom-Verdict") == "not-run";
    Result.RetryAfter = milliseconds(standins::retryAfterMs(Body));
  }

  bool Direct;
  standins::entry_client Client;
};

} // namespace bench

#endif // CARDAMOM_BENCH_LOAD_CLIENT_H
