/// \file
/// One client connection of the load tool: makes calls and checks the answers.

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
  size_t AnswerBytes = 0;
  size_t BodyBytes = 0;
  std::string Model = "model";
  uint64_t MaxTokens = 16;
  size_t PromptBytes = 128;
  /// Prompts begin with one of so many different texts.
  uint64_t Prefixes = 16;
};

struct call_result {
  /// Empty after a whole answer to this request.
  std::string Error;
  bool NotRun = false;
  milliseconds RetryAfter{0};
  time_point FirstByte;
};

/// Not thread-safe. A call that got no answer makes the next one go to the next
/// entry.
class load_client {
public:
  /// Direct: the entries are emulators, whose completions have another format.
  load_client(std::vector<std::string> Entries, bool Direct,
              milliseconds Timeout)
      : Direct(Direct), Caller(std::move(Entries), Timeout) {}

  /// Token must be unique, Number selects the prompt's prefix.
  call_result call(const call_plan &Plan, const std::string &Token,
                   uint64_t Number) {
    if (Plan.Kind == call_kind::Plain)
      return callPlain(Plan, Token);
    return callModel(Plan, Token, Number);
  }

  /// A non-idempotent POST with the id as its key.
  call_result deposit(const std::string &Path, const std::string &Id) {
    httplib::Request Request = makeRequest("POST", Path);
    Request.set_header("Idempotency-Key", Id);
    Request.body = nlohmann::json{{"id", Id}}.dump();
    return send(Request, [&](const std::string &Body) {
      return standins::hasIdempotencyKey(Body, Id);
    });
  }

  void useNextEntry() { Caller.useNextEntry(); }

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

  call_result callPlain(const call_plan &Plan, const std::string &Token) {
    httplib::Request Request =
        makeRequest(Plan.Method, Plan.Path + "?token=" + Token);
    if (Plan.Method != "GET") {
      nlohmann::json Body = {{"id", Token}, {"answer_bytes", Plan.AnswerBytes}};
      if (Plan.BodyBytes > 0)
        Body["filler"] = std::string(Plan.BodyBytes, 'f');
      Request.body = Body.dump();
    }
    size_t MinBytes = Plan.Method == "GET" ? 0 : Plan.AnswerBytes;
    return send(Request, [&](const std::string &Body) {
      return standins::isPlainServiceResponse(Body, Token, MinBytes);
    });
  }

  call_result callModel(const call_plan &Plan, const std::string &Token,
                        uint64_t Number) {
    std::string Prompt =
        "Text " + std::to_string(Number % Plan.Prefixes) + ". ";
    Prompt.resize(std::max(Prompt.size(), Plan.PromptBytes), '.');
    Prompt += " Request " + Token;
    nlohmann::json Body = {{"prompt", Prompt}, {"max_tokens", Plan.MaxTokens}};
    if (Direct) {
      Body["request_id"] = Token;
      Body["priority"] = 0;
    } else {
      Body["model"] = Plan.Model;
      Body["stream"] = Plan.Kind == call_kind::Stream;
    }
    httplib::Request Request =
        makeRequest("POST", Direct ? "/generate" : "/v1/completions");
    Request.body = Body.dump();
    return send(Request, [&](const std::string &Answer) {
      return standins::completionText(Answer) ==
             standins::expectedCompletion(Prompt, Plan.MaxTokens);
    });
  }

  template <typename check>
  call_result send(httplib::Request &Request, check IsRight) {
    constexpr size_t MaxAnswerBytes = 64 << 20;
    call_result Result;
    std::string Body;
    Request.content_receiver = [&](const char *Data, size_t Length, uint64_t,
                                   uint64_t) {
      if (Body.empty())
        Result.FirstByte = steady_clock::now();
      Body.append(Data, Length);
      return Body.size() <= MaxAnswerBytes;
    };
    httplib::Response Response;
    httplib::Error Error = Caller.send(Request, Response);
    if (Error != httplib::Error::Success) {
      Result.Error = "connection: " + httplib::to_string(Error);
      Result.NotRun = Error == httplib::Error::Connection ||
                      Error == httplib::Error::ConnectionTimeout;
      Caller.useNextEntry();
      return Result;
    }
    judge(Response, Body, IsRight(Body), Result);
    return Result;
  }

  static void judge(const httplib::Response &Response, const std::string &Body,
                    bool Right, call_result &Result) {
    if (Response.status == 200 && Right)
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
  standins::entry_client Caller;
};

} // namespace bench

#endif // CARDAMOM_BENCH_LOAD_CLIENT_H
