#include "base/identifier.h"
#include "ctl/commands.h"
#include "ctl/report.h"

#include <httplib.h>
#include <nlohmann/json.hpp>
#include <ostream>

namespace cardamom {

using nlohmann::json;

static constexpr int IndentSpaces = 2;

/// Percent-encodes all bytes except letters, digits and "-._~".
static std::string encode(std::string_view Text) {
  constexpr std::string_view Digits = "0123456789ABCDEF";
  constexpr std::string_view Unreserved = "-._~";
  std::string Encoded;
  for (const char C : Text) {
    const auto Byte = static_cast<unsigned char>(C);
    if (std::isalnum(Byte) != 0 ||
        Unreserved.find(C) != std::string_view::npos) {
      Encoded += C;
      continue;
    }
    Encoded += '%';
    Encoded += Digits[Byte >> 4];
    Encoded += Digits[Byte & 15];
  }
  return Encoded;
}

std::string traceTarget(const std::string &Id) {
  return "/trace/" + encode(Id);
}

std::string explainTarget(const std::string &Method, const std::string &Path) {
  return "/explain?path=" + encode(Path) + "&method=" + encode(Method);
}

static httplib::Result fetch(const entry_access &Access,
                             const std::string &Target) {
  const auto Address = parseIpPort(Access.Address).value();
  httplib::Client Client(Address.Ip, Address.Port);
  Client.set_url_encode(false);
  Client.set_tcp_nodelay(true);
  Client.set_connection_timeout(Access.Timeout);
  Client.set_read_timeout(Access.Timeout);
  return Client.Get(Target);
}

exit_code runEntryGet(console &Console, const entry_access &Access,
                      const std::string &Target) {
  const httplib::Result Response = fetch(Access, Target);
  const std::string Source = "entry " + Access.Address;
  if (!Response)
    return reportError(
        Console, exit_code::Unavailable,
        Source + " is unavailable: " + httplib::to_string(Response.error()));
  if (Response->status != 200) {
    // A 4xx status means that the requested id or path is invalid.
    const bool IsClientError =
        Response->status >= 400 && Response->status < 500;
    return reportError(
        Console, IsClientError ? exit_code::BadInput : exit_code::Unavailable,
        Source + " responded to GET " + Target + " with status " +
            std::to_string(Response->status) + ": " + Response->body);
  }
  const json Body = json::parse(Response->body, nullptr, false);
  if (Body.is_discarded())
    return reportError(Console, exit_code::Unavailable,
                       Source + " responded with malformed JSON");
  if (Console.Json)
    Console.Out << Body.dump(IndentSpaces) << '\n';
  else
    Console.Out << formatReadable(Body);
  return exit_code::Ok;
}

} // namespace cardamom
