#include "base/bounded_json.h"
#include "base/percent_encoding.h"
#include "ctl/commands.h"
#include "ctl/report.h"
#include "store/http_pool.h"

#include <nlohmann/json.hpp>
#include <ostream>

namespace cardamom {

using nlohmann::json;

static constexpr int IndentSpaces = 2;

std::string traceTarget(const std::string &Id) {
  return "/trace/" + percentEncode(Id);
}

std::string explainTarget(const std::string &Method, const std::string &Path) {
  return "/explain?path=" + percentEncode(Path) +
         "&method=" + percentEncode(Method);
}

exit_code runEntryGet(console &Console, const entry_access &Access,
                      const std::string &Target) {
  http_pool Pool({.Address = Access.Address, .ConnectTimeout = Access.Timeout});
  const pool_result Call = Pool.run({.Method = "GET",
                                     .Target = Target,
                                     .Headers = {{"Host", Access.Address}},
                                     .Body = {}},
                                    Access.Timeout);
  const std::string Source = "entry " + Access.Address;
  if (Call.Result != call_result::Complete)
    return reportError(
        Console, exit_code::Unavailable,
        Source + " is unavailable: " + std::string(toString(Call.Result)) +
            ": " + Call.Detail);
  const http_response &Response = Call.Response;
  if (Response.Status != 200) {
    // A 4xx status means that the requested id or path is invalid.
    const bool IsClientError = Response.Status >= 400 && Response.Status < 500;
    return reportError(
        Console, IsClientError ? exit_code::BadInput : exit_code::Unavailable,
        Source + " responded to GET " + Target + " with status " +
            std::to_string(Response.Status) + ": " + Response.Body);
  }
  json Body;
  try {
    Body = parseBoundedJson(Response.Body);
  } catch (const std::invalid_argument &) {
    return reportError(Console, exit_code::Unavailable,
                       Source + " responded with malformed JSON");
  }
  if (Console.Json)
    Console.Out << Body.dump(IndentSpaces) << '\n';
  else
    Console.Out << formatReadable(Body);
  return exit_code::Ok;
}

} // namespace cardamom
