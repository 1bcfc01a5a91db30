#include "base/identifier.h"
#include "ctl/commands.h"
#include "ctl/report.h"

#include <httplib.h>
#include <nlohmann/json.hpp>
#include <ostream>

namespace cardamom {

using nlohmann::json;

static constexpr int IndentSpaces = 2;

/// Percent-encodes everything but letters, digits and "-._~".
static std::string encode(std::string_view Text) {
  constexpr std::string_view Digits = "0123456789ABCDEF";
  constexpr std::string_view Marks = "-._~";
  std::string Encoded;
  for (const char C : Text) {
    const auto Byte = static_cast<unsigned char>(C);
    if (std::isalnum(Byte) != 0 || Marks.find(C) != std::string_view::npos) {
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
  const httplib::Result Answer = fetch(Access, Target);
  const std::string From = "entry " + Access.Address;
  if (!Answer)
    return reportError(
        Console, exit_code::Unavailable,
        From + " is unavailable: " + httplib::to_string(Answer.error()));
  if (Answer->status != 200) {
    // 4xx blames the name or id that was asked for.
    const bool IsAskers = Answer->status >= 400 && Answer->status < 500;
    return reportError(
        Console, IsAskers ? exit_code::BadInput : exit_code::Unavailable,
        From + " answered GET " + Target + " with status " +
            std::to_string(Answer->status) + ": " + Answer->body);
  }
  const json Body = json::parse(Answer->body, nullptr, false);
  if (Body.is_discarded())
    return reportError(Console, exit_code::Unavailable,
                       From + " answered with malformed JSON");
  if (Console.Json)
    Console.Out << Body.dump(IndentSpaces) << '\n';
  else
    Console.Out << formatReadable(Body);
  return exit_code::Ok;
}

} // namespace cardamom
