#include "store/store_client.h"

#include "base/identifier.h"
#include "base/metrics.h"
#include "store/http_pool.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace cardamom {

using nlohmann::json;

namespace {

constexpr size_t MaxIdleClients = 4;
constexpr size_t MaxIdleWatchClients = 2;
constexpr size_t MaxValueBytes = 1000000;
constexpr milliseconds DefaultRetryAfter{1000};
constexpr uint64_t MaxRetryAfterSeconds = 300;
constexpr const char *ValueType = "application/octet-stream";

enum class call_kind { Read, Write };

bool isUnreserved(char C) {
  constexpr std::string_view Marks = "-._~/";
  return (C >= 'a' && C <= 'z') || (C >= 'A' && C <= 'Z') ||
         (C >= '0' && C <= '9') || Marks.find(C) != std::string_view::npos;
}

/// Percent-encodes all but unreserved characters and '/'.
std::string encode(std::string_view Text) {
  constexpr std::string_view Digits = "0123456789ABCDEF";
  std::string Encoded;
  for (const char C : Text) {
    if (isUnreserved(C)) {
      Encoded += C;
      continue;
    }
    const auto Byte = static_cast<unsigned char>(C);
    Encoded += '%';
    Encoded += Digits[Byte >> 4];
    Encoded += Digits[Byte & 15];
  }
  return Encoded;
}

std::string objectPath(std::string_view Key) {
  return "/v1/objects/" + encode(Key);
}

std::string conditionalPath(std::string_view Key, uint64_t IfVersion) {
  return objectPath(Key) + "?if_version=" + std::to_string(IfVersion);
}

milliseconds retryAfter(const http_response &Response) {
  const auto Seconds = parseWholeNumber(Response.Headers.get("Retry-After"));
  if (!Seconds)
    return DefaultRetryAfter;
  return milliseconds(std::min(*Seconds, MaxRetryAfterSeconds) * 1000);
}

bool isComplete(const pool_result &Call, unsigned Status) {
  return Call.Result == call_result::Complete && Call.Response.Status == Status;
}

/// Result when no response was read. A write that failed to connect has had no
/// effect; after that its effect is unknown.
store_result noResponse(const pool_result &Call, call_kind Kind) {
  const bool NotSent = Call.Result == call_result::NotConnected;
  store_result Result;
  Result.Status = NotSent || Kind == call_kind::Read ? store_status::Unavailable
                                                     : store_status::Unknown;
  Result.Message =
      "no response: " + std::string(toString(Call.Result)) + ": " + Call.Detail;
  if (Result.Status == store_status::Unavailable)
    Result.RetryAfter = DefaultRetryAfter;
  return Result;
}

store_result malformedResponse(call_kind Kind) {
  return {.Status = Kind == call_kind::Read ? store_status::Unavailable
                                            : store_status::Unknown,
          .Message = "malformed response",
          .RetryAfter = DefaultRetryAfter};
}

/// Result for a status that the API does not define for the call. Only 4xx, 501
/// and 503 guarantee that a write had no effect.
store_result unexpectedStatus(const http_response &Response, call_kind Kind) {
  const bool Refused = Response.Status == 503 || Response.Status == 501 ||
                       (Response.Status >= 400 && Response.Status < 500);
  store_result Result;
  Result.Status = Refused || Kind == call_kind::Read ? store_status::Unavailable
                                                     : store_status::Unknown;
  Result.Message = "HTTP status " + std::to_string(Response.Status);
  Result.RetryAfter = retryAfter(Response);
  return Result;
}

bool hasVersion(const json &Object) {
  return Object.is_object() && Object.contains("version") &&
         Object["version"].is_number_unsigned();
}

bool hasVersionAndValue(const json &Object) {
  return hasVersion(Object) && Object.contains("value") &&
         Object["value"].is_string();
}

json parseBody(const http_response &Response) {
  return json::parse(Response.Body, nullptr, false);
}

store_result toObjectResult(const http_response &Response) {
  json Object = parseBody(Response);
  if (!hasVersionAndValue(Object))
    return malformedResponse(call_kind::Read);
  return {.Status = store_status::Ok,
          .Version = Object["version"].get<uint64_t>(),
          .Value = std::move(Object["value"].get_ref<std::string &>())};
}

store_result toReadResult(const pool_result &Call) {
  if (Call.Result != call_result::Complete)
    return noResponse(Call, call_kind::Read);
  if (Call.Response.Status == 200)
    return toObjectResult(Call.Response);
  if (Call.Response.Status == 404)
    return {.Status = store_status::NotFound};
  return unexpectedStatus(Call.Response, call_kind::Read);
}

/// The body of a 200 or 409 response to a write is {"version"}; 200 to a delete
/// may lack it.
store_result toWriteResult(const pool_result &Call, bool NeedsVersion) {
  if (Call.Result != call_result::Complete)
    return noResponse(Call, call_kind::Write);
  const unsigned Status = Call.Response.Status;
  if (Status != 200 && Status != 409)
    return unexpectedStatus(Call.Response, call_kind::Write);
  const json Body = parseBody(Call.Response);
  if (!hasVersion(Body) && (NeedsVersion || Status == 409))
    return malformedResponse(call_kind::Write);
  return {.Status = Status == 200 ? store_status::Ok : store_status::Conflict,
          .Version = hasVersion(Body) ? Body["version"].get<uint64_t>() : 0};
}

std::string checkedAddress(const std::string &Address) {
  if (!parseIpPort(Address))
    throw std::invalid_argument("invalid store address \"" + Address +
                                "\": expected " + std::string(IpPortFormat));
  return Address;
}

template <typename T> T countResult(T Result) {
  metrics::get()
      .counter("store_results_total", "status", toString(Result.Status))
      .add();
  return Result;
}

} // namespace

std::string_view toString(store_status Status) {
  switch (Status) {
  case store_status::Ok:
    return "ok";
  case store_status::NotFound:
    return "not_found";
  case store_status::Conflict:
    return "conflict";
  case store_status::Unchanged:
    return "unchanged";
  case store_status::Unavailable:
    return "unavailable";
  case store_status::Unknown:
    break;
  }
  return "unknown";
}

struct store_client::state {
  explicit state(const store_client_options &Options)
      : Address(checkedAddress(Options.Address)), Timeout(Options.Timeout),
        CallPool({.Address = Address,
                  .ConnectTimeout = Timeout,
                  .MaxIdle = MaxIdleClients}),
        WatchPool({.Address = Address,
                   .ConnectTimeout = Timeout,
                   .MaxIdle = MaxIdleWatchClients}) {}

  [[nodiscard]] http_request request(std::string Method,
                                     std::string Path) const {
    return {.Method = std::move(Method),
            .Target = std::move(Path),
            .Headers = {{"Host", Address}},
            .Body = {}};
  }

  pool_result get(std::string Path) {
    return CallPool.run(request("GET", std::move(Path)), Timeout);
  }

  const std::string Address;
  const milliseconds Timeout;
  http_pool CallPool;
  http_pool WatchPool;
};

store_client::store_client(const store_client_options &Options)
    : State(std::make_unique<state>(Options)) {}

store_client::~store_client() = default;

store_result store_client::get(std::string_view Key) {
  return countResult(toReadResult(State->get(objectPath(Key))));
}

store_result store_client::put(std::string_view Key, std::string_view Value,
                               uint64_t IfVersion) {
  if (Value.size() > MaxValueBytes)
    return countResult(
        store_result{.Status = store_status::Unavailable,
                     .Message = "value of " + std::to_string(Value.size()) +
                                " bytes exceeds the limit of 1000000"});
  http_request Request = State->request("PUT", conditionalPath(Key, IfVersion));
  Request.Headers.add("Content-Type", ValueType);
  Request.Body = Value;
  return countResult(
      toWriteResult(State->CallPool.run(Request, State->Timeout), true));
}

store_result store_client::remove(std::string_view Key, uint64_t IfVersion) {
  const pool_result Call = State->CallPool.run(
      State->request("DELETE", conditionalPath(Key, IfVersion)),
      State->Timeout);
  if (isComplete(Call, 404))
    return countResult(store_result{.Status = store_status::NotFound});
  return countResult(toWriteResult(Call, false));
}

store_list_result store_client::list(std::string_view Prefix) {
  const pool_result Call = State->get("/v1/objects?prefix=" + encode(Prefix));
  store_list_result Result;
  const auto Fail = [&](const store_result &Reason) {
    Result = {.Status = Reason.Status,
              .Message = Reason.Message,
              .RetryAfter = Reason.RetryAfter};
    return countResult(std::move(Result));
  };
  if (Call.Result != call_result::Complete)
    return Fail(noResponse(Call, call_kind::Read));
  if (Call.Response.Status != 200)
    return Fail(unexpectedStatus(Call.Response, call_kind::Read));
  const json Body = parseBody(Call.Response);
  if (!Body.is_object() || !Body.contains("objects") ||
      !Body["objects"].is_array())
    return Fail(malformedResponse(call_kind::Read));
  for (const json &Object : Body["objects"]) {
    if (!hasVersionAndValue(Object) || !Object.contains("key") ||
        !Object["key"].is_string())
      return Fail(malformedResponse(call_kind::Read));
    Result.Objects.push_back({Object["key"].get<std::string>(),
                              Object["version"].get<uint64_t>(),
                              Object["value"].get<std::string>()});
  }
  Result.Status = store_status::Ok;
  return countResult(std::move(Result));
}

store_result store_client::watch(std::string_view Key, uint64_t After,
                                 milliseconds Wait) {
  const std::string Path = "/v1/watch/" + encode(Key) +
                           "?after=" + std::to_string(After) +
                           "&wait_ms=" + std::to_string(Wait.count());
  const pool_result Call =
      State->WatchPool.run(State->request("GET", Path), Wait + State->Timeout);
  if (isComplete(Call, 304))
    return countResult(
        store_result{.Status = store_status::Unchanged, .Version = After});
  return countResult(toReadResult(Call));
}

void store_client::stopWatches() { State->WatchPool.stop(); }

store_result store_client::vms() {
  const pool_result Call = State->get("/v1/vms");
  if (!isComplete(Call, 200))
    return countResult(toReadResult(Call));
  const json Body = parseBody(Call.Response);
  if (!hasVersion(Body))
    return countResult(malformedResponse(call_kind::Read));
  return countResult(store_result{.Status = store_status::Ok,
                                  .Version = Body["version"].get<uint64_t>(),
                                  .Value = Call.Response.Body});
}

} // namespace cardamom
