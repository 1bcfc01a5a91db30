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

milliseconds retryAfter(const httplib::Response &Response) {
  const auto Seconds =
      parseWholeNumber(Response.get_header_value("Retry-After"));
  if (!Seconds)
    return DefaultRetryAfter;
  return milliseconds(std::min(*Seconds, MaxRetryAfterSeconds) * 1000);
}

/// Result when no response was read. A write that failed to connect has had no
/// effect; after that its effect is unknown.
store_result noResponse(httplib::Error Error, call_kind Kind) {
  const bool NotSent = Error == httplib::Error::Connection ||
                       Error == httplib::Error::ConnectionTimeout;
  store_result Result;
  Result.Status = NotSent || Kind == call_kind::Read ? store_status::Unavailable
                                                     : store_status::Unknown;
  Result.Message = "no response: " + httplib::to_string(Error);
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
store_result unexpectedStatus(const httplib::Response &Response,
                              call_kind Kind) {
  const bool Refused = Response.status == 503 || Response.status == 501 ||
                       (Response.status >= 400 && Response.status < 500);
  store_result Result;
  Result.Status = Refused || Kind == call_kind::Read ? store_status::Unavailable
                                                     : store_status::Unknown;
  Result.Message = "HTTP status " + std::to_string(Response.status);
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

json parseBody(const httplib::Response &Response) {
  return json::parse(Response.body, nullptr, false);
}

store_result toObjectResult(const httplib::Response &Response) {
  json Object = parseBody(Response);
  if (!hasVersionAndValue(Object))
    return malformedResponse(call_kind::Read);
  return {.Status = store_status::Ok,
          .Version = Object["version"].get<uint64_t>(),
          .Value = std::move(Object["value"].get_ref<std::string &>())};
}

store_result toReadResult(const httplib::Result &Response) {
  if (!Response)
    return noResponse(Response.error(), call_kind::Read);
  if (Response->status == 200)
    return toObjectResult(*Response);
  if (Response->status == 404)
    return {.Status = store_status::NotFound};
  return unexpectedStatus(*Response, call_kind::Read);
}

/// The body of a 200 or 409 response to a write is {"version"}; 200 to a delete
/// may lack it.
store_result toWriteResult(const httplib::Result &Response, bool NeedsVersion) {
  if (!Response)
    return noResponse(Response.error(), call_kind::Write);
  const int Status = Response->status;
  if (Status != 200 && Status != 409)
    return unexpectedStatus(*Response, call_kind::Write);
  const json Body = parseBody(*Response);
  if (!hasVersion(Body) && (NeedsVersion || Status == 409))
    return malformedResponse(call_kind::Write);
  return {.Status = Status == 200 ? store_status::Ok : store_status::Conflict,
          .Version = hasVersion(Body) ? Body["version"].get<uint64_t>() : 0};
}

ip_port parseStoreAddress(const std::string &Address) {
  auto Parsed = parseIpPort(Address);
  if (!Parsed)
    throw std::invalid_argument("invalid store address \"" + Address +
                                "\": expected " + std::string(IpPortFormat));
  return *std::move(Parsed);
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
      : Timeout(Options.Timeout), CallPool(parseStoreAddress(Options.Address),
                                           Options.Timeout, MaxIdleClients),
        WatchPool(parseStoreAddress(Options.Address), Options.Timeout,
                  MaxIdleWatchClients) {}

  httplib::Result get(const std::string &Path) {
    return CallPool.run(
        Timeout, [&](httplib::Client &Client) { return Client.Get(Path); });
  }

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
  const std::string Path = conditionalPath(Key, IfVersion);
  const auto Response =
      State->CallPool.run(State->Timeout, [&](httplib::Client &Client) {
        return Client.Put(Path, Value.data(), Value.size(), ValueType);
      });
  return countResult(toWriteResult(Response, true));
}

store_result store_client::remove(std::string_view Key, uint64_t IfVersion) {
  const std::string Path = conditionalPath(Key, IfVersion);
  const auto Response =
      State->CallPool.run(State->Timeout, [&](httplib::Client &Client) {
        return Client.Delete(Path);
      });
  if (Response && Response->status == 404)
    return countResult(store_result{.Status = store_status::NotFound});
  return countResult(toWriteResult(Response, false));
}

store_list_result store_client::list(std::string_view Prefix) {
  const auto Response = State->get("/v1/objects?prefix=" + encode(Prefix));
  store_list_result Result;
  const auto Fail = [&](const store_result &Reason) {
    Result = {.Status = Reason.Status,
              .Message = Reason.Message,
              .RetryAfter = Reason.RetryAfter};
    return countResult(std::move(Result));
  };
  if (!Response)
    return Fail(noResponse(Response.error(), call_kind::Read));
  if (Response->status != 200)
    return Fail(unexpectedStatus(*Response, call_kind::Read));
  const json Body = parseBody(*Response);
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
  const auto Response =
      State->WatchPool.run(Wait + State->Timeout, [&](httplib::Client &Client) {
        return Client.Get(Path);
      });
  if (Response && Response->status == 304)
    return countResult(
        store_result{.Status = store_status::Unchanged, .Version = After});
  return countResult(toReadResult(Response));
}

void store_client::stopWatches() { State->WatchPool.stop(); }

store_result store_client::vms() {
  const auto Response = State->get("/v1/vms");
  if (!Response || Response->status != 200)
    return countResult(toReadResult(Response));
  const json Body = parseBody(*Response);
  if (!hasVersion(Body))
    return countResult(malformedResponse(call_kind::Read));
  return countResult(store_result{.Status = store_status::Ok,
                                  .Version = Body["version"].get<uint64_t>(),
                                  .Value = Response->body});
}

} // namespace cardamom
